//! Relays between the processes of a fleet. Each process advertises the address of its relay; the sender of traffic is
//! identified by its socket address (datagrams) or by the name in its first message (streams). For each ordered pair of
//! processes the relays can inject loss, delay with jitter, duplication and blocking, and earlier datagrams can be sent
//! again. One thread carries all datagrams, and each stream has a thread of its own.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The last datagrams of each process are recorded for replay, up to this many.
const KEPT: usize = 64;

/// The conditions of traffic from one process to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Nothing passes.
    pub blocked: bool,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The delay in milliseconds.
    pub delay_ms: f64,
    /// The upper bound of a random extra delay of each datagram in milliseconds, by which datagrams are reordered.
    pub jitter_ms: f64,
}

struct State {
    ways: HashMap<(usize, usize), LinkConditions>,
    random: Pcg64Mcg,
    /// The last datagrams of each process with the index of the receiver.
    kept: HashMap<usize, VecDeque<(usize, Vec<u8>)>>,
    again: Vec<(usize, Vec<u8>)>,
}

/// The relays of a fleet.
pub struct Relays {
    state: Arc<Mutex<State>>,
    /// The address under which each process is reached through its relay.
    pub advertised: Vec<SocketAddr>,
    forwarded_datagrams: Arc<AtomicU64>,
    end: Arc<AtomicBool>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Due(Instant, u64, usize, Vec<u8>);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl Relays {
    /// Starts relays to the processes that listen at these addresses and have these names.
    pub fn start(listens: Vec<SocketAddr>, names: Vec<String>, seed: u64) -> io::Result<Relays> {
        let (mut sockets, mut listeners) = (Vec::new(), Vec::new());
        for listen in &listens {
            // UDP and TCP use the same port, on the process's own loopback address.
            let (udp, tcp) = (1..100)
                .find_map(|n| {
                    let at = SocketAddr::new(listen.ip(), listen.port() + n);
                    Some((UdpSocket::bind(at).ok()?, TcpListener::bind(at).ok()?))
                })
                .ok_or(io::ErrorKind::AddrInUse)?;
            udp.set_nonblocking(true)?;
            sockets.push(udp);
            listeners.push(tcp);
        }
        let advertised = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let random = Pcg64Mcg::seed_from_u64(seed);
        let state = State {
            ways: HashMap::new(),
            random,
            kept: HashMap::new(),
            again: Vec::new(),
        };
        let (state, end) = (
            Arc::new(Mutex::new(state)),
            Arc::new(AtomicBool::new(false)),
        );
        let forwarded_datagrams = Arc::new(AtomicU64::new(0));
        for (to, listener) in listeners.into_iter().enumerate() {
            let (state, at, names) = (state.clone(), listens[to], names.clone());
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (state, names) = (state.clone(), names.clone());
                    thread::spawn(move || drop(carry(&stream, to, at, &names, &state)));
                }
            });
        }
        let (carried, ended, counted) = (state.clone(), end.clone(), forwarded_datagrams.clone());
        thread::spawn(move || drop(datagrams(&sockets, &listens, &carried, &ended, &counted)));
        Ok(Relays {
            state,
            advertised,
            forwarded_datagrams,
            end,
        })
    }

    /// Sets the conditions from one process to another.
    pub fn set_conditions(&self, from: usize, to: usize, way: LinkConditions) {
        lock(&self.state).ways.insert((from, to), way);
    }

    /// Removes all injected conditions.
    pub fn clear_conditions(&self) {
        lock(&self.state).ways.clear();
    }

    /// Sends the recorded datagrams of a process once more to their receivers, and returns their number.
    pub fn replay_recent(&self, from: usize) -> usize {
        let mut state = lock(&self.state);
        let kept: Vec<_> = state.kept.get(&from).cloned().unwrap_or_default().into();
        let count = kept.len();
        state.again.extend(kept);
        count
    }

    /// Removes and returns the recorded datagrams of a process, such as those of its previous incarnation.
    pub fn take_recorded(&self, from: usize) -> Vec<(usize, Vec<u8>)> {
        lock(&self.state)
            .kept
            .remove(&from)
            .unwrap_or_default()
            .into()
    }

    /// Sends these datagrams, given with the index of the receiver.
    pub fn send(&self, all: Vec<(usize, Vec<u8>)>) {
        lock(&self.state).again.extend(all);
    }

    /// The number of datagrams forwarded so far.
    pub fn forwarded_datagrams(&self) -> u64 {
        self.forwarded_datagrams.load(Ordering::Relaxed)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.end.store(true, Ordering::SeqCst);
    }
}

/// Forwards datagrams until the relays are dropped.
fn datagrams(
    sockets: &[UdpSocket],
    listens: &[SocketAddr],
    state: &Mutex<State>,
    end: &AtomicBool,
    passed: &AtomicU64,
) -> io::Result<()> {
    let mut poll = Poll::new()?;
    for (n, socket) in sockets.iter().enumerate() {
        poll.registry().register(
            &mut SourceFd(&socket.as_raw_fd()),
            Token(n),
            Interest::READABLE,
        )?;
    }
    let mut events = Events::with_capacity(256);
    let (mut queue, mut came) = (BinaryHeap::<Reverse<Due>>::new(), 0);
    let mut bytes = vec![0; 65_536];
    while !end.load(Ordering::SeqCst) {
        let next = queue
            .peek()
            .map(|Reverse(due)| due.0.saturating_duration_since(Instant::now()));
        let wait = next
            .unwrap_or(Duration::from_millis(5))
            .min(Duration::from_millis(5));
        let _ = poll.poll(&mut events, Some(wait));
        for event in &events {
            let to = event.token().0;
            while let Ok((count, source)) = sockets[to].recv_from(&mut bytes) {
                let Some(from) = listens.iter().position(|&listen| listen == source) else {
                    continue;
                };
                let mut state = lock(state);
                let kept = state.kept.entry(from).or_default();
                kept.push_back((to, bytes[..count].to_vec()));
                if kept.len() > KEPT {
                    kept.pop_front();
                }
                let way = state.ways.get(&(from, to)).copied().unwrap_or_default();
                let mut share = || (state.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                if way.blocked || share() < way.loss {
                    continue;
                }
                for _ in 0..1 + usize::from(share() < way.duplication) {
                    let ms = way.delay_ms + way.jitter_ms * share();
                    came += 1;
                    let at = Instant::now() + Duration::from_secs_f64(ms / 1e3);
                    queue.push(Reverse(Due(at, came, to, bytes[..count].to_vec())));
                }
            }
        }
        for (to, bytes) in std::mem::take(&mut lock(state).again) {
            came += 1;
            queue.push(Reverse(Due(Instant::now(), came, to, bytes)));
        }
        while queue
            .peek()
            .is_some_and(|Reverse(due)| due.0 <= Instant::now())
        {
            let Some(Reverse(Due(_, _, to, bytes))) = queue.pop() else {
                break;
            };
            // Sent from the relay's own socket, because receivers don't reply to a datagram's source address.
            let _ = sockets[to].send_to(&bytes, listens[to]);
            passed.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// The sender's name in a stream's first message: length, version and MAC are followed by the sender's record, which
/// begins with the name; record and name are each preceded by a tag and a length.
fn sender(bytes: &[u8]) -> Option<&str> {
    let record = bytes.get(4 + 17..)?;
    let at = if *record.get(1)? < 0x80 { 2 } else { 3 };
    let (tag, length) = (*record.get(at)?, usize::from(*record.get(at + 1)?));
    (record[0] == 0x0a && tag == 0x0a).then_some(())?;
    std::str::from_utf8(record.get(at + 2..at + 2 + length)?).ok()
}

/// Carries a persistent stream in one direction. Nothing passes while either direction is blocked, since nothing could be
/// acknowledged; pending bytes pass once neither is blocked, or the stream ends after `STALL_TIMEOUT`.
fn carry_link(
    from: &TcpStream,
    mut held: Vec<u8>,
    at: SocketAddr,
    ways: impl Fn() -> (LinkConditions, LinkConditions),
) -> io::Result<()> {
    const STALLED: Duration = Duration::from_secs(8);
    const LOOK: Duration = Duration::from_millis(5);
    from.set_read_timeout(None)?;
    let mut on: Option<TcpStream> = None;
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let began = Instant::now();
        while ways().0.blocked || ways().1.blocked {
            if began.elapsed() > STALLED {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(LOOK);
        }
        let (there, back) = ways();
        thread::sleep(Duration::from_secs_f64(
            (there.delay_ms + if on.is_none() { back.delay_ms } else { 0.0 }) / 1e3,
        ));
        let to = match &mut on {
            Some(to) => to,
            None => {
                let to = TcpStream::connect_timeout(&at, Duration::from_secs(4))?;
                to.set_nodelay(true)?;
                to.set_write_timeout(Some(STALLED))?;
                on.insert(to)
            }
        };
        to.write_all(&held)?;
        match (&mut &*from).read(&mut chunk)? {
            0 => return Ok(()),
            count => held = chunk[..count].to_vec(),
        }
    }
}

/// Carries a stream in both directions if neither is blocked. A blocked stream stays silent until the peer gives up.
fn carry(
    from: &TcpStream,
    to: usize,
    at: SocketAddr,
    names: &[String],
    state: &Mutex<State>,
) -> io::Result<()> {
    const LONGEST: Duration = Duration::from_secs(4);
    from.set_read_timeout(Some(LONGEST))?;
    let (mut first, mut chunk) = (Vec::new(), [0; 4096]);
    while sender(&first).is_none() && first.len() < 128 {
        match (&mut &*from).read(&mut chunk)? {
            0 => return Ok(()),
            count => first.extend_from_slice(&chunk[..count]),
        }
    }
    let Some(who) = sender(&first).and_then(|name| names.iter().position(|known| known == name))
    else {
        return Ok(());
    };
    let ways = |a, b| lock(state).ways.get(&(a, b)).copied().unwrap_or_default();
    if first[0] & 0x80 != 0 {
        return carry_link(from, first, at, || (ways(who, to), ways(to, who)));
    }
    let (there, back) = (ways(who, to), ways(to, who));
    if there.blocked || back.blocked {
        thread::sleep(LONGEST);
        return Ok(());
    }
    thread::sleep(Duration::from_secs_f64(
        (there.delay_ms + back.delay_ms) / 1e3,
    ));
    let on = TcpStream::connect_timeout(&at, LONGEST)?;
    on.set_read_timeout(Some(LONGEST))?;
    (&on).write_all(&first)?;
    let (reading, writing) = (from.try_clone()?, on.try_clone()?);
    thread::spawn(move || {
        let _ = io::copy(&mut &reading, &mut &writing);
        let _ = writing.shutdown(Shutdown::Write);
    });
    let copied = io::copy(&mut &on, &mut &*from);
    let _ = from.shutdown(Shutdown::Both);
    let _ = on.shutdown(Shutdown::Both);
    copied.map(drop)
}
