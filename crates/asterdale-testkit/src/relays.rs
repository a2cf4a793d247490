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
const MAX_RECORDED: usize = 64;

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
    conditions: HashMap<(usize, usize), LinkConditions>,
    random: Pcg64Mcg,
    /// The last datagrams of each process with the index of the receiver.
    recorded: HashMap<usize, VecDeque<(usize, Vec<u8>)>>,
    pending_replays: Vec<(usize, Vec<u8>)>,
}

/// The relays of a fleet.
pub struct Relays {
    state: Arc<Mutex<State>>,
    /// The address under which each process is reached through its relay.
    pub advertised: Vec<SocketAddr>,
    forwarded_datagrams: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A datagram to forward: when, its sequence number, the index of the receiver, and the bytes.
struct QueuedDatagram(Instant, u64, usize, Vec<u8>);

impl PartialEq for QueuedDatagram {
    fn eq(&self, other: &QueuedDatagram) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for QueuedDatagram {}
impl PartialOrd for QueuedDatagram {
    fn partial_cmp(&self, other: &QueuedDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedDatagram {
    fn cmp(&self, other: &QueuedDatagram) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl Relays {
    /// Starts relays to the processes that listen at these addresses and have these names.
    pub fn start(addresses: Vec<SocketAddr>, names: Vec<String>, seed: u64) -> io::Result<Relays> {
        let (mut sockets, mut listeners) = (Vec::new(), Vec::new());
        for address in &addresses {
            // UDP and TCP use the same port, on the process's own loopback address.
            let (udp, tcp) = (1..100)
                .find_map(|n| {
                    let relay_address = SocketAddr::new(address.ip(), address.port() + n);
                    Some((
                        UdpSocket::bind(relay_address).ok()?,
                        TcpListener::bind(relay_address).ok()?,
                    ))
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
            conditions: HashMap::new(),
            random,
            recorded: HashMap::new(),
            pending_replays: Vec::new(),
        };
        let (state, stop) = (
            Arc::new(Mutex::new(state)),
            Arc::new(AtomicBool::new(false)),
        );
        let forwarded_datagrams = Arc::new(AtomicU64::new(0));
        for (to, listener) in listeners.into_iter().enumerate() {
            let (state, address, names) = (state.clone(), addresses[to], names.clone());
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (state, names) = (state.clone(), names.clone());
                    thread::spawn(move || drop(carry_stream(&stream, to, address, &names, &state)));
                }
            });
        }
        let (carried_state, stop_flag, counter) =
            (state.clone(), stop.clone(), forwarded_datagrams.clone());
        thread::spawn(move || {
            drop(carry_datagrams(
                &sockets,
                &addresses,
                &carried_state,
                &stop_flag,
                &counter,
            ))
        });
        Ok(Relays {
            state,
            advertised,
            forwarded_datagrams,
            stop,
        })
    }

    /// Sets the conditions from one process to another.
    pub fn set_conditions(&self, from: usize, to: usize, conditions: LinkConditions) {
        lock(&self.state).conditions.insert((from, to), conditions);
    }

    /// Removes all injected conditions.
    pub fn clear_conditions(&self) {
        lock(&self.state).conditions.clear();
    }

    /// Sends the recorded datagrams of a process once more to their receivers, and returns their number.
    pub fn replay_recent(&self, from: usize) -> usize {
        let mut state = lock(&self.state);
        let recorded: Vec<_> = state
            .recorded
            .get(&from)
            .cloned()
            .unwrap_or_default()
            .into();
        let count = recorded.len();
        state.pending_replays.extend(recorded);
        count
    }

    /// Removes and returns the recorded datagrams of a process, such as those of its previous incarnation.
    pub fn take_recorded(&self, from: usize) -> Vec<(usize, Vec<u8>)> {
        lock(&self.state)
            .recorded
            .remove(&from)
            .unwrap_or_default()
            .into()
    }

    /// Sends these datagrams, given with the index of the receiver.
    pub fn send(&self, all: Vec<(usize, Vec<u8>)>) {
        lock(&self.state).pending_replays.extend(all);
    }

    /// The number of datagrams forwarded so far.
    pub fn forwarded_datagrams(&self) -> u64 {
        self.forwarded_datagrams.load(Ordering::Relaxed)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Forwards datagrams until the relays are dropped.
fn carry_datagrams(
    sockets: &[UdpSocket],
    addresses: &[SocketAddr],
    state: &Mutex<State>,
    stop: &AtomicBool,
    forwarded: &AtomicU64,
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
    let (mut queue, mut last_sequence) = (BinaryHeap::<Reverse<QueuedDatagram>>::new(), 0);
    let mut bytes = vec![0; 65_536];
    while !stop.load(Ordering::SeqCst) {
        let next = queue
            .peek()
            .map(|Reverse(datagram)| datagram.0.saturating_duration_since(Instant::now()));
        let wait = next
            .unwrap_or(Duration::from_millis(5))
            .min(Duration::from_millis(5));
        let _ = poll.poll(&mut events, Some(wait));
        for event in &events {
            let to = event.token().0;
            while let Ok((count, source)) = sockets[to].recv_from(&mut bytes) {
                let Some(from) = addresses.iter().position(|&address| address == source) else {
                    continue;
                };
                let mut state = lock(state);
                let recorded = state.recorded.entry(from).or_default();
                recorded.push_back((to, bytes[..count].to_vec()));
                if recorded.len() > MAX_RECORDED {
                    recorded.pop_front();
                }
                let conditions = state
                    .conditions
                    .get(&(from, to))
                    .copied()
                    .unwrap_or_default();
                let mut random_fraction =
                    || (state.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                if conditions.blocked || random_fraction() < conditions.loss {
                    continue;
                }
                for _ in 0..1 + usize::from(random_fraction() < conditions.duplication) {
                    let ms = conditions.delay_ms + conditions.jitter_ms * random_fraction();
                    last_sequence += 1;
                    let due_at = Instant::now() + Duration::from_secs_f64(ms / 1e3);
                    queue.push(Reverse(QueuedDatagram(
                        due_at,
                        last_sequence,
                        to,
                        bytes[..count].to_vec(),
                    )));
                }
            }
        }
        for (to, bytes) in std::mem::take(&mut lock(state).pending_replays) {
            last_sequence += 1;
            queue.push(Reverse(QueuedDatagram(
                Instant::now(),
                last_sequence,
                to,
                bytes,
            )));
        }
        while queue
            .peek()
            .is_some_and(|Reverse(datagram)| datagram.0 <= Instant::now())
        {
            let Some(Reverse(QueuedDatagram(_, _, to, bytes))) = queue.pop() else {
                break;
            };
            // Sent from the relay's own socket: processes don't send replies to a datagram's source address.
            let _ = sockets[to].send_to(&bytes, addresses[to]);
            forwarded.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// The sender's name in a stream's first message: length, version and MAC are followed by the sender's record, which
/// begins with the name; record and name are each preceded by a tag and a length.
fn sender_name(bytes: &[u8]) -> Option<&str> {
    let record = bytes.get(4 + 17..)?;
    let offset = if *record.get(1)? < 0x80 { 2 } else { 3 };
    let (tag, length) = (*record.get(offset)?, usize::from(*record.get(offset + 1)?));
    (record[0] == 0x0a && tag == 0x0a).then_some(())?;
    std::str::from_utf8(record.get(offset + 2..offset + 2 + length)?).ok()
}

/// Carries a persistent stream in one direction. Nothing passes while either direction is blocked, since nothing could
/// be acknowledged; pending bytes pass once neither is blocked, or the stream ends after `STALL_TIMEOUT`.
fn carry_persistent_stream(
    from: &TcpStream,
    mut pending: Vec<u8>,
    address: SocketAddr,
    conditions: impl Fn() -> (LinkConditions, LinkConditions),
) -> io::Result<()> {
    const STALL_TIMEOUT: Duration = Duration::from_secs(8);
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    from.set_read_timeout(None)?;
    let mut outgoing: Option<TcpStream> = None;
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let blocked_since = Instant::now();
        while conditions().0.blocked || conditions().1.blocked {
            if blocked_since.elapsed() > STALL_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(POLL_INTERVAL);
        }
        let (forward, reverse) = conditions();
        thread::sleep(Duration::from_secs_f64(
            (forward.delay_ms
                + if outgoing.is_none() {
                    reverse.delay_ms
                } else {
                    0.0
                })
                / 1e3,
        ));
        let to = match &mut outgoing {
            Some(to) => to,
            None => {
                let to = TcpStream::connect_timeout(&address, Duration::from_secs(4))?;
                to.set_nodelay(true)?;
                to.set_write_timeout(Some(STALL_TIMEOUT))?;
                outgoing.insert(to)
            }
        };
        to.write_all(&pending)?;
        match (&mut &*from).read(&mut chunk)? {
            0 => return Ok(()),
            count => pending = chunk[..count].to_vec(),
        }
    }
}

/// Carries a stream in both directions if neither is blocked. A blocked stream stays silent until the peer gives up.
fn carry_stream(
    from: &TcpStream,
    to: usize,
    address: SocketAddr,
    names: &[String],
    state: &Mutex<State>,
) -> io::Result<()> {
    const TIMEOUT: Duration = Duration::from_secs(4);
    from.set_read_timeout(Some(TIMEOUT))?;
    let (mut first_bytes, mut chunk) = (Vec::new(), [0; 4096]);
    while sender_name(&first_bytes).is_none() && first_bytes.len() < 128 {
        match (&mut &*from).read(&mut chunk)? {
            0 => return Ok(()),
            count => first_bytes.extend_from_slice(&chunk[..count]),
        }
    }
    let Some(from_index) =
        sender_name(&first_bytes).and_then(|name| names.iter().position(|known| known == name))
    else {
        return Ok(());
    };
    let conditions = |a, b| {
        lock(state)
            .conditions
            .get(&(a, b))
            .copied()
            .unwrap_or_default()
    };
    if first_bytes[0] & 0x80 != 0 {
        return carry_persistent_stream(from, first_bytes, address, || {
            (conditions(from_index, to), conditions(to, from_index))
        });
    }
    let (forward, reverse) = (conditions(from_index, to), conditions(to, from_index));
    if forward.blocked || reverse.blocked {
        thread::sleep(TIMEOUT);
        return Ok(());
    }
    thread::sleep(Duration::from_secs_f64(
        (forward.delay_ms + reverse.delay_ms) / 1e3,
    ));
    let outgoing = TcpStream::connect_timeout(&address, TIMEOUT)?;
    outgoing.set_read_timeout(Some(TIMEOUT))?;
    (&outgoing).write_all(&first_bytes)?;
    let (reading, writing) = (from.try_clone()?, outgoing.try_clone()?);
    thread::spawn(move || {
        let _ = io::copy(&mut &reading, &mut &writing);
        let _ = writing.shutdown(Shutdown::Write);
    });
    let copied = io::copy(&mut &outgoing, &mut &*from);
    let _ = from.shutdown(Shutdown::Both);
    let _ = outgoing.shutdown(Shutdown::Both);
    copied.map(drop)
}
