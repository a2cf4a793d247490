//! The runtime's actor: keeps the link to the runtime, and passes its lines to the engine and commands to it.

pub mod protocol;

use std::io::{self, BufRead, BufReader, IoSlice, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};

use crate::counters::Counters;
use crate::log::{error_chain, Log, LogLimit};
use crate::message::{EngineMessage, RuntimeLinkCommand};
use crate::vectored_write;

/// Command lines that wait to be written. A runtime that leaves this many unread is taken for dead.
const MAX_QUEUED_LINES: usize = 4096;
/// Command lines that are written in one call.
const MAX_BATCH_LINES: usize = 128;
/// The longest line, in bytes: results have 4 KiB before their encoding.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// The buffer of a link's reader, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The stack of the writer's thread, in bytes: it calls little.
const WRITER_STACK_BYTES: usize = 64 * 1024;
/// The pause after a link that could not be made, or that did not last.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// A malformed line on a link that is younger than this answers what every link sends at its start: it is skipped. A
/// link that lasted longer is made again without a pause.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// The timeout of connecting and of each write.
const IO_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("connecting failed")]
    Connect(#[source] io::Error),
    #[error("reading failed")]
    Read(#[source] io::Error),
    #[error("the runtime closed the link")]
    Closed,
    #[error("a line is malformed")]
    MalformedLine,
}

/// The engine is gone, and this actor ends.
struct EngineGone;

/// The actor.
struct LinkActor<'a> {
    address: SocketAddr,
    /// Another process holds the link; to make one would take it away.
    is_paused: bool,
    commands: &'a Receiver<RuntimeLinkCommand>,
    engine: &'a Sender<EngineMessage>,
    counters: &'a Counters,
    log: &'a Log,
    writer: Sender<WriterJob>,
}

/// One link's commands, for the writer.
struct WriterJob {
    stream: Arc<TcpStream>,
    lines: Receiver<String>,
    /// Dropped when the writer is done with the link.
    done: Sender<()>,
}

/// Keeps a link to this address, or the one commanded last, until the engine is gone.
pub fn run(
    address: SocketAddr,
    commands: &Receiver<RuntimeLinkCommand>,
    engine: &Sender<EngineMessage>,
    counters: &Arc<Counters>,
    log: &Log,
) {
    let actor = LinkActor {
        address,
        is_paused: false,
        commands,
        engine,
        counters,
        log,
        writer: spawn_writer(counters, log),
    };
    // The engine's end is this actor's: there is nothing to report.
    let Err(EngineGone) = actor.keep_link();
}

impl LinkActor<'_> {
    fn keep_link(mut self) -> Result<std::convert::Infallible, EngineGone> {
        static FAILED: LogLimit = LogLimit::new();
        let mut is_reported = false;
        loop {
            for command in self.commands.try_iter() {
                self.obey(command);
            }
            while self.is_paused {
                let command = self.commands.recv().map_err(|_| EngineGone)?;
                self.obey(command);
            }
            let (error, is_settled) = match TcpStream::connect_timeout(&self.address, IO_TIMEOUT) {
                Ok(stream) => {
                    is_reported = false;
                    self.serve(&Arc::new(stream))?
                }
                Err(e) => (LinkError::Connect(e), false),
            };
            if !is_reported && self.log.allows(&FAILED) {
                slog::warn!(self.log.lines, "runtime: link failed"; "error" => error_chain(&error));
                is_reported = true;
            }
            if !is_settled {
                // A command ends the pause: it is a new address, mostly.
                if let Ok(command) = self.commands.recv_timeout(RECONNECT_PAUSE) {
                    self.obey(command);
                }
            }
        }
    }

    fn obey(&mut self, command: RuntimeLinkCommand) {
        match command {
            RuntimeLinkCommand::SetAddress(address) => self.address = address,
            RuntimeLinkCommand::SetPaused(is_paused) => self.is_paused = is_paused,
        }
    }

    /// Serves one link until it ends; why it did, and whether it had lasted.
    fn serve(&self, stream: &Arc<TcpStream>) -> Result<(LinkError, bool), EngineGone> {
        static CONNECTED: LogLimit = LogLimit::new();
        self.counters.links.add();
        if self.log.allows(&CONNECTED) {
            slog::info!(self.log.lines, "runtime: link established");
        }
        let start = Instant::now();
        // Without either option the link works, but slower, or ends later.
        let _ = stream.set_nodelay(true);
        // A runtime that reads nothing fills the socket: the writer must not wait for ever, or the link never ends.
        let _ = stream.set_write_timeout(Some(IO_TIMEOUT));
        let (to_writer, lines) = bounded(MAX_QUEUED_LINES);
        let (done, writer_done) = bounded(0);
        self.tell_engine(EngineMessage::RuntimeConnected(to_writer))?;
        let job = WriterJob {
            stream: stream.clone(),
            lines,
            done,
        };
        self.writer.send(job).map_err(|_| EngineGone)?;
        let error = self.read_lines(stream)?;
        // Fails where the writer or the peer has shut it down.
        let _ = stream.shutdown(Shutdown::Both);
        // The engine drops its end of the commands, and with that the writer is done with this link.
        self.tell_engine(EngineMessage::RuntimeDisconnected)?;
        // Nothing is ever sent: this returns when the writer drops its end.
        let _ = writer_done.recv();
        Ok((error, start.elapsed() >= SETTLED_AFTER))
    }

    fn read_lines(&self, stream: &TcpStream) -> Result<LinkError, EngineGone> {
        let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        let (mut line, start) = (Vec::new(), Instant::now());
        loop {
            line.clear();
            let mut limited = (&mut reader).take(MAX_LINE_BYTES);
            match limited.read_until(b'\n', &mut line) {
                Ok(0) => return Ok(LinkError::Closed),
                Ok(_) => {}
                Err(e) => return Ok(LinkError::Read(e)),
            }
            if let Some(notice) = protocol::parse(&line) {
                self.tell_engine(EngineMessage::RuntimeNotice(notice))?;
                continue;
            }
            self.counters.runtime_lines_malformed.add();
            if start.elapsed() >= SETTLED_AFTER || !line.ends_with(b"\n") {
                return Ok(LinkError::MalformedLine);
            }
        }
    }

    fn tell_engine(&self, message: EngineMessage) -> Result<(), EngineGone> {
        self.engine.send(message).map_err(|_| EngineGone)
    }
}

/// Starts the writer of all links, one after the other. It is there before the first link, so that no link can fail for
/// want of a thread; until the system grants one, there is no link. The thread ends when its sender is dropped.
fn spawn_writer(counters: &Counters, log: &Log) -> Sender<WriterJob> {
    static REFUSED: LogLimit = LogLimit::new();
    loop {
        let (to_writer, jobs) = bounded::<WriterJob>(1);
        let thread = thread::Builder::new()
            .name("runtime out".to_owned())
            .stack_size(WRITER_STACK_BYTES);
        let spawned = thread.spawn(move || {
            for job in jobs {
                write_lines(&job.stream, &job.lines);
                drop(job.done);
            }
        });
        match spawned {
            Ok(_) => return to_writer,
            Err(e) => {
                counters.threads_refused.add();
                if log.allows(&REFUSED) {
                    slog::error!(log.lines, "runtime: no thread for the writer"; "error" => %e);
                }
                thread::sleep(RECONNECT_PAUSE);
            }
        }
    }
}

/// Writes a link's commands until the engine drops their sender, or a write fails.
fn write_lines(stream: &TcpStream, lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        let mut batch = vec![first];
        batch.extend(lines.try_iter().take(MAX_BATCH_LINES - 1));
        let mut slices: Vec<IoSlice<'_>> = batch
            .iter()
            .map(|line| IoSlice::new(line.as_bytes()))
            .collect();
        if vectored_write::write(stream, &mut slices).is_err() {
            break;
        }
    }
    // Either side ends the link for both: the reader sees it here. It fails where the reader was first.
    let _ = stream.shutdown(Shutdown::Both);
}
