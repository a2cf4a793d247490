//! News that ride on messages: each a bounded number of times, accusations before all else and those told least first,
//! newer words in the place of older ones on the same process.

use std::collections::BTreeMap;

use crate::record::{MemberRecord, Status};

/// News that wait to be told.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    /// By name: how often each was told, and what.
    pending: BTreeMap<String, (u32, MemberRecord)>,
}

impl GossipQueue {
    /// Something to be told: it takes the place of what was to be told of the same process.
    pub fn add(&mut self, record: MemberRecord) {
        self.pending.insert(record.name.clone(), (0, record));
    }

    /// What rides on the next message: as many as there is room for by this measure of each. That somebody is suspected,
    /// dead or gone goes first, as a suspect has little time to speak and a dead one is still sent work; then those told
    /// least: that hundreds came at once must not hold up the loss of one. One that has ridden `rides` times is told no more.
    pub fn take_batch(
        &mut self,
        mut room: usize,
        rides: u32,
        size: impl Fn(&MemberRecord) -> usize,
    ) -> Vec<MemberRecord> {
        let rank = |(name, (told, record)): (&String, &(u32, MemberRecord))| {
            (record.status == Status::Alive, *told, name.clone())
        };
        let mut order: Vec<(bool, u32, String)> = self.pending.iter().map(rank).collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (.., name) in order {
            let Some((told, record)) = self.pending.get_mut(&name) else {
                continue;
            };
            let takes = size(record);
            if takes > room {
                break;
            }
            room -= takes;
            *told += 1;
            taken.push(record.clone());
            if *told >= rides {
                self.pending.remove(&name);
            }
        }
        taken
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Metadata;

    #[test]
    fn an_accusation_is_told_before_those_who_came() {
        let mut news = GossipQueue::default();
        let record = |n: u16, status| MemberRecord {
            name: format!("m{n:02}"),
            address: ([127, 0, 0, 1], n).into(),
            generation: 1,
            nonce: 1,
            incarnation: 0,
            status,
            metadata: Metadata::default(),
            reported_by: String::new(),
        };
        (0..10).for_each(|n| news.add(record(n, Status::Alive)));
        news.add(record(99, Status::Suspect));
        for _ in 0..5 {
            assert_eq!(news.take_batch(20, 5, |_| 10)[0].name, "m99");
        }
        assert_ne!(
            news.take_batch(20, 5, |_| 10)[0].name,
            "m99",
            "no more than its rides"
        );
    }

    #[test]
    fn each_rides_its_number_of_times_and_none_is_starved() {
        let mut news = GossipQueue::default();
        let record = |n: u16| MemberRecord {
            name: format!("m{n:02}"),
            address: ([127, 0, 0, 1], n).into(),
            generation: 1,
            nonce: 1,
            incarnation: 0,
            status: Status::Alive,
            metadata: Metadata::default(),
            reported_by: String::new(),
        };
        (0..10).for_each(|n| news.add(record(n)));
        news.add(record(3));
        let mut told = BTreeMap::new();
        let mut messages = 0;
        while !news.is_empty() {
            let taken = news.take_batch(30, 5, |_| 10);
            assert!((1..=3).contains(&taken.len()));
            taken
                .into_iter()
                .for_each(|record| *told.entry(record.name).or_insert(0) += 1);
            messages += 1;
        }
        assert!(
            told.len() == 10 && told.values().all(|&times| times == 5),
            "{told:?}"
        );
        assert_eq!(messages, 17);
    }
}
