//! The side that serves, and gives its work away. Until the word *go* is out it can carry on as if nothing had
//! happened; from then on it guards: it keeps what it had, is told of all that is started, and takes the work back
//! if its successor ends.

/// How long each step may take, in milliseconds. Starting a program and reading a start file is the longest of them;
/// none holds up a task but the last, in which nothing is started.
const GREETING: f64 = 10_000.0;
const ADOPTING: f64 = 2_000.0;
const PROBING: f64 = 5_000.0;
const COMMITTING: f64 = 1_000.0;

/// Where the giver is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The successor was started, and has not spoken.
    Offered,
    /// It was given the listeners.
    Adopting,
    /// It was given a trial state.
    Probing,
    /// Nothing is started here any more; it was given the state.
    Committing,
    /// The work is the successor's.
    Guarding,
    /// The work stayed here, or came back.
    Serving,
    /// Nothing is left to do here.
    Gone,
}

/// What happens to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The successor has said who it is: whether it can read what it would be given, and has the nonce.
    Hello {
        /// It speaks a protocol that is spoken here.
        version: u32,
        /// It reads states of this shape.
        shape: u32,
        /// It is the process that was started.
        known: bool,
    },
    /// It has the listeners.
    Adopted,
    /// It has read the trial state.
    Probed,
    /// It has the state of this epoch.
    Loaded(u64),
    /// It can't go on.
    Refused(String),
    /// It has ended: its end of the connection is closed, and all that it had sent was read.
    Ended,
    /// This process is to leave.
    Leave,
    /// Nobody needs the guardian any more.
    Released,
    /// Time has passed.
    Tick,
}

/// What it wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the listeners.
    Offer,
    /// Send a state to be tried; go on serving.
    Try,
    /// Start nothing any more, and then send the state with this epoch.
    Freeze(u64),
    /// Send the word. It must be out before anything else is done.
    Go(u64),
    /// End the successor and wait until it has ended: it must do nothing after this. Harmless if it has.
    Kill,
    /// Go on serving with the state that there is here.
    Thaw,
    /// Take the work back: with the state from the freeze and all that was mirrored since.
    Resume,
    /// Leave without a word to the runtime or the registry: the work is another's.
    Exit,
    /// How it ended, for whoever asked.
    Tell(Result<(), String>),
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Giver {
    step: Step,
    by: f64,
    epoch: u64,
    shape: u32,
}

impl Giver {
    /// The successor was just started. The epoch is the one that this process serves in.
    pub fn new(now: f64, epoch: u64, shape: u32) -> Giver {
        Giver {
            step: Step::Offered,
            by: now + GREETING,
            epoch,
            shape,
        }
    }

    /// Where it is.
    pub fn step(&self) -> Step {
        self.step
    }

    /// By when it wants a [`Event::Tick`].
    pub fn wake(&self) -> Option<f64> {
        matches!(
            self.step,
            Step::Offered | Step::Adopting | Step::Probing | Step::Committing
        )
        .then_some(self.by)
    }

    /// Whether this process may start work.
    pub fn owns(&self) -> bool {
        matches!(
            self.step,
            Step::Offered | Step::Adopting | Step::Probing | Step::Serving
        )
    }

    fn back(&mut self, why: String) -> Vec<Action> {
        let frozen = self.step == Step::Committing;
        self.step = Step::Serving;
        // Dead before anything is started here: it may have had all that it needs to go on by itself.
        let mut actions = vec![Action::Kill];
        if frozen {
            actions.push(Action::Thaw);
        }
        actions.push(Action::Tell(Err(why)));
        actions
    }

    /// Something has happened; what to do.
    pub fn on(&mut self, now: f64, event: Event) -> Vec<Action> {
        let late = self.wake().is_some_and(|by| now >= by);
        match (self.step, event) {
            (Step::Serving | Step::Gone, _) => Vec::new(),
            (Step::Guarding, Event::Ended) => {
                self.step = Step::Serving;
                self.epoch += 1;
                vec![Action::Kill, Action::Resume]
            }
            (Step::Guarding, Event::Released | Event::Leave) => {
                self.step = Step::Gone;
                vec![Action::Exit]
            }
            (Step::Guarding, _) => Vec::new(),
            (_, Event::Ended) => self.back("the new process has ended".to_owned()),
            (_, Event::Refused(why)) => self.back(format!("the new process refuses: {why}")),
            (_, Event::Leave) => self.back("this process is leaving".to_owned()),
            (step, Event::Tick) if late => {
                self.back(format!("the new process took too long: {step:?}"))
            }
            (_, Event::Tick | Event::Released) => Vec::new(),
            (
                Step::Offered,
                Event::Hello {
                    version,
                    shape,
                    known,
                },
            ) => {
                if !known {
                    return self
                        .back("a stranger spoke in the place of the new process".to_owned());
                }
                if version != crate::VERSION || shape != self.shape {
                    let why =
                        format!("the new process speaks version {version} and reads shape {shape}, this one");
                    return self.back(format!(
                        "{why} version {} and shape {}",
                        crate::VERSION,
                        self.shape
                    ));
                }
                (self.step, self.by) = (Step::Adopting, now + ADOPTING);
                vec![Action::Offer]
            }
            (Step::Adopting, Event::Adopted) => {
                (self.step, self.by) = (Step::Probing, now + PROBING);
                vec![Action::Try]
            }
            (Step::Probing, Event::Probed) => {
                (self.step, self.by) = (Step::Committing, now + COMMITTING);
                self.epoch += 1;
                vec![Action::Freeze(self.epoch)]
            }
            (Step::Committing, Event::Loaded(epoch)) if epoch == self.epoch => {
                self.step = Step::Guarding;
                vec![Action::Go(epoch), Action::Tell(Ok(()))]
            }
            (step, event) => self.back(format!(
                "the new process spoke out of turn: {event:?} in {step:?}"
            )),
        }
    }
}
