//! What is held of the fleet, for people and tools: the JSON that the control socket tells.

use std::collections::BTreeMap;

use asterdale_membership::{MemberRecord, Membership, Phase, Status};
use serde::{Deserialize, Serialize};

/// A process, as it is held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub at: String,
    /// Which process under this name.
    pub generation: u64,
    /// Which of its words.
    pub incarnation: u32,
    /// `alive`, `suspect`, `dead` or `left`.
    pub status: String,
    /// For so many milliseconds.
    pub for_ms: u64,
    /// By whose word.
    pub by: String,
    /// Since anything came from itself; absent where nothing ever did.
    pub heard_ms: Option<u64>,
    /// `cold`, `ready`, `full` or `leaving`, by its own word.
    pub phase: String,
    /// Busy part of its cores, in hundredths.
    pub load: u8,
    /// How warm it is, in hundredths.
    pub warm: u8,
}

/// The whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The process that tells.
    pub me: MemberStatus,
    /// How it stands to the fleet: `joining`, `in`, `fallen`, `doubled`, `leaving` or `ended`.
    pub standing: String,
    /// It hears more than half of the fleet.
    pub certain: bool,
    /// The part of the fleet, as it was last whole, that counts as there.
    pub part: f64,
    /// How old the view is: since a probe was last answered; absent where none was.
    pub age_ms: Option<u64>,
    /// Two that hold the same members tell the same.
    pub hash: String,
    /// The others.
    pub members: Vec<MemberStatus>,
    /// Counts.
    pub counts: BTreeMap<String, u64>,
}

fn status(status: Status) -> &'static str {
    match status {
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Dead => "dead",
        Status::Left => "left",
    }
}

/// A phase, in a word.
pub fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::WarmingUp => "cold",
        Phase::Ready => "ready",
        Phase::AtCapacity => "full",
        Phase::Draining => "leaving",
    }
}

fn member(record: &MemberRecord, for_ms: f64, heard_ms: f64) -> MemberStatus {
    MemberStatus {
        name: record.name.clone(),
        at: record.address.to_string(),
        generation: record.generation,
        incarnation: record.incarnation,
        status: status(record.status).to_owned(),
        for_ms: for_ms.max(0.0) as u64,
        by: record.reported_by.clone(),
        heard_ms: heard_ms.is_finite().then(|| heard_ms.max(0.0) as u64),
        phase: phase(record.metadata.phase).to_owned(),
        load: record.metadata.load_percent,
        warm: record.metadata.warm_percent,
    }
}

impl StatusReport {
    /// What this process holds now; so many datagrams found no place.
    pub fn of(fleet: &Membership, now: f64, dropped: u64) -> StatusReport {
        let others = fleet.view().iter();
        let mut counts: BTreeMap<String, u64> = fleet
            .counters
            .all()
            .into_iter()
            .map(|(name, n)| (name.to_owned(), n))
            .collect();
        counts.insert("dropped".to_owned(), dropped);
        StatusReport {
            me: member(fleet.local_record(), now, 0.0),
            standing: fleet.state_name().to_owned(),
            certain: fleet.has_majority(now),
            part: (fleet.live_fraction() * 1e3).round() / 1e3,
            age_ms: Some(fleet.view_age_ms(now))
                .filter(|ms| ms.is_finite())
                .map(|ms| ms.max(0.0) as u64),
            hash: format!("{:016x}", fleet.view_hash()),
            members: others
                .map(|seen| {
                    member(
                        &seen.record,
                        now - seen.status_since_ms,
                        now - seen.last_contact_ms,
                    )
                })
                .collect(),
            counts,
        }
    }

    /// Those who count as there, this process among them: name and generation, in order.
    pub fn live_generations(&self) -> BTreeMap<String, u64> {
        let others = self
            .members
            .iter()
            .filter(|member| ["alive", "suspect"].contains(&&*member.status));
        let mut all: BTreeMap<String, u64> =
            others.map(|m| (m.name.clone(), m.generation)).collect();
        if self.standing == "in" {
            all.insert(self.me.name.clone(), self.me.generation);
        }
        all
    }

    /// A table for people.
    pub fn to_table(&self) -> String {
        let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1e3);
        let mut lines = vec![
            format!(
                "{} is {}, generation {}, hears {:.0}% of the fleet{}; view {}",
                self.me.name,
                self.standing,
                self.me.generation,
                self.part * 100.0,
                if self.certain {
                    ""
                } else {
                    " and is not certain of it"
                },
                self.hash
            ),
            format!(
                "{:<16} {:<21} {:>10} {:<8} {:>9} {:<16} {:<8} {:>4} {:>4}",
                "name", "at", "generation", "status", "for s", "by", "phase", "load", "warm"
            ),
        ];
        for m in std::iter::once(&self.me).chain(&self.members) {
            lines.push(format!(
                "{:<16} {:<21} {:>10} {:<8} {:>9} {:<16} {:<8} {:>4} {:>4}",
                m.name,
                m.at,
                m.generation,
                m.status,
                seconds(m.for_ms),
                m.by,
                m.phase,
                m.load,
                m.warm
            ));
        }
        lines.join("\n")
    }
}
