//! Edge nodes of the simulation: how they pick a server for an attempt and when they retry a failed one.
//!
//! An edge node knows only its own attempts and the servers that it sees as up, nothing of what goes on inside a server.

use crate::experiment::{Edges, Pick, Retry};
use crate::random::{hash, RandomStream};
use crate::Nanos;

#[cfg(test)]
mod tests;

/// Points of each server on the hash ring: enough for an even spread of the subjects.
const POINTS_PER_SERVER: usize = 64;
/// Random draws for an eligible server before all servers are scanned.
const MAX_DRAWS: usize = 8;
/// Changes the hashes of the ring's points, so that they differ from the hashes of the subjects.
const RING_SALT: u64 = 0x517c_c1b7;

/// The consistent hash ring, shared by all edge nodes: hash and server of each point, in ascending order.
pub struct HashRing(Vec<(u64, u32)>);

impl HashRing {
    /// The ring of this many servers.
    pub fn new(servers: usize) -> HashRing {
        let point = |index: usize| {
            let position = hash(RING_SALT ^ (index as u64 + 1));
            (position, (index / POINTS_PER_SERVER) as u32)
        };
        let mut points: Vec<_> = (0..servers * POINTS_PER_SERVER).map(point).collect();
        points.sort_unstable();
        HashRing(points)
    }

    /// The server of each point, clockwise from the subject's position.
    fn servers_from(&self, subject: u64) -> impl Iterator<Item = usize> + '_ {
        let first = self
            .0
            .partition_point(|(position, _)| *position < hash(subject));
        (0..self.0.len()).map(move |offset| self.0[(offset + first) % self.0.len()].1 as usize)
    }
}

/// What a server is picked for.
pub struct PickRequest<'a> {
    /// The present time.
    pub now: Nanos,
    /// How the server is picked.
    pub pick: Pick,
    /// By server: whether the edge nodes see it as up.
    pub is_up: &'a [bool],
    /// The hash ring of all servers.
    pub ring: &'a HashRing,
    /// What the request is about; hash policies keep a subject on its server.
    pub subject: u64,
    /// The server of the previous attempt, which is avoided.
    pub last_server: Option<usize>,
}

/// One edge node.
pub struct Edge {
    /// By server: open attempts of this edge node.
    open_attempts: Vec<u32>,
    total_open_attempts: u32,
    /// By server: when its last Retry-After ends.
    avoided_until: Vec<Nanos>,
    next_round_robin: usize,
    random: RandomStream,
    first_attempts: f64,
    retries: f64,
}

impl Edge {
    /// An edge node without open attempts. Its round robin starts at a random server.
    pub fn new(servers: usize, mut random: RandomStream) -> Edge {
        Edge {
            open_attempts: vec![0; servers],
            total_open_attempts: 0,
            avoided_until: vec![0; servers],
            next_round_robin: random.index(servers),
            random,
            first_attempts: 0.0,
            retries: 0.0,
        }
    }

    /// Picks a server among the eligible ones: up, not asking for a pause, not that of the previous attempt. If there is
    /// none, picks any server that is up; `None` if all are down.
    pub fn pick(&mut self, request: &PickRequest<'_>) -> Option<usize> {
        let picked = match request.pick {
            Pick::RoundRobin => self.pick_round_robin(request),
            Pick::Random => self.draw_eligible(request),
            Pick::TwoChoices => self.pick_two_choices(request),
            Pick::LeastLoaded => self.pick_least_loaded(request),
            Pick::RingHash(max_ratio) => self.pick_ring_hash(request, max_ratio),
            Pick::Rendezvous(max_ratio) => self.pick_rendezvous(request, max_ratio),
        };
        let servers = request.is_up.len();
        picked.or_else(|| self.draw(servers, &|_: &Edge, server: usize| request.is_up[server]))
    }

    fn is_eligible(&self, request: &PickRequest<'_>, server: usize) -> bool {
        request.is_up[server]
            && self.avoided_until[server] <= request.now
            && request.last_server != Some(server)
    }

    /// Whether the server's open attempts are at most `max_ratio` times the mean over all servers plus one.
    fn has_bounded_load(&self, request: &PickRequest<'_>, server: usize, max_ratio: f64) -> bool {
        let mean = 1.0 + f64::from(self.total_open_attempts) / request.is_up.len() as f64;
        f64::from(self.open_attempts[server]) <= max_ratio * mean
    }

    fn pick_round_robin(&mut self, request: &PickRequest<'_>) -> Option<usize> {
        let servers = request.is_up.len();
        (0..servers).find_map(|_| {
            self.next_round_robin = (self.next_round_robin + 1) % servers;
            self.is_eligible(request, self.next_round_robin)
                .then_some(self.next_round_robin)
        })
    }

    fn pick_two_choices(&mut self, request: &PickRequest<'_>) -> Option<usize> {
        let first = self.draw_eligible(request);
        let second = self.draw_eligible(request);
        let (first, second) = first.zip(second)?;
        let is_second_less_loaded = self.open_attempts[second] < self.open_attempts[first];
        Some(if is_second_less_loaded { second } else { first })
    }

    /// Starts at a random server, so that ties do not always go to the same one.
    fn pick_least_loaded(&mut self, request: &PickRequest<'_>) -> Option<usize> {
        let servers = request.is_up.len();
        let first = self.random.index(servers);
        (0..servers)
            .map(|offset| (offset + first) % servers)
            .filter(|server| self.is_eligible(request, *server))
            .min_by_key(|server| self.open_attempts[*server])
    }

    fn pick_ring_hash(&self, request: &PickRequest<'_>, max_ratio: f64) -> Option<usize> {
        request
            .ring
            .servers_from(request.subject)
            .filter(|server| self.is_eligible(request, *server))
            .find(|server| self.has_bounded_load(request, *server, max_ratio))
    }

    fn pick_rendezvous(&self, request: &PickRequest<'_>, max_ratio: f64) -> Option<usize> {
        (0..request.is_up.len())
            .filter(|server| self.is_eligible(request, *server))
            .filter(|server| self.has_bounded_load(request, *server, max_ratio))
            .max_by_key(|server| hash(hash(request.subject) ^ (*server as u64 + 1)))
    }

    fn draw_eligible(&mut self, request: &PickRequest<'_>) -> Option<usize> {
        let is_eligible = |edge: &Edge, server: usize| edge.is_eligible(request, server);
        self.draw(request.is_up.len(), &is_eligible)
    }

    /// A random server that is accepted; scans all servers if `MAX_DRAWS` draws do not find one.
    fn draw(
        &mut self,
        servers: usize,
        is_accepted: &dyn Fn(&Edge, usize) -> bool,
    ) -> Option<usize> {
        for _ in 0..MAX_DRAWS {
            let server = self.random.index(servers);
            if is_accepted(self, server) {
                return Some(server);
            }
        }
        let first = self.random.index(servers);
        (0..servers)
            .map(|offset| (offset + first) % servers)
            .find(|server| is_accepted(self, *server))
    }

    /// Records that a first attempt was sent to the server.
    pub fn record_first_attempt(&mut self, server: usize) {
        self.first_attempts += 1.0;
        self.open_attempt(server);
    }

    /// Records that a retry was sent to the server.
    pub fn record_retry(&mut self, server: usize) {
        self.retries += 1.0;
        self.open_attempt(server);
    }

    fn open_attempt(&mut self, server: usize) {
        self.open_attempts[server] += 1;
        self.total_open_attempts += 1;
    }

    /// Records that an attempt at the server ended. It must have been recorded as sent.
    pub fn record_end(&mut self, server: usize) {
        self.open_attempts[server] -= 1;
        self.total_open_attempts -= 1;
    }

    /// Avoids the server until this time, as its Retry-After asks. An earlier, longer one stays in force.
    pub fn avoid(&mut self, server: usize, until: Nanos) {
        self.avoided_until[server] = self.avoided_until[server].max(until);
    }

    /// Delay before the next attempt after this many, in milliseconds; `None` if the request is not retried.
    pub fn retry_delay_ms(&mut self, edges: &Edges, attempts: u32) -> Option<f64> {
        match edges.retry {
            Retry::None => None,
            Retry::Fixed(max_retries) => (attempts <= max_retries).then_some(0.0),
            Retry::Budget(max_retries, max_share) => {
                let has_budget = self.retries < max_share * self.first_attempts;
                (attempts <= max_retries && has_budget).then_some(0.0)
            }
            Retry::Jitter(max_retries, base_ms) => {
                let max_delay_ms = base_ms * 2f64.powi(attempts.min(16) as i32 - 1);
                (attempts <= max_retries).then(|| max_delay_ms * self.random.uniform())
            }
        }
    }
}
