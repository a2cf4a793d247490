//! The old process's side of a hot restart: starts the new process, hands over to it, and stays on standby until the new
//! process does not need it any more.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use asterdale_engine::message::EngineMessage;
use asterdale_engine::state_transfer::HotRestartStep;
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{Go, Listeners, Progress, Release, StateChunk};
use asterdale_hot_restart::old_process::{Action, Event, HandOverError, OldProcess, Phase};
use asterdale_identity::failpoint::{self, Failpoint};
use crossbeam_channel::{bounded, Receiver, Sender};
use thiserror::Error;

use super::channel::{is_timeout, listener_address, FrameReader, FrameWriter};
use super::control_socket::{send_outcome, ControlServer, Greeting, SharedControl};
use super::relay::{hot_restart_step, NewProcessLink};
use super::{CONTROL_VARIABLE, NONCE_VARIABLE};

/// The time between two looks at a new process that has not said hello, in case it has ended.
const HELLO_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time for the engine to make its state: it waits for the runtime to confirm commands, and serializes.
const STATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Random bytes of a nonce: 128 bits are not guessed.
const NONCE_BYTES: usize = 16;
/// What Linux appends to the path of a program whose file was replaced.
const DELETED_SUFFIX: &str = " (deleted)";

/// The new process can't be started.
#[derive(Debug, Error)]
enum StartError {
    #[error("{0}")]
    OwnProgram(#[source] io::Error),
    #[error("{}: {source}", program.display())]
    Spawn { program: PathBuf, source: io::Error },
}

/// Hands over to a new process that runs `program`, or this process's program if that is empty, and stays on standby
/// until that is not needed any more. The requester is sent the phases and the outcome.
pub fn hand_over(shared: &SharedControl, program: &str, requester: &FrameWriter) {
    let log = &shared.control.log.lines;
    let mut nonce = [0; NONCE_BYTES];
    if getrandom::fill(&mut nonce).is_err() {
        return send_outcome(requester, Err("no random bytes".to_owned()));
    }
    let nonce: String = nonce.iter().map(|byte| format!("{byte:02x}")).collect();
    let greetings = shared.expect_greeting();
    let child = match start_new_process(&shared.control, program, &nonce) {
        Ok(child) => child,
        Err(error) => {
            slog::error!(log, "hot restart: new process not started"; "error" => %error);
            return send_outcome(requester, Err(error.to_string()));
        }
    };
    let started_at = Instant::now();
    let epoch = shared.epoch.load(Ordering::SeqCst);
    let mut attempt = HandOver {
        shared,
        machine: OldProcess::new(0.0, epoch, asterdale::snapshot::FORMAT_VERSION),
        child,
        requester,
        nonce,
        started_at,
        writer: None,
        reader: None,
    };
    attempt.run(&greetings);
    drop(shared.take_expected_greeting());
}

/// Starts the new process with this one's arguments.
fn start_new_process(
    control: &ControlServer,
    program: &str,
    nonce: &str,
) -> Result<Child, StartError> {
    let own = std::env::current_exe().map_err(StartError::OwnProgram)?;
    let program = if program.is_empty() {
        PathBuf::from(own.to_string_lossy().trim_end_matches(DELETED_SUFFIX))
    } else {
        program.into()
    };
    Command::new(&program)
        .args(std::env::args_os().skip(1))
        .env(CONTROL_VARIABLE, &control.path)
        .env(NONCE_VARIABLE, nonce)
        .stdin(Stdio::null())
        .spawn()
        .map_err(|source| StartError::Spawn { program, source })
}

/// One attempt to hand over.
struct HandOver<'a> {
    shared: &'a SharedControl,
    machine: OldProcess,
    child: Child,
    requester: &'a FrameWriter,
    nonce: String,
    started_at: Instant,
    /// To the new process, once it has said hello and until it was killed.
    writer: Option<FrameWriter>,
    /// From the new process, once it has said hello.
    reader: Option<FrameReader>,
}

impl HandOver<'_> {
    fn elapsed_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// Runs the state machine until this process serves again, or has exited.
    fn run(&mut self, greetings: &Receiver<Greeting>) {
        while self.machine.phase() != Phase::Serving {
            let Some(event) = self.next_event(greetings) else {
                continue;
            };
            // Replies for connections of this process arrive until either process has ended.
            if self.machine.phase() == Phase::Exited && event == Event::NewProcessEnded {
                return;
            }
            self.handle(event);
        }
    }

    /// Handles an event and those that follow from it.
    fn handle(&mut self, event: Event) {
        let now_ms = self.elapsed_ms();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let phase_before = self.machine.phase();
            for action in self.machine.handle(now_ms, event) {
                events.extend(self.perform(action));
            }
            if self.machine.phase() != phase_before {
                self.report_phase();
            }
        }
    }

    fn report_phase(&self) {
        let phase = self.machine.phase().to_string().to_lowercase();
        let log = &self.shared.control.log.lines;
        slog::info!(log, "hot restart: phase entered"; "phase" => &phase, "elapsed_ms" => self.elapsed_ms());
        // The requester may have ended: the log has the phase, too.
        let _ = self.requester.send(Payload::Progress(Progress { phase }));
    }

    /// The next event; `None` if what arrived was for the engine.
    fn next_event(&mut self, greetings: &Receiver<Greeting>) -> Option<Event> {
        let timeout = self.timeout();
        let Some(reader) = &mut self.reader else {
            return Some(self.await_hello(greetings));
        };
        if reader.set_timeout(timeout).is_err() {
            return Some(Event::NewProcessEnded);
        }
        match reader.read() {
            Ok(Some(payload)) => self.event_of(payload),
            Err(e) if is_timeout(&e) => Some(Event::Tick),
            Ok(None) | Err(_) => Some(Event::NewProcessEnded),
        }
    }

    /// The time until the machine wants a tick; `None` if it wants none.
    fn timeout(&self) -> Option<Duration> {
        let now_ms = self.elapsed_ms();
        let deadline_ms = self.machine.deadline_ms()?;
        Some(Duration::from_secs_f64(
            ((deadline_ms - now_ms) / 1e3).max(0.001),
        ))
    }

    fn await_hello(&mut self, greetings: &Receiver<Greeting>) -> Event {
        match greetings.recv_timeout(HELLO_POLL_INTERVAL) {
            Ok(Greeting {
                writer,
                reader,
                hello,
            }) => {
                self.writer = Some(writer);
                self.reader = Some(reader);
                Event::Hello {
                    version: hello.version,
                    state_format: hello.state_format,
                    is_nonce_valid: hello.nonce == self.nonce.as_bytes(),
                }
            }
            Err(_) if matches!(self.child.try_wait(), Ok(Some(_))) => Event::NewProcessEnded,
            Err(_) => Event::Tick,
        }
    }

    /// The event that a message stands for; `None` for one that goes to the engine, or is of no use here.
    fn event_of(&self, payload: Payload) -> Option<Event> {
        match payload {
            Payload::ListenersAdopted(_) => Some(Event::ListenersAdopted),
            Payload::TrialStateLoaded(_) => Some(Event::TrialStateLoaded),
            Payload::StateLoaded(loaded) => Some(Event::StateLoaded(loaded.epoch)),
            Payload::Refuse(refuse) => Some(Event::Refused(refuse.reason)),
            Payload::Release(_) => Some(Event::Released),
            payload => {
                if let Some(step) = hot_restart_step(payload) {
                    self.send_to_engine(step);
                }
                None
            }
        }
    }

    /// Performs an action; the event that follows from it, if any.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::SendListeners => self.send_listeners(),
            Action::SendTrialState => {
                self.send_state(HotRestartStep::SendTrialState, Payload::TrialState, 0)
            }
            Action::FreezeAndSendState(epoch) => {
                self.send_state(HotRestartStep::Freeze, Payload::State, epoch)
            }
            Action::SendGo(epoch) => self.send_go(epoch),
            Action::KillNewProcess => {
                self.kill_new_process();
                None
            }
            Action::Thaw => {
                self.send_to_engine(HotRestartStep::Thaw);
                None
            }
            Action::TakeOverAgain => {
                self.shared.set_paused(false);
                self.shared.epoch.fetch_add(1, Ordering::SeqCst);
                self.send_to_engine(HotRestartStep::Resume);
                None
            }
            Action::Exit => {
                self.send_to_engine(HotRestartStep::Exit);
                None
            }
            Action::Report(result) => {
                self.report(result);
                None
            }
        }
    }

    fn send_to_engine(&self, step: HotRestartStep) {
        // An engine that has ended ends this process.
        let _ = self
            .shared
            .control
            .engine
            .send(EngineMessage::HotRestart(step));
    }

    /// Sends the listeners and the control socket with their descriptors.
    fn send_listeners(&self) -> Option<Event> {
        let control = &self.shared.control;
        let message = Payload::Listeners(Listeners {
            epoch: self.shared.epoch.load(Ordering::SeqCst),
            addresses: control.listeners.iter().map(listener_address).collect(),
        });
        let mut descriptors: Vec<BorrowedFd<'_>> =
            control.listeners.iter().map(AsFd::as_fd).collect();
        descriptors.push(control.socket.as_fd());
        if failpoint::is_active(Failpoint::Listener) {
            for listener in &control.listeners {
                // The fault is injected as far as the system allows it.
                let _ = rustix::net::shutdown(listener, rustix::net::Shutdown::Both);
            }
        }
        self.ended_unless_sent(|writer| writer.send_with(message, &descriptors))
    }

    /// Has the engine make a state, and sends it. An engine that makes none is draining.
    fn send_state(
        &self,
        step: fn(Sender<Vec<u8>>) -> HotRestartStep,
        payload: fn(StateChunk) -> Payload,
        epoch: u64,
    ) -> Option<Event> {
        let (sender, receiver) = bounded(1);
        self.send_to_engine(step(sender));
        let Ok(state) = receiver.recv_timeout(STATE_TIMEOUT) else {
            return Some(Event::Drain);
        };
        self.ended_unless_sent(|writer| writer.send_state(&state, payload, epoch))
    }

    /// Sends to the new process. If that fails it has ended.
    fn ended_unless_sent(
        &self,
        send: impl FnOnce(&FrameWriter) -> io::Result<()>,
    ) -> Option<Event> {
        match self.writer.as_ref().map(send) {
            Some(Ok(())) => None,
            _ => Some(Event::NewProcessEnded),
        }
    }

    /// Sends `Go`, after which the new process serves. If it does not arrive, the new process has ended.
    fn send_go(&mut self, epoch: u64) -> Option<Event> {
        self.shared.set_paused(true);
        self.shared.epoch.store(epoch, Ordering::SeqCst);
        let writer = self.writer.clone()?;
        let has_ended = writer.send(Payload::Go(Go { epoch })).is_err();
        if failpoint::is_active(Failpoint::Fence) {
            self.send_to_engine(HotRestartStep::Thaw);
            return None;
        }
        self.send_to_engine(HotRestartStep::Commit(Box::new(NewProcessLink(writer))));
        if let Some(previous) = &self.shared.control.previous_process {
            // It may have ended, and is not needed any more.
            let _ = previous.send(Payload::Release(Release {}));
        }
        has_ended.then_some(Event::NewProcessEnded)
    }

    fn kill_new_process(&mut self) {
        // Both fail only for a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(writer) = self.writer.take() {
            writer.shut_down();
        }
    }

    fn report(&self, result: Result<(), HandOverError>) {
        if let Err(error) = &result {
            let log = &self.shared.control.log.lines;
            slog::error!(log, "hot restart: failed, this process continues"; "error" => %error);
        }
        let result = result.map(|()| self.child.id()).map_err(|e| e.to_string());
        send_outcome(self.requester, result);
    }
}
