use super::*;

fn ring(salt: u8) -> KeyRing {
    let (nosipho, thandi) = (CallerName::from("nosipho"), CallerName::from("thandi"));
    KeyRing::new([salt; 16], [(&nosipho, "first"), (&nosipho, "second"), (&thandi, "third")])
}

fn access() -> Access {
    Access::Keys { keys: ring(1), public: BTreeSet::from([QueueName::from("open")]) }
}

fn admit(queue: &str, credential: Credential<'_>) -> Result<Option<String>, Rejection> {
    let access = access();
    let admitted = access.admit(&QueueName::from(queue), credential)?;
    Ok(admitted.map(|owner| owner.caller.to_string()))
}

#[test]
fn every_key_identifies_its_caller() {
    for (key, caller) in [("first", "nosipho"), ("second", "nosipho"), ("third", "thandi")] {
        assert_eq!(admit("runs", Credential::Key(key)), Ok(Some(caller.to_owned())));
    }
}

#[test]
fn an_invalid_credential_is_rejected_with_the_reason() {
    // The caller's program is misconfigured. Without the reason of the rejection its owner would
    // request a new key and be rejected again.
    let unknown = Fingerprint::of("fourth");

    assert_eq!(admit("runs", Credential::None), Err(Rejection::NoKey));
    assert_eq!(admit("runs", Credential::Several), Err(Rejection::SeveralKeys));
    assert_eq!(admit("runs", Credential::Unreadable), Err(Rejection::Unreadable));
    assert_eq!(admit("runs", Credential::Key("fourth")), Err(Rejection::UnknownKey(unknown)));
    assert!(admit("runs", Credential::Key(&"k".repeat(MAX_KEY_BYTES + 1))).is_err());
}

#[test]
fn a_public_queue_ignores_the_credential() {
    for credential in [Credential::None, Credential::Several, Credential::Key("first")] {
        assert_eq!(admit("open", credential), Ok(None));
    }
}

#[test]
fn debug_output_of_a_ring_contains_no_key() {
    // State dumps and logs are read by people who must not be able to impersonate a caller.
    let output = format!("{:?} {:?}", access(), ring(1).owner("first"));

    assert!(!output.contains("first"), "{output}");
    assert!(output.contains("3 keys"), "{output}");
    assert_eq!(Fingerprint::of("first").to_string().len(), 8);
}

#[test]
fn rings_with_different_salts_accept_the_same_keys() {
    assert_ne!(ring(1), ring(2));
    assert_eq!(ring(1).owner("third"), ring(2).owner("third"));
}
