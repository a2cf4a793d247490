//! Explores both state machines with their channels in every order of messages, timeouts, crashes and requests, and
//! checks the invariants in each state that is reached; then that the exploration finds injected faults.

use std::collections::{BTreeSet, HashSet, VecDeque};

use asterdale_hot_restart::new_process::{self, NewProcess, UnusableState};
use asterdale_hot_restart::old_process::{self, OldProcess};
use asterdale_hot_restart::VERSION;

/// The most requests that are started: enough for one before, one during and one after the hot restart.
const MAX_REQUESTS: u8 = 3;

/// Requests that a process knows to have been started, by number.
type Requests = BTreeSet<u8>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ToNewProcess {
    Listeners,
    TrialState,
    State(u64, Requests),
    Go(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ToOldProcess {
    Hello,
    ListenersAdopted,
    TrialStateLoaded,
    StateLoaded(u64),
    Refuse,
    Mirror(u8),
}

/// A fault that the exploration must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The new process does not mirror what it starts.
    NoMirror,
    /// The old process continues without killing the new one.
    NoKill,
    /// The new process takes over when the old one ends, whatever it has received.
    EarlyTakeOver,
    /// The old process goes on starting requests while its state is being sent.
    NoFreeze,
}

#[derive(Clone)]
struct SystemState {
    old_process: Option<OldProcess>,
    new_process: Option<NewProcess>,
    /// The requests that each process knows to have been started.
    old_process_knows: Requests,
    new_process_knows: Requests,
    to_new_process: VecDeque<ToNewProcess>,
    to_old_process: VecDeque<ToOldProcess>,
    started: u8,
    old_process_saw_end: bool,
    new_process_saw_end: bool,
}

impl SystemState {
    fn key(&self) -> String {
        let old_process = self
            .old_process
            .as_ref()
            .map(|old_process| format!("{old_process:?}"));
        let new_process = self
            .new_process
            .as_ref()
            .map(|new_process| format!("{new_process:?}"));
        format!(
            "{old_process:?}{new_process:?}{:?}{:?}{:?}{:?}{}{}{}",
            self.old_process_knows,
            self.new_process_knows,
            self.to_new_process,
            self.to_old_process,
            self.started,
            self.old_process_saw_end,
            self.new_process_saw_end
        )
    }

    fn step_old_process(&mut self, now: f64, event: old_process::Event, fault: InjectedFault) {
        let Some(old_process) = &mut self.old_process else {
            return;
        };
        for action in old_process.handle(now, event) {
            match action {
                old_process::Action::SendListeners => {
                    self.to_new_process.push_back(ToNewProcess::Listeners)
                }
                old_process::Action::SendTrialState => {
                    self.to_new_process.push_back(ToNewProcess::TrialState)
                }
                old_process::Action::FreezeAndSendState(epoch) => {
                    self.to_new_process
                        .push_back(ToNewProcess::State(epoch, self.old_process_knows.clone()));
                }
                old_process::Action::SendGo(epoch) => {
                    self.to_new_process.push_back(ToNewProcess::Go(epoch))
                }
                old_process::Action::KillNewProcess if fault != InjectedFault::NoKill => {
                    self.new_process = None
                }
                old_process::Action::Exit => {
                    self.old_process = None;
                    return;
                }
                _ => {}
            }
        }
    }

    fn step_new_process(&mut self, event: new_process::Event, fault: InjectedFault) {
        let Some(new_process) = &mut self.new_process else {
            return;
        };
        let takes_over_early =
            fault == InjectedFault::EarlyTakeOver && event == new_process::Event::OldProcessEnded;
        let actions = if takes_over_early {
            vec![new_process::Action::TakeOver]
        } else {
            new_process.handle(0.0, event)
        };
        if takes_over_early {
            // Bring it to the phase of a process that has received everything.
            let mut serving_process = NewProcess::new(0.0);
            serving_process.handle(0.0, new_process::Event::Listeners);
            serving_process.handle(0.0, new_process::Event::TrialState(Ok(())));
            serving_process.handle(0.0, new_process::Event::State(9, Ok(())));
            serving_process.handle(0.0, new_process::Event::Go(9));
            *new_process = serving_process;
        }
        for action in actions {
            match action {
                new_process::Action::ConfirmListeners => self
                    .to_old_process
                    .push_back(ToOldProcess::ListenersAdopted),
                new_process::Action::ConfirmTrialState => self
                    .to_old_process
                    .push_back(ToOldProcess::TrialStateLoaded),
                new_process::Action::ConfirmState(epoch) => self
                    .to_old_process
                    .push_back(ToOldProcess::StateLoaded(epoch)),
                new_process::Action::Refuse(_) => {
                    self.to_old_process.push_back(ToOldProcess::Refuse);
                    self.new_process = None;
                    return;
                }
                new_process::Action::TakeOver | new_process::Action::ServeAlone => {}
            }
        }
    }

    /// The new process receives its next message.
    fn deliver_to_new_process(&mut self, fault: InjectedFault) {
        let event = match self.to_new_process.pop_front() {
            Some(ToNewProcess::Listeners) => new_process::Event::Listeners,
            Some(ToNewProcess::TrialState) => new_process::Event::TrialState(Ok(())),
            Some(ToNewProcess::State(epoch, known)) => {
                self.new_process_knows = known;
                new_process::Event::State(epoch, Ok(()))
            }
            Some(ToNewProcess::Go(epoch)) => new_process::Event::Go(epoch),
            None => return,
        };
        self.step_new_process(event, fault);
    }

    /// The old process receives its next message.
    fn deliver_to_old_process(&mut self, fault: InjectedFault) {
        let event = match self.to_old_process.pop_front() {
            Some(ToOldProcess::Hello) => hello(VERSION),
            Some(ToOldProcess::ListenersAdopted) => old_process::Event::ListenersAdopted,
            Some(ToOldProcess::TrialStateLoaded) => old_process::Event::TrialStateLoaded,
            Some(ToOldProcess::StateLoaded(epoch)) => old_process::Event::StateLoaded(epoch),
            Some(ToOldProcess::Refuse) => old_process::Event::Refused("no".into()),
            Some(ToOldProcess::Mirror(request)) => {
                self.old_process_knows.insert(request);
                return;
            }
            None => return,
        };
        self.step_old_process(0.0, event, fault);
    }

    /// Everything that can happen next: its name, and the state after it.
    fn next(&self, fault: InjectedFault) -> Vec<(&'static str, SystemState)> {
        let mut next = NextStates {
            system: self,
            fault,
            states: Vec::new(),
        };
        next.add_requests();
        next.add_messages();
        next.add_timeouts_and_kills();
        next.add_ends();
        next.states
    }

    /// Checks the invariants.
    fn check(&self) -> Result<(), &'static str> {
        let old_may_start = self
            .old_process
            .as_ref()
            .is_some_and(OldProcess::may_start_requests);
        let new_may_start = self
            .new_process
            .as_ref()
            .is_some_and(NewProcess::may_start_requests);
        if old_may_start && new_may_start {
            return Err("two processes may start requests");
        }
        let all: Requests = (0..self.started).collect();
        if old_may_start && self.old_process_knows != all
            || new_may_start && self.new_process_knows != all
        {
            return Err("a process that may start requests does not know all that were started");
        }
        Ok(())
    }
}

fn hello(version: u32) -> old_process::Event {
    old_process::Event::Hello {
        version,
        state_format: 1,
        is_nonce_valid: true,
    }
}

/// Collects the states that can follow a state.
struct NextStates<'a> {
    system: &'a SystemState,
    fault: InjectedFault,
    states: Vec<(&'static str, SystemState)>,
}

impl NextStates<'_> {
    fn add(&mut self, name: &'static str, change: impl FnOnce(&mut SystemState)) {
        let mut system = self.system.clone();
        change(&mut system);
        self.states.push((name, system));
    }

    /// A process that may start requests starts one.
    fn add_requests(&mut self) {
        let (system, fault) = (self.system, self.fault);
        if system.started >= MAX_REQUESTS {
            return;
        }
        let may_start = |old_process: &OldProcess| {
            old_process.may_start_requests()
                || fault == InjectedFault::NoFreeze
                    && old_process.phase() == old_process::Phase::SendingState
        };
        if system.old_process.as_ref().is_some_and(may_start) {
            self.add("the old process starts a request", |system| {
                system.old_process_knows.insert(system.started);
                system.started += 1;
            });
        }
        let new_process = system.new_process.as_ref();
        if new_process.is_some_and(NewProcess::may_start_requests) {
            self.add("the new process starts a request", |system| {
                if fault != InjectedFault::NoMirror {
                    let mirror = ToOldProcess::Mirror(system.started);
                    system.to_old_process.push_back(mirror);
                }
                system.new_process_knows.insert(system.started);
                system.started += 1;
            });
        }
    }

    /// A process receives its next message, or an unusual one in its place.
    fn add_messages(&mut self) {
        let (system, fault) = (self.system, self.fault);
        if system.new_process.is_some() && !system.to_new_process.is_empty() {
            self.add("the new process receives", |system| {
                system.deliver_to_new_process(fault);
            });
            if let Some(ToNewProcess::TrialState) = system.to_new_process.front() {
                self.add("the trial state is unusable", |system| {
                    system.to_new_process.pop_front();
                    let unusable = Err(UnusableState("no".into()));
                    system.step_new_process(new_process::Event::TrialState(unusable), fault);
                });
            }
        }
        if system.old_process.is_some() && !system.to_old_process.is_empty() {
            self.add("the old process receives", |system| {
                system.deliver_to_old_process(fault);
            });
            if let Some(ToOldProcess::Hello) = system.to_old_process.front() {
                self.add("another release says hello", |system| {
                    system.to_old_process.pop_front();
                    system.step_old_process(0.0, hello(99), fault);
                });
            }
        }
    }

    fn add_timeouts_and_kills(&mut self) {
        let (system, fault) = (self.system, self.fault);
        let deadline = system
            .old_process
            .as_ref()
            .and_then(OldProcess::deadline_ms);
        if deadline.is_some() {
            self.add("the old process times out", |system| {
                system.step_old_process(1e9, old_process::Event::Tick, fault);
            });
            self.add("the old process is told to drain", |system| {
                system.step_old_process(0.0, old_process::Event::Drain, fault);
            });
        }
        if system.old_process.is_some() {
            self.add("the old process is killed", |system| {
                system.old_process = None;
            });
        }
        if system.new_process.is_some() {
            self.add("the new process is killed", |system| {
                system.new_process = None;
            });
        }
    }

    /// A process sees that the other has ended, once it has received all that the other sent.
    fn add_ends(&mut self) {
        let (system, fault) = (self.system, self.fault);
        let has_read_all = system.to_old_process.is_empty() && !system.old_process_saw_end;
        if system.new_process.is_none() && system.old_process.is_some() && has_read_all {
            self.add("the old process sees the end", |system| {
                system.old_process_saw_end = true;
                system.step_old_process(0.0, old_process::Event::NewProcessEnded, fault);
            });
        }
        let has_read_all = system.to_new_process.is_empty() && !system.new_process_saw_end;
        if system.old_process.is_none() && system.new_process.is_some() && has_read_all {
            self.add("the new process sees the end", |system| {
                system.new_process_saw_end = true;
                system.step_new_process(new_process::Event::OldProcessEnded, fault);
            });
        }
    }
}

/// Explores every order of events. Returns the number of states reached, or the path to the first state that violates
/// an invariant.
fn explore(fault: InjectedFault) -> Result<usize, String> {
    let initial = SystemState {
        old_process: Some(OldProcess::new(0.0, 1, 1)),
        new_process: Some(NewProcess::new(0.0)),
        old_process_knows: Requests::new(),
        new_process_knows: Requests::new(),
        to_new_process: VecDeque::new(),
        to_old_process: VecDeque::from([ToOldProcess::Hello]),
        started: 0,
        old_process_saw_end: false,
        new_process_saw_end: false,
    };
    let mut seen = HashSet::from([initial.key()]);
    let mut unexplored = vec![(initial, Vec::new())];
    while let Some((system, path)) = unexplored.pop() {
        system.check().map_err(|what| format!("{what}: {path:?}"))?;
        let next = system.next(fault);
        // If only crashes and new requests can follow, a process that is left must serve.
        let only_crashes_follow = next
            .iter()
            .all(|(name, _)| name.ends_with("killed") || name.ends_with("starts a request"));
        let serving = system
            .old_process
            .as_ref()
            .is_some_and(OldProcess::may_start_requests)
            || system
                .new_process
                .as_ref()
                .is_some_and(NewProcess::may_start_requests);
        if only_crashes_follow
            && !serving
            && (system.old_process.is_some() || system.new_process.is_some())
        {
            return Err(format!(
                "no process serves, and nothing can happen: {path:?}"
            ));
        }
        for (name, system) in next {
            if seen.insert(system.key()) {
                let mut path = path.clone();
                path.push(name);
                unexplored.push((system, path));
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn the_invariants_hold_in_every_order_of_events() {
    let states = explore(InjectedFault::None).unwrap();
    assert_eq!(states, 410);
}

#[test]
fn the_exploration_finds_each_injected_fault() {
    for fault in [
        InjectedFault::NoMirror,
        InjectedFault::NoKill,
        InjectedFault::EarlyTakeOver,
        InjectedFault::NoFreeze,
    ] {
        let found = explore(fault);
        assert!(
            found.is_err(),
            "{fault:?} was not found in {found:?} states"
        );
    }
}

#[test]
fn an_invalid_nonce_or_another_release_is_rejected_and_the_old_process_serves() {
    for (version, state_format, is_nonce_valid) in
        [(VERSION, 1, false), (99, 1, true), (VERSION, 2, true)]
    {
        let mut old_process = OldProcess::new(0.0, 1, 1);
        let actions = old_process.handle(
            0.0,
            old_process::Event::Hello {
                version,
                state_format,
                is_nonce_valid,
            },
        );
        assert!(
            matches!(
                actions[..],
                [
                    old_process::Action::KillNewProcess,
                    old_process::Action::Report(Err(_))
                ]
            ),
            "{actions:?}"
        );
        assert!(old_process.may_start_requests());
    }
}
