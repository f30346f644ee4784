//! Numbers of news, by which one that comes twice is known.

use honeypulley_policy::collector::NameId;
use std::collections::{HashMap, VecDeque};

/// Numbers of one box that are remembered, to know them when they come again.
const REMEMBERED: usize = 64;

/// Numbers that this box gives its own news.
#[derive(Clone, Debug)]
pub struct Numbers {
    last: u32,
}

impl Numbers {
    /// Begins at random, since the others still remember those of an earlier life.
    #[must_use]
    pub fn begin(rng: &mut fastrand::Rng) -> Self {
        Self { last: rng.u32(..) }
    }

    /// Returns the number after the last one.
    pub const fn next(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

/// Numbers of the last news of each other box.
#[derive(Clone, Debug, Default)]
pub struct SeenNumbers {
    by_sender: HashMap<NameId, VecDeque<u32>>,
}

impl SeenNumbers {
    /// Records a sequence number; returns whether it is the first copy.
    pub fn is_new(&mut self, sender: NameId, number: u32) -> bool {
        let last = self.by_sender.entry(sender).or_default();
        if last.contains(&number) {
            return false;
        }
        last.push_back(number);
        if last.len() > REMEMBERED {
            last.pop_front();
        }
        true
    }
}
