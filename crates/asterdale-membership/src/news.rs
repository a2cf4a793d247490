//! News that ride on messages: each a bounded number of times, accusations before all else and those told least first,
//! newer words in the place of older ones on the same process.

use std::collections::BTreeMap;

use crate::record::{Record, Status};

/// News that wait to be told.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// By name: how often each was told, and what.
    all: BTreeMap<String, (u32, Record)>,
}

impl News {
    /// Something to be told: it takes the place of what was to be told of the same process.
    pub fn add(&mut self, record: Record) {
        self.all.insert(record.name.clone(), (0, record));
    }

    /// What rides on the next message: as many as there is room for by this measure of each. That somebody is suspected,
    /// dead or gone goes first, as a suspect has little time to speak and a dead one is still sent work; then those told
    /// least: that hundreds came at once must not hold up the loss of one. One that has ridden `rides` times is told no more.
    pub fn take(
        &mut self,
        mut room: usize,
        rides: u32,
        size: impl Fn(&Record) -> usize,
    ) -> Vec<Record> {
        let rank = |(name, (told, record)): (&String, &(u32, Record))| {
            (record.status == Status::Alive, *told, name.clone())
        };
        let mut order: Vec<(bool, u32, String)> = self.all.iter().map(rank).collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (.., name) in order {
            let Some((told, record)) = self.all.get_mut(&name) else {
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
                self.all.remove(&name);
            }
        }
        taken
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Notes;

    #[test]
    fn an_accusation_is_told_before_those_who_came() {
        let mut news = News::default();
        let record = |n: u16, status| Record {
            name: format!("m{n:02}"),
            at: ([127, 0, 0, 1], n).into(),
            generation: 1,
            nonce: 1,
            incarnation: 0,
            status,
            notes: Notes::default(),
            by: String::new(),
        };
        (0..10).for_each(|n| news.add(record(n, Status::Alive)));
        news.add(record(99, Status::Suspect));
        for _ in 0..5 {
            assert_eq!(news.take(20, 5, |_| 10)[0].name, "m99");
        }
        assert_ne!(
            news.take(20, 5, |_| 10)[0].name,
            "m99",
            "no more than its rides"
        );
    }

    #[test]
    fn each_rides_its_number_of_times_and_none_is_starved() {
        let mut news = News::default();
        let record = |n: u16| Record {
            name: format!("m{n:02}"),
            at: ([127, 0, 0, 1], n).into(),
            generation: 1,
            nonce: 1,
            incarnation: 0,
            status: Status::Alive,
            notes: Notes::default(),
            by: String::new(),
        };
        (0..10).for_each(|n| news.add(record(n)));
        news.add(record(3));
        let mut told = BTreeMap::new();
        let mut messages = 0;
        while !news.is_empty() {
            let taken = news.take(30, 5, |_| 10);
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
