use std::time::Duration;

use borageswitch_types::fleet::{Duty, Revision};

use crate::observe::{ControlInstruments, Metrics};

fn shows(metrics: &Metrics, line: &str) -> bool {
    metrics.text().unwrap().lines().any(|shown| shown == line)
}

#[test]
fn a_duty_is_shown_as_held_and_then_as_lost() {
    let metrics = Metrics::new().unwrap();
    let instruments = ControlInstruments::new(&metrics.meter());

    instruments.note_duties(vec![Duty::Planner]);
    let held = shows(&metrics, r#"borageswitch_duty_held{duty="planner"} 1"#);
    instruments.note_duties(Vec::new());
    let lost = shows(&metrics, r#"borageswitch_duty_held{duty="planner"} 0"#);

    assert!(held && lost, "{}", metrics.text().unwrap());
}

#[test]
fn calls_to_the_store_are_added_up_by_purpose() {
    let metrics = Metrics::new().unwrap();
    let instruments = ControlInstruments::new(&metrics.meter());

    instruments.note_store_calls(&[("claims", 3)].into());
    instruments.note_store_calls(&[("claims", 5), ("duty", 1)].into());

    assert!(shows(&metrics, r#"borageswitch_store_calls_total{purpose="claims"} 5"#));
    assert!(shows(&metrics, r#"borageswitch_store_calls_total{purpose="duty"} 1"#));
}

#[test]
fn the_control_thread_shows_its_revision_and_its_pace() {
    let metrics = Metrics::new().unwrap();
    let instruments = ControlInstruments::new(&metrics.meter());

    instruments.in_force(Revision(8));
    instruments.handled(Duration::from_micros(40));

    assert!(shows(&metrics, "borageswitch_revision_in_force 8"));
    assert!(shows(&metrics, "borageswitch_control_events_total 1"));
    assert!(shows(&metrics, r#"borageswitch_control_event_seconds_bucket{le="0.0001"} 1"#));
}
