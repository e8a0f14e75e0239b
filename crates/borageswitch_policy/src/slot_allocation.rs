//! Allocates each target's slots among the live entries, computed from the membership alone.
//!
//! Load pattern: nine entries share one target with eight slots. If each entry guessed, a burst at
//! all of them would send the target up to nine times what it can run. The allocation needs no
//! message: every entry computes the same shares from the same members, and the shares of one
//! target add up to exactly its slots.

use std::hash::{Hash, Hasher};

use borageswitch_types::names::{DaemonName, HostName};
use rustc_hash::FxHasher;

/// Returns how many of `total` units of `host` are allocated to `me`.
///
/// Every entry ranks the entries by a hash of entry and host and gives each an even share. The
/// remainder goes to the entries ranked first, so that over many hosts no entry is favoured.
pub fn allocate(total: u16, host: &HostName, me: &DaemonName, entries: &[DaemonName]) -> u16 {
    allocate_by_key(total, host.as_str(), me, entries)
}

/// Like [`allocate`], for a resource with another key, such as a team's quota.
pub fn allocate_by_key(total: u16, key: &str, me: &DaemonName, entries: &[DaemonName]) -> u16 {
    let count = entries.len() as u16;
    if count == 0 || !entries.contains(me) {
        return 0;
    }
    let (share, left) = (total / count, total % count);
    let mine = score(key, me);
    let before = entries.iter().filter(|e| (score(key, e), *e) < (mine, me)).count();
    share + u16::from(before < usize::from(left))
}

fn score(key: &str, entry: &DaemonName) -> u64 {
    let mut hasher = FxHasher::default();
    key.hash(&mut hasher);
    entry.hash(&mut hasher);
    hasher.finish()
}
