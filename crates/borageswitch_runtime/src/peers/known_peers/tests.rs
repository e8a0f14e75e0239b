//! The set of known peers with hundreds of daemons, and with malformed header values.

use super::*;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn a_leader_of_hundreds_keeps_a_few_addresses() {
    let known = KnownPeers::default();

    (1..600).for_each(|port| known.add(address(port)));

    assert!(known.addresses.lock().unwrap().len() <= MAX_KNOWN_PEERS);
    assert_eq!(known.sample_except(None).len(), MAX_SHARED_PEERS);
}

#[test]
fn a_response_names_only_daemons_other_than_its_requester() {
    let (leader, requester) = (KnownPeers::default(), KnownPeers::default());
    [1, 2].into_iter().for_each(|port| leader.add(address(port)));

    requester.add_from_header(&leader.to_header(Some(address(1))));

    assert_eq!(requester.sample_except(None), [address(2)]);
}

#[test]
fn entries_that_are_not_addresses_are_skipped() {
    let known = KnownPeers::default();

    known.add_from_header("nowhere,,127.0.0.1:7,:");

    assert_eq!(known.sample_except(None), [address(7)]);
}
