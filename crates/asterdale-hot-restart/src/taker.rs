//! The side that is started to take the work. It starts nothing before it has the word *go*, or the certainty that
//! the giver ended with everything handed over.

/// How long it waits for the giver, in milliseconds: longer than any step of the giver's, which kills it first.
const PATIENCE: f64 = 20_000.0;

/// Where the taker is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// It has said who it is.
    Greeted,
    /// It has the listeners.
    Adopted,
    /// It has read a trial state.
    Probed,
    /// It has the state, and has said so.
    Loaded,
    /// The work is its own.
    Owning,
    /// It is to end.
    Gone,
}

/// What happens to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The listeners have come.
    Offered,
    /// A trial state has come; whether it could go on with it.
    Trial(Result<(), String>),
    /// The state of this epoch has come.
    State(u64, Result<(), String>),
    /// The word.
    Go(u64),
    /// The giver has ended: its end of the connection is closed, and all that it had sent was read.
    Ended,
    /// Time has passed.
    Tick,
}

/// What it wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Say that the listeners are here.
    Adopted,
    /// Say that the trial state was read.
    Probed,
    /// Say that the state of this epoch is here.
    Loaded(u64),
    /// Take the work.
    Own,
    /// Say why not, and end.
    Refuse(String),
    /// Nobody guards any more; answers for the giver's connections go nowhere.
    Alone,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Taker {
    step: Step,
    by: f64,
    epoch: u64,
}

impl Taker {
    /// It has just said who it is.
    pub fn new(now: f64) -> Taker {
        Taker {
            step: Step::Greeted,
            by: now + PATIENCE,
            epoch: 0,
        }
    }

    /// Where it is.
    pub fn step(&self) -> Step {
        self.step
    }

    /// The epoch that it has the state of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether this process may start work.
    pub fn owns(&self) -> bool {
        self.step == Step::Owning
    }

    fn refuse(&mut self, why: impl Into<String>) -> Vec<Action> {
        self.step = Step::Gone;
        vec![Action::Refuse(why.into())]
    }

    /// Something has happened; what to do.
    pub fn on(&mut self, now: f64, event: Event) -> Vec<Action> {
        match (self.step, event) {
            (Step::Gone, _) => Vec::new(),
            (Step::Owning, Event::Ended) => vec![Action::Alone],
            (Step::Owning, _) => Vec::new(),
            // It never closes its end while it lives, unless it has killed this process: it is dead, it started
            // nothing after the state was made, and all of that is here.
            (Step::Loaded, Event::Ended) => {
                self.step = Step::Owning;
                vec![Action::Own, Action::Alone]
            }
            (Step::Loaded, Event::Go(epoch)) if epoch == self.epoch => {
                self.step = Step::Owning;
                vec![Action::Own]
            }
            // Loaded, it waits for as long as it takes: only the giver knows whether the work is still its own.
            (Step::Loaded, Event::Tick) => Vec::new(),
            (_, Event::Ended) => self.refuse("the process before ended"),
            (_, Event::Tick) if now < self.by => Vec::new(),
            (_, Event::Tick) => self.refuse("the process before took too long"),
            (Step::Greeted, Event::Offered) => {
                self.step = Step::Adopted;
                vec![Action::Adopted]
            }
            (Step::Adopted, Event::Trial(Ok(()))) => {
                self.step = Step::Probed;
                vec![Action::Probed]
            }
            (Step::Probed, Event::State(epoch, Ok(()))) => {
                (self.step, self.epoch) = (Step::Loaded, epoch);
                vec![Action::Loaded(epoch)]
            }
            (_, Event::Trial(Err(why)) | Event::State(_, Err(why))) => self.refuse(why),
            (step, event) => self.refuse(format!(
                "the process before spoke out of turn: {event:?} in {step:?}"
            )),
        }
    }
}
