//! Rate limit of log lines per kind.
//!
//! A load peak or a fault can produce thousands of lines of one kind per second. Without a limit
//! they fill the queue, and the single line that explains a refusal is dropped. With it, the first
//! lines of each kind in each second are written and the rest are only counted.

use std::collections::BTreeMap;

/// The maximum number of lines of one kind per second. Large sites start and end about 550 tasks a
/// second on average and twice that in a load peak, each with a line. The limit is just above that
/// rate, so that these lines are written and a flood is not.
pub const MAX_LINES_PER_SECOND: u32 = 1_200;
/// The maximum number of kinds with a budget of their own. Further kinds share one budget, so that
/// texts that differ each time do not use unbounded memory.
const MAX_KINDS: usize = 256;
/// The kind under which all kinds beyond [`MAX_KINDS`] are counted.
const OTHER_KINDS: &str = "other";

#[derive(Debug, Default)]
struct Usage {
    lines: u32,
    suppressed: u64,
}

/// Counts of written and suppressed lines per kind in the current second.
#[derive(Debug, Default)]
pub struct Budget {
    second: u64,
    kinds: BTreeMap<Box<str>, Usage>,
}

/// The result of [`Budget::spend`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the line may be written.
    pub allowed: bool,
    /// The number of suppressed lines per kind in the last second that had lines. Empty unless this
    /// line is the first of a new second.
    pub suppressed: Vec<(Box<str>, u64)>,
}

impl Budget {
    /// Charges a line to the budget of its kind and decides whether it may be written. `second` is
    /// the current second of the wall clock.
    pub fn spend(&mut self, kind: &str, second: u64) -> Decision {
        let suppressed = if second == self.second { Vec::new() } else { self.start_second(second) };
        let known = self.kinds.contains_key(kind) || self.kinds.len() < MAX_KINDS;
        let kind = if known { kind } else { OTHER_KINDS };
        let usage = match self.kinds.get_mut(kind) {
            Some(usage) => usage,
            None => self.kinds.entry(kind.into()).or_default(),
        };
        let allowed = usage.lines < MAX_LINES_PER_SECOND;
        if allowed {
            usage.lines += 1;
        } else {
            usage.suppressed += 1;
        }
        Decision { allowed, suppressed }
    }

    /// Starts a new second and returns the suppressed lines of the last one.
    fn start_second(&mut self, second: u64) -> Vec<(Box<str>, u64)> {
        self.second = second;
        let kinds = std::mem::take(&mut self.kinds);
        let flooded = kinds.into_iter().filter(|(_, usage)| usage.suppressed > 0);
        flooded.map(|(kind, usage)| (kind, usage.suppressed)).collect()
    }
}
