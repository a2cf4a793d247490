//! The wave of work after a loss, at sizes that sockets don't reach: some servers die with what they had claimed, and the
//! others take it over. The real book and its order of offers, on servers that are modelled by their cores alone: so many
//! runs, each as fast as the cores it shares with the others. With the bound that owners state (room by idle cores), and
//! without it (whatever is orphaned is taken by the first who is told).

use asterdale_ownership::message::wire::{Claim, Command, Complete, LogEntry, Proposal};
use asterdale_ownership::message::{member, CommandKind};
use asterdale_ownership::{KeyedRequest, Member, OwnershipSettings, OwnershipTable, Verdict};
use serde::Serialize;

use crate::chance::Chance;

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Servers.
    pub servers: usize,
    /// Those that die at once, as a part of all.
    pub lost: f64,
    /// Busy part of the cores before that.
    pub load: f64,
    /// Owners take no more than they have room for.
    pub bound: bool,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Servers.
    pub servers: usize,
    /// Those that died.
    pub lost: usize,
    /// Busy part of the cores before that.
    pub load: f64,
    /// With the bound.
    pub bound: bool,
    /// What they had claimed.
    pub orphans: usize,
    /// Of that, what ended before its due time.
    pub in_time: f64,
    /// From the deaths to the last orphan that was taken, in seconds.
    pub taken_s: f64,
    /// The most runs for each core on any server that lives, before the loss and after it.
    pub most_before: f64,
    /// See above.
    pub most_after: f64,
    /// Median run of a survivor's own tasks during the first five seconds, over the usual.
    pub own_slower: f64,
}

/// A step, in milliseconds.
const STEP: f64 = 10.0;
const CORES: f64 = 4.0;
/// KeyedRequest of a run, in milliseconds of one core: from half of this to one and a half.
const RUN: f64 = 300.0;
/// Until a caller's due time, from when it asked.
const DUE: f64 = 6000.0;
/// Orphans in hand at once, for each core, and the part of the idle cores that is offered; as the engine has them.
const TAKEN: f64 = 2.0;

struct Run {
    left: f64,
    began: f64,
    work: f64,
    /// The end of its due time, where it was taken over.
    orphan: Option<f64>,
    /// By which it is kept.
    key: Vec<u8>,
    fence: u64,
}

#[derive(Default)]
struct Server {
    dead: bool,
    epoch: u64,
    runs: Vec<Run>,
    taken: usize,
}

impl Server {
    fn room(&self) -> usize {
        let idle = (CORES - self.runs.len() as f64).max(0.0);
        let most = TAKEN * CORES - self.taken as f64;
        (TAKEN * idle).min(most).max(0.0).ceil() as usize
    }
}

struct Wave {
    book: OwnershipTable,
    chance: Chance,
    key: u64,
}

impl Wave {
    fn order(&mut self, from: &Member, kind: CommandKind) -> asterdale_ownership::Answer {
        let command = Some(Command {
            seq: 0,
            kind: Some(kind),
        });
        let entry = LogEntry {
            elapsed_ms: 0.0,
            proposals: vec![Proposal {
                from: Some(from.clone()),
                command,
            }],
        };
        self.book
            .apply(entry)
            .pop()
            .map(|(_, answer)| answer)
            .unwrap_or_default()
    }

    fn work(&mut self, due_ms: f64) -> KeyedRequest {
        self.key += 1;
        KeyedRequest {
            key: self.key.to_be_bytes().to_vec(),
            class: "bid".to_owned(),
            execution_id: format!("{:016x}", self.key).into_bytes(),
            deadline_ms: due_ms,
            retry_window_ms: 60_000.0,
            fenced: true,
            ..KeyedRequest::default()
        }
    }
}

/// Plays it once.
pub fn play(play: &Play, seed: u64) -> Figures {
    let terms = OwnershipSettings {
        max_retry_window_ms: 0.0,
        max_requests: usize::MAX,
        max_bytes: usize::MAX,
        ..OwnershipSettings::default()
    };
    let lease_ms = terms.lease_ms;
    let mut wave = Wave {
        book: OwnershipTable::new(1, &[], terms),
        chance: Chance::new(seed, 99),
        key: 0,
    };
    let me: Vec<Member> = (0..play.servers)
        .map(|n| {
            member(
                &format!("s{n}"),
                n as u64 + 1,
                ([10, 0, (n >> 8) as u8, n as u8], 7000).into(),
            )
        })
        .collect();
    let mut servers: Vec<Server> = (0..play.servers).map(|_| Server::default()).collect();
    let (mut now, mut died) = (0.0, f64::INFINITY);
    let lost = ((play.servers as f64 * play.lost).round() as usize).clamp(1, play.servers - 1);
    let (mut orphans, mut in_time, mut last) = (0, 0, 0.0);
    let (mut before, mut after) = (0.0f64, 0.0f64);
    let mut slower = Vec::new();
    let settle = 4.0 * lease_ms;
    while now < settle + 15_000.0 {
        now += STEP;
        wave.book.apply(LogEntry {
            elapsed_ms: STEP,
            proposals: Vec::new(),
        });
        if now >= settle && died.is_infinite() {
            died = now;
            for server in &mut servers[..lost] {
                server.dead = true;
                orphans += server.runs.len();
                server.runs.clear();
            }
        }
        let renews = (now / STEP) as u64 % (lease_ms / 4.0 / STEP) as u64 == 0;
        for n in 0..servers.len() {
            if servers[n].dead {
                continue;
            }
            if renews {
                let answer = wave.order(&me[n], CommandKind::Join(0));
                servers[n].epoch = answer.number;
            }
            // Its own tasks: so many a second that the cores are busy for this part of their time. Callers who lost
            // theirs do not come again here: what is looked at is the orphans.
            if wave.chance.share() < play.load * CORES / RUN * STEP {
                let work = RUN * (0.5 + wave.chance.share());
                let task = wave.work(DUE);
                let key = task.key.clone();
                let claim = Claim {
                    epoch: servers[n].epoch,
                    request: Some(task),
                };
                let answer = wave.order(&me[n], CommandKind::Claim(claim));
                if answer.verdict() == Verdict::Granted {
                    let fence = answer.number;
                    servers[n].runs.push(Run {
                        left: work,
                        began: now,
                        work,
                        orphan: None,
                        key,
                        fence,
                    });
                }
            }
            let share = (CORES / servers[n].runs.len().max(1) as f64).min(1.0) * STEP;
            let (chance, crowd) = (&mut slower, servers[n].runs.len() as f64 / CORES);
            if died.is_finite() {
                after = after.max(crowd);
            } else if now > settle / 2.0 {
                before = before.max(crowd);
            }
            let server = &mut servers[n];
            let (mut taken, mut over) = (0, Vec::new());
            server.runs.retain_mut(|run| {
                run.left -= share;
                if run.left > 0.0 {
                    return true;
                }
                over.push(Complete {
                    key: std::mem::take(&mut run.key),
                    fence: run.fence,
                    result: None,
                });
                if let Some(due) = run.orphan {
                    taken += 1;
                    in_time += usize::from(now <= due);
                } else if (died..died + 5000.0).contains(&run.began) {
                    chance.push((now - run.began) / run.work);
                }
                false
            });
            server.taken -= taken;
            for end in over {
                wave.order(&me[n], CommandKind::Complete(end));
            }
        }
        if !renews || died.is_infinite() {
            continue;
        }
        // The leader's offers, the most urgent first.
        let book_now = wave.book.now_ms();
        let loose = wave.book.claimable().map(|kept| KeyedRequest {
            deadline_ms: kept.deadline_ms - book_now,
            ..kept.request.clone()
        });
        let mut next = loose.collect::<Vec<_>>().into_iter();
        let live: Vec<usize> = (lost..servers.len()).collect();
        'offers: for &n in &live {
            // Without the bound the first who renews is told of all there is.
            let room = if play.bound {
                servers[n].room()
            } else {
                usize::MAX
            };
            for _ in 0..room {
                let Some(work) = next.next() else {
                    break 'offers;
                };
                let (due, epoch) = (now + work.deadline_ms, servers[n].epoch);
                let key = work.key.clone();
                let claim = Claim {
                    epoch,
                    request: Some(work),
                };
                let answer = wave.order(&me[n], CommandKind::Claim(claim));
                if answer.verdict() == Verdict::Granted {
                    let work = RUN * (0.5 + wave.chance.share());
                    let (orphan, fence) = (Some(due), answer.number);
                    servers[n].runs.push(Run {
                        left: work,
                        began: now,
                        work,
                        orphan,
                        key,
                        fence,
                    });
                    servers[n].taken += 1;
                    last = now - died;
                }
            }
        }
    }
    slower.sort_by(f64::total_cmp);
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    Figures {
        servers: play.servers,
        lost,
        load: play.load,
        bound: play.bound,
        orphans,
        in_time: round(in_time as f64 / orphans.max(1) as f64),
        taken_s: round(last / 1e3),
        most_before: round(before),
        most_after: round(after),
        own_slower: round(slower.get(slower.len() / 2).copied().unwrap_or(0.0)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn with_the_bound_no_survivor_is_pushed_over_and_what_can_end_does() {
        let told = |bound| Play {
            servers: 30,
            lost: 0.33,
            load: 0.5,
            bound,
        };
        let (with, without) = (play(&told(true), 3), play(&told(false), 3));
        assert!(with.orphans > 10 && with.in_time > 0.95, "{with:?}");
        assert!(with.most_after <= with.most_before + TAKEN, "{with:?}");
        assert!(
            without.most_after > 2.0 * with.most_after,
            "{without:?} {with:?}"
        );
        assert_eq!(
            format!("{with:?}"),
            format!("{:?}", play(&told(true), 3)),
            "the same seed gives the same"
        );
    }
}
