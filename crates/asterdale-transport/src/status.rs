//! The status report of a process about its fleet, as the control socket sends it in JSON. The JSON keys are read by
//! operators and tools and stay as they are.

use std::collections::BTreeMap;

use asterdale_membership::{MemberRecord, Membership, Phase, Status};
use serde::{Deserialize, Serialize};

/// The status of a member, as the reporting process knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// The address that it advertises.
    #[serde(rename = "at")]
    pub address: String,
    /// Counts the processes that have had this name.
    pub generation: u64,
    /// Counts its refutations of suspicions.
    pub incarnation: u32,
    /// `alive`, `suspect`, `dead` or `left`.
    pub status: String,
    /// How long it has had this status, in milliseconds.
    #[serde(rename = "for_ms")]
    pub status_age_ms: u64,
    /// Which member reported the status.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// The time since a message came from the member itself, in milliseconds; absent if none ever did.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: Option<u64>,
    /// Its phase, as announced by the member: `cold`, `ready`, `full` or `leaving`.
    pub phase: String,
    /// The utilization of its cores, in percent.
    #[serde(rename = "load")]
    pub load_percent: u8,
    /// Its warm-up progress, in percent.
    #[serde(rename = "warm")]
    pub warm_percent: u8,
}

/// The fleet, as the reporting process knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The reporting process.
    #[serde(rename = "me")]
    pub local: MemberStatus,
    /// Its state in the fleet: `joining`, `in`, `fallen`, `doubled`, `leaving` or `ended`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Whether it is in contact with the majority of the fleet.
    #[serde(rename = "certain")]
    pub has_majority: bool,
    /// The fraction of the last complete fleet that is live.
    #[serde(rename = "part")]
    pub live_fraction: f64,
    /// The time since a probe was last answered, in milliseconds; absent if none was.
    #[serde(rename = "age_ms")]
    pub view_age_ms: Option<u64>,
    /// A hash of the view: processes with the same members have the same one.
    #[serde(rename = "hash")]
    pub view_hash: String,
    /// The other members.
    pub members: Vec<MemberStatus>,
    /// Counters by name.
    #[serde(rename = "counts")]
    pub counters: BTreeMap<String, u64>,
}

/// The name of a status in JSON.
fn status_name(status: Status) -> &'static str {
    match status {
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Dead => "dead",
        Status::Left => "left",
    }
}

/// The name of a phase in JSON.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::WarmingUp => "cold",
        Phase::Ready => "ready",
        Phase::AtCapacity => "full",
        Phase::Draining => "leaving",
    }
}

impl MemberStatus {
    fn new(record: &MemberRecord, status_age_ms: f64, last_contact_ms: f64) -> MemberStatus {
        MemberStatus {
            name: record.name.clone(),
            address: record.address.to_string(),
            generation: record.generation,
            incarnation: record.incarnation,
            status: status_name(record.status).to_owned(),
            status_age_ms: status_age_ms.max(0.0) as u64,
            reported_by: record.reported_by.clone(),
            last_contact_ms: to_ms(last_contact_ms),
            phase: phase_name(record.metadata.phase).to_owned(),
            load_percent: record.metadata.load_percent,
            warm_percent: record.metadata.warm_percent,
        }
    }

    fn is_live(&self) -> bool {
        ["alive", "suspect"].contains(&&*self.status)
    }

    /// A row of the table with the columns of [`table_header`].
    fn to_row(&self) -> String {
        format!(
            "{:<16} {:<21} {:>10} {:<8} {:>9.1} {:<16} {:<8} {:>4} {:>4}",
            self.name,
            self.address,
            self.generation,
            self.status,
            self.status_age_ms as f64 / 1e3,
            self.reported_by,
            self.phase,
            self.load_percent,
            self.warm_percent
        )
    }
}

/// The header of the table that `asterdale fleet show` prints.
fn table_header() -> String {
    format!(
        "{:<16} {:<21} {:>10} {:<8} {:>9} {:<16} {:<8} {:>4} {:>4}",
        "name", "at", "generation", "status", "for s", "by", "phase", "load", "warm"
    )
}

fn to_ms(duration_ms: f64) -> Option<u64> {
    duration_ms.is_finite().then(|| duration_ms.max(0.0) as u64)
}

impl StatusReport {
    /// Creates the report for the current time.
    pub(crate) fn new(
        membership: &Membership,
        now_ms: f64,
        dropped_datagrams: u64,
    ) -> StatusReport {
        let members = membership.view().iter().map(|member| {
            MemberStatus::new(
                &member.record,
                now_ms - member.status_since_ms,
                now_ms - member.last_contact_ms,
            )
        });
        let mut counters: BTreeMap<String, u64> = membership
            .counters
            .all()
            .into_iter()
            .map(|(name, count)| (name.to_owned(), count))
            .collect();
        counters.insert("dropped".to_owned(), dropped_datagrams);
        StatusReport {
            local: MemberStatus::new(membership.local_record(), now_ms, 0.0),
            state: membership.state_name().to_owned(),
            has_majority: membership.has_majority(now_ms),
            live_fraction: (membership.live_fraction() * 1e3).round() / 1e3,
            view_age_ms: to_ms(membership.ms_since_last_ack(now_ms)),
            view_hash: format!("{:016x}", membership.view_hash()),
            members: members.collect(),
            counters,
        }
    }

    /// The generations of all live members by name, the reporting process among them if it is a member.
    pub fn live_generations(&self) -> BTreeMap<String, u64> {
        let mut generations: BTreeMap<String, u64> = self
            .members
            .iter()
            .filter(|member| member.is_live())
            .map(|member| (member.name.clone(), member.generation))
            .collect();
        if self.state == "in" {
            generations.insert(self.local.name.clone(), self.local.generation);
        }
        generations
    }

    /// Formats the report as a human-readable table.
    pub fn to_table(&self) -> String {
        let majority_note = if self.has_majority {
            ""
        } else {
            ", not in contact with a majority"
        };
        let title = format!(
            "{} is {}, generation {}, sees {:.0}% of the fleet live{majority_note}; view {}",
            self.local.name,
            self.state,
            self.local.generation,
            self.live_fraction * 100.0,
            self.view_hash
        );
        let rows = std::iter::once(&self.local)
            .chain(&self.members)
            .map(MemberStatus::to_row);
        let lines: Vec<String> = [title, table_header()].into_iter().chain(rows).collect();
        lines.join("\n")
    }
}
