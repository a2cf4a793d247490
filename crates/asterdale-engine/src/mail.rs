//! What actors say to each other, and the two ports through which the host sees a front. No actor is named here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::told::Outcome;
pub use asterdale_identity::Certificate;
use asterdale_identity::Kind;
use crossbeam_channel::Sender;

/// An id as edge nodes write it: 16 hexadecimal digits.
pub type Id = [u8; 16];

/// A task of the host: a number that no other task of this process has.
pub type Serial = u64;

/// Where a request came from, and is answered: a connection's number, and the request's number on it.
pub type Way = (u64, u16);

/// An id as text: only digits come in.
pub fn text(id: &Id) -> &str {
    std::str::from_utf8(id).unwrap_or_default()
}

/// By what a repeat is known: a key, or what a read is about, each within its stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub struct Mark {
    /// The stage.
    pub stage: usize,
    /// The tenant, so that no key of one tenant meets another's; 0 where there are none.
    pub tenant: u32,
    /// The key as it came.
    pub text: Box<[u8]>,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Its id.
    pub id: Id,
    /// Its stage.
    pub stage: usize,
    /// When it came to the machine, in Unix milliseconds.
    pub start_ms: f64,
    /// Its tenant, a position in the settings' list, as the edge node has it; 0 where it says none.
    pub tenant: u32,
    /// The number of the edge node.
    pub caller: u32,
    /// How long the edge node waits from then on.
    pub timeout_ms: Option<f64>,
    /// The work to expect.
    pub hint_ms: Option<f64>,
    /// The memory that is booked for it.
    pub kb: f64,
    /// By what a repeat of it would be known.
    pub mark: Option<Mark>,
}

/// A task that has come whole.
pub struct Request {
    /// Its head.
    pub asked: Asked,
    /// What it says of who is calling, where that is asked for.
    pub token: Option<Box<[u8]>>,
    /// What the connection has shown of it.
    pub certificate: Option<Arc<Certificate>>,
    /// Its body.
    pub body: Vec<u8>,
    /// The way back.
    pub client: Arc<dyn Client>,
    /// Its number on that connection.
    pub request: u16,
    /// It came no earlier: all that came before then was read.
    pub since: Instant,
}

/// The one answer to a request. A front turns it into the bytes of its protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Finished with this result.
    Finished(Arc<[u8]>),
    /// Turned away: this try never ran.
    Rejected {
        /// No other backend is to be tried.
        last: bool,
        /// Stay away for so many milliseconds; 0 for no advice.
        stay_away_ms: u64,
    },
    /// Turned away by a bound of this process, before the decisions saw it: this try never ran.
    Overloaded,
    /// Abandoned; nothing is promised.
    Abandoned,
    /// It may have run, here or elsewhere, and its outcome is not known now. It will not be run again under its key.
    Unknown {
        /// Ask again after so many milliseconds; 0 for no advice.
        wait_ms: u64,
    },
    /// A field is missing or makes no sense. Claims nothing.
    Senseless,
    /// Nobody waits for it any more. Claims nothing.
    Left,
    /// A health check's end.
    Checked(bool),
    /// The caller is turned away.
    Denied {
        /// What is said.
        kind: Kind,
        /// Come again after so many milliseconds; 0 for no advice.
        wait_ms: u64,
    },
}

/// One connection of a front, as all hold it who owe it an answer.
pub trait Client: Send + Sync {
    /// A number that no other connection of this process has, whatever its front.
    fn connection(&self) -> u64;
    /// Answers an open request. Never waits.
    fn answer(self: Arc<Self>, request: u16, reply: Reply);
    /// A request that will get no answer of its own.
    fn drop_one(&self);
}

/// All connections of the fronts together.
pub trait Fronts: Send + Sync {
    /// Connections that carry nothing are closed after so many milliseconds from now on.
    fn close_idle(&self, after_ms: f64);
    /// How many connections are open.
    fn open(&self) -> usize;
    /// Stops listening, after the connections that the machine has accepted are taken.
    fn close(&self);
    /// Lets every connection end once all that has come over it is answered.
    fn hush(&self);
    /// Another process takes what comes from now on (one more connection at the most is taken here), or this
    /// one again.
    fn aside(&self, aside: bool);
}

/// What a process says of itself to the others of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doing {
    /// It takes new work.
    pub takes: bool,
    /// It began without warm state not long ago.
    pub cold: bool,
    /// It is leaving.
    pub leaves: bool,
    /// Busy part of its cores, in hundredths.
    pub load: u8,
}

/// The other processes of the fleet, where this one talks with them. What it tells is a hint, and never a lock.
pub trait Company: Send + Sync {
    /// Other processes that are there, and those of them that take work and are warm; `None` where that is not
    /// known, or known to a minority alone.
    fn others(&self) -> Option<(f64, f64)>;
    /// What this process says of itself from now on. Never waits.
    fn says(&self, doing: Doing);
}

/// Those who keep work in hand, as the host asks them. Nothing of it waits.
#[cfg(feature = "ownership")]
pub trait Custody: Send + Sync {
    /// Whether tasks of this stage are kept, and if so whether what has their effect refuses an older fence.
    fn keeps(&self, stage: usize) -> Option<bool>;
    /// What tells a body from others, alike in all processes.
    fn sign(&self, body: &[u8]) -> u64;
    /// Something is wanted; what comes of it is mail under this number.
    fn want(&self, number: u64, want: asterdale_ownership::Want);
    /// Nobody waits for it any more.
    fn forget(&self, number: u64);
    /// What was claimed by this fence was never started.
    fn dropped(&self, key: Vec<u8>, fence: u64);
    /// Orphans that would be taken now.
    fn room(&self, room: u32);
    /// Whether what was claimed may be started, and calls be made for it, at this moment.
    fn may_act(&self) -> bool;
    /// Whether starts and calls carry the fence of their claim: whoever has the effect may know what to do with it.
    fn fences(&self) -> bool {
        true
    }
    /// How long a lease is, in milliseconds.
    fn lease_ms(&self) -> f64;
    /// This process leaves: whatever it has not ended is anybody's. Comes back once that is said.
    fn leave(&self);
}

/// What comes to the host.
pub enum Mail {
    /// A task has come whole.
    Task(Box<Request>),
    /// A health check.
    Check {
        /// The way back.
        client: Arc<dyn Client>,
        /// Its number on that connection.
        request: u16,
        /// It asks whether work gets done.
        deep: bool,
    },
    /// The edge node no longer waits for this request.
    Abort(Way),
    /// This connection broke.
    Gone(u64),
    /// There is a link to the runtime, which takes these commands.
    Linked(Sender<String>),
    /// There is none any more.
    Unlinked,
    /// A line from the runtime.
    Line(Line),
    /// A call below has ended.
    Called {
        /// For whom it was made.
        who: Serial,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took_ms: f64,
        /// The reply.
        body: Vec<u8>,
    },
    /// A set of keys, as a file or the issuer has it.
    Keys(Vec<u8>),
    /// The start file was read again: the peers listen here, and this holds of callers, from now on.
    Retold(Peers, Option<Box<asterdale_identity::Facts>>),
    /// A step of a handover.
    #[cfg(feature = "hot-restart")]
    Handover(Step),
    /// What came of something that was wanted of the keepers.
    #[cfg(feature = "ownership")]
    Kept(u64, asterdale_ownership::Answer),
    /// Work whose owner is gone, that this process may take.
    #[cfg(feature = "ownership")]
    Offered(Vec<asterdale_ownership::Work>),
    /// The notice to leave.
    Leave,
    /// Print the counters.
    Report,
}

/// Where the peers listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
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
    pub who: Serial,
    /// Its id.
    pub id: Id,
    /// What the call carries.
    pub body: Vec<u8>,
    /// When it was asked for.
    pub asked: Instant,
    /// How long it may take from then on.
    pub patience: Duration,
    /// The key of its task, in hexadecimal digits, and the fence by which that is claimed: whoever has the effect
    /// refuses an older one.
    #[cfg(feature = "ownership")]
    pub fence: Option<(String, u64)>,
}

/// What the list's actor is told.
pub enum Word {
    /// The backend is leaving from now on.
    Leave,
    /// The registry listens here from now on.
    Move(SocketAddr),
    /// Another process reports from now on, or this one again.
    Quiet(bool),
}

/// What the runtime's actor is told.
pub enum Course {
    /// The runtime listens here from now on.
    Move(SocketAddr),
    /// The link is another process's from now on, or this one's again.
    Quiet(bool),
}

/// A line from the runtime.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The answer to `sync`: it began without warm state, so many milliseconds ago.
    Ready {
        /// It began without warm state.
        cold: bool,
        /// So many milliseconds ago.
        time_ms: f64,
    },
    /// A run is over.
    End {
        /// The notice's number.
        no: u64,
        /// The task.
        id: Id,
        /// How it ended, in the runtime's word.
        how: How,
        /// Its result.
        body: Vec<u8>,
    },
    /// A run waits for a call.
    Wants {
        /// The notice's number.
        no: u64,
        /// The task.
        id: Id,
        /// What the call carries.
        body: Vec<u8>,
    },
    /// The gauges.
    Load {
        /// The word that they were asked with.
        mark: String,
        /// Their values.
        values: Vec<f64>,
    },
    /// The end of a deep health check.
    Verdict {
        /// The word that it was asked with.
        mark: String,
        /// It went well.
        good: bool,
    },
    /// A command was not carried out.
    Nack {
        /// Which.
        command: String,
        /// The task.
        id: Option<Id>,
    },
    /// It means nothing, but for its number.
    Info(Option<u64>),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// With a result.
    Pass,
    /// Without one.
    Fail,
    /// It was stopped, or ended at a call.
    Killed,
    /// Nothing was started.
    Noop,
}

/// Where the set is fetched.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The issuer.
    pub at: SocketAddr,
    /// The path of the set.
    pub path: String,
    /// How often, in milliseconds.
    pub every_ms: f64,
}

/// What the issuer's actor is told.
pub enum Nudge {
    /// A task carries a key that no set has held: there may be a newer one.
    Wanted,
    /// The set is to be fetched here from now on.
    Move(Place),
}

/// A step of a handover, as the host does it.
#[cfg(feature = "hot-restart")]
pub enum Step {
    /// Send a state to be tried; go on.
    Try(Sender<Vec<u8>>),
    /// Stop, and send the state.
    Freeze(Sender<Vec<u8>>),
    /// Go on: the work stays here.
    Thaw,
    /// The work is another's: carry what comes to it.
    Give(Box<dyn Port>),
    /// An answer to a request that was carried, or whose task passed.
    Reply(Way, Reply),
    /// What the other has started, remembered, ended.
    Mirrored(Mirrored),
    /// The other has ended: take the work back.
    Resume,
    /// Leave without a word, once the connections have ended: nobody needs a guardian any more.
    Exit,
    /// Nobody guards this process any more.
    Alone,
}

/// The way to a successor.
#[cfg(feature = "hot-restart")]
pub trait Port: Send {
    /// A task has come. How long it may have lain unread is in its `since`.
    fn task(&mut self, way: Way, request: &Request);
    /// A health check has come.
    fn check(&mut self, way: Way, deep: bool);
    /// Nobody waits any more: for a request, or for any of a connection.
    fn left(&mut self, connection: u64, request: Option<u16>);
    /// A call that was made here has ended.
    fn called(&mut self, who: Serial, outcome: Outcome, took_ms: f64, body: &[u8]);
    /// All connections have ended and all windows have lapsed: nothing is guarded any more.
    fn done(&mut self);
}

/// What a guardian is told, before it takes effect.
#[cfg(feature = "hot-restart")]
#[derive(Clone, Debug, PartialEq)]
pub enum Mirrored {
    /// A fingerprint is remembered.
    Remembered {
        /// The mark.
        mark: Mark,
        /// Its task, and what tells the body from others.
        owner: (Serial, u64),
        /// Until then, in the module's time.
        until: f64,
    },
    /// A task that must not run twice is started.
    Started {
        /// Its id.
        id: Id,
        /// Its mark and its serial, where it has a mark.
        mark: Option<(Mark, Serial)>,
    },
    /// A remembered task has ended.
    Ended {
        /// The mark.
        mark: Mark,
        /// Its task.
        owner: Serial,
        /// Its result, if there is one.
        result: Option<Arc<[u8]>>,
    },
    /// A fingerprint is forgotten.
    Forgotten {
        /// The mark.
        mark: Mark,
        /// Its task.
        owner: Serial,
    },
}

/// Where what a guardian must know is told.
#[cfg(feature = "hot-restart")]
pub type Mirror = Box<dyn FnMut(Mirrored) + Send>;
