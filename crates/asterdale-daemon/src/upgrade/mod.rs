//! Upgrade under load, on sockets: the control socket, the side that gives its work away, and the side that takes
//! it. What is done when is decided by `asterdale_hot_restart`.

mod port;
mod wire;

use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_engine::log::{error_chain, Log};
use asterdale_engine::message::{Connection, EngineMessage};
use asterdale_engine::state_transfer::{check_state, HotRestartStep, Mirror};
use asterdale_hot_restart::giver::{self, Giver};
use asterdale_hot_restart::message::frame::What;
use asterdale_hot_restart::message::{
    self, Adopted, Go, Loaded, Offer, Outcome, Phase, Probed, Refuse, Upgrade,
};
use asterdale_hot_restart::taker::{self, Taker};
use asterdale_identity::failpoint::{self, Failpoint};
use crossbeam_channel::{bounded, Receiver, Sender};

use port::{from_after, from_before, hello, mirror_frame, Remote, Successor};
pub use wire::FrameWriter;
use wire::{open, place, same_user, FrameReader};

/// Names the control socket to a process that is started to take over.
const CONTROL: &str = "ASTERDALE_HANDOVER";
/// And what proves that it is the one.
const NONCE: &str = "ASTERDALE_HANDOVER_NONCE";
/// How often the control socket is looked at, and a process that has not spoken.
const LOOK: Duration = Duration::from_millis(20);
/// Whoever connects to the control socket says what he wants within this.
const PATIENCE: Duration = Duration::from_secs(2);
/// No host takes longer to make its state: proof of commands, and the writing.
const STATE: Duration = Duration::from_secs(3);

/// Binds the control socket. Its folder must be this user's and closed to others; what is left of a process that
/// is gone is removed, one that is there is not.
pub fn bind_control_socket(path: &Path) -> Result<UnixListener, String> {
    let told = |what: &str| format!("upgrade.control: {}: {what}", path.display());
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let about = fs::metadata(folder).map_err(|e| told(&e.to_string()))?;
    if about.uid() != rustix::process::geteuid().as_raw() || about.permissions().mode() & 0o077 != 0
    {
        return Err(told(
            "its folder must belong to this user, and be closed to all others (mode 0700)",
        ));
    }
    match UnixStream::connect(path) {
        Ok(_) => return Err(told("another process holds it")),
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => drop(fs::remove_file(path)),
        Err(_) => {}
    }
    UnixListener::bind(path).map_err(|e| told(&e.to_string()))
}

/// What a process that took over got of the one before.
pub struct Inherited {
    /// The listeners, with where they listen.
    pub listeners: Vec<TcpListener>,
    /// The control socket.
    pub control: UnixListener,
    /// The state.
    pub state: Vec<u8>,
    /// The epoch that it serves in.
    pub epoch: u64,
    line: FrameWriter,
    hearing: FrameReader,
    guarded: bool,
}

impl Inherited {
    /// The listener for this address, if one passed.
    pub fn take_listener(&mut self, at: std::net::SocketAddr) -> Option<TcpListener> {
        let n = self
            .listeners
            .iter()
            .position(|listener| place(listener) == at.to_string())?;
        Some(self.listeners.swap_remove(n))
    }

    /// A way back over a connection of the process before.
    pub fn remote_connections(&self) -> impl Fn(u64) -> Arc<dyn Connection> + '_ {
        |connection| {
            Arc::new(Remote {
                connection,
                line: self.line.clone(),
            })
        }
    }

    /// Where the guardian is told what it must know.
    pub fn mirror_to_old_process(&self) -> Option<Mirror> {
        let line = self.line.clone();
        let mirror = move |what| drop(line.send(What::Mirror(mirror_frame(what))));
        self.guarded.then(|| Box::new(mirror) as Mirror)
    }

    /// To the guardian.
    pub fn old_process(&self) -> FrameWriter {
        self.line.clone()
    }

    /// Hears what comes over connections of the process before, until it ends.
    pub fn relay_from_old_process(mut self, host: &Sender<EngineMessage>, stages: usize) {
        let _ = self.hearing.within(None);
        while let Ok(Some(what)) = self.hearing.next() {
            let mail = match what {
                What::Release(_) => Some(EngineMessage::HotRestart(HotRestartStep::GuardEnded)),
                what => from_before(what, &self.line, stages),
            };
            if mail.is_some_and(|mail| host.send(mail).is_err()) {
                return;
            }
        }
        let _ = host.send(EngineMessage::HotRestart(HotRestartStep::GuardEnded));
    }
}

/// Takes over, if this process was started for that. `Err` with why it can't: then it must end.
pub fn inherit(stages: usize, descriptors: usize) -> Result<Option<Inherited>, String> {
    let (Some(control), Ok(nonce)) = (std::env::var_os(CONTROL), std::env::var(NONCE)) else {
        return Ok(None);
    };
    let told = |e: io::Error| format!("upgrade: the process before: {e}");
    let (line, mut hearing) = open(UnixStream::connect(control).map_err(told)?).map_err(told)?;
    line.send(hello(nonce.into_bytes())).map_err(told)?;
    let began = Instant::now();
    let mut machine = Taker::new(0.0);
    let (mut listeners, mut state, mut sockets) = (Vec::new(), Vec::new(), None);
    let mut epoch = 0;
    loop {
        hearing
            .within(Some(Duration::from_millis(500)))
            .map_err(told)?;
        let event = match hearing.next() {
            Ok(Some(What::Offer(offer))) => {
                let mut descriptors = std::mem::take(&mut hearing.descriptors);
                if descriptors.len() != offer.listeners.len() + 1 {
                    return Err("upgrade: descriptors are missing".to_owned());
                }
                sockets = descriptors.pop().map(UnixListener::from);
                listeners = descriptors.into_iter().map(TcpListener::from).collect();
                taker::Event::Offered
            }
            Ok(Some(What::Trial(part) | What::State(part)))
                if state.len() + part.part.len() > asterdale_hot_restart::frame::MOST_STATE =>
            {
                taker::Event::Trial(Err(format!("a state over {} bytes", state.len())))
            }
            Ok(Some(What::Trial(part))) => {
                state.extend(part.part);
                if !part.last {
                    continue;
                }
                let checked =
                    check_state(&std::mem::take(&mut state), stages).map_err(|e| error_chain(&e));
                taker::Event::Trial(checked.and_then(|()| enough(descriptors)))
            }
            Ok(Some(What::State(part))) => {
                state.extend(part.part);
                if !part.last {
                    continue;
                }
                epoch = part.epoch;
                let checked = check_state(&state, stages).map_err(|e| error_chain(&e));
                taker::Event::State(epoch, checked)
            }
            Ok(Some(What::Go(go))) => taker::Event::Go(go.epoch),
            Ok(Some(_)) => continue,
            Ok(None) => taker::Event::Ended,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                taker::Event::Tick
            }
            Err(_) => taker::Event::Ended,
        };
        let mut guarded = true;
        let mut own = false;
        for action in machine.on(began.elapsed().as_secs_f64() * 1e3, event) {
            match action {
                taker::Action::Adopted => line.send(What::Adopted(Adopted {})).map_err(told)?,
                taker::Action::Probed => line.send(What::Probed(Probed {})).map_err(told)?,
                // Should the other have ended meanwhile, that is heard next.
                taker::Action::Loaded(epoch) => drop(line.send(What::Loaded(Loaded { epoch }))),
                taker::Action::Own => own = true,
                taker::Action::Alone => guarded = false,
                taker::Action::Refuse(why) => {
                    let _ = line.send(What::Refuse(Refuse { why: why.clone() }));
                    return Err(format!("upgrade: {why}"));
                }
            }
        }
        if own {
            let control = sockets.take().ok_or("upgrade: no control socket")?;
            return Ok(Some(Inherited {
                listeners,
                control,
                state,
                epoch,
                line,
                hearing,
                guarded,
            }));
        }
    }
}

/// Whether this process may hold as many descriptors as its start file says. One that may not would find out once
/// it has the work, and accept nothing.
fn enough(descriptors: usize) -> Result<(), String> {
    match rustix::process::getrlimit(rustix::process::Resource::Nofile).current {
        Some(most) if most < descriptors as u64 => Err(format!(
            "{most} descriptors are allowed, limits.sockets wants {descriptors}"
        )),
        _ => Ok(()),
    }
}

type Greeting = (FrameWriter, FrameReader, message::Hello);

/// The control socket's actor, and what a process needs to give its work away.
pub struct ControlServer {
    /// Its path.
    pub path: PathBuf,
    /// The socket.
    pub socket: UnixListener,
    /// What passes: the listeners.
    pub listeners: Vec<TcpListener>,
    /// The epoch that this process serves in.
    pub epoch: u64,
    /// To the process that guards this one.
    pub previous_process: Option<FrameWriter>,
    /// The host.
    pub engine: Sender<EngineMessage>,
    /// Has lines.
    pub log: Log,
}

struct Shared {
    control: ControlServer,
    epoch: AtomicU64,
    busy: AtomicBool,
    aside: AtomicBool,
    greeting: Mutex<Option<Sender<Greeting>>>,
}

impl ControlServer {
    /// Serves whoever connects, for the life of the process.
    pub fn serve(self) {
        let epoch = AtomicU64::new(self.epoch);
        let _ = self.socket.set_nonblocking(true);
        let shared = Arc::new(Shared {
            control: self,
            epoch,
            busy: false.into(),
            aside: false.into(),
            greeting: Mutex::default(),
        });
        loop {
            if shared.aside.load(Ordering::SeqCst) {
                thread::sleep(LOOK);
                continue;
            }
            match shared.control.socket.accept() {
                Ok((stream, _)) => {
                    let shared = shared.clone();
                    let greeter = thread::Builder::new().name("greeter".to_owned());
                    // Where the system gives no thread, whoever asked sees the connection end.
                    let log = shared.control.log.clone();
                    if let Err(e) = greeter.spawn(move || shared.greet(stream)) {
                        slog::error!(log.lines, "upgrade: a connection ends"; "why" => %e);
                    }
                }
                Err(_) => thread::sleep(LOOK),
            }
        }
    }
}

/// Tells whoever asked which process serves from now on, or why nothing has changed.
fn outcome(line: &FrameWriter, done: Result<u32, String>) {
    let process = done.as_ref().copied().unwrap_or(0);
    let (done, why) = (done.is_ok(), done.err().unwrap_or_default());
    let _ = line.send(What::Outcome(Outcome { done, why, process }));
}

impl Shared {
    fn greet(self: Arc<Shared>, stream: UnixStream) {
        let lines = &self.control.log.lines;
        if !same_user(&stream) {
            return slog::warn!(lines, "upgrade: another user spoke to the control socket");
        }
        let _ = stream.set_nonblocking(false);
        let Ok((line, mut hearing)) = open(stream) else {
            return;
        };
        let _ = hearing.within(Some(PATIENCE));
        match hearing.next() {
            Ok(Some(What::Hello(hello))) => {
                let greeting = self
                    .greeting
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .take();
                if let Some(greeting) = greeting {
                    let _ = greeting.send((line, hearing, hello));
                }
            }
            Ok(Some(What::Upgrade(Upgrade { program }))) => {
                if self.busy.swap(true, Ordering::SeqCst) {
                    return outcome(&line, Err("an upgrade is under way".to_owned()));
                }
                self.give(&program, &line);
                self.busy.store(false, Ordering::SeqCst);
            }
            _ => {}
        }
    }

    fn start(&self, program: &str, nonce: &str) -> Result<Child, String> {
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        // A binary that was replaced on disk is still this path.
        let own = PathBuf::from(own.to_string_lossy().trim_end_matches(" (deleted)"));
        let program = if program.is_empty() {
            own
        } else {
            program.into()
        };
        Command::new(&program)
            .args(std::env::args_os().skip(1))
            .env(CONTROL, &self.control.path)
            .env(NONCE, nonce)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))
    }

    /// Gives the work away, and guards whoever has it until that is not needed any more.
    fn give(&self, program: &str, asker: &FrameWriter) {
        let lines = &self.control.log.lines;
        let mut nonce = [0; 16];
        if getrandom::fill(&mut nonce).is_err() {
            return outcome(asker, Err("no random bytes".to_owned()));
        }
        let nonce: String = nonce.iter().map(|byte| format!("{byte:02x}")).collect();
        let (greet, greeted) = bounded(1);
        *self.greeting.lock().unwrap_or_else(PoisonError::into_inner) = Some(greet);
        let child = match self.start(program, &nonce) {
            Ok(child) => child,
            Err(why) => {
                slog::error!(lines, "upgrade: the new process can't be started"; "why" => &why);
                return outcome(asker, Err(why));
            }
        };
        let began = Instant::now();
        let machine = Giver::new(
            0.0,
            self.epoch.load(Ordering::SeqCst),
            asterdale::snapshot::FORMAT_VERSION,
        );
        let mut giving = Giving {
            shared: self,
            machine,
            child,
            asker,
            nonce,
            began,
            line: None,
            hearing: None,
        };
        giving.run(&greeted);
        self.greeting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }
}

/// One handover, on the side that gives.
struct Giving<'a> {
    shared: &'a Shared,
    machine: Giver,
    child: Child,
    asker: &'a FrameWriter,
    nonce: String,
    began: Instant,
    line: Option<FrameWriter>,
    hearing: Option<FrameReader>,
}

impl Giving<'_> {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    fn run(&mut self, greeted: &Receiver<Greeting>) {
        while self.machine.step() != giver::Step::Serving {
            let event = match self.hear(greeted) {
                Some(event) => event,
                None => continue,
            };
            // Answers for connections that are still here come until the other has ended, or this process has.
            if self.machine.step() == giver::Step::Gone && event == giver::Event::Ended {
                return;
            }
            let now = self.now();
            let mut next = vec![event];
            while let Some(event) = next.pop() {
                let before = self.machine.step();
                for action in self.machine.on(now, event.clone()) {
                    next.extend(self.act(action));
                }
                let step = self.machine.step();
                if step != before {
                    let text = format!("{step:?}").to_lowercase();
                    slog::info!(self.shared.control.log.lines, "upgrade: {}", text; "after_ms" => self.now());
                    let _ = self.asker.send(What::Phase(Phase { text }));
                }
            }
        }
    }

    /// What happens next; `None` for nothing yet.
    fn hear(&mut self, greeted: &Receiver<Greeting>) -> Option<giver::Event> {
        let Some(hearing) = &mut self.hearing else {
            return Some(match greeted.recv_timeout(LOOK) {
                Ok((line, hearing, hello)) => {
                    let known = hello.nonce == self.nonce.as_bytes();
                    (self.line, self.hearing) = (Some(line), Some(hearing));
                    giver::Event::Hello {
                        version: hello.version,
                        shape: hello.shape,
                        known,
                    }
                }
                Err(_) if matches!(self.child.try_wait(), Ok(Some(_))) => giver::Event::Ended,
                Err(_) => giver::Event::Tick,
            });
        };
        let now = self.began.elapsed().as_secs_f64() * 1e3;
        let wait = self
            .machine
            .wake()
            .map(|by| Duration::from_secs_f64(((by - now) / 1e3).max(0.001)));
        if hearing.within(wait).is_err() {
            return Some(giver::Event::Ended);
        }
        match hearing.next() {
            Ok(Some(What::Adopted(_))) => Some(giver::Event::Adopted),
            Ok(Some(What::Probed(_))) => Some(giver::Event::Probed),
            Ok(Some(What::Loaded(loaded))) => Some(giver::Event::Loaded(loaded.epoch)),
            Ok(Some(What::Refuse(refuse))) => Some(giver::Event::Refused(refuse.why)),
            Ok(Some(What::Release(_))) => Some(giver::Event::Released),
            Ok(Some(what)) => {
                if let Some(step) = from_after(what) {
                    let _ = self
                        .shared
                        .control
                        .engine
                        .send(EngineMessage::HotRestart(step));
                }
                None
            }
            Ok(None) => Some(giver::Event::Ended),
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Some(giver::Event::Tick)
            }
            Err(_) => Some(giver::Event::Ended),
        }
    }

    /// Does one thing; what happens by it.
    fn act(&mut self, action: giver::Action) -> Option<giver::Event> {
        let control = &self.shared.control;
        let sent = |sent: Option<io::Result<()>>| match sent {
            Some(Ok(())) => None,
            _ => Some(giver::Event::Ended),
        };
        let state = |step: fn(Sender<Vec<u8>>) -> HotRestartStep| {
            let (to, state) = bounded(1);
            control
                .engine
                .send(EngineMessage::HotRestart(step(to)))
                .ok()?;
            state.recv_timeout(STATE).ok()
        };
        match action {
            giver::Action::Offer => {
                let listeners = control.listeners.iter().map(place).collect();
                let offer = What::Offer(Offer {
                    epoch: self.shared.epoch.load(Ordering::SeqCst),
                    listeners,
                });
                let mut descriptors: Vec<BorrowedFd<'_>> =
                    control.listeners.iter().map(AsFd::as_fd).collect();
                descriptors.push(control.socket.as_fd());
                if failpoint::is_active(Failpoint::Listener) {
                    let both = rustix::net::Shutdown::Both;
                    for listener in &control.listeners {
                        let _ = rustix::net::shutdown(listener, both);
                    }
                }
                sent(
                    self.line
                        .as_ref()
                        .map(|line| line.send_with(offer, &descriptors)),
                )
            }
            giver::Action::Try => match state(HotRestartStep::Rehearse) {
                Some(state) => sent(
                    self.line
                        .as_ref()
                        .map(|line| line.send_state(&state, What::Trial, 0)),
                ),
                None => Some(giver::Event::Leave),
            },
            giver::Action::Freeze(epoch) => match state(HotRestartStep::Freeze) {
                Some(state) => sent(
                    self.line
                        .as_ref()
                        .map(|line| line.send_state(&state, What::State, epoch)),
                ),
                None => Some(giver::Event::Leave),
            },
            giver::Action::Go(epoch) => {
                self.shared.aside.store(true, Ordering::SeqCst);
                self.shared.epoch.store(epoch, Ordering::SeqCst);
                let line = self.line.clone()?;
                // It can't be taken back from here on. If it does not arrive, the other has ended.
                let gone = line.send(What::Go(Go { epoch })).is_err();
                if failpoint::is_active(Failpoint::Fence) {
                    let _ = control
                        .engine
                        .send(EngineMessage::HotRestart(HotRestartStep::Thaw));
                    return None;
                }
                let _ = control
                    .engine
                    .send(EngineMessage::HotRestart(HotRestartStep::Commit(Box::new(
                        Successor(line),
                    ))));
                if let Some(guardian) = &control.previous_process {
                    let _ = guardian.send(What::Release(message::Release {}));
                }
                gone.then_some(giver::Event::Ended)
            }
            giver::Action::Kill => {
                let _ = self.child.kill();
                let _ = self.child.wait();
                if let Some(line) = self.line.take() {
                    line.end();
                }
                None
            }
            giver::Action::Thaw => {
                let _ = control
                    .engine
                    .send(EngineMessage::HotRestart(HotRestartStep::Thaw));
                None
            }
            giver::Action::Resume => {
                self.shared.aside.store(false, Ordering::SeqCst);
                self.shared.epoch.fetch_add(1, Ordering::SeqCst);
                let _ = control
                    .engine
                    .send(EngineMessage::HotRestart(HotRestartStep::Resume));
                None
            }
            giver::Action::Exit => {
                let _ = control
                    .engine
                    .send(EngineMessage::HotRestart(HotRestartStep::Exit));
                None
            }
            giver::Action::Tell(done) => {
                if let Err(why) = &done {
                    slog::error!(control.log.lines, "upgrade: this process carries on"; "why" => why);
                }
                outcome(self.asker, done.map(|()| self.child.id()));
                None
            }
        }
    }
}

/// Asks the process behind this control socket to hand over, and tells how far it is; for the command line and for
/// the signal. The number of the process that serves from then on.
pub fn request_upgrade(
    control: &Path,
    program: &str,
    mut told: impl FnMut(&str),
) -> Result<u32, String> {
    let at = |e: io::Error| format!("{}: {e}", control.display());
    let (line, mut hearing) = open(UnixStream::connect(control).map_err(at)?).map_err(at)?;
    line.send(What::Upgrade(Upgrade {
        program: program.to_owned(),
    }))
    .map_err(at)?;
    hearing.within(Some(Duration::from_secs(60))).map_err(at)?;
    loop {
        match hearing.next().map_err(at)? {
            Some(What::Phase(phase)) => told(&phase.text),
            Some(What::Outcome(outcome)) if outcome.done => return Ok(outcome.process),
            Some(What::Outcome(outcome)) => {
                return Err(format!("the old process carries on: {}", outcome.why))
            }
            Some(_) => {}
            None => return Err("the serving process ended".to_owned()),
        }
    }
}

#[cfg(test)]
mod stored;
