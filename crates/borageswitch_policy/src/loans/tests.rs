use std::time::Duration;

use borageswitch_types::{
    Time,
    names::{DaemonName, HostName},
};

use super::ledger::{LOAN_TERM, Ledger};

fn host() -> HostName {
    HostName::from("host-0")
}

/// The owner counts a loan from its grant and the holder from its earlier slot request. However
/// long the grant was under way, the holder must have stopped before the owner takes the slot back.
#[test]
fn loan_ends_at_the_holder_before_it_ends_at_its_owner() {
    let (owner, requested) = (DaemonName::from("owner"), Time::from_millis(1_000));
    for delay in [0, 3, 500, 9_999] {
        let granted = requested + Duration::from_millis(delay);
        let (mut at_owner, mut at_holder) = (Ledger::default(), Ledger::default());
        let share = at_owner.lend(granted, &owner, host(), 1);
        let received = granted + Duration::from_millis(1);
        let was_accepted = at_holder.accept(received, requested, share);

        let end = requested + LOAN_TERM;
        let ended_at_holder = at_holder.expire(end).held.len();
        let ended_at_owner = at_owner.expire(end).own.len();

        assert_eq!(usize::from(was_accepted), ended_at_holder, "{delay}");
        assert_eq!(ended_at_owner, 0, "{delay}");
    }
}

#[test]
fn owner_waits_as_long_as_the_holder_sends_notices() {
    let owner = DaemonName::from("owner");
    let mut ledger = Ledger::default();
    let share = ledger.lend(Time::ZERO, &owner, host(), 1);
    let late = Time::ZERO + LOAN_TERM + Duration::from_millis(1_900);
    ledger.extend(late, share.loan);

    let before = ledger.expire(late + Duration::from_millis(1_000)).own.len();
    let after = ledger.expire(late + Duration::from_millis(2_000)).own;

    assert_eq!(before, 0);
    assert_eq!(after, [host()]);
}

#[test]
fn share_is_transferred_with_its_remaining_term() {
    let owner = DaemonName::from("owner");
    let (mut at_owner, mut at_holder) = (Ledger::default(), Ledger::default());
    let share = at_owner.lend(Time::ZERO, &owner, host(), 1);
    at_holder.accept(Time::from_millis(1), Time::ZERO, share.clone());

    let passed = at_holder.transfer(Time::from_millis(4_000), &host()).expect("time is left");
    let again = at_holder.transfer(Time::from_millis(4_000), &host());

    assert_eq!((passed.owner, passed.loan), (share.owner, share.loan));
    assert_eq!(passed.term, LOAN_TERM - Duration::from_millis(4_000));
    assert_eq!(again, None);
}

#[test]
fn same_share_is_not_held_twice() {
    let mut ledger = Ledger::default();
    let share = Ledger::default().lend(Time::ZERO, &DaemonName::from("owner"), host(), 1);

    let first = ledger.accept(Time::ZERO, Time::ZERO, share.clone());
    let second = ledger.accept(Time::ZERO, Time::ZERO, share);

    assert_eq!((first, second), (true, false));
}
