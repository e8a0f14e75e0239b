use super::*;

const LEASE: Duration = Duration::from_secs(10);

#[test]
fn a_permit_ends_with_the_authority_and_its_term() {
    // Guards against an order of an earlier term that is sent after a suspension.
    let authority = Authority::default();
    authority.record_renewal(7, clock::time(), LEASE);
    let permit = authority.permit(7);
    let before = permit.is_in_force();

    authority.end();
    let after_end = permit.is_in_force();
    authority.record_renewal(9, clock::time(), LEASE);
    let in_next_term = permit.is_in_force();

    assert_eq!((before, after_end, in_next_term), (true, false, false));
}
