//! The events of one instance, decoded from their records.

use asterdale::events::Outcome;

use crate::wire::{event_code, Problem, Record};

/// The number of a task on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TaskId(pub u32);

/// The most gauges that a tick carries.
const MAX_GAUGES: usize = 4;

/// An event of an instance.
pub enum Event {
    CallNeeded(TaskId),
    Drain {
        remaining_ms: f64,
    },
    CallerGone(TaskId),
    Arrival(ArrivalRecord),
    /// The values of the gauges, in the order in which the settings name them.
    Tick(Vec<f64>),
    RunEnded {
        task: TaskId,
        outcome: Outcome,
    },
    CallEnded {
        task: TaskId,
        outcome: Outcome,
        took_ms: f64,
    },
}

/// A request that was read.
pub struct ArrivalRecord {
    pub task: TaskId,
    /// Number of the caller on the wire.
    pub caller: u32,
    pub class: usize,
    pub tenant: usize,
    pub unread_ms: f64,
    /// Time until the caller's deadline, if that is known.
    pub remaining_ms: Option<f64>,
    pub cost_hint_ms: Option<f64>,
    pub memory_kb: f64,
    pub is_repeat: bool,
}

impl Event {
    /// Decodes a record.
    ///
    /// # Errors
    /// Its code or its outcome is unknown.
    pub fn decode(record: Record<'_>) -> Result<Event, Problem> {
        let task = TaskId(record.u32(1));
        Ok(match record.code() {
            event_code::CALL_NEEDED => Event::CallNeeded(task),
            event_code::DRAIN => Event::Drain {
                remaining_ms: record.milliseconds(1),
            },
            event_code::CALLER_GONE => Event::CallerGone(task),
            event_code::ARRIVAL => Event::Arrival(ArrivalRecord::decode(record)),
            event_code::TICK => Event::Tick(gauge_values(record)),
            event_code::RUN_ENDED => Event::RunEnded {
                task,
                outcome: outcome(record.u16(13))?,
            },
            event_code::CALL_ENDED => Event::CallEnded {
                task,
                outcome: outcome(record.u16(5))?,
                took_ms: record.milliseconds(7),
            },
            other => return Err(Problem::UnknownCode(other)),
        })
    }
}

impl ArrivalRecord {
    fn decode(record: Record<'_>) -> Self {
        let has_cost_hint = record.u8(27) & 1 != 0;
        let remaining_ms = record.milliseconds(50);
        ArrivalRecord {
            task: TaskId(record.u32(1)),
            caller: record.u32(46),
            class: usize::from(record.u16(25)),
            tenant: usize::from(record.u16(36)),
            unread_ms: record.milliseconds(9),
            remaining_ms: (remaining_ms > 0.0).then_some(remaining_ms),
            cost_hint_ms: has_cost_hint.then(|| record.milliseconds(17)),
            memory_kb: f64::from(record.f32(38)),
            is_repeat: record.u32(42) != 0,
        }
    }
}

fn gauge_values(record: Record<'_>) -> Vec<f64> {
    let gauges = usize::from(record.u8(5)).min(MAX_GAUGES);
    (0..gauges)
        .map(|gauge| f64::from(record.f32(6 + 4 * gauge)))
        .collect()
}

/// Decodes an outcome; the codes resemble HTTP statuses.
fn outcome(code: u16) -> Result<Outcome, Problem> {
    Ok(match code {
        200 => Outcome::Ok,
        500 => Outcome::Failed,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        502 => Outcome::Unreachable,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::Stale,
        other => return Err(Problem::UnknownOutcome(other)),
    })
}
