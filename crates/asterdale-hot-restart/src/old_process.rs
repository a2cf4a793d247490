//! The side of the old process, which serves and hands its requests over to the new process that it has started. Until
//! it sends `Go` it can continue as if nothing had happened. From then on it is on standby: it keeps its state, is
//! notified of everything that the new process starts, and takes over again if the new process ends.

use std::fmt;

use thiserror::Error;

/// The time for the new process to say hello, in milliseconds: it loads a program and reads a start file, which takes
/// seconds on a busy machine. Requests are served meanwhile.
const HELLO_TIMEOUT_MS: f64 = 10_000.0;
/// The time for the new process to take the listeners, in milliseconds. Requests are served meanwhile.
const LISTENERS_TIMEOUT_MS: f64 = 2_000.0;
/// The time for the new process to read a trial state, in milliseconds. Requests are served meanwhile.
const TRIAL_STATE_TIMEOUT_MS: f64 = 5_000.0;
/// The time for the new process to read the state, in milliseconds. Nothing is started meanwhile, so it is the
/// shortest.
const STATE_TIMEOUT_MS: f64 = 1_000.0;

/// The phase of a hot restart, as the old process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The new process was started, and has not sent its hello.
    AwaitingHello,
    /// The listeners were sent.
    SendingListeners,
    /// A trial state was sent.
    SendingTrialState,
    /// No requests are started here any more, and the state was sent.
    SendingState,
    /// The new process serves, and this one takes over again if that ends.
    Standby,
    /// This process serves: the hot restart has failed, or was undone.
    Serving,
    /// This process must exit.
    Exited,
}

impl fmt::Display for Phase {
    /// The name that is sent to the requester of the upgrade. Programs read it, so it must not change.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::AwaitingHello => "Offered",
            Phase::SendingListeners => "Adopting",
            Phase::SendingTrialState => "Probing",
            Phase::SendingState => "Committing",
            Phase::Standby => "Guarding",
            Phase::Serving => "Serving",
            Phase::Exited => "Gone",
        })
    }
}

/// What happens to the old process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The new process has sent its hello.
    Hello {
        /// The version of its protocol.
        version: u32,
        /// The format of the states that it reads.
        state_format: u32,
        /// Whether its nonce is the one that was given to the process that was started.
        is_nonce_valid: bool,
    },
    /// The new process has the listeners.
    ListenersAdopted,
    /// The new process has read the trial state.
    TrialStateLoaded,
    /// The new process has read the state of this epoch.
    StateLoaded(u64),
    /// The new process can't continue, for this reason.
    Refused(String),
    /// The new process has ended: its end of the connection is closed, and everything that it sent was read.
    NewProcessEnded,
    /// This process has to drain and exit.
    Drain,
    /// The new process does not need this one any more.
    Released,
    /// Time has passed.
    Tick,
}

/// What the old process has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the listeners.
    SendListeners,
    /// Send a trial state, and continue to serve.
    SendTrialState,
    /// Stop starting requests, then send the state with this epoch.
    FreezeAndSendState(u64),
    /// Send `Go` with this epoch, before anything else is done.
    SendGo(u64),
    /// Kill the new process and wait until it has ended, so that it does nothing after this. No effect if it has ended.
    KillNewProcess,
    /// Start requests again, with the state of this process.
    Thaw,
    /// Take over again: with the state from the freeze and all that was mirrored since.
    TakeOverAgain,
    /// Exit without notice to the runtime or the registry, which belong to the new process.
    Exit,
    /// Report to the requester of the upgrade.
    Report(Result<(), HandOverError>),
}

/// Why the old process continues to serve.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum HandOverError {
    /// The new process has ended.
    #[error("the new process has ended")]
    NewProcessEnded,
    /// The new process can't continue, for this reason.
    #[error("the new process refuses: {0}")]
    Refused(String),
    /// The old process was told to drain.
    #[error("this process is draining")]
    Draining,
    /// The new process was too slow in this phase.
    #[error("the new process took too long in phase {0}")]
    TimedOut(Phase),
    /// The hello came from another process than the one that was started.
    #[error("another process connected in place of the new process")]
    InvalidNonce,
    /// The new process has another protocol, or another format of the state.
    #[error(
        "the new process has protocol version {version} and state format {state_format}, this one version {} and format {own_state_format}",
        crate::VERSION
    )]
    Incompatible {
        /// The version of its protocol.
        version: u32,
        /// The format of the states that it reads.
        state_format: u32,
        /// The format of this process's state.
        own_state_format: u32,
    },
    /// The new process has sent a message that does not belong in this phase.
    #[error("the new process sent an unexpected message: {event:?} in {phase}")]
    UnexpectedEvent {
        /// The message.
        event: Event,
        /// The phase.
        phase: Phase,
    },
}

/// The state machine of the old process, for one attempt.
#[derive(Clone, Debug)]
pub struct OldProcess {
    phase: Phase,
    deadline_ms: f64,
    epoch: u64,
    state_format: u32,
}

impl OldProcess {
    /// Creates the state machine when the new process has just been started. `epoch` is the epoch that this process
    /// serves in, `state_format` the format of its state.
    pub fn new(now_ms: f64, epoch: u64, state_format: u32) -> OldProcess {
        OldProcess {
            phase: Phase::AwaitingHello,
            deadline_ms: now_ms + HELLO_TIMEOUT_MS,
            epoch,
            state_format,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When an [`Event::Tick`] is due, in milliseconds; `None` if this phase has no timeout.
    pub fn deadline_ms(&self) -> Option<f64> {
        let has_timeout = matches!(
            self.phase,
            Phase::AwaitingHello
                | Phase::SendingListeners
                | Phase::SendingTrialState
                | Phase::SendingState
        );
        has_timeout.then_some(self.deadline_ms)
    }

    /// Whether this process may start requests.
    pub fn may_start_requests(&self) -> bool {
        matches!(
            self.phase,
            Phase::AwaitingHello
                | Phase::SendingListeners
                | Phase::SendingTrialState
                | Phase::Serving
        )
    }

    /// Handles an event. Returns the actions that follow from it.
    pub fn handle(&mut self, now_ms: f64, event: Event) -> Vec<Action> {
        match self.phase {
            Phase::Serving | Phase::Exited => Vec::new(),
            Phase::Standby => self.handle_on_standby(&event),
            _ => self.handle_before_go(now_ms, event),
        }
    }

    /// Handles an event while the new process serves.
    fn handle_on_standby(&mut self, event: &Event) -> Vec<Action> {
        match event {
            Event::NewProcessEnded => {
                self.phase = Phase::Serving;
                self.epoch += 1;
                vec![Action::KillNewProcess, Action::TakeOverAgain]
            }
            Event::Released | Event::Drain => {
                self.phase = Phase::Exited;
                vec![Action::Exit]
            }
            _ => Vec::new(),
        }
    }

    /// Handles an event while this process can still continue as if nothing had happened.
    fn handle_before_go(&mut self, now_ms: f64, event: Event) -> Vec<Action> {
        let is_late = self.deadline_ms().is_some_and(|due| now_ms >= due);
        match (self.phase, event) {
            (_, Event::NewProcessEnded) => self.cancel(HandOverError::NewProcessEnded),
            (_, Event::Refused(reason)) => self.cancel(HandOverError::Refused(reason)),
            (_, Event::Drain) => self.cancel(HandOverError::Draining),
            (phase, Event::Tick) if is_late => self.cancel(HandOverError::TimedOut(phase)),
            (_, Event::Tick | Event::Released) => Vec::new(),
            (
                Phase::AwaitingHello,
                Event::Hello {
                    version,
                    state_format,
                    is_nonce_valid,
                },
            ) => match self.check_hello(version, state_format, is_nonce_valid) {
                Ok(()) => {
                    self.enter(Phase::SendingListeners, now_ms + LISTENERS_TIMEOUT_MS);
                    vec![Action::SendListeners]
                }
                Err(error) => self.cancel(error),
            },
            (Phase::SendingListeners, Event::ListenersAdopted) => {
                self.enter(Phase::SendingTrialState, now_ms + TRIAL_STATE_TIMEOUT_MS);
                vec![Action::SendTrialState]
            }
            (Phase::SendingTrialState, Event::TrialStateLoaded) => {
                self.enter(Phase::SendingState, now_ms + STATE_TIMEOUT_MS);
                self.epoch += 1;
                vec![Action::FreezeAndSendState(self.epoch)]
            }
            (Phase::SendingState, Event::StateLoaded(epoch)) if epoch == self.epoch => {
                self.phase = Phase::Standby;
                vec![Action::SendGo(epoch), Action::Report(Ok(()))]
            }
            (phase, event) => self.cancel(HandOverError::UnexpectedEvent { event, phase }),
        }
    }

    fn enter(&mut self, phase: Phase, deadline_ms: f64) {
        self.phase = phase;
        self.deadline_ms = deadline_ms;
    }

    /// Checks that the new process is the one that was started, and that it can read the state of this one.
    fn check_hello(
        &self,
        version: u32,
        state_format: u32,
        is_nonce_valid: bool,
    ) -> Result<(), HandOverError> {
        if !is_nonce_valid {
            return Err(HandOverError::InvalidNonce);
        }
        if version != crate::VERSION || state_format != self.state_format {
            return Err(HandOverError::Incompatible {
                version,
                state_format,
                own_state_format: self.state_format,
            });
        }
        Ok(())
    }

    /// Ends the attempt: this process continues to serve. The new process is killed before anything is started here, as
    /// it may already have all that it needs to take over when this process ends.
    fn cancel(&mut self, error: HandOverError) -> Vec<Action> {
        let is_frozen = self.phase == Phase::SendingState;
        self.phase = Phase::Serving;
        let mut actions = vec![Action::KillNewProcess];
        if is_frozen {
            actions.push(Action::Thaw);
        }
        actions.push(Action::Report(Err(error)));
        actions
    }
}
