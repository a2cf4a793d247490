//! Model of the failover surge: some servers crash, and the survivors claim the requests that the crashed servers held.
//!
//! The ownership table and the order of its offers are the real ones. A server is modelled by its cores alone: each
//! running request gets an equal share of them. The model runs with the owners' capacity bound (a server claims no more
//! than its idle cores allow) and without it (the first server that renews its lease claims every orphaned request).

use asterdale_ownership::message::wire::{Claim, Command, Complete, LogEntry, Proposal};
use asterdale_ownership::message::{member, CommandKind};
use asterdale_ownership::{
    Answer, KeyedRequest, Member, OwnershipSettings, OwnershipTable, Verdict,
};
use serde::Serialize;

use self::server::{Execution, Server, CORES};
use crate::random::RandomStream;

mod server;
#[cfg(test)]
mod tests;

/// One scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of servers, at least 2.
    pub servers: usize,
    /// Share of the servers that crash at the same time, from 0 to 1. At least one crashes and at least one survives.
    pub crash_share: f64,
    /// CPU utilization before the crash, from 0 to 1.
    pub load: f64,
    /// Whether servers claim no more orphaned requests than they have capacity for.
    pub capacity_bound: bool,
}

/// Measurements of one simulation. The serialized names are the command's output format.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of servers.
    pub servers: usize,
    /// Number of servers that crashed.
    #[serde(rename = "lost")]
    pub crashed_servers: usize,
    /// CPU utilization before the crash, from 0 to 1.
    pub load: f64,
    /// Whether servers claimed no more than they had capacity for.
    #[serde(rename = "bound")]
    pub capacity_bound: bool,
    /// Requests that were running on the crashed servers.
    #[serde(rename = "orphans")]
    pub orphaned_requests: usize,
    /// Share of the orphaned requests that completed before their deadline, from 0 to 1.
    #[serde(rename = "in_time")]
    pub met_deadline_share: f64,
    /// Seconds from the crash to the claim of the last orphaned request.
    #[serde(rename = "taken_s")]
    pub last_claim_s: f64,
    /// Highest number of running requests per core on any live server before the crash.
    #[serde(rename = "most_before")]
    pub max_concurrency_before: f64,
    /// Highest number of running requests per core on any live server after the crash.
    #[serde(rename = "most_after")]
    pub max_concurrency_after: f64,
    /// Median duration of the survivors' own requests that started within 5 s of the crash, relative to an idle server.
    #[serde(rename = "own_slower")]
    pub own_slowdown: f64,
}

/// Length of a simulation step, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Mean work of a request, in milliseconds of one core. The work is uniform from 0.5 to 1.5 times the mean.
const MEAN_WORK_MS: f64 = 300.0;
/// Time from a request's arrival to its deadline, in milliseconds.
const DEADLINE_MS: f64 = 6000.0;
/// Time that is simulated after the crash, in milliseconds: longer than the deadline of any orphaned request.
const OBSERVED_AFTER_CRASH_MS: f64 = 15_000.0;
/// Time after the crash within which the survivors' own requests count towards the slowdown, in milliseconds.
const SLOWDOWN_WINDOW_MS: f64 = 5000.0;
/// Random stream of this model. Streams of other models have other numbers.
const RANDOM_STREAM: u64 = 99;

/// Simulates the scenario once. The same scenario and seed give the same report.
pub fn simulate(scenario: &Scenario, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, seed);
    while simulation.now_ms < simulation.warm_up_ms() + OBSERVED_AFTER_CRASH_MS {
        simulation.step();
    }
    simulation.into_report()
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    crashed_servers: usize,
    lease_ms: f64,
    table: OwnershipTable,
    members: Vec<Member>,
    servers: Vec<Server>,
    random: RandomStream,
    /// Number of the last request that arrived; it is also the request's idempotency key.
    last_key: u64,
    now_ms: f64,
    crashed_at_ms: Option<f64>,
    orphaned_requests: usize,
    met_deadline: usize,
    last_claim_after_ms: f64,
    max_concurrency_before: f64,
    max_concurrency_after: f64,
    slowdowns: Vec<f64>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Simulation<'a> {
        let settings = OwnershipSettings {
            max_retry_window_ms: 0.0,
            max_requests: usize::MAX,
            max_bytes: usize::MAX,
            ..OwnershipSettings::default()
        };
        let crashed = (scenario.servers as f64 * scenario.crash_share).round() as usize;
        Simulation {
            scenario,
            crashed_servers: crashed.clamp(1, scenario.servers - 1),
            lease_ms: settings.lease_ms,
            table: OwnershipTable::new(1, &[], settings),
            members: (0..scenario.servers).map(member_of).collect(),
            servers: (0..scenario.servers).map(|_| Server::default()).collect(),
            random: RandomStream::new(seed, RANDOM_STREAM),
            last_key: 0,
            now_ms: 0.0,
            crashed_at_ms: None,
            orphaned_requests: 0,
            met_deadline: 0,
            last_claim_after_ms: 0.0,
            max_concurrency_before: 0.0,
            max_concurrency_after: 0.0,
            slowdowns: Vec::new(),
        }
    }

    /// Time before the crash, in milliseconds: several leases, so that the load is steady.
    fn warm_up_ms(&self) -> f64 {
        4.0 * self.lease_ms
    }

    /// Whether servers renew their leases in this step. They do so four times per lease.
    fn is_renewal_step(&self) -> bool {
        let steps_per_renewal = (self.lease_ms / 4.0 / STEP_MS) as u64;
        (self.now_ms / STEP_MS) as u64 % steps_per_renewal == 0
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.table.apply(LogEntry {
            elapsed_ms: STEP_MS,
            proposals: Vec::new(),
        });
        if self.crashed_at_ms.is_none() && self.now_ms >= self.warm_up_ms() {
            self.crash_servers();
        }
        let renews = self.is_renewal_step();
        for index in 0..self.servers.len() {
            if !self.servers[index].is_crashed {
                self.step_server(index, renews);
            }
        }
        if let (true, Some(crashed_at_ms)) = (renews, self.crashed_at_ms) {
            self.offer_orphaned_requests(crashed_at_ms);
        }
    }

    fn crash_servers(&mut self) {
        self.crashed_at_ms = Some(self.now_ms);
        for server in &mut self.servers[..self.crashed_servers] {
            self.orphaned_requests += server.crash();
        }
    }

    fn step_server(&mut self, index: usize, renews: bool) {
        if renews {
            self.servers[index].epoch = self.propose(index, CommandKind::Join(0)).number;
        }
        // Clients of crashed servers do not send their requests again: only orphaned requests are measured.
        if self.random.uniform() < self.scenario.load * CORES / MEAN_WORK_MS * STEP_MS {
            let work_ms = self.random_work_ms();
            self.claim_own(index, work_ms);
        }
        self.record_concurrency(self.servers[index].concurrency());
        for execution in self.servers[index].advance(STEP_MS) {
            self.record_completion(&execution);
            let complete = Complete {
                key: execution.key,
                fence: execution.fence,
                result: None,
            };
            self.propose(index, CommandKind::Complete(complete));
        }
    }

    fn record_concurrency(&mut self, concurrency: f64) {
        if self.crashed_at_ms.is_some() {
            self.max_concurrency_after = self.max_concurrency_after.max(concurrency);
        } else if self.now_ms > self.warm_up_ms() / 2.0 {
            self.max_concurrency_before = self.max_concurrency_before.max(concurrency);
        }
    }

    fn record_completion(&mut self, execution: &Execution) {
        if let Some(deadline_ms) = execution.orphan_deadline_ms {
            self.met_deadline += usize::from(self.now_ms <= deadline_ms);
            return;
        }
        let started_ms = execution.started_ms;
        let in_window = |crashed_at_ms: f64| {
            (crashed_at_ms..crashed_at_ms + SLOWDOWN_WINDOW_MS).contains(&started_ms)
        };
        if self.crashed_at_ms.is_some_and(in_window) {
            self.slowdowns
                .push((self.now_ms - started_ms) / execution.work_ms);
        }
    }

    /// Offers the orphaned requests to the survivors as the leader does, in the order of the ownership table.
    fn offer_orphaned_requests(&mut self, crashed_at_ms: f64) {
        let table_now_ms = self.table.now_ms();
        let orphaned = self.table.claimable().map(|entry| KeyedRequest {
            deadline_ms: entry.deadline_ms - table_now_ms,
            ..entry.request.clone()
        });
        let mut orphaned = orphaned.collect::<Vec<_>>().into_iter();
        for index in self.crashed_servers..self.servers.len() {
            let capacity = if self.scenario.capacity_bound {
                self.servers[index].takeover_capacity()
            } else {
                usize::MAX
            };
            for request in orphaned.by_ref().take(capacity) {
                self.claim_orphaned(index, request, crashed_at_ms);
            }
        }
    }

    fn claim_own(&mut self, index: usize, work_ms: f64) {
        let request = self.next_request();
        let key = request.key.clone();
        if let Some(fence) = self.claim(index, request) {
            self.servers[index].start(Execution {
                key,
                fence,
                work_ms,
                remaining_ms: work_ms,
                started_ms: self.now_ms,
                orphan_deadline_ms: None,
            });
        }
    }

    fn claim_orphaned(&mut self, index: usize, request: KeyedRequest, crashed_at_ms: f64) {
        let deadline_ms = self.now_ms + request.deadline_ms;
        let key = request.key.clone();
        let Some(fence) = self.claim(index, request) else {
            return;
        };
        // Drawn only for granted claims, so that a refused claim leaves the random stream as it is.
        let work_ms = self.random_work_ms();
        self.servers[index].start(Execution {
            key,
            fence,
            work_ms,
            remaining_ms: work_ms,
            started_ms: self.now_ms,
            orphan_deadline_ms: Some(deadline_ms),
        });
        self.last_claim_after_ms = self.now_ms - crashed_at_ms;
    }

    /// Proposes that the server owns the request. Returns the fence of the claim if it is granted.
    fn claim(&mut self, index: usize, request: KeyedRequest) -> Option<u64> {
        let claim = Claim {
            epoch: self.servers[index].epoch,
            request: Some(request),
        };
        let answer = self.propose(index, CommandKind::Claim(claim));
        (answer.verdict() == Verdict::Granted).then_some(answer.number)
    }

    /// Applies one command of the server to the ownership table and returns the answer to it.
    fn propose(&mut self, index: usize, kind: CommandKind) -> Answer {
        let proposal = Proposal {
            from: Some(self.members[index].clone()),
            command: Some(Command {
                seq: 0,
                kind: Some(kind),
            }),
        };
        let answers = self.table.apply(LogEntry {
            elapsed_ms: 0.0,
            proposals: vec![proposal],
        });
        let last = answers.into_iter().next_back();
        last.map(|(_, answer)| answer).unwrap_or_default()
    }

    fn random_work_ms(&mut self) -> f64 {
        MEAN_WORK_MS * (0.5 + self.random.uniform())
    }

    fn next_request(&mut self) -> KeyedRequest {
        self.last_key += 1;
        KeyedRequest {
            key: self.last_key.to_be_bytes().to_vec(),
            class: "bid".to_owned(),
            execution_id: format!("{:016x}", self.last_key).into_bytes(),
            deadline_ms: DEADLINE_MS,
            retry_window_ms: 60_000.0,
            fenced: true,
            ..KeyedRequest::default()
        }
    }

    fn into_report(mut self) -> Report {
        self.slowdowns.sort_by(f64::total_cmp);
        let median = self.slowdowns.get(self.slowdowns.len() / 2).copied();
        let met_deadline_share = self.met_deadline as f64 / self.orphaned_requests.max(1) as f64;
        Report {
            servers: self.scenario.servers,
            crashed_servers: self.crashed_servers,
            load: self.scenario.load,
            capacity_bound: self.scenario.capacity_bound,
            orphaned_requests: self.orphaned_requests,
            met_deadline_share: round_to_thousandths(met_deadline_share),
            last_claim_s: round_to_thousandths(self.last_claim_after_ms / 1e3),
            max_concurrency_before: round_to_thousandths(self.max_concurrency_before),
            max_concurrency_after: round_to_thousandths(self.max_concurrency_after),
            own_slowdown: round_to_thousandths(median.unwrap_or(0.0)),
        }
    }
}

fn member_of(index: usize) -> Member {
    let address = ([10, 0, (index >> 8) as u8, index as u8], 7000).into();
    member(&format!("s{index}"), index as u64 + 1, address)
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
