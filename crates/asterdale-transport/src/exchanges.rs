//! Exchanges of whole views: one thread waits for all streams together. A stream carries one message each way, behind
//! its length in four bytes; whoever is slow, long or silent costs a place for two seconds, and there are few places.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_membership::message::MAX_EXCHANGE_BYTES;
use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};

use crate::actor::Mail;
use crate::links::{self, Links, LINK};

/// An exchange takes no longer: whole views are some KiB, on a network that takes milliseconds.
const LONGEST: Duration = Duration::from_secs(2);
/// Streams that others have begun at once. A fleet that is well has one in many seconds.
const MOST_ASKED: usize = 32;
/// And those that this process has begun.
const MOST_ASKING: usize = 8;
const LISTENER: Token = Token(usize::MAX);
const WORDS: Token = Token(usize::MAX - 1);

/// What the thread is told.
pub enum Word {
    /// Begin an exchange there, with this.
    Begin(SocketAddr, Vec<u8>),
    /// This goes back over this stream, if anything does.
    Back(usize, Option<Vec<u8>>),
}

/// The way to the thread.
pub struct Exchanges {
    words: Sender<Word>,
    waker: Arc<Waker>,
}

impl Exchanges {
    /// Tells it.
    pub fn say(&self, word: Word) {
        if self.words.send(word).is_ok() {
            let _ = self.waker.wake();
        }
    }
}

struct Line {
    stream: TcpStream,
    asking: bool,
    out: Vec<u8>,
    got: Vec<u8>,
    /// What came is handed over: nothing more is read.
    heard: bool,
    until: Instant,
}

struct Serving {
    poll: Poll,
    listener: TcpListener,
    words: Receiver<Word>,
    mail: Sender<Mail>,
    /// Who has the streams that turn out to be links.
    links: Option<Links>,
    lines: HashMap<usize, Line>,
    next: usize,
}

/// Begins to serve this listener.
pub fn begin(
    listener: TcpListener,
    mail: Sender<Mail>,
    links: Option<Links>,
) -> io::Result<Exchanges> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WORDS)?);
    listener.set_nonblocking(true)?;
    let fd = listener.as_raw_fd();
    poll.registry()
        .register(&mut SourceFd(&fd), LISTENER, Interest::READABLE)?;
    let (to, words) = unbounded();
    let serving = Serving {
        poll,
        listener,
        words,
        mail,
        links,
        lines: HashMap::new(),
        next: 0,
    };
    crate::spawn("talk streams", move || serving.serve())?;
    Ok(Exchanges { words: to, waker })
}

fn framed(bytes: &[u8]) -> Vec<u8> {
    let mut all = (bytes.len() as u32).to_be_bytes().to_vec();
    all.extend_from_slice(bytes);
    all
}

impl Serving {
    fn serve(mut self) {
        let mut events = Events::with_capacity(64);
        loop {
            let now = Instant::now();
            let first = self
                .lines
                .values()
                .map(|line| line.until.saturating_duration_since(now))
                .min();
            if self
                .poll
                .poll(&mut events, first)
                .is_err_and(|e| e.kind() != io::ErrorKind::Interrupted)
            {
                return;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WORDS => {}
                    Token(number) => self.go_on(number),
                }
            }
            let words: Vec<Word> = self.words.try_iter().collect();
            for word in words {
                match word {
                    Word::Begin(at, bytes) => self.begin(at, &bytes),
                    Word::Back(number, Some(bytes)) => {
                        if let Some(line) = self.lines.get_mut(&number) {
                            line.out = framed(&bytes);
                        }
                        self.go_on(number);
                    }
                    Word::Back(number, None) => drop(self.lines.remove(&number)),
                }
            }
            let now = Instant::now();
            self.lines.retain(|_, line| line.until > now);
        }
    }

    fn places(&self, asking: bool) -> usize {
        let most = if asking { MOST_ASKING } else { MOST_ASKED };
        most.saturating_sub(
            self.lines
                .values()
                .filter(|line| line.asking == asking)
                .count(),
        )
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                // Without a place it is dropped: the other tries again with somebody else.
                Ok((stream, _))
                    if self.places(false) > 0 && stream.set_nonblocking(true).is_ok() =>
                {
                    self.add(TcpStream::from_std(stream), false, Vec::new());
                }
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn begin(&mut self, at: SocketAddr, bytes: &[u8]) {
        if self.places(true) > 0 {
            if let Ok(stream) = TcpStream::connect(at) {
                self.add(stream, true, framed(bytes));
            }
        }
    }

    fn add(&mut self, mut stream: TcpStream, asking: bool, out: Vec<u8>) {
        self.next = (self.next + 1) % WORDS.0;
        let either = Interest::READABLE | Interest::WRITABLE;
        if self
            .poll
            .registry()
            .register(&mut stream, Token(self.next), either)
            .is_ok()
        {
            let (got, until) = (Vec::new(), Instant::now() + LONGEST);
            self.lines.insert(
                self.next,
                Line {
                    stream,
                    asking,
                    out,
                    got,
                    heard: false,
                    until,
                },
            );
        }
    }

    /// Goes on with a stream; its end is here, or in its time.
    fn go_on(&mut self, number: usize) {
        let Some(line) = self.lines.get_mut(&number) else {
            return;
        };
        match line.go_on() {
            Ok(None) => {}
            Ok(Some(bytes)) if line.asking => {
                self.lines.remove(&number);
                let _ = self.mail.try_send(Mail::Exchanged(bytes));
            }
            Ok(Some(bytes)) => drop(self.mail.try_send(Mail::Exchange(number, bytes))),
            Err(e) if e.kind() == io::ErrorKind::Unsupported => {
                let Some(mut line) = self.lines.remove(&number) else {
                    return;
                };
                if let (Some(links), Ok(())) = (
                    &self.links,
                    self.poll.registry().deregister(&mut line.stream),
                ) {
                    links.say(links::Word::Adopt(line.stream, line.got));
                }
            }
            Err(_) => drop(self.lines.remove(&number)),
        }
    }
}

impl Line {
    /// Another has made it to send letters, one after the other: it is no exchange.
    fn is_link(&self) -> bool {
        let length = self
            .got
            .first_chunk::<4>()
            .map_or(0, |length| u32::from_be_bytes(*length));
        !self.asking && length & LINK != 0
    }

    /// What came, once it is whole. An error ends the stream, as does having said all.
    fn go_on(&mut self) -> io::Result<Option<Vec<u8>>> {
        while !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => drop(self.out.drain(..n)),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return Ok(None)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if self.out.is_empty() && self.heard {
                return Err(io::ErrorKind::ConnectionAborted.into()); // the answer is out
            }
        }
        if self.heard {
            return Ok(None);
        }
        let mut chunk = [0; 8192];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.got.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if self.is_link() {
                break;
            }
            if self.got.len() > 4 + MAX_EXCHANGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        let Some(length) = self.got.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if self.is_link() {
            return Err(io::ErrorKind::Unsupported.into());
        }
        if length > MAX_EXCHANGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let Some(body) = self.got.get(4..4 + length) else {
            return Ok(None);
        };
        self.heard = true;
        Ok(Some(body.to_vec()))
    }
}
