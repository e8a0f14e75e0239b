//! Daemons by the hundred, and strange answers.

use super::*;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn a_leader_of_hundreds_keeps_a_few_in_mind() {
    let known = Acquaintances::default();

    (1..600).for_each(|port| known.note(address(port)));

    assert!(known.known.lock().unwrap().len() <= MOST_KEPT);
    assert_eq!(known.some_but(None).len(), MOST_TOLD);
}

#[test]
fn whoever_asks_is_told_of_others_only() {
    let (leader, asker) = (Acquaintances::default(), Acquaintances::default());
    [1, 2].into_iter().for_each(|port| leader.note(address(port)));

    asker.take_told(&leader.to_tell(Some(address(1))));

    assert_eq!(asker.some_but(None), [address(2)]);
}

#[test]
fn what_is_no_address_is_passed_over() {
    let known = Acquaintances::default();

    known.take_told("nowhere,,127.0.0.1:7,:");

    assert_eq!(known.some_but(None), [address(7)]);
}
