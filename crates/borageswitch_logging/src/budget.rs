//! How many lines of a kind are written.
//!
//! The load: a rush, or a fault, makes one kind of line come thousands of times a second. Without a
//! budget the queue of lines is full of it, and the one line that explains a refusal is dropped.
//! With it the first lines of each kind in each second are written, and the rest are counted.

use std::collections::BTreeMap;

/// The most lines of one kind in a second. Grown sites start and end some 550 tasks a second on the
/// mean and twice that in a rush, each with a line: those are written, a flood is not.
pub const LINES_A_SECOND: u32 = 1_200;
/// The most kinds that are told apart; texts that differ each time share a budget beyond it.
const MOST_KINDS: usize = 256;
/// What kinds beyond [`MOST_KINDS`] are counted as.
const OTHER: &str = "other";

#[derive(Debug, Default)]
struct Spent {
    lines: u32,
    left_out: u64,
}

/// What was written and left out in the current second.
#[derive(Debug, Default)]
pub struct Budget {
    second: u64,
    kinds: BTreeMap<Box<str>, Spent>,
}

/// Whether a line may be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// It may.
    pub allowed: bool,
    /// How many lines of which kinds were left out in the second that has ended.
    pub left_out: Vec<(Box<str>, u64)>,
}

impl Budget {
    /// Decides about a line of a kind in a second of the wall clock.
    pub fn spend(&mut self, kind: &str, second: u64) -> Decision {
        let left_out = if second == self.second { Vec::new() } else { self.begin(second) };
        let known = self.kinds.contains_key(kind) || self.kinds.len() < MOST_KINDS;
        let kind = if known { kind } else { OTHER };
        let spent = match self.kinds.get_mut(kind) {
            Some(spent) => spent,
            None => self.kinds.entry(kind.into()).or_default(),
        };
        let allowed = spent.lines < LINES_A_SECOND;
        if allowed {
            spent.lines += 1;
        } else {
            spent.left_out += 1;
        }
        Decision { allowed, left_out }
    }

    /// A new second begins: gives what was left out in the one before.
    fn begin(&mut self, second: u64) -> Vec<(Box<str>, u64)> {
        self.second = second;
        let kinds = std::mem::take(&mut self.kinds);
        let counted = kinds.into_iter().filter(|(_, spent)| spent.left_out > 0);
        counted.map(|(kind, spent)| (kind, spent.left_out)).collect()
    }
}
