//! What passes between the two processes once the work has passed: requests, answers, and what the guardian must
//! know.

use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::Outcome;
use asterdale_engine::message::{
    Connection, EngineMessage, IdempotencyKey, Reply, Request, RequestHead, RequestId,
    ResponseRoute, TaskId,
};
use asterdale_engine::state_transfer::{HotRestartStep, MirroredEvent, SuccessorLink};
use asterdale_hot_restart::message::frame::What;
use asterdale_hot_restart::message::{self, Called, Check, Left, Mirror, Release, Task};

use super::wire::{reply, reply_frame, way, way_frame, FrameWriter};

/// The way back over a connection of the process before.
pub struct Remote {
    /// The connection's number there.
    pub connection: u64,
    /// To that process.
    pub line: FrameWriter,
}

impl Connection for Remote {
    fn connection_id(&self) -> u64 {
        self.connection
    }

    fn answer(self: Arc<Self>, request: u16, reply: Reply) {
        // Where that process has ended its connections have, too.
        let _ = self.line.send(What::Reply(reply_frame(
            ResponseRoute {
                connection: self.connection,
                request,
            },
            &reply,
        )));
    }

    fn discard_request(&self) {}
}

/// The way to the successor.
pub struct Successor(pub FrameWriter);

/// Outcomes by their number in a frame.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Stale,
];

impl SuccessorLink for Successor {
    fn forward_request(&mut self, way: ResponseRoute, request: &Request) {
        let RequestHead {
            id,
            class: stage,
            tenant,
            start_ms,
            edge_node: caller,
            timeout_ms,
            cost_hint_ms: hint_ms,
            memory_kb: kb,
            idempotency_key: mark,
        } = &request.head;
        let _ = self.0.send(What::Task(Task {
            way: way_frame(way),
            id: id.to_vec(),
            stage: *stage as u32,
            tenant: *tenant,
            start_ms: *start_ms,
            caller: *caller,
            timeout_ms: *timeout_ms,
            hint_ms: *hint_ms,
            kb: *kb,
            mark: mark.as_ref().map(|mark| mark.bytes.to_vec()),
            body: request.body.clone(),
            token: request.token.as_deref().map(<[u8]>::to_vec),
            unread_ms: request.received_at.elapsed().as_secs_f64() * 1e3,
        }));
    }

    fn forward_health_check(&mut self, way: ResponseRoute, deep: bool) {
        let _ = self.0.send(What::Check(Check {
            way: way_frame(way),
            deep,
        }));
    }

    fn forward_abort(&mut self, connection: u64, request: Option<u16>) {
        let way = way_frame(ResponseRoute {
            connection,
            request: request.unwrap_or(0),
        });
        let _ = self.0.send(What::Left(Left {
            way,
            all: request.is_none(),
        }));
    }

    fn forward_call_result(&mut self, who: TaskId, outcome: Outcome, took_ms: f64, body: &[u8]) {
        let outcome = OUTCOMES
            .iter()
            .position(|known| *known == outcome)
            .unwrap_or(1) as u32;
        let _ = self.0.send(What::Called(Called {
            who,
            outcome,
            took_ms,
            body: body.to_vec(),
        }));
    }

    fn guard_ended(&mut self) {
        let _ = self.0.send(What::Release(Release {}));
    }
}

/// What a frame of the process before is to the host; `None` for one that makes no sense here.
pub fn from_before(what: What, line: &FrameWriter, stages: usize) -> Option<EngineMessage> {
    let client = |connection| -> Arc<dyn Connection> {
        Arc::new(Remote {
            connection,
            line: line.clone(),
        })
    };
    Some(match what {
        What::Task(task) => {
            let ResponseRoute {
                connection,
                request,
            } = way(task.way)?;
            let stage = task.stage as usize;
            let id = RequestId::try_from(task.id.as_slice())
                .ok()
                .filter(|_| stage < stages)?;
            let mark = task.mark.map(|text| IdempotencyKey {
                class: stage,
                tenant: task.tenant,
                bytes: text.into(),
            });
            let asked = RequestHead {
                id,
                class: stage,
                tenant: task.tenant,
                start_ms: task.start_ms,
                edge_node: task.caller,
                timeout_ms: task.timeout_ms,
                cost_hint_ms: task.hint_ms,
                memory_kb: task.kb,
                idempotency_key: mark,
            };
            let unread = Duration::from_secs_f64((task.unread_ms / 1e3).clamp(0.0, 3600.0));
            let now = Instant::now();
            EngineMessage::Request(Box::new(Request {
                head: asked,
                token: task.token.map(Into::into),
                certificate: None,
                body: task.body,
                client: client(connection),
                request,
                received_at: now.checked_sub(unread).unwrap_or(now),
            }))
        }
        What::Check(check) => {
            let ResponseRoute {
                connection,
                request,
            } = way(check.way)?;
            EngineMessage::HealthCheck {
                client: client(connection),
                request,
                deep: check.deep,
            }
        }
        What::Left(left) => {
            let way = way(left.way)?;
            if left.all {
                EngineMessage::ConnectionClosed(way.connection)
            } else {
                EngineMessage::Abort(way)
            }
        }
        What::Called(called) => EngineMessage::CallEnded {
            task: called.who,
            outcome: *OUTCOMES.get(called.outcome as usize)?,
            duration_ms: called.took_ms,
            body: called.body,
        },
        _ => return None,
    })
}

const REMEMBERED: u32 = 0;
const STARTED: u32 = 1;
const ENDED: u32 = 2;
const FORGOTTEN: u32 = 3;

/// What a guardian must know, as a frame.
pub fn mirror_frame(mirrored: MirroredEvent) -> Mirror {
    let of = |mark: IdempotencyKey, owner: TaskId, what: u32| Mirror {
        mark: mark.bytes.to_vec(),
        stage: mark.class as u32,
        tenant: mark.tenant,
        owner,
        what,
        ..Mirror::default()
    };
    match mirrored {
        MirroredEvent::KeyRetained {
            key: mark,
            owner,
            body_digest: sign,
            until_ms: until,
        } => Mirror {
            sign,
            until_ms: until,
            ..of(mark, owner, REMEMBERED)
        },
        MirroredEvent::TaskStarted {
            id,
            key: Some((mark, owner)),
        } => Mirror {
            id: id.to_vec(),
            ..of(mark, owner, STARTED)
        },
        MirroredEvent::TaskStarted { id, key: None } => Mirror {
            id: id.to_vec(),
            what: STARTED,
            ..Mirror::default()
        },
        MirroredEvent::TaskEnded {
            key: mark,
            owner,
            result,
        } => Mirror {
            result: result.map(|result| result.to_vec()),
            ..of(mark, owner, ENDED)
        },
        MirroredEvent::KeyDropped { key: mark, owner } => of(mark, owner, FORGOTTEN),
    }
}

/// And back.
fn mirrored(frame: Mirror) -> Option<MirroredEvent> {
    let owner = frame.owner;
    let mark = IdempotencyKey {
        class: frame.stage as usize,
        tenant: frame.tenant,
        bytes: frame.mark.into(),
    };
    Some(match frame.what {
        REMEMBERED => MirroredEvent::KeyRetained {
            key: mark,
            owner,
            body_digest: frame.sign,
            until_ms: frame.until_ms,
        },
        STARTED => MirroredEvent::TaskStarted {
            id: RequestId::try_from(frame.id.as_slice()).ok()?,
            key: (!mark.bytes.is_empty()).then_some((mark, owner)),
        },
        ENDED => MirroredEvent::TaskEnded {
            key: mark,
            owner,
            result: frame.result.map(Into::into),
        },
        FORGOTTEN => MirroredEvent::KeyDropped { key: mark, owner },
        _ => return None,
    })
}

/// What a frame of the successor is to the host that guards it.
pub fn from_after(what: What) -> Option<HotRestartStep> {
    match what {
        What::Reply(frame) => {
            reply(frame).map(|(way, reply)| HotRestartStep::PeerReply(way, reply))
        }
        What::Mirror(frame) => mirrored(frame).map(HotRestartStep::Mirrored),
        _ => None,
    }
}

/// The first frame of a successor.
pub fn hello(nonce: Vec<u8>) -> What {
    What::Hello(message::Hello {
        version: asterdale_hot_restart::VERSION,
        shape: asterdale::snapshot::FORMAT_VERSION,
        nonce,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_guardian_must_know_comes_back_from_its_frame() {
        let mark = || IdempotencyKey {
            class: 1,
            tenant: 2,
            bytes: b"key".as_slice().into(),
        };
        for what in [
            MirroredEvent::KeyRetained {
                key: mark(),
                owner: 7,
                body_digest: 9,
                until_ms: 1e12,
            },
            MirroredEvent::TaskStarted {
                id: *b"9b1f03aa5c7e2d41",
                key: Some((mark(), 7)),
            },
            MirroredEvent::TaskStarted {
                id: *b"9b1f03aa5c7e2d41",
                key: None,
            },
            MirroredEvent::TaskEnded {
                key: mark(),
                owner: 7,
                result: Some([1].into()),
            },
            MirroredEvent::TaskEnded {
                key: mark(),
                owner: 7,
                result: None,
            },
            MirroredEvent::KeyDropped {
                key: mark(),
                owner: 7,
            },
        ] {
            assert_eq!(mirrored(mirror_frame(what.clone())), Some(what));
        }
    }
}
