use super::*;

fn ring(salt: u8) -> KeyRing {
    let (nosipho, thandi) = (CallerName::from("nosipho"), CallerName::from("thandi"));
    KeyRing::new([salt; 16], [(&nosipho, "first"), (&nosipho, "second"), (&thandi, "third")])
}

fn access() -> Access {
    Access::Keys { keys: ring(1), public: BTreeSet::from([QueueName::from("open")]) }
}

fn admit(queue: &str, shown: Credential<'_>) -> Result<Option<String>, Rejection> {
    let access = access();
    let admitted = access.admit(&QueueName::from(queue), shown)?;
    Ok(admitted.map(|owner| owner.caller.to_string()))
}

#[test]
fn each_key_of_a_caller_is_its_own() {
    for (key, caller) in [("first", "nosipho"), ("second", "nosipho"), ("third", "thandi")] {
        assert_eq!(admit("runs", Credential::Key(key)), Ok(Some(caller.to_owned())));
    }
}

#[test]
fn whatever_is_no_key_is_refused_with_its_reason() {
    // A caller's program is set up wrongly. Told only that it may not call, its owner would ask for
    // a new key and meet the same answer.
    let unknown = Fingerprint::of("fourth");

    assert_eq!(admit("runs", Credential::None), Err(Rejection::NoKey));
    assert_eq!(admit("runs", Credential::Several), Err(Rejection::SeveralKeys));
    assert_eq!(admit("runs", Credential::Unreadable), Err(Rejection::Unreadable));
    assert_eq!(admit("runs", Credential::Key("fourth")), Err(Rejection::UnknownKey(unknown)));
    assert!(admit("runs", Credential::Key(&"k".repeat(MAX_KEY + 1))).is_err());
}

#[test]
fn a_public_queue_needs_no_key_and_makes_nothing_of_one() {
    for shown in [Credential::None, Credential::Several, Credential::Key("first")] {
        assert_eq!(admit("open", shown), Ok(None));
    }
}

#[test]
fn a_ring_shows_no_key_and_no_digest() {
    // A state dump or a line of a log is read by people who must not call as somebody else.
    let shown = format!("{:?} {:?}", access(), ring(1).owner("first"));

    assert!(!shown.contains("first"), "{shown}");
    assert!(shown.contains("3 keys"), "{shown}");
    assert_eq!(Fingerprint::of("first").to_string().len(), 8);
}

#[test]
fn rings_with_different_salts_know_the_same_keys() {
    assert_ne!(ring(1), ring(2));
    assert_eq!(ring(1).owner("third"), ring(2).owner("third"));
}
