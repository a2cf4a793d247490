//! What the two processes relay to each other once the new one serves: requests that arrive over connections of the old
//! process, and their replies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::Outcome;
use asterdale_engine::memory::{BytePermit, MemoryReservation};
use asterdale_engine::message::{
    CallEnd, Connection, EngineMessage, IdempotencyKey, Reply, Request, RequestCapacity,
    RequestHead, RequestId, ResponseRoute, TaskId,
};
use asterdale_engine::state_transfer::{HotRestartStep, SuccessorLink};
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{
    Abort, CallEnded, HealthCheck, Release, Request as RequestFrame,
};

use super::channel::FrameWriter;
use super::mirror::mirrored_event;
use super::reply::{reply, reply_frame, route, route_frame};

/// Upper bound in seconds on the time that a relayed request has been unread, as reported by the old process.
const MAX_UNREAD_SECONDS: f64 = 3600.0;

/// A connection of the old process, as the new process sees it.
pub struct RemoteConnection {
    /// The connection's number in the old process.
    pub connection: u64,
    /// Sends to the old process.
    pub writer: FrameWriter,
}

impl Connection for RemoteConnection {
    fn connection_id(&self) -> u64 {
        self.connection
    }

    fn answer(self: Arc<Self>, request: u16, reply: Reply) {
        // If the old process has ended, its connections are closed, so a failure to send is ignored.
        let route = ResponseRoute {
            connection: self.connection,
            request,
        };
        let _ = self.writer.send(Payload::Reply(reply_frame(route, &reply)));
    }

    fn discard_request(&self) {}
}

/// The link to the new process that the old process's engine uses. A message that can't be sent is lost: the new process
/// has ended then, which is handled as an event of its own.
pub struct NewProcessLink(pub FrameWriter);

/// Outcomes of calls. The index is the outcome's number in a message.
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
/// The number of [`Outcome::Failed`].
const FAILED_OUTCOME: usize = 1;

impl SuccessorLink for NewProcessLink {
    fn forward_request(&mut self, route: ResponseRoute, request: &Request) {
        // Errors are ignored here and below, see the type.
        let _ = self.0.send(Payload::Request(request_frame(route, request)));
    }

    fn forward_health_check(&mut self, route: ResponseRoute, is_deep: bool) {
        let _ = self.0.send(Payload::HealthCheck(HealthCheck {
            route: route_frame(route),
            is_deep,
        }));
    }

    fn forward_abort(&mut self, connection: u64, request: Option<u16>) {
        let _ = self.0.send(Payload::Abort(Abort {
            route: route_frame(ResponseRoute {
                connection,
                request: request.unwrap_or(0),
            }),
            entire_connection: request.is_none(),
        }));
    }

    fn forward_call_result(
        &mut self,
        task_id: TaskId,
        outcome: Outcome,
        duration_ms: f64,
        body: &[u8],
    ) {
        let outcome = OUTCOMES.iter().position(|known| *known == outcome);
        let _ = self.0.send(Payload::CallEnded(CallEnded {
            task_id,
            outcome: outcome.unwrap_or(FAILED_OUTCOME) as u32,
            took_ms: duration_ms,
            body: body.to_vec(),
        }));
    }

    fn standby_ended(&mut self) {
        let _ = self.0.send(Payload::Release(Release {}));
    }
}

/// Makes the message of a request.
fn request_frame(route: ResponseRoute, request: &Request) -> RequestFrame {
    let RequestHead {
        id,
        class,
        tenant,
        start_ms,
        edge_node,
        timeout_ms,
        cost_hint_ms,
        memory_kb,
        idempotency_key,
    } = &request.head;
    RequestFrame {
        route: route_frame(route),
        id: id.to_vec(),
        request_class: *class as u32,
        tenant: *tenant,
        start_ms: *start_ms,
        edge_node: *edge_node,
        timeout_ms: *timeout_ms,
        cost_hint_ms: *cost_hint_ms,
        memory_kb: *memory_kb,
        idempotency_key: idempotency_key.as_ref().map(|key| key.bytes.to_vec()),
        body: request.body.clone(),
        token: request.token.as_deref().map(<[u8]>::to_vec),
        unread_ms: request.received_at.elapsed().as_secs_f64() * 1e3,
    }
}

/// Converts a message of the old process to an engine message; `None` if it is malformed or not meant for the engine of
/// the new process. `class_count` is the number of request classes.
pub fn engine_message(
    payload: Payload,
    writer: &FrameWriter,
    class_count: usize,
) -> Option<EngineMessage> {
    let client = |connection| -> Arc<dyn Connection> {
        Arc::new(RemoteConnection {
            connection,
            writer: writer.clone(),
        })
    };
    Some(match payload {
        Payload::Request(frame) => {
            let route = route(frame.route)?;
            relayed_request(frame, route, client(route.connection), class_count)?
        }
        Payload::HealthCheck(check) => {
            let ResponseRoute {
                connection,
                request,
            } = route(check.route)?;
            EngineMessage::HealthCheck {
                client: client(connection),
                request,
                deep: check.is_deep,
            }
        }
        Payload::Abort(abort) => {
            let route = route(abort.route)?;
            if abort.entire_connection {
                EngineMessage::ConnectionClosed(route.connection)
            } else {
                EngineMessage::Abort(route)
            }
        }
        Payload::CallEnded(call) => EngineMessage::CallEnded(CallEnd {
            task: call.task_id,
            outcome: *OUTCOMES.get(call.outcome as usize)?,
            duration_ms: call.took_ms,
            body: call.body,
            permit: BytePermit::default(),
        }),
        _ => return None,
    })
}

/// A request that has arrived at the old process; `None` if it is malformed.
fn relayed_request(
    frame: RequestFrame,
    route: ResponseRoute,
    client: Arc<dyn Connection>,
    class_count: usize,
) -> Option<EngineMessage> {
    Some(EngineMessage::Request(Box::new(Request {
        head: request_head(&frame, class_count)?,
        received_at: received_at(frame.unread_ms),
        token: frame.token.map(Into::into),
        certificate: None,
        body: frame.body,
        client,
        request: route.request,
        queued: None,
        // The old process, which the request has arrived at, has reserved its memory.
        capacity: RequestCapacity::Reserved(MemoryReservation::default()),
    })))
}

/// Reads the head of a request; `None` if its id is malformed or its class unknown.
fn request_head(frame: &RequestFrame, class_count: usize) -> Option<RequestHead> {
    let class = frame.request_class as usize;
    let id = RequestId::try_from(frame.id.as_slice())
        .ok()
        .filter(|_| class < class_count)?;
    let idempotency_key = frame.idempotency_key.as_deref().map(|key| IdempotencyKey {
        class,
        tenant: frame.tenant,
        bytes: key.into(),
    });
    Some(RequestHead {
        id,
        class,
        tenant: frame.tenant,
        start_ms: frame.start_ms,
        edge_node: frame.edge_node,
        timeout_ms: frame.timeout_ms,
        cost_hint_ms: frame.cost_hint_ms,
        memory_kb: frame.memory_kb,
        idempotency_key,
    })
}

/// The time at which a request arrived that has been unread for `unread_ms`. Returns the current time if the arrival is
/// before the first time that the clock can represent.
fn received_at(unread_ms: f64) -> Instant {
    let unread = Duration::from_secs_f64((unread_ms / 1e3).clamp(0.0, MAX_UNREAD_SECONDS));
    let now = Instant::now();
    now.checked_sub(unread).unwrap_or(now)
}

/// Converts a message of the new process to a hot restart step for the old process's engine; `None` if it is malformed or
/// not meant for that engine.
pub fn hot_restart_step(payload: Payload) -> Option<HotRestartStep> {
    match payload {
        Payload::Reply(frame) => {
            reply(frame).map(|(route, reply)| HotRestartStep::PeerReply(route, reply))
        }
        Payload::Mirror(frame) => mirrored_event(frame).map(HotRestartStep::Mirrored),
        _ => None,
    }
}
