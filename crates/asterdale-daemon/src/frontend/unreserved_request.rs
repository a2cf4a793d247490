//! A request that no memory is reserved for, as the engine refers to its client.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message::{Connection, Reply};

use super::peer::Peer;
use super::reply::encode_reply;

/// The client of one request that the engine looks up in its idempotency table, because there is no capacity for a new
/// request.
///
/// Its reply counts as a record of the connection, like an error reply, until the engine has reserved memory for it. From
/// then on it is an open request.
pub struct UnreservedRequest {
    peer: Arc<Peer>,
    /// The memory that the engine has reserved, until the request is answered.
    repeat_memory: Mutex<Option<MemoryReservation>>,
}

impl UnreservedRequest {
    /// A request of this peer, which counts as an unwritten record from now on.
    pub fn new(peer: Arc<Peer>) -> Arc<UnreservedRequest> {
        peer.add_unwritten_record();
        Arc::new(UnreservedRequest {
            peer,
            repeat_memory: Mutex::new(None),
        })
    }

    /// No code panics while it holds the lock, so the state is valid even if the lock is poisoned.
    fn lock(&self) -> MutexGuard<'_, Option<MemoryReservation>> {
        self.repeat_memory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection for UnreservedRequest {
    fn connection_id(&self) -> u64 {
        self.peer.connection
    }

    fn reserve_for_repeat(&self, bytes: usize) -> bool {
        let Some(memory) = self.peer.reserve_for_repeat(bytes) else {
            return false;
        };
        self.peer.add_open_request();
        self.peer.discard_record();
        *self.lock() = Some(memory);
        true
    }

    fn discard_request(&self) {
        if self.lock().take().is_some() {
            self.peer.discard_request();
        } else {
            self.peer.discard_record();
        }
    }

    fn answer(self: Arc<Self>, request: u16, reply: Reply) {
        match self.lock().take() {
            Some(memory) => self.peer.answer_request(request, reply, memory),
            None => self.peer.answer_record(encode_reply(request, reply)),
        }
    }
}
