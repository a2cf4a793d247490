//! The state of the link to the runtime, as the engine sees it.

use crossbeam_channel::Sender;

use crate::message::QueuedCommand;

/// The link to the runtime.
pub struct RuntimeLink {
    /// Accepts command lines; `None` while there is no link.
    pub commands: Option<Sender<QueuedCommand>>,
    /// The notices missed by the last link are still being read: no command is sent yet.
    pub is_replaying: bool,
    /// The runtime has reported that it is up.
    pub is_ready: bool,
    /// The sequence number of the last notice that was read.
    pub last_notice: u64,
    /// The number of gauges requests sent, which is also the tag of the next one.
    pub gauges_requested: u64,
    /// The number of those requests that are answered.
    pub gauges_received: u64,
    /// When gauges were requested last, in engine time.
    pub gauges_requested_at: f64,
    /// The latest time at which the link moves to another address; infinite while no move is in progress.
    pub move_deadline: f64,
    /// Consecutive ticks at which an answer of the runtime was outstanding.
    pub silent_ticks: u32,
}

impl Default for RuntimeLink {
    fn default() -> RuntimeLink {
        RuntimeLink {
            commands: None,
            is_replaying: false,
            is_ready: false,
            last_notice: 0,
            gauges_requested: 0,
            gauges_received: 0,
            gauges_requested_at: 0.0,
            move_deadline: f64::INFINITY,
            silent_ticks: 0,
        }
    }
}
