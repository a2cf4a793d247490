//! Messages between actors, and the ports through which the engine reaches the other parts of the process. Plain data
//! and traits: nothing here depends on an actor.

mod capacity;
mod engine;
#[cfg(feature = "hot-restart")]
mod hot_restart;
mod links;
mod ports;
mod request;

pub use capacity::{RequestCapacity, Shortage};
pub use engine::{CallEnd, Endpoints, EngineMessage};
#[cfg(feature = "hot-restart")]
pub use hot_restart::{HotRestartStep, Mirror, MirroredEvent, SuccessorLink};
#[cfg(feature = "ownership")]
pub use links::CallFence;
pub use links::{
    Call, KeyRefresh, KeySource, QueuedCommand, RegistryCommand, RunOutcome, RuntimeLinkCommand,
    RuntimeNotice,
};
#[cfg(feature = "ownership")]
pub use ports::OwnershipClient;
pub use ports::{FleetView, Frontends, LocalStatus};
pub use request::{
    other_parts_bytes, request_id_text, Certificate, Connection, IdempotencyKey, Reply, Request,
    RequestHead, RequestId, Responder, ResponseRoute, TaskId,
};
