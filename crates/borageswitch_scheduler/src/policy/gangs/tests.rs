use super::{Candidate, hosts_to_keep, places};
use crate::job::Size;

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: 1_000, accelerators: 0 }
}

#[test]
fn members_are_counted_by_host_and_not_by_core() {
    // Two hosts of eight cores have sixteen in all, but take one member of five cores each.
    let each = places(&cores(8), &cores(5), None);

    assert_eq!(each, 1);
    assert_eq!(places(&cores(8), &cores(2), Some(1)), 1);
    assert_eq!(places(&cores(1), &cores(2), None), 0);
}

#[test]
fn the_hosts_that_are_soonest_free_are_kept() {
    let busy = Candidate { id: "busy", now: 0, soon: 2 };
    let free = Candidate { id: "free", now: 2, soon: 2 };
    let half = Candidate { id: "half", now: 1, soon: 2 };

    let kept = hosts_to_keep(3, vec![busy, free, half]);

    assert_eq!(kept, Some(vec!["free", "half"]));
}

#[test]
fn nothing_is_kept_for_a_gang_that_does_not_fit() {
    // Half of a gang on its hosts would keep them from all others and not start either.
    let only = Candidate { id: "only", now: 2, soon: 2 };

    assert_eq!(hosts_to_keep(3, vec![only]), None);
}
