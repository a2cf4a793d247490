//! A request that memory is reserved for, as the engine refers to its client.

use std::sync::{Arc, Mutex, PoisonError};

use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message::{Connection, Reply};

use super::peer::Peer;

/// The client of one admitted request. It holds the memory of the reply until the reply is written.
pub struct AdmittedRequest {
    peer: Arc<Peer>,
    reply_memory: Mutex<MemoryReservation>,
}

impl AdmittedRequest {
    /// A request of this peer, with the memory that is reserved for its reply.
    pub fn new(peer: Arc<Peer>, reply_memory: MemoryReservation) -> Arc<AdmittedRequest> {
        Arc::new(AdmittedRequest {
            peer,
            reply_memory: Mutex::new(reply_memory),
        })
    }
}

impl Connection for AdmittedRequest {
    fn connection_id(&self) -> u64 {
        self.peer.connection
    }

    fn discard_request(&self) {
        self.peer.discard_request();
    }

    fn answer(self: Arc<Self>, request: u16, reply: Reply) {
        let mut reply_memory = self
            .reply_memory
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let memory = std::mem::take(&mut *reply_memory);
        self.peer.answer_request(request, reply, memory);
    }
}
