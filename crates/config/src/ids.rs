//! Numbers for names.

use std::collections::BTreeMap;

/// Numbers given to names that come and go. Guards against a name that was forgotten being taken for another by
/// whatever still speaks of it: a number is given once.
#[derive(Default)]
pub struct Ids {
    numbers: BTreeMap<String, usize>,
    names: BTreeMap<usize, String>,
    given: usize,
}

impl Ids {
    /// The name's number, a new one if it has none.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.get(name) {
            return number;
        }
        let number = self.given;
        self.given += 1;
        self.numbers.insert(name.into(), number);
        self.names.insert(number, name.into());
        number
    }

    pub fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: usize) -> Option<&str> {
        self.names.get(&number).map(String::as_str)
    }

    pub fn numbers(&self) -> impl ExactSizeIterator<Item = usize> + '_ {
        self.names.keys().copied()
    }

    /// Forgets the names of all other numbers.
    pub fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        self.names.retain(|number, _| keep(*number));
        self.numbers.retain(|_, number| keep(*number));
    }
}
