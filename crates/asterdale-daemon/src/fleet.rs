//! The fleet that this process belongs to: its talk begins here, is told in the log, and is looked at from the command
//! line.

use std::path::PathBuf;
use std::sync::Arc;

use asterdale::events::PeerCounts;
use asterdale_engine::engine::unix_ms;
use asterdale_engine::log::Log;
use asterdale_engine::message::{EngineMessage, FleetView, LocalStatus, OwnershipClient};
use asterdale_membership::{Event, MembershipConfig as Told, Metadata, Phase, Settings};
use asterdale_ownership::{OwnershipEvent as Word, OwnershipRequest};
use asterdale_transport::ownership::OwnershipNotification;
use asterdale_transport::{Transport, TransportSettings};
use crossbeam_channel::Sender;
use siphasher::sip::SipHasher13;

use crate::start::{OwnershipSettings, Start};

/// A probe's answer may take this part of the interval, as by default.
const TIMEOUT: f64 = 0.3;

/// The others, as the host sees them.
struct Others(Transport);

impl FleetView for Others {
    fn peer_counts(&self) -> Option<PeerCounts> {
        let there = self.0.summary.live_members();
        let own = u32::from(self.0.summary.is_local_warm());
        (there > 0).then(|| PeerCounts {
            present: f64::from(there - 1),
            ready: f64::from(self.0.summary.warm_members().saturating_sub(own)),
        })
    }

    fn publish_status(&self, doing: LocalStatus) {
        let LocalStatus {
            accepts_work: takes,
            warming_up: cold,
            draining: leaves,
            load,
        } = doing;
        let phase = match (leaves, cold, takes) {
            (true, ..) => Phase::Draining,
            (_, true, _) => Phase::WarmingUp,
            (.., false) => Phase::AtCapacity,
            _ => Phase::Ready,
        };
        // In steps, so that a load that wavers is no news.
        let load = load.saturating_add(5) / 10 * 10;
        self.0.publish_status(Metadata {
            phase,
            load_percent: load,
            warm_percent: if cold { 0 } else { 100 },
        });
    }
}

/// Those who keep work in hand, as the host sees them.
struct Keepers {
    custody: asterdale_transport::ownership::OwnershipHandle,
    stages: Vec<Option<bool>>,
    /// Of the fleet's key: what tells bodies apart is alike in all its processes, and can't be foreseen outside.
    secret: (u64, u64),
}

impl Keepers {
    fn new(
        custody: asterdale_transport::ownership::OwnershipHandle,
        told: &OwnershipSettings,
        key: &[u8],
    ) -> Keepers {
        use std::hash::Hasher as _;
        let half = |n: u64| {
            let mut hasher = SipHasher13::new_with_keys(n, !n);
            hasher.write(key);
            hasher.finish()
        };
        Keepers {
            custody,
            stages: told.replicated_classes.clone(),
            secret: (half(1), half(2)),
        }
    }
}

impl OwnershipClient for Keepers {
    fn replicates_class(&self, stage: usize) -> Option<bool> {
        self.stages.get(stage).copied().flatten()
    }

    fn body_digest(&self, body: &[u8]) -> u64 {
        use std::hash::Hasher as _;
        let mut hasher = SipHasher13::new_with_keys(self.secret.0, self.secret.1);
        hasher.write(body);
        hasher.finish()
    }

    fn request(&self, number: u64, want: OwnershipRequest) {
        self.custody.request(number, want);
    }

    fn cancel(&self, number: u64) {
        self.custody.cancel(number);
    }

    fn claim_unused(&self, key: Vec<u8>, fence: u64) {
        self.custody.drop_claim(key, fence);
    }

    fn set_takeover_capacity(&self, room: u32) {
        self.custody.set_takeover_capacity(room);
    }

    fn may_act(&self) -> bool {
        self.custody.is_lease_valid()
    }

    fn lease_ms(&self) -> f64 {
        self.custody.lease_ms()
    }

    fn release_all(&self) {
        self.custody.leave();
    }
}

/// What the host holds of the others: how many there are, and those who keep work in hand.
type Around = (Option<Arc<dyn FleetView>>, Option<Arc<dyn OwnershipClient>>);

/// Begins to talk, where the start file has a fleet.
pub fn begin(
    start: &Start,
    mail: &Sender<EngineMessage>,
    log: &Log,
    #[cfg(feature = "journal")] lasting: Option<asterdale_journal::Journal>,
) -> Result<Around, String> {
    let Some(fleet) = &start.fleet else {
        return Ok((None, None));
    };
    #[cfg(feature = "journal")]
    let generation = lasting.as_ref().map_or(0, |journal| journal.generation);
    #[cfg(not(feature = "journal"))]
    let generation = 0;
    let mut nonce = [0; 8];
    getrandom::fill(&mut nonce).map_err(|e| format!("fleet: no random bytes: {e}"))?;
    let interval_ms = fleet.protocol_period_ms;
    let told = Told {
        name: start.name.clone(),
        address: fleet.advertise,
        last_generation: generation,
        nonce: u64::from_be_bytes(nonce),
        seeds: fleet.seeds.clone(),
        key: fleet.key.clone(),
        settings: Settings {
            probe_interval_ms: interval_ms,
            probe_timeout_ms: TIMEOUT * interval_ms,
            ..Settings::default()
        },
        random_seed: start.settings.decisions.seed,
    };
    let control = fleet.control_socket.as_ref().map(PathBuf::from);
    #[cfg(feature = "journal")]
    let disk = crate::journal::disk(start, log)?;
    #[cfg(not(feature = "journal"))]
    let disk = None;
    let custody = start.ownership.as_ref().map(|told| {
        asterdale_transport::ownership::OwnershipActorSettings {
            disk,
            replicas: told.replicas.clone(),
            parameters: asterdale_ownership::OwnershipSettings {
                lease_ms: told.lease_ms,
                lease_margin_ms: told.lease_ms / 4.0,
                // An election takes ten to twenty ticks: half a lease to one.
                tick_ms: (told.lease_ms / 20.0).clamp(20.0, 200.0),
                max_bytes: told.max_bytes,
                max_retry_window_ms: told.retry_window_ms,
                ..asterdale_ownership::OwnershipSettings::default()
            },
            unix_time_s: (unix_ms() / 1e3) as u64,
        }
    });
    let place = TransportSettings {
        listen: fleet.listen,
        control_socket: control,
        membership: told,
        ownership: custody,
    };
    let (lines, words) = (log.lines.clone(), log.lines.clone());
    let host = mail.clone();
    let kept = move |heard| {
        let mail = match heard {
            OwnershipNotification::Answered(number, answer) => {
                EngineMessage::OwnershipAnswer(number, answer)
            }
            OwnershipNotification::OwnerlessRequests(all) => EngineMessage::OwnerlessRequests(all),
            OwnershipNotification::Log(word) => return told_of(&words, &word),
            OwnershipNotification::StorageFailed(why) => {
                return slog::error!(words, "takeover: this process is no keeper any more, its disk failed"; "why" => %why);
            }
        };
        // The host takes its mail at once; while its box is full everybody waits for it.
        let _ = host.send(mail);
    };
    #[cfg(feature = "journal")]
    let witness = lasting.map(crate::journal::Witness::new);
    let told = move |event: &Event| {
        tell(&lines, event);
        #[cfg(feature = "journal")]
        witness.iter().for_each(|witness| witness.hears(event));
    };
    let talk = asterdale_transport::start(place, told, kept);
    let talk = talk.map_err(|e| format!("fleet: {}: {e}", fleet.listen))?;
    let keepers = talk.ownership.clone().zip(start.ownership.as_ref());
    let keepers = keepers.map(|(custody, told)| Keepers::new(custody, told, &fleet.key));
    let keepers = keepers.map(|keepers| Arc::new(keepers) as Arc<dyn OwnershipClient>);
    Ok((Some(Arc::new(Others(talk))), keepers))
}

/// A line for each word of custody.
fn told_of(lines: &slog::Logger, word: &Word) {
    match word {
        Word::GroupFormed(group, quiet_ms) => {
            slog::warn!(lines, "takeover: a group of keepers is formed, nothing is claimed before windows have passed";
                "group" => group, "quiet_ms" => quiet_ms);
        }
        Word::GroupJoined(group) => {
            slog::info!(lines, "takeover: this keeper is in a group"; "group" => group)
        }
        Word::RestoredFromDisk(group) => {
            slog::info!(lines, "takeover: this keeper is the one that it was, by its disk"; "group" => group);
        }
        Word::BecameLeader(group) => {
            slog::info!(lines, "takeover: this keeper leads"; "group" => group)
        }
        Word::LostLeadership(group) => {
            slog::warn!(lines, "takeover: this keeper leads no more"; "group" => group)
        }
        Word::GroupAbandoned(group) => {
            slog::error!(lines, "takeover: most keepers lost their memory, the group is given up"; "group" => group);
        }
        Word::ReplicaReplaced(name) => {
            slog::info!(lines, "takeover: a keeper that came back takes its place"; "name" => name);
        }
        Word::EpochGranted(epoch) => {
            slog::info!(lines, "takeover: this process may claim work"; "epoch" => epoch)
        }
        Word::EpochEnded(epoch) => {
            slog::error!(lines, "takeover: what this process had claimed may be another's"; "epoch" => epoch);
        }
        Word::LeaseLapsed(epoch) => {
            slog::warn!(lines, "takeover: the lease lapsed, nothing that is kept is started"; "epoch" => epoch);
        }
        Word::LeaseRestored(epoch) => {
            slog::info!(lines, "takeover: the lease holds"; "epoch" => epoch)
        }
    }
}

/// A line for each event.
fn tell(lines: &slog::Logger, event: &Event) {
    match event {
        Event::PriorGeneration(0) => {}
        Event::PriorGeneration(generation) => {
            slog::info!(lines, "fleet: others remember this name"; "generation" => generation);
        }
        Event::Joined(generation) => {
            slog::info!(lines, "fleet: a member"; "generation" => generation)
        }
        Event::MemberChanged {
            name,
            generation,
            change: what,
            reported_by: by,
        } => {
            slog::info!(lines, "fleet: a change"; "name" => name, "generation" => generation, "what" => ?what, "by" => by);
        }
        Event::DeclaredDead { reported_by: by } => {
            slog::warn!(lines, "fleet: the others hold this process for dead, it begins anew"; "by" => by);
        }
        Event::Rejoined(generation) => {
            slog::info!(lines, "fleet: a member again"; "generation" => generation);
        }
        Event::NameConflict(at) => {
            slog::error!(lines, "fleet: another process may have this name"; "at" => %at);
        }
        Event::Superseded(at) => {
            slog::error!(lines, "fleet: a newer process has this name, this one is no member"; "at" => %at);
        }
        Event::Paused(ms) => {
            slog::warn!(lines, "fleet: this process stood still"; "ms" => ms.round())
        }
        Event::MajorityChanged(true) => slog::info!(lines, "fleet: most of it is heard"),
        Event::MajorityChanged(false) => slog::warn!(lines, "fleet: not sure to hear most of it"),
        Event::VersionRejected {
            min_version: least,
            max_version: most,
        } => {
            slog::error!(lines, "fleet: another speaks other versions"; "least" => least, "most" => most);
        }
    }
}

#[cfg(feature = "tools")]
pub use line::{run, Command};

#[cfg(feature = "tools")]
mod line {
    use std::collections::BTreeMap;
    use std::path::PathBuf;
    use std::process::ExitCode;
    use std::thread;
    use std::time::Duration;

    use asterdale_transport::control;
    use clap::{Args, Subcommand};

    /// Where the process is asked.
    #[derive(Args)]
    pub struct At {
        /// The control socket, as the start file names it in `fleet.control`
        #[arg(long)]
        control: PathBuf,
    }

    /// What is asked about the fleet.
    #[derive(Subcommand)]
    pub enum Command {
        /// Print what the process holds of its fleet; exit code 1 if it is not certain of it
        Show {
            #[command(flatten)]
            at: At,
            /// As JSON
            #[arg(long)]
            json: bool,
        },
        /// Print each change, as it is held, until interrupted or the process ends
        Watch {
            #[command(flatten)]
            at: At,
            /// How often to look, in milliseconds
            #[arg(long, default_value_t = 500)]
            every_ms: u64,
        },
        /// Print what the process holds as a keeper of work in hand; exit code 1 if it is in no group, or nobody leads it
        Keepers {
            #[command(flatten)]
            at: At,
            /// As JSON
            #[arg(long)]
            json: bool,
        },
        /// Have the process leave its fleet: it serves on, and counts as gone
        Leave {
            #[command(flatten)]
            at: At,
        },
    }

    fn watch(at: &At, every_ms: u64) -> Result<(), control::ControlError> {
        let mut held: BTreeMap<String, (u64, String)> = BTreeMap::new();
        loop {
            let shown = control::show(&at.control)?;
            let all = std::iter::once(&shown.local).chain(&shown.members);
            let now: BTreeMap<_, _> = all
                .map(|m| (m.name.clone(), (m.generation, m.status.clone())))
                .collect();
            for (name, (generation, status)) in &now {
                if held.get(name) != Some(&(*generation, status.clone())) {
                    println!("{name} generation {generation} {status}");
                }
            }
            for name in held.keys().filter(|name| !now.contains_key(*name)) {
                println!("{name} forgotten");
            }
            held = now;
            thread::sleep(Duration::from_millis(every_ms.max(10)));
        }
    }

    /// What a keeper holds, for people.
    fn kept(shown: &serde_json::Value) -> String {
        let names = |list: &serde_json::Value, field: Option<&str>| {
            let name = |one: &serde_json::Value| {
                field
                    .map_or(one, |field| &one[field])
                    .as_str()
                    .unwrap_or_default()
                    .to_owned()
            };
            list.as_array()
                .into_iter()
                .flatten()
                .map(name)
                .collect::<Vec<_>>()
                .join(" ")
        };
        let kept = shown["kept"].as_object().into_iter().flatten();
        let kept: Vec<String> = kept.map(|(state, n)| format!("{state} {n}")).collect();
        let quiet = shown["quiet_ms"].as_f64().unwrap_or(0.0) / 1e3;
        [
            format!(
                "group {}, led by {}, {} entries",
                shown["group"], shown["leader"], shown["applied"]
            ),
            format!("keepers: {}", names(&shown["members"], None)),
            format!("owners: {}", names(&shown["owners"], Some("name"))),
            format!("kept: {}; {} bytes", kept.join(", "), shown["bytes"]),
            if quiet > 0.0 {
                format!("nothing is claimed for {quiet:.1} s")
            } else {
                "claims are taken".to_owned()
            },
        ]
        .join("\n")
    }

    /// Does it.
    pub fn run(command: &Command) -> ExitCode {
        let done = match command {
            Command::Show { at, json } => control::show(&at.control).map(|shown| {
                let text = if *json {
                    serde_json::to_string(&shown).unwrap_or_default()
                } else {
                    shown.to_table()
                };
                println!("{text}");
                if shown.has_majority {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                }
            }),
            Command::Watch { at, every_ms } => watch(at, *every_ms).map(|()| ExitCode::SUCCESS),
            Command::Keepers { at, json } => control::replica_status(&at.control).map(|shown| {
                println!(
                    "{}",
                    if *json {
                        shown.to_string()
                    } else {
                        kept(&shown)
                    }
                );
                if shown["group"] != 0
                    && shown["leader"]
                        .as_str()
                        .is_some_and(|leader| !leader.is_empty())
                {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                }
            }),
            Command::Leave { at } => control::leave(&at.control).map(|()| ExitCode::SUCCESS),
        };
        done.unwrap_or_else(|why| {
            eprintln!("asterdale: {why}");
            ExitCode::from(2)
        })
    }
}
