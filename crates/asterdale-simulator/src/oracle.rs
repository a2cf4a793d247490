//! The rules, checked by what is seen from outside: what edge nodes sent and were answered, and what ran. It shares
//! nothing with what it checks.

use std::collections::BTreeMap;

use crate::Nanos;

/// An answer may come so much after its time: rounding, and the way back.
const SLACK: Nanos = 5_000_000;

/// What an edge node was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// The result.
    Finished,
    /// This try never ran.
    Rejected,
    /// Nothing.
    Abandoned,
    /// The server was not there.
    Refused,
    /// It ended.
    Broken,
}

struct Try {
    by: Nanos,
    ran: bool,
    told: Option<Told>,
    /// Its server ended, or nobody waits for it.
    excused: bool,
}

/// Watches one run.
#[derive(Default)]
pub struct Oracle {
    tries: BTreeMap<u64, Try>,
    /// Runs by key, server and the server's life.
    runs: BTreeMap<(u64, usize, u32), u32>,
    /// What was broken, and how often.
    pub broken: BTreeMap<&'static str, u64>,
}

impl Oracle {
    fn breach(&mut self, what: &'static str) {
        *self.broken.entry(what).or_default() += 1;
    }

    /// A try has come to a server that is there, and wants an answer by then.
    pub fn came(&mut self, number: u64, by: Nanos) {
        self.tries.insert(
            number,
            Try {
                by,
                ran: false,
                told: None,
                excused: false,
            },
        );
    }

    /// It was started; `key` if it must run once on this server, in this life of it.
    pub fn ran(&mut self, number: u64, key: Option<(u64, usize, u32)>) {
        let mut late = false;
        if let Some(seen) = self.tries.get_mut(&number) {
            seen.ran = true;
            late = seen.told == Some(Told::Rejected);
        }
        if late {
            self.breach("ran after it was told that it never did");
        }
        if let Some(key) = key {
            let runs = self.runs.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                self.breach("an effect twice");
            }
        }
    }

    /// It was answered.
    pub fn answered(&mut self, now: Nanos, number: u64, told: Told) {
        let Some(seen) = self.tries.get_mut(&number) else {
            return;
        };
        let (twice, late) = (seen.told.is_some(), now > seen.by + SLACK && !seen.excused);
        let denied = told == Told::Rejected && seen.ran;
        seen.told = Some(told);
        for (broken, what) in [
            (twice, "two answers"),
            (late, "an answer after its time"),
            (denied, "told that it never ran, and it had"),
        ] {
            if broken {
                self.breach(what);
            }
        }
    }

    /// Its server ended, or nobody waits any more: no answer is owed.
    pub fn excused(&mut self, number: u64) {
        if let Some(seen) = self.tries.get_mut(&number) {
            seen.excused = true;
        }
    }

    /// It is over for its edge node, and will not be heard of again but by an answer that is under way.
    pub fn end(&mut self, now: Nanos) {
        let lost = |seen: &&Try| seen.told.is_none() && !seen.excused && now > seen.by + SLACK;
        let lost = self.tries.values().filter(lost).count() as u64;
        if lost > 0 {
            *self.broken.entry("no answer").or_default() += lost;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_rule_s_breach_is_found_and_what_is_right_is_not() {
        let mut good = Oracle::default();
        good.came(1, 100);
        good.ran(1, Some((7, 0, 0)));
        good.answered(90, 1, Told::Finished);
        good.came(2, 100);
        good.answered(100 + SLACK, 2, Told::Rejected);
        good.came(3, 100);
        good.excused(3);
        good.ran(4, Some((7, 0, 1)));
        good.end(1_000_000_000);
        assert!(good.broken.is_empty(), "{:?}", good.broken);
        type Breach = fn(&mut Oracle);
        let breaches: [(&str, Breach); 6] = [
            ("no answer", |_| ()),
            ("an answer after its time", |oracle| {
                oracle.answered(101 + SLACK, 1, Told::Finished)
            }),
            ("two answers", |oracle| {
                (0..2).for_each(|_| oracle.answered(9, 1, Told::Abandoned))
            }),
            ("told that it never ran, and it had", |oracle| {
                oracle.ran(1, None);
                oracle.answered(9, 1, Told::Rejected);
            }),
            ("ran after it was told that it never did", |oracle| {
                oracle.answered(9, 1, Told::Rejected);
                oracle.ran(1, None);
            }),
            ("an effect twice", |oracle| {
                oracle.answered(9, 1, Told::Finished);
                (0..2).for_each(|_| oracle.ran(1, Some((7, 0, 0))));
            }),
        ];
        for (what, breach) in breaches {
            let mut oracle = Oracle::default();
            oracle.came(1, 100);
            breach(&mut oracle);
            oracle.end(1_000_000_000);
            assert_eq!(oracle.broken.keys().collect::<Vec<_>>(), [&what]);
        }
    }
}
