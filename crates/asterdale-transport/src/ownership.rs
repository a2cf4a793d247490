//! Replicated ownership of keyed requests on real sockets: the actor of the state machines of `asterdale-ownership`, its
//! handle, and the storage of a replica.

mod actor;
mod handle;
mod settings;
mod storage;

pub use handle::OwnershipHandle;
pub use settings::{OwnershipActorSettings, OwnershipNotification};
pub use storage::{ReplicaDisk, ReplicaStorage, StorageError};

pub(crate) use actor::{start, MESSAGE_QUEUE_CAPACITY};
pub(crate) use settings::LocalProcess;
