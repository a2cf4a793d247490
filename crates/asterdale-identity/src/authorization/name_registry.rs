//! Numbers for names, assigned once and never reused.

use std::collections::HashMap;

/// Names and their numbers, which count from 0.
#[derive(Default)]
pub(super) struct NameRegistry {
    numbers: HashMap<String, usize>,
}

impl NameRegistry {
    pub fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// The number of a name. A new name is assigned the next free number.
    pub fn get_or_assign(&mut self, name: &str) -> usize {
        let next = self.numbers.len();
        *self.numbers.entry(name.to_owned()).or_insert(next)
    }

    /// The number of names after adding these. A new name that occurs twice in `names` counts twice.
    pub fn len_including<'a>(&self, names: impl Iterator<Item = &'a str>) -> usize {
        let new_names = names.filter(|name| !self.numbers.contains_key(*name));
        self.numbers.len() + new_names.count()
    }

    pub fn name(&self, number: usize) -> Option<&str> {
        self.numbers
            .iter()
            .find(|(_, &assigned)| assigned == number)
            .map(|(name, _)| name.as_str())
    }

    /// All names, indexed by number.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.numbers.len()];
        for (name, &number) in &self.numbers {
            names[number].clone_from(name);
        }
        names
    }
}
