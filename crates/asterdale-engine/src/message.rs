//! What actors say to each other, and the two ports through which the host sees a front. No actor is named here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::Outcome;
pub use asterdale_identity::Certificate;
use asterdale_identity::Kind;
use crossbeam_channel::Sender;

/// An id as edge nodes write it: 16 hexadecimal digits.
pub type RequestId = [u8; 16];

/// A task of the host: a number that no other task of this process has.
pub type TaskId = u64;

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

/// An id as text: only digits come in.
pub fn request_id_text(id: &RequestId) -> &str {
    std::str::from_utf8(id).unwrap_or_default()
}

/// By what a repeat is known: a key, or what a read is about, each within its stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub struct IdempotencyKey {
    /// The stage.
    #[cfg_attr(feature = "hot-restart", serde(rename = "stage"))]
    pub class: usize,
    /// The tenant, so that no key of one tenant meets another's; 0 where there are none.
    pub tenant: u32,
    /// The key as it came.
    #[cfg_attr(feature = "hot-restart", serde(rename = "text"))]
    pub bytes: Box<[u8]>,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Its id.
    pub id: RequestId,
    /// Its stage.
    pub class: usize,
    /// When it came to the machine, in Unix milliseconds.
    pub start_ms: f64,
    /// Its tenant, a position in the settings' list, as the edge node has it; 0 where it says none.
    pub tenant: u32,
    /// The number of the edge node.
    pub edge_node: u32,
    /// How long the edge node waits from then on.
    pub timeout_ms: Option<f64>,
    /// The work to expect.
    pub cost_hint_ms: Option<f64>,
    /// The memory that is booked for it.
    pub memory_kb: f64,
    /// By what a repeat of it would be known.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A task that has come whole.
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// What it says of who is calling, where that is asked for.
    pub token: Option<Box<[u8]>>,
    /// What the connection has shown of it.
    pub certificate: Option<Arc<Certificate>>,
    /// Its body.
    pub body: Vec<u8>,
    /// The way back.
    pub client: Arc<dyn Connection>,
    /// Its number on that connection.
    pub request: u16,
    /// It came no earlier: all that came before then was read.
    pub received_at: Instant,
}

impl Request {
    /// Where its response goes.
    pub fn route(&self) -> ResponseRoute {
        ResponseRoute {
            connection: self.client.connection_id(),
            request: self.request,
        }
    }
}

/// The one answer to a request. A front turns it into the bytes of its protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Finished with this result.
    Served(Arc<[u8]>),
    /// Turned away: this try never ran.
    Rejected {
        /// No other backend is to be tried.
        is_final: bool,
        /// Stay away for so many milliseconds; 0 for no advice.
        retry_after_ms: u64,
    },
    /// Turned away by a bound of this process, before the decisions saw it: this try never ran.
    Overloaded,
    /// Abandoned; nothing is promised.
    Failed,
    /// It may have run, here or elsewhere, and its outcome is not known now. It will not be run again under its key.
    Unknown {
        /// Ask again after so many milliseconds; 0 for no advice.
        retry_after_ms: u64,
    },
    /// A field is missing or makes no sense. Claims nothing.
    Malformed,
    /// Nobody waits for it any more. Claims nothing.
    CallerGone,
    /// A health check's end.
    HealthChecked(bool),
    /// The caller is turned away.
    Denied {
        /// What is said.
        kind: Kind,
        /// Come again after so many milliseconds; 0 for no advice.
        retry_after_ms: u64,
    },
}

/// One connection of a front, as all hold it who owe it an answer.
pub trait Connection: Send + Sync {
    /// A number that no other connection of this process has, whatever its front.
    fn connection_id(&self) -> u64;
    /// Answers an open request. Never waits.
    fn answer(self: Arc<Self>, request: u16, reply: Reply);
    /// A request that will get no answer of its own.
    fn discard_request(&self);
}

/// All connections of the fronts together.
pub trait Frontends: Send + Sync {
    /// Connections that carry nothing are closed after so many milliseconds from now on.
    fn close_idle(&self, after_ms: f64);
    /// How many connections are open.
    fn open_connections(&self) -> usize;
    /// Stops listening, after the connections that the machine has accepted are taken.
    fn stop_listening(&self);
    /// Lets every connection end once all that has come over it is answered.
    fn end_answered_connections(&self);
    /// Another process takes what comes from now on (one more connection at the most is taken here), or this
    /// one again.
    fn set_paused(&self, aside: bool);
}

/// What a process says of itself to the others of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalStatus {
    /// It takes new work.
    pub accepts_work: bool,
    /// It began without warm state not long ago.
    pub warming_up: bool,
    /// It is leaving.
    pub draining: bool,
    /// Busy part of its cores, in hundredths.
    pub load: u8,
}

/// The other processes of the fleet, where this one talks with them. What it tells is a hint, and never a lock.
pub trait FleetView: Send + Sync {
    /// Other processes that are there, and those of them that take work and are warm; `None` where that is not
    /// known, or known to a minority alone.
    fn peer_counts(&self) -> Option<(f64, f64)>;
    /// What this process says of itself from now on. Never waits.
    fn publish_status(&self, doing: LocalStatus);
}

/// Those who keep work in hand, as the host asks them. Nothing of it waits.
#[cfg(feature = "ownership")]
pub trait OwnershipClient: Send + Sync {
    /// Whether tasks of this stage are kept, and if so whether what has their effect refuses an older fence.
    fn replicates_class(&self, stage: usize) -> Option<bool>;
    /// What tells a body from others, alike in all processes.
    fn body_digest(&self, body: &[u8]) -> u64;
    /// Something is wanted; what comes of it is mail under this number.
    fn request(&self, number: u64, want: asterdale_ownership::OwnershipRequest);
    /// Nobody waits for it any more.
    fn cancel(&self, number: u64);
    /// What was claimed by this fence was never started.
    fn claim_unused(&self, key: Vec<u8>, fence: u64);
    /// Orphans that would be taken now.
    fn set_takeover_capacity(&self, room: u32);
    /// Whether what was claimed may be started, and calls be made for it, at this moment.
    fn may_act(&self) -> bool;
    /// Whether starts and calls carry the fence of their claim: whoever has the effect may know what to do with it.
    fn sends_fences(&self) -> bool {
        true
    }
    /// How long a lease is, in milliseconds.
    fn lease_ms(&self) -> f64;
    /// This process leaves: whatever it has not ended is anybody's. Comes back once that is said.
    fn release_all(&self);
}

/// What comes to the host.
pub enum EngineMessage {
    /// A task has come whole.
    Request(Box<Request>),
    /// A health check.
    HealthCheck {
        /// The way back.
        client: Arc<dyn Connection>,
        /// Its number on that connection.
        request: u16,
        /// It asks whether work gets done.
        deep: bool,
    },
    /// The edge node no longer waits for this request.
    Abort(ResponseRoute),
    /// This connection broke.
    ConnectionClosed(u64),
    /// There is a link to the runtime, which takes these commands.
    RuntimeConnected(Sender<String>),
    /// There is none any more.
    RuntimeDisconnected,
    /// A line from the runtime.
    RuntimeNotice(RuntimeNotice),
    /// A call below has ended.
    CallEnded {
        /// For whom it was made.
        task: TaskId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        duration_ms: f64,
        /// The reply.
        body: Vec<u8>,
    },
    /// A set of keys, as a file or the issuer has it.
    KeySet(Vec<u8>),
    /// The start file was read again: the peers listen here, and this holds of callers, from now on.
    Reloaded(Endpoints, Option<Box<asterdale_identity::Facts>>),
    /// A step of a handover.
    #[cfg(feature = "hot-restart")]
    HotRestart(HotRestartStep),
    /// What came of something that was wanted of the keepers.
    #[cfg(feature = "ownership")]
    OwnershipAnswer(u64, asterdale_ownership::Answer),
    /// KeyedRequest whose owner is gone, that this process may take.
    #[cfg(feature = "ownership")]
    OwnerlessRequests(Vec<asterdale_ownership::KeyedRequest>),
    /// The notice to leave.
    Drain,
    /// Print the counters.
    PrintCounters,
}

/// Where the peers listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// The runtime.
    pub runtime: SocketAddr,
    /// The registry.
    pub registry: SocketAddr,
    /// The records service.
    pub records: SocketAddr,
}

/// A call to be made at the records service.
pub struct Call {
    /// For whom.
    pub task: TaskId,
    /// Its id.
    pub id: RequestId,
    /// What the call carries.
    pub body: Vec<u8>,
    /// When it was asked for.
    pub requested_at: Instant,
    /// How long it may take from then on.
    pub timeout: Duration,
    /// The key of its task, in hexadecimal digits, and the fence by which that is claimed: whoever has the effect
    /// refuses an older one.
    #[cfg(feature = "ownership")]
    pub fence: Option<(String, u64)>,
}

/// What the list's actor is told.
pub enum RegistryCommand {
    /// The backend is leaving from now on.
    Drain,
    /// The registry listens here from now on.
    SetAddress(SocketAddr),
    /// Another process reports from now on, or this one again.
    SetPaused(bool),
}

/// What the runtime's actor is told.
pub enum RuntimeLinkCommand {
    /// The runtime listens here from now on.
    SetAddress(SocketAddr),
    /// The link is another process's from now on, or this one's again.
    SetPaused(bool),
}

/// A line from the runtime.
#[derive(Debug, PartialEq)]
pub enum RuntimeNotice {
    /// The answer to `sync`: it began without warm state, so many milliseconds ago.
    Ready {
        /// It began without warm state.
        slow_start: bool,
        /// So many milliseconds ago.
        uptime_ms: f64,
    },
    /// A run is over.
    RunEnded {
        /// The notice's number.
        sequence: u64,
        /// The task.
        id: RequestId,
        /// How it ended, in the runtime's word.
        outcome: RunOutcome,
        /// Its result.
        body: Vec<u8>,
    },
    /// A run waits for a call.
    CallNeeded {
        /// The notice's number.
        sequence: u64,
        /// The task.
        id: RequestId,
        /// What the call carries.
        body: Vec<u8>,
    },
    /// The gauges.
    Gauges {
        /// The word that they were asked with.
        tag: String,
        /// Their values.
        values: Vec<f64>,
    },
    /// The end of a deep health check.
    HealthVerdict {
        /// The word that it was asked with.
        tag: String,
        /// It went well.
        healthy: bool,
    },
    /// A command was not carried out.
    Rejected {
        /// Which.
        command: String,
        /// The task.
        id: Option<RequestId>,
    },
    /// It means nothing, but for its number.
    Ignored(Option<u64>),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a result.
    Passed,
    /// Without one.
    Failed,
    /// It was stopped, or ended at a call.
    Killed,
    /// Nothing was started.
    Noop,
}

/// Where the set is fetched.
#[derive(Clone, Debug, PartialEq)]
pub struct KeySource {
    /// The issuer.
    pub address: SocketAddr,
    /// The path of the set.
    pub path: String,
    /// How often, in milliseconds.
    pub interval_ms: f64,
}

/// What the issuer's actor is told.
pub enum KeyRefresh {
    /// A task carries a key that no set has held: there may be a newer one.
    Requested,
    /// The set is to be fetched here from now on.
    SetSource(KeySource),
}

/// A step of a handover, as the host does it.
#[cfg(feature = "hot-restart")]
pub enum HotRestartStep {
    /// Send a state to be tried; go on.
    Rehearse(Sender<Vec<u8>>),
    /// Stop, and send the state.
    Freeze(Sender<Vec<u8>>),
    /// Go on: the work stays here.
    Thaw,
    /// The work is another's: carry what comes to it.
    Commit(Box<dyn SuccessorLink>),
    /// An answer to a request that was carried, or whose task passed.
    PeerReply(ResponseRoute, Reply),
    /// What the other has started, remembered, ended.
    Mirrored(MirroredEvent),
    /// The other has ended: take the work back.
    Resume,
    /// Leave without a word, once the connections have ended: nobody needs a guardian any more.
    Exit,
    /// Nobody guards this process any more.
    GuardEnded,
}

/// The way to a successor.
#[cfg(feature = "hot-restart")]
pub trait SuccessorLink: Send {
    /// A task has come. How long it may have lain unread is in its `since`.
    fn forward_request(&mut self, way: ResponseRoute, request: &Request);
    /// A health check has come.
    fn forward_health_check(&mut self, way: ResponseRoute, deep: bool);
    /// Nobody waits any more: for a request, or for any of a connection.
    fn forward_abort(&mut self, connection: u64, request: Option<u16>);
    /// A call that was made here has ended.
    fn forward_call_result(&mut self, task: TaskId, outcome: Outcome, took_ms: f64, body: &[u8]);
    /// All connections have ended and all windows have lapsed: nothing is guarded any more.
    fn guard_ended(&mut self);
}

/// What a guardian is told, before it takes effect.
#[cfg(feature = "hot-restart")]
#[derive(Clone, Debug, PartialEq)]
pub enum MirroredEvent {
    /// A fingerprint is remembered.
    KeyRetained {
        /// The mark.
        key: IdempotencyKey,
        /// Its task, and what tells the body from others.
        owner: (TaskId, u64),
        /// Until then, in the module's time.
        until_ms: f64,
    },
    /// A task that must not run twice is started.
    TaskStarted {
        /// Its id.
        id: RequestId,
        /// Its mark and its serial, where it has a mark.
        key: Option<(IdempotencyKey, TaskId)>,
    },
    /// A remembered task has ended.
    TaskEnded {
        /// The mark.
        key: IdempotencyKey,
        /// Its task.
        owner: TaskId,
        /// Its result, if there is one.
        result: Option<Arc<[u8]>>,
    },
    /// A fingerprint is forgotten.
    KeyDropped {
        /// The mark.
        key: IdempotencyKey,
        /// Its task.
        owner: TaskId,
    },
}

/// Where what a guardian must know is told.
#[cfg(feature = "hot-restart")]
pub type Mirror = Box<dyn FnMut(MirroredEvent) + Send>;
