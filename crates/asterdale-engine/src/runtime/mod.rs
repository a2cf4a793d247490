//! The runtime's actor: maintains the link to the runtime, passes its notices to the engine, and the engine's commands
//! to it.

pub mod protocol;

use std::io::{self, BufRead, BufReader, IoSlice, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};

use crate::counters::Counters;
use crate::log::{error_chain, Log, LogLimit};
use crate::memory::ByteSemaphore;
use crate::message::{EngineMessage, QueuedCommand, RuntimeLinkCommand};
use crate::vectored_write;

/// The maximum number of command lines that are queued for writing. A runtime that leaves this many unread is
/// considered dead.
const MAX_QUEUED_LINES: usize = 4096;
/// The maximum number of command lines that are written in one call.
const MAX_BATCH_LINES: usize = 128;
/// The maximum length of a line, in bytes: results have 4 KiB before they are encoded.
const MAX_LINE_BYTES: u64 = 64 * 1024;
/// The size of the buffer of a link's reader, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The stack size of the writer thread, in bytes: its calls are not deeply nested.
const WRITER_STACK_BYTES: usize = 64 * 1024;
/// The delay before reconnecting after a failure to connect, or after a link that ended before `SETTLED_AFTER`.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// A malformed line on a link that is younger than this is skipped: it answers what is sent at the start of every link,
/// and would be received again on a new link. A link that has lasted longer is re-established without a delay when it
/// ends.
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
    #[error("the runtime sent a malformed line")]
    MalformedLine,
}

/// The engine has ended, and so this actor ends as well.
struct EngineEnded;

/// The actor.
struct LinkActor<'a> {
    address: SocketAddr,
    /// Another process holds the link; connecting would take it away from that process.
    is_paused: bool,
    commands: &'a Receiver<RuntimeLinkCommand>,
    engine: &'a Sender<EngineMessage>,
    received: &'a Arc<ByteSemaphore>,
    counters: &'a Counters,
    log: &'a Log,
    writer: Sender<WriterJob>,
}

/// The commands of one link, for the writer.
struct WriterJob {
    stream: Arc<TcpStream>,
    lines: Receiver<QueuedCommand>,
    /// Dropped when the writer is done with the link.
    done: Sender<()>,
}

/// Maintains a link to this address, or to the address set by the last command, until the engine has ended. Reading
/// pauses while the engine has not handled the bytes that `received` allows.
pub fn run(
    address: SocketAddr,
    commands: &Receiver<RuntimeLinkCommand>,
    engine: &Sender<EngineMessage>,
    received: &Arc<ByteSemaphore>,
    counters: &Arc<Counters>,
    log: &Log,
) {
    let actor = LinkActor {
        address,
        is_paused: false,
        commands,
        engine,
        received,
        counters,
        log,
        writer: spawn_writer(counters, log),
    };
    // The actor ends because the engine has ended: there is nothing to report.
    let Err(EngineEnded) = actor.keep_link();
}

impl LinkActor<'_> {
    fn keep_link(mut self) -> Result<std::convert::Infallible, EngineEnded> {
        static FAILED: LogLimit = LogLimit::new();
        let mut is_reported = false;
        loop {
            for command in self.commands.try_iter() {
                self.handle_command(command);
            }
            while self.is_paused {
                let command = self.commands.recv().map_err(|_| EngineEnded)?;
                self.handle_command(command);
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
                // A command ends the delay: it usually sets a new address.
                if let Ok(command) = self.commands.recv_timeout(RECONNECT_PAUSE) {
                    self.handle_command(command);
                }
            }
        }
    }

    fn handle_command(&mut self, command: RuntimeLinkCommand) {
        match command {
            RuntimeLinkCommand::SetAddress(address) => self.address = address,
            RuntimeLinkCommand::SetPaused(is_paused) => self.is_paused = is_paused,
        }
    }

    /// Serves one link until it ends. Returns why it ended, and whether it lasted for `SETTLED_AFTER`.
    fn serve(&self, stream: &Arc<TcpStream>) -> Result<(LinkError, bool), EngineEnded> {
        static CONNECTED: LogLimit = LogLimit::new();
        self.counters.links.add();
        if self.log.allows(&CONNECTED) {
            slog::info!(self.log.lines, "runtime: link established");
        }
        let start = Instant::now();
        // Best effort: without these options the link works, but is slower, or its end is detected later.
        let _ = stream.set_nodelay(true);
        // The socket's buffer fills up if the runtime reads nothing. Without a timeout the writer would then block
        // forever, and the link would never end.
        let _ = stream.set_write_timeout(Some(IO_TIMEOUT));
        let (to_writer, lines) = bounded(MAX_QUEUED_LINES);
        let (done, writer_done) = bounded(0);
        self.send_to_engine(EngineMessage::RuntimeConnected(to_writer))?;
        let job = WriterJob {
            stream: stream.clone(),
            lines,
            done,
        };
        self.writer.send(job).map_err(|_| EngineEnded)?;
        let error = self.read_lines(stream)?;
        // Fails if the writer or the peer has already shut it down.
        let _ = stream.shutdown(Shutdown::Both);
        // The engine then drops the sender of commands, after which the writer is done with this link.
        self.send_to_engine(EngineMessage::RuntimeDisconnected)?;
        // Nothing is ever sent on this channel: this returns when the writer drops its end.
        let _ = writer_done.recv();
        Ok((error, start.elapsed() >= SETTLED_AFTER))
    }

    fn read_lines(&self, stream: &TcpStream) -> Result<LinkError, EngineEnded> {
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
                let permit = self.received.acquire(line.len());
                self.send_to_engine(EngineMessage::RuntimeNotice(notice, permit))?;
                continue;
            }
            self.counters.runtime_lines_malformed.add();
            if start.elapsed() >= SETTLED_AFTER || !line.ends_with(b"\n") {
                return Ok(LinkError::MalformedLine);
            }
        }
    }

    fn send_to_engine(&self, message: EngineMessage) -> Result<(), EngineEnded> {
        self.engine.send(message).map_err(|_| EngineEnded)
    }
}

/// Starts the writer thread, which serves all links, one after the other. It is started before the first link, so that
/// no link can fail because a thread cannot be created: until the system can create it, no link is made. The thread
/// ends when its sender is dropped.
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
fn write_lines(stream: &TcpStream, lines: &Receiver<QueuedCommand>) {
    while let Ok(first) = lines.recv() {
        let mut batch = vec![first];
        batch.extend(lines.try_iter().take(MAX_BATCH_LINES - 1));
        let mut slices: Vec<IoSlice<'_>> = batch
            .iter()
            .map(|command| IoSlice::new(command.line.as_bytes()))
            .collect();
        if vectored_write::write(stream, &mut slices).is_err() {
            break;
        }
    }
    // Ends the link for the reader as well. Fails if the reader has already shut it down.
    let _ = stream.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;
