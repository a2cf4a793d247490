//! The state of the link to the runtime, as the engine sees it.

use crossbeam_channel::Sender;

/// The link to the runtime.
pub struct RuntimeLink {
    /// Takes command lines; `None` while there is no link.
    pub commands: Option<Sender<String>>,
    /// The notices missed by the last link are still being read: no command is sent yet.
    pub is_replaying: bool,
    /// The runtime has said that it is up.
    pub is_ready: bool,
    /// The sequence number of the last notice that was read.
    pub last_notice: u64,
    /// How many gauges were requested, which is the tag of the next request.
    pub gauges_requested: u64,
    /// How many of those requests are answered.
    pub gauges_received: u64,
    /// When gauges were requested last, in engine time.
    pub gauges_requested_at: f64,
    /// When the link moves to another address at the latest; infinite while it does not move.
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
