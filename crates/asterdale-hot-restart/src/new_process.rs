//! The side of the new process, which was started to take over. It starts no request before it has received `Go`, or
//! knows that the old process has ended after sending its complete state.

use std::fmt;

use thiserror::Error;

/// The time from the hello until the state has arrived, in milliseconds. It is longer than the timeouts of the old
/// process together, so a process that is too slow is killed by the old process first.
const STATE_TIMEOUT_MS: f64 = 20_000.0;

/// The phase of a hot restart, as the new process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The hello was sent.
    AwaitingListeners,
    /// The listeners have arrived.
    AwaitingTrialState,
    /// A trial state was read.
    AwaitingState,
    /// The state was read and confirmed.
    AwaitingGo,
    /// This process serves.
    Serving,
    /// This process must exit.
    Exited,
}

impl fmt::Display for Phase {
    /// The name that earlier releases print. It must not change.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::AwaitingListeners => "Greeted",
            Phase::AwaitingTrialState => "Adopted",
            Phase::AwaitingState => "Probed",
            Phase::AwaitingGo => "Loaded",
            Phase::Serving => "Owning",
            Phase::Exited => "Gone",
        })
    }
}

/// Why this process can't continue from a state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct UnusableState(pub String);

/// What happens to the new process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The listeners have arrived.
    Listeners,
    /// A trial state has arrived, and was checked.
    TrialState(Result<(), UnusableState>),
    /// The state of this epoch has arrived, and was checked.
    State(u64, Result<(), UnusableState>),
    /// `Go` has arrived, with this epoch.
    Go(u64),
    /// The old process has ended: its end of the connection is closed, and everything that it sent was read.
    OldProcessEnded,
    /// Time has passed.
    Tick,
}

/// What the new process has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Confirm the listeners.
    ConfirmListeners,
    /// Confirm the trial state.
    ConfirmTrialState,
    /// Confirm the state of this epoch.
    ConfirmState(u64),
    /// Serve.
    TakeOver,
    /// Send the reason, and exit.
    Refuse(TakeOverError),
    /// Continue without a process on standby. Replies for the old process's connections are dropped.
    ServeAlone,
}

/// Why the new process does not take over.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum TakeOverError {
    /// The old process ended before it had sent its state.
    #[error("the old process has ended")]
    OldProcessEnded,
    /// The old process was too slow.
    #[error("the old process took too long")]
    TimedOut,
    /// The state can't be used.
    #[error(transparent)]
    UnusableState(#[from] UnusableState),
    /// The old process has sent a message that does not belong in this phase.
    #[error("the old process sent an unexpected message: {event:?} in {phase}")]
    UnexpectedEvent {
        /// The message.
        event: Event,
        /// The phase.
        phase: Phase,
    },
}

/// The state machine of the new process.
#[derive(Clone, Debug)]
pub struct NewProcess {
    phase: Phase,
    deadline_ms: f64,
    epoch: u64,
}

impl NewProcess {
    /// Creates the state machine of a process that has just sent its hello.
    pub fn new(now_ms: f64) -> NewProcess {
        NewProcess {
            phase: Phase::AwaitingListeners,
            deadline_ms: now_ms + STATE_TIMEOUT_MS,
            epoch: 0,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The epoch of the state that was read.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether this process may start requests.
    pub fn may_start_requests(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Handles an event. Returns the actions that follow from it.
    pub fn handle(&mut self, now_ms: f64, event: Event) -> Vec<Action> {
        match self.phase {
            Phase::Exited => Vec::new(),
            Phase::Serving if event == Event::OldProcessEnded => vec![Action::ServeAlone],
            Phase::Serving => Vec::new(),
            Phase::AwaitingGo => self.handle_awaiting_go(event),
            _ => self.handle_before_state(now_ms, event),
        }
    }

    /// Handles an event after the state has arrived. There is no timeout, as only the old process knows whether it
    /// still serves.
    fn handle_awaiting_go(&mut self, event: Event) -> Vec<Action> {
        match event {
            // While the old process runs, it closes its end only after it has killed this process. So it has ended, it
            // has started nothing since it exported the state, and the complete state has arrived.
            Event::OldProcessEnded => {
                self.phase = Phase::Serving;
                vec![Action::TakeOver, Action::ServeAlone]
            }
            Event::Go(epoch) if epoch == self.epoch => {
                self.phase = Phase::Serving;
                vec![Action::TakeOver]
            }
            Event::Tick => Vec::new(),
            event => self.refuse_event(event),
        }
    }

    fn handle_before_state(&mut self, now_ms: f64, event: Event) -> Vec<Action> {
        match (self.phase, event) {
            (_, Event::OldProcessEnded) => self.refuse(TakeOverError::OldProcessEnded),
            (_, Event::Tick) if now_ms < self.deadline_ms => Vec::new(),
            (_, Event::Tick) => self.refuse(TakeOverError::TimedOut),
            (Phase::AwaitingListeners, Event::Listeners) => {
                self.phase = Phase::AwaitingTrialState;
                vec![Action::ConfirmListeners]
            }
            (Phase::AwaitingTrialState, Event::TrialState(Ok(()))) => {
                self.phase = Phase::AwaitingState;
                vec![Action::ConfirmTrialState]
            }
            (Phase::AwaitingState, Event::State(epoch, Ok(()))) => {
                self.phase = Phase::AwaitingGo;
                self.epoch = epoch;
                vec![Action::ConfirmState(epoch)]
            }
            (_, event) => self.refuse_event(event),
        }
    }

    /// Refuses because of a state that can't be used, or a message that does not belong in this phase.
    fn refuse_event(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::TrialState(Err(error)) | Event::State(_, Err(error)) => {
                self.refuse(error.into())
            }
            event => {
                let phase = self.phase;
                self.refuse(TakeOverError::UnexpectedEvent { event, phase })
            }
        }
    }

    fn refuse(&mut self, error: TakeOverError) -> Vec<Action> {
        self.phase = Phase::Exited;
        vec![Action::Refuse(error)]
    }
}
