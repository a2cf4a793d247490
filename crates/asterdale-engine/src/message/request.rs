//! A request, its identifiers, and its single reply.

use std::sync::Arc;
use std::time::Instant;

pub use asterdale_identity::Certificate;
use asterdale_identity::DenialStatus;

use super::capacity::RequestCapacity;
use crate::counters::{Counters, GaugePart};
use crate::memory::repeat_bytes;

/// A request's id as edge nodes write it: 16 hexadecimal digits.
pub type RequestId = [u8; 16];

/// A task's number, unique within this process.
pub type TaskId = u64;

/// A request id as text. Only hexadecimal digits are accepted as ids, so the text is never empty in practice.
pub fn request_id_text(id: &RequestId) -> &str {
    std::str::from_utf8(id).unwrap_or_default()
}

/// Where a request came from and where its response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(
    feature = "hot-restart",
    serde(from = "(u64, u16)", into = "(u64, u16)")
)]
pub struct ResponseRoute {
    /// The connection, by its number in this process.
    pub connection: u64,
    /// The request's number on that connection.
    pub request: u16,
}

/// In stored state a route is the pair of its numbers.
impl From<(u64, u16)> for ResponseRoute {
    fn from((connection, request): (u64, u16)) -> ResponseRoute {
        ResponseRoute {
            connection,
            request,
        }
    }
}

impl From<ResponseRoute> for (u64, u16) {
    fn from(route: ResponseRoute) -> (u64, u16) {
        (route.connection, route.request)
    }
}

/// Identifies repeats of a request: an idempotency key, or the object of a read, within its request class and tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub struct IdempotencyKey {
    /// The request class, by its index in the settings.
    #[cfg_attr(feature = "hot-restart", serde(rename = "stage"))]
    pub class: usize,
    /// The tenant, so that equal keys of two tenants are different; 0 where there are no tenants.
    pub tenant: u32,
    /// The key's bytes as the client sent them.
    #[cfg_attr(feature = "hot-restart", serde(rename = "text"))]
    pub bytes: Box<[u8]>,
}

/// The parameters of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Its id.
    pub id: RequestId,
    /// Its request class, by its index in the settings.
    pub class: usize,
    /// When the edge node received it, in Unix milliseconds.
    pub start_ms: f64,
    /// Its tenant as stated by the edge node, an index into the settings' list; 0 if none is stated.
    pub tenant: u32,
    /// The number of the edge node that sent it.
    pub edge_node: u32,
    /// How long the edge node waits for the response, in milliseconds from `start_ms`.
    pub timeout_ms: Option<f64>,
    /// The client's estimate of the work, in milliseconds.
    pub cost_hint_ms: Option<f64>,
    /// The memory to reserve for it, in KiB.
    pub memory_kb: f64,
    /// Identifies repeats of it, where its class allows them.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A complete request.
pub struct Request {
    /// Its parameters.
    pub head: RequestHead,
    /// The caller's token, where callers are authenticated.
    pub token: Option<Box<[u8]>>,
    /// The client certificate of its connection.
    pub certificate: Option<Arc<Certificate>>,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection that the response goes to.
    pub client: Arc<dyn Connection>,
    /// Its number on that connection.
    pub request: u16,
    /// The earliest time at which it can have arrived: everything that arrived earlier had been read by then.
    pub received_at: Instant,
    /// Whether it may become a task of its own.
    pub capacity: RequestCapacity,
    /// Counts it as queued until the engine has made a task of it; `None` if another process has forwarded it.
    pub queued: Option<GaugePart>,
}

impl Request {
    /// The part of `memory_queued_requests` that a request with these parts is.
    pub fn gauge_part(
        counters: &Arc<Counters>,
        head: &RequestHead,
        token: Option<&[u8]>,
        body: &Vec<u8>,
    ) -> GaugePart {
        let bytes = size_of::<Request>() + body.capacity() + other_parts_bytes(head, token);
        GaugePart::new(counters, |counters| &counters.memory_queued_requests, bytes)
    }

    /// The memory that it takes as a repeat of an earlier request, in bytes.
    pub fn repeat_bytes(&self) -> usize {
        let other_parts = other_parts_bytes(&self.head, self.token.as_deref());
        repeat_bytes(self.body.len(), other_parts)
    }

    /// The route of its response.
    pub fn route(&self) -> ResponseRoute {
        ResponseRoute {
            connection: self.client.connection_id(),
            request: self.request,
        }
    }

    /// Answers this request.
    pub fn answer(self, reply: Reply) {
        self.client.answer(self.request, reply);
    }
}

/// The length of the parts of a request beside its body, in bytes.
pub fn other_parts_bytes(head: &RequestHead, token: Option<&[u8]>) -> usize {
    let key = head.idempotency_key.as_ref();
    key.map_or(0, |key| key.bytes.len()) + token.map_or(0, <[u8]>::len)
}

/// The single reply to a request. A frontend encodes it in its protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Served with this result.
    Served(Arc<[u8]>),
    /// Rejected by the admission policy: this attempt never ran.
    Rejected {
        /// No other backend should be tried.
        is_final: bool,
        /// Advice to send no further requests for this many milliseconds; 0 for no advice.
        retry_after_ms: u64,
    },
    /// Rejected by a limit of this process before the admission policy saw it: this attempt never ran.
    Overloaded,
    /// Failed. The reply does not state whether the request ran.
    Failed,
    /// It may have run, here or on another backend, and its outcome is unknown now. It will not run again under its
    /// idempotency key.
    Unknown {
        /// Advice to retry after this many milliseconds; 0 for no advice.
        retry_after_ms: u64,
    },
    /// A parameter is missing or invalid. The reply does not state whether the request ran.
    Malformed,
    /// The client no longer waits. The reply does not state whether the request ran.
    CallerGone,
    /// The result of a health check.
    HealthChecked(bool),
    /// The caller is not authenticated or not authorized.
    Denied {
        /// The kind of denial.
        kind: DenialStatus,
        /// Advice to retry after this many milliseconds; 0 for no advice.
        retry_after_ms: u64,
    },
}

impl Reply {
    /// Whether it states that the request never ran.
    pub fn claims_never_ran(&self) -> bool {
        match self {
            Reply::Rejected { .. } | Reply::Overloaded => true,
            Reply::Denied { kind, .. } => matches!(
                kind,
                DenialStatus::QuotaExceeded | DenialStatus::Unavailable
            ),
            _ => false,
        }
    }

    /// The reply with the same retry advice that does not state that the request never ran.
    #[must_use]
    pub fn without_claim(self) -> Reply {
        let retry_after_ms = match &self {
            Reply::Rejected { retry_after_ms, .. } | Reply::Denied { retry_after_ms, .. } => {
                *retry_after_ms
            }
            _ => 0,
        };
        if self.claims_never_ran() {
            Reply::Unknown { retry_after_ms }
        } else {
            self
        }
    }
}

/// One connection of a frontend, shared by everything that has to answer one of its requests.
pub trait Connection: Send + Sync {
    /// Its number, unique within this process whatever the frontend.
    fn connection_id(&self) -> u64;
    /// Answers an open request. Never blocks.
    fn answer(self: Arc<Self>, request: u16, reply: Reply);
    /// Notes that a request will get no reply of its own.
    fn discard_request(&self);
    /// Reserves memory for a request that repeats an earlier one, until its reply is written. Returns `false` if there is
    /// none. Used only for requests without [`RequestCapacity::Reserved`].
    fn reserve_for_repeat(&self, _bytes: usize) -> bool {
        false
    }
}

/// Answers one request. Whoever holds it must make sure that the request is answered.
#[derive(Clone)]
pub struct Responder {
    /// The connection that the response goes to.
    pub client: Arc<dyn Connection>,
    /// The request's number on that connection.
    pub request: u16,
}

impl Responder {
    /// Where the response goes.
    pub fn route(&self) -> ResponseRoute {
        ResponseRoute {
            connection: self.client.connection_id(),
            request: self.request,
        }
    }

    /// Answers the request.
    pub fn answer(self, reply: Reply) {
        self.client.answer(self.request, reply);
    }
}
