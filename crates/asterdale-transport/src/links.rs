//! Links between processes: letters one after the other over a stream that stays, each behind its length in four bytes
//! whose highest bit is set, which tells a link from an exchange. A link carries letters one way; what comes back comes
//! over a link that the other makes. One thread waits for all of them. Whoever has not the fleet's key ends with his
//! first letter; who floods, trickles or stops reading costs a place and what he may have in hand, and nobody else
//! anything.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_membership::authentication::MessageAuthenticator;
use crossbeam_channel::{unbounded, Receiver, Sender, TrySendError};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};

/// The bit of a length that makes a stream a link.
pub(crate) const LINK: u32 = 0x8000_0000;
/// A letter is no longer: what the longest of those who write them may be.
const MOST_LETTER: usize = asterdale_ownership::message::MAX_MESSAGE_BYTES + 64;
/// Links that others have made at once, and those that this process has made.
const MOST_IN: usize = 512;
const MOST_OUT: usize = 512;
/// Bytes of letters that have begun and not ended, over all links: the link that grows past it ends.
const MOST_HALVES: usize = 64 * 1024 * 1024;
/// Bytes that wait on one link out; what comes beyond is lost, as on any full way.
const MOST_QUEUED: usize = 32 * 1024 * 1024;
/// A letter comes whole within this, and a link that has written nothing for so long is stuck.
const LONGEST: Duration = Duration::from_secs(10);
/// After a link broke, or could not be made, the next is tried no sooner.
const AGAIN: Duration = Duration::from_millis(50);
/// A link says nothing for so long: it ends, and is made again when there is something to say.
const IDLE: Duration = Duration::from_secs(60);
/// Bytes that one look reads, before the others have theirs.
const LOOK: usize = 64 * 1024;
const WORDS: Token = Token(usize::MAX);

/// What the thread is told.
pub(crate) enum Word {
    /// Send this letter there.
    Send(SocketAddr, Vec<u8>),
    /// A stream that turned out to be a link, and what has come over it.
    Adopt(TcpStream, Vec<u8>),
}

/// The way to the thread.
#[derive(Clone)]
pub struct Links {
    words: Sender<Word>,
    waker: Arc<Waker>,
}

impl Links {
    pub(crate) fn say(&self, word: Word) {
        if self.words.send(word).is_ok() {
            let _ = self.waker.wake();
        }
    }

    /// Sends a letter. Whether it arrives is not told.
    pub fn send(&self, to: SocketAddr, letter: Vec<u8>) {
        self.say(Word::Send(to, letter));
    }
}

/// A link that another has made.
struct In {
    stream: TcpStream,
    got: Vec<u8>,
    /// When the letter that has not ended began.
    since: Option<Instant>,
}

/// A link that this process has made, or would make.
struct Out {
    at: SocketAddr,
    stream: Option<TcpStream>,
    queue: VecDeque<Vec<u8>>,
    /// Of the first, what is written.
    written: usize,
    queued: usize,
    moved: Instant,
    not_before: Instant,
}

struct Serving {
    poll: Poll,
    words: Receiver<Word>,
    letters: Sender<Vec<u8>>,
    seal: MessageAuthenticator,
    ins: HashMap<usize, In>,
    outs: HashMap<usize, Out>,
    places: HashMap<SocketAddr, usize>,
    /// Links that may have more to read.
    ready: VecDeque<usize>,
    halves: usize,
    next: usize,
}

/// Begins to serve: letters made with the fleet's key go there. One that finds no place is lost.
pub(crate) fn begin(seal: MessageAuthenticator, letters: Sender<Vec<u8>>) -> io::Result<Links> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WORDS)?);
    let (to, words) = unbounded();
    let serving = Serving {
        poll,
        words,
        letters,
        seal,
        ins: HashMap::new(),
        outs: HashMap::new(),
        places: HashMap::new(),
        ready: VecDeque::new(),
        halves: 0,
        next: 0,
    };
    crate::spawn("talk links", move || serving.serve())?;
    Ok(Links { words: to, waker })
}

impl Serving {
    fn serve(mut self) {
        let mut events = Events::with_capacity(256);
        let mut sweep = Instant::now();
        loop {
            let wait = if self.ready.is_empty() {
                Duration::from_millis(200)
            } else {
                Duration::ZERO
            };
            if self
                .poll
                .poll(&mut events, Some(wait))
                .is_err_and(|e| e.kind() != io::ErrorKind::Interrupted)
            {
                return;
            }
            for event in &events {
                let Token(number) = event.token();
                if event.token() == WORDS {
                    continue;
                }
                if self.ins.contains_key(&number) {
                    self.ready.push_back(number);
                } else {
                    self.write(number);
                }
            }
            let words: Vec<Word> = self.words.try_iter().collect();
            let mut touched: Vec<usize> = Vec::new();
            for word in words {
                match word {
                    Word::Send(to, letter) => touched.extend(self.queue(to, letter)),
                    Word::Adopt(stream, got) => self.adopt(stream, got),
                }
            }
            // All that was said at once goes out in one write a link.
            touched.sort_unstable();
            touched.dedup();
            touched.into_iter().for_each(|number| self.write(number));
            for _ in 0..self.ready.len() {
                let Some(number) = self.ready.pop_front() else {
                    break;
                };
                if !self.read(number) {
                    return;
                }
            }
            let now = Instant::now();
            if now >= sweep {
                sweep = now + Duration::from_millis(500);
                self.sweep(now);
            }
        }
    }

    fn number(&mut self) -> usize {
        self.next = (self.next + 1) % WORDS.0;
        self.next
    }

    fn adopt(&mut self, mut stream: TcpStream, got: Vec<u8>) {
        if self.ins.len() >= MOST_IN {
            return; // the other tries again
        }
        let number = self.number();
        if self
            .poll
            .registry()
            .register(&mut stream, Token(number), Interest::READABLE)
            .is_ok()
        {
            self.halves += got.len();
            self.ins.insert(
                number,
                In {
                    stream,
                    got,
                    since: Some(Instant::now()),
                },
            );
            self.ready.push_back(number);
        }
    }

    fn end(&mut self, number: usize) {
        if let Some(link) = self.ins.remove(&number) {
            self.halves -= link.got.len();
        }
    }

    /// Reads some of a link; `false` once nobody takes letters any more.
    fn read(&mut self, number: usize) -> bool {
        let Some(link) = self.ins.get_mut(&number) else {
            return true;
        };
        let before = link.got.len();
        let mut chunk = [0; 16 * 1024];
        let mut over = false;
        let mut more = true;
        while link.got.len() - before < LOOK {
            match link.stream.read(&mut chunk) {
                Ok(0) => over = true,
                Ok(count) => {
                    link.got.extend_from_slice(&chunk[..count]);
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => more = false,
                Err(_) => over = true,
            }
            break;
        }
        self.halves += link.got.len() - before;
        let mut taken = 0;
        let mut stranger = false;
        while let Some(length) = link.got[taken..].first_chunk::<4>() {
            let length = u32::from_be_bytes(*length);
            let size = (length & !LINK) as usize;
            if length & LINK == 0 || size > MOST_LETTER {
                stranger = true;
                break;
            }
            let Some(letter) = link.got.get(taken + 4..taken + 4 + size) else {
                break;
            };
            if self.seal.verify(letter).is_err() {
                stranger = true;
                break;
            }
            match self.letters.try_send(letter.to_vec()) {
                Ok(()) | Err(TrySendError::Full(_)) => {}
                Err(TrySendError::Disconnected(_)) => return false,
            }
            taken += 4 + size;
        }
        if taken > 0 {
            link.got.drain(..taken);
            self.halves -= taken;
        }
        link.since = match (link.got.is_empty(), taken) {
            (true, _) => None,
            (false, 0) => link.since.or_else(|| Some(Instant::now())),
            (false, _) => Some(Instant::now()),
        };
        if over || stranger || self.halves > MOST_HALVES && !link.got.is_empty() {
            self.end(number);
        } else if more {
            self.ready.push_back(number);
        }
        true
    }

    /// Keeps a letter for a link, which is made if there is none.
    fn queue(&mut self, at: SocketAddr, letter: Vec<u8>) -> Option<usize> {
        let now = Instant::now();
        let number = match self.places.get(&at) {
            Some(&number) => number,
            None if self.outs.len() < MOST_OUT => {
                let number = self.number();
                let out = Out {
                    at,
                    stream: None,
                    queue: VecDeque::new(),
                    written: 0,
                    queued: 0,
                    moved: now,
                    not_before: now,
                };
                self.outs.insert(number, out);
                self.places.insert(at, number);
                number
            }
            None => return None,
        };
        let out = self.outs.get_mut(&number)?;
        if out.stream.is_none() {
            if now < out.not_before {
                return None;
            }
            out.not_before = now + AGAIN;
            out.stream = TcpStream::connect(at).ok();
            let stream = out.stream.as_mut()?;
            let _ = stream.set_nodelay(true);
            let either = Interest::READABLE | Interest::WRITABLE;
            if self
                .poll
                .registry()
                .register(stream, Token(number), either)
                .is_err()
            {
                out.stream = None;
                return None;
            }
            out.moved = now;
        }
        if out.queued + letter.len() > MOST_QUEUED {
            return None;
        }
        let mut framed = Vec::with_capacity(4 + letter.len());
        framed.extend_from_slice(&(letter.len() as u32 | LINK).to_be_bytes());
        framed.extend_from_slice(&letter);
        if out.queue.is_empty() {
            out.moved = now;
        }
        out.queued += framed.len();
        out.queue.push_back(framed);
        Some(number)
    }

    /// Writes what a link takes. A broken one loses what waits on it: what matters is said again by who said it.
    fn write(&mut self, number: usize) {
        let Some(out) = self.outs.get_mut(&number) else {
            return;
        };
        let Some(stream) = &mut out.stream else {
            return;
        };
        let mut broken = false;
        // Nothing is ever said back: an end, or a word, ends it.
        match stream.read(&mut [0; 16]) {
            Ok(_) => broken = true,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                ) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => broken = true,
        }
        while !broken && !out.queue.is_empty() {
            let skip = out.written;
            let pieces: Vec<io::IoSlice<'_>> = (out.queue.iter().take(64).enumerate())
                .map(|(n, piece)| io::IoSlice::new(if n == 0 { &piece[skip..] } else { piece }))
                .collect();
            match stream.write_vectored(&pieces) {
                Ok(0) => broken = true,
                Ok(mut count) => {
                    out.moved = Instant::now();
                    while let Some(first) = out.queue.front() {
                        let left = first.len() - out.written;
                        if count < left {
                            out.written += count;
                            break;
                        }
                        count -= left;
                        out.queued -= first.len();
                        out.written = 0;
                        out.queue.pop_front();
                    }
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => broken = true,
            }
        }
        if broken {
            out.give_up();
        }
    }

    fn sweep(&mut self, now: Instant) {
        let stuck: Vec<usize> = (self.ins.iter())
            .filter(|(_, link)| link.since.is_some_and(|since| now - since > LONGEST))
            .map(|(&number, _)| number)
            .collect();
        stuck.into_iter().for_each(|number| self.end(number));
        for out in self.outs.values_mut() {
            if !out.queue.is_empty() && now - out.moved > LONGEST {
                out.give_up();
            }
        }
        let idle = |out: &Out| out.queue.is_empty() && now - out.moved > IDLE;
        let gone: Vec<usize> = self
            .outs
            .iter()
            .filter(|(_, out)| idle(out))
            .map(|(&number, _)| number)
            .collect();
        for number in gone {
            if let Some(out) = self.outs.remove(&number) {
                self.places.remove(&out.at);
            }
        }
    }
}

impl Out {
    fn give_up(&mut self) {
        self.stream = None;
        self.queue.clear();
        (self.written, self.queued) = (0, 0);
        self.not_before = Instant::now() + AGAIN;
    }
}
