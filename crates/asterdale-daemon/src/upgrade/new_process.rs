//! The new process's side of a hot restart: takes over from the process that started it, and relays what still arrives
//! over that process's connections.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::log::error_chain;
use asterdale_engine::message::{Connection, EngineMessage};
use asterdale_engine::state_transfer::{check_state, HotRestartStep, Mirror};
use asterdale_hot_restart::frame::MAX_STATE_BYTES;
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{
    Hello, Listeners, ListenersAdopted, Refuse, StateChunk, StateLoaded, TrialStateLoaded,
};
use asterdale_hot_restart::new_process::{Action, Event, NewProcess, TakeOverError, UnusableState};
use crossbeam_channel::Sender;
use thiserror::Error;

use super::channel::{is_timeout, listener_address, open_channel, FrameReader, FrameWriter};
use super::mirror::mirror_frame;
use super::relay::{engine_message, RemoteConnection};
use super::{CONTROL_VARIABLE, NONCE_VARIABLE};

/// The time between two ticks of the state machine while nothing arrives: short compared with its timeouts of seconds.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// This process was started to take over but can't, so it must exit.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The connection to the old process failed.
    #[error("upgrade: connection to the old process: {0}")]
    Connection(#[from] io::Error),
    /// Not all descriptors arrived, because the descriptor limit of this process is too low.
    #[error("upgrade: descriptors are missing")]
    MissingDescriptors,
    /// The control socket did not arrive.
    #[error("upgrade: no control socket")]
    MissingControlSocket,
    /// The state machine refused to take over.
    #[error("upgrade: {0}")]
    Refused(#[from] TakeOverError),
}

/// What a process that takes over has received from the old one.
pub struct Inherited {
    /// The control socket.
    pub control: UnixListener,
    /// The engine's state.
    pub state: Vec<u8>,
    /// The epoch that this process serves in.
    pub epoch: u64,
    listeners: Vec<TcpListener>,
    writer: FrameWriter,
    reader: FrameReader,
    /// Whether the old process is on standby.
    has_standby: bool,
}

impl Inherited {
    /// Removes and returns the listener of this address, if there is one.
    pub fn take_listener(&mut self, address: SocketAddr) -> Option<TcpListener> {
        let address = address.to_string();
        let index = self
            .listeners
            .iter()
            .position(|listener| listener_address(listener) == address)?;
        Some(self.listeners.swap_remove(index))
    }

    /// Returns a function from the number of a connection of the old process to a [`Connection`] that relays replies to
    /// it.
    pub fn remote_connections(&self) -> impl Fn(u64) -> Arc<dyn Connection> + '_ {
        |connection| {
            Arc::new(RemoteConnection {
                connection,
                writer: self.writer.clone(),
            })
        }
    }

    /// Returns a function that mirrors events to the old process; `None` if the old process is not on standby.
    pub fn mirror_to_old_process(&self) -> Option<Mirror> {
        let writer = self.writer.clone();
        // Errors are ignored: an old process that has ended needs no events.
        let mirror = move |event| drop(writer.send(Payload::Mirror(mirror_frame(event))));
        self.has_standby.then(|| Box::new(mirror) as Mirror)
    }

    /// Returns the writer to the old process.
    pub fn old_process(&self) -> FrameWriter {
        self.writer.clone()
    }

    /// Relays the messages of the old process to the engine, until the old process ends.
    pub fn relay_from_old_process(mut self, engine: &Sender<EngineMessage>, class_count: usize) {
        // Fails only if the connection has ended, which the next read reports.
        let _ = self.reader.set_timeout(None);
        while let Ok(Some(payload)) = self.reader.read() {
            let message = match payload {
                Payload::Release(_) => Some(EngineMessage::HotRestart(HotRestartStep::StopMirror)),
                payload => engine_message(payload, &self.writer, class_count),
            };
            if message.is_some_and(|message| engine.send(message).is_err()) {
                return;
            }
        }
        // Fails only if the engine has ended, which also ends this process.
        let _ = engine.send(EngineMessage::HotRestart(HotRestartStep::StopMirror));
    }
}

/// Takes over from the old process; `None` if this process was not started for that. `class_count` is the number of
/// request classes, `max_descriptors` the number of descriptors that this process needs.
///
/// # Errors
/// If this process can't take over. It must exit then.
pub fn inherit(
    class_count: usize,
    max_descriptors: usize,
) -> Result<Option<Inherited>, InheritError> {
    let (Some(control), Ok(nonce)) = (
        std::env::var_os(CONTROL_VARIABLE),
        std::env::var(NONCE_VARIABLE),
    ) else {
        return Ok(None);
    };
    let take_over = TakeOver::connect(control.into(), nonce, class_count, max_descriptors)?;
    take_over.run().map(Some)
}

/// The first message of a new process.
pub fn hello(nonce: Vec<u8>) -> Payload {
    Payload::Hello(Hello {
        version: asterdale_hot_restart::VERSION,
        state_format: asterdale::snapshot::FORMAT_VERSION,
        nonce,
    })
}

/// A hot restart under way, in the new process.
struct TakeOver {
    class_count: usize,
    max_descriptors: usize,
    machine: NewProcess,
    started_at: Instant,
    writer: FrameWriter,
    reader: FrameReader,
    listeners: Vec<TcpListener>,
    control: Option<UnixListener>,
    /// The part of a state that has arrived so far.
    state: Vec<u8>,
}

impl TakeOver {
    /// Connects to the old process and says hello.
    fn connect(
        control: PathBuf,
        nonce: String,
        class_count: usize,
        max_descriptors: usize,
    ) -> io::Result<TakeOver> {
        let (writer, reader) = open_channel(UnixStream::connect(control)?)?;
        writer.send(hello(nonce.into_bytes()))?;
        Ok(TakeOver {
            class_count,
            max_descriptors,
            machine: NewProcess::new(0.0),
            started_at: Instant::now(),
            writer,
            reader,
            listeners: Vec::new(),
            control: None,
            state: Vec::new(),
        })
    }

    /// Runs the state machine until this process serves.
    fn run(mut self) -> Result<Inherited, InheritError> {
        loop {
            self.reader.set_timeout(Some(TICK_INTERVAL))?;
            let Some(event) = self.next_event()? else {
                continue;
            };
            let now_ms = self.started_at.elapsed().as_secs_f64() * 1e3;
            let (mut has_taken_over, mut has_standby) = (false, true);
            for action in self.machine.handle(now_ms, event) {
                match action {
                    Action::TakeOver => has_taken_over = true,
                    Action::ServeAlone => has_standby = false,
                    action => self.answer(action)?,
                }
            }
            if has_taken_over {
                return self.finish(has_standby);
            }
        }
    }

    /// Sends the answer that an action requires.
    fn answer(&self, action: Action) -> Result<(), InheritError> {
        match action {
            Action::ConfirmListeners => self
                .writer
                .send(Payload::ListenersAdopted(ListenersAdopted {}))?,
            Action::ConfirmTrialState => self
                .writer
                .send(Payload::TrialStateLoaded(TrialStateLoaded {}))?,
            // If the old process has ended, the next event reports it.
            Action::ConfirmState(epoch) => drop(
                self.writer
                    .send(Payload::StateLoaded(StateLoaded { epoch })),
            ),
            Action::Refuse(error) => {
                let reason = error.to_string();
                // The old process may have ended; this one exits in any case.
                let _ = self.writer.send(Payload::Refuse(Refuse { reason }));
                return Err(error.into());
            }
            Action::TakeOver | Action::ServeAlone => {}
        }
        Ok(())
    }

    fn finish(self, has_standby: bool) -> Result<Inherited, InheritError> {
        Ok(Inherited {
            control: self.control.ok_or(InheritError::MissingControlSocket)?,
            epoch: self.machine.epoch(),
            state: self.state,
            listeners: self.listeners,
            writer: self.writer,
            reader: self.reader,
            has_standby,
        })
    }

    /// Waits for the next event; `None` if only a part of a state or a message of another kind arrived.
    fn next_event(&mut self) -> Result<Option<Event>, InheritError> {
        let event = match self.reader.read() {
            Ok(Some(Payload::Listeners(listeners))) => self.adopt_listeners(&listeners)?,
            Ok(Some(Payload::TrialState(chunk) | Payload::State(chunk)))
                if self.state.len() + chunk.bytes.len() > MAX_STATE_BYTES =>
            {
                let reason = format!("the state is larger than {} bytes", self.state.len());
                Event::TrialState(Err(UnusableState(reason)))
            }
            Ok(Some(Payload::TrialState(chunk))) => return Ok(self.add_trial_state(chunk)),
            Ok(Some(Payload::State(chunk))) => return Ok(self.add_state(chunk)),
            Ok(Some(Payload::Go(go))) => Event::Go(go.epoch),
            Ok(Some(_)) => return Ok(None),
            Err(e) if is_timeout(&e) => Event::Tick,
            Ok(None) | Err(_) => Event::OldProcessEnded,
        };
        Ok(Some(event))
    }

    /// Takes the descriptors: those of the listeners, then that of the control socket.
    fn adopt_listeners(&mut self, listeners: &Listeners) -> Result<Event, InheritError> {
        let mut descriptors = std::mem::take(&mut self.reader.descriptors);
        if descriptors.len() != listeners.addresses.len() + 1 {
            return Err(InheritError::MissingDescriptors);
        }
        self.control = descriptors.pop().map(UnixListener::from);
        self.listeners = descriptors.into_iter().map(TcpListener::from).collect();
        Ok(Event::Listeners)
    }

    fn add_trial_state(&mut self, chunk: StateChunk) -> Option<Event> {
        self.state.extend(chunk.bytes);
        if !chunk.is_last {
            return None;
        }
        let state = std::mem::take(&mut self.state);
        let check_result = check_state(&state, self.class_count)
            .map_err(|e| UnusableState(error_chain(&e)))
            .and_then(|()| check_descriptor_limit(self.max_descriptors));
        Some(Event::TrialState(check_result))
    }

    fn add_state(&mut self, chunk: StateChunk) -> Option<Event> {
        self.state.extend(chunk.bytes);
        if !chunk.is_last {
            return None;
        }
        let check_result =
            check_state(&self.state, self.class_count).map_err(|e| UnusableState(error_chain(&e)));
        Some(Event::State(chunk.epoch, check_result))
    }
}

/// Checks that this process may open as many descriptors as its start file requires. Otherwise it would reach the limit
/// only when it already serves, and could not accept connections.
fn check_descriptor_limit(max_descriptors: usize) -> Result<(), UnusableState> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(limit) if limit < max_descriptors as u64 => Err(UnusableState(format!(
            "{limit} descriptors are allowed, limits.sockets requires {max_descriptors}"
        ))),
        _ => Ok(()),
    }
}
