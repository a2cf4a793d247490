//! Hot restart on sockets: the control socket, the old process that hands over, and the new process that takes over. The
//! state machines of both sides are in `asterdale_hot_restart`.

mod channel;
mod control_socket;
mod mirror;
mod new_process;
mod old_process;
mod relay;
mod reply;
mod request;

#[cfg(test)]
mod tests;

pub use channel::FrameWriter;
pub use control_socket::{bind_control_socket, ControlServer};
pub use new_process::{inherit, Inherited};
pub use request::request_upgrade;
#[cfg(feature = "tools")]
pub use request::RequestUpgradeError;

/// The environment variable with the path of the control socket, for a process that is started to take over. All
/// releases must use the same name, as the two processes may be of different releases.
const CONTROL_VARIABLE: &str = "ASTERDALE_HANDOVER";
/// The environment variable with the nonce by which the new process proves that the old process started it.
const NONCE_VARIABLE: &str = "ASTERDALE_HANDOVER_NONCE";
