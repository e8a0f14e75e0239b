//! The fleet document at several sizes: its bytes, and the time that is spent on a change.

use std::{hint::black_box, sync::Arc, time::Instant};

use borageswitch_planner::{
    changes,
    steps::{self, Observed},
};
use borageswitch_types::{
    Fleet,
    fleet::{Author, ChangeRequest, FleetChange, Watts},
    names::OperationId,
};
use borageswitch_wire::{
    PeerMessage,
    peer::{self, Delta},
};
use serde_json::{Value, json};

use crate::{process, sites};

/// Hosts of a region: today's, then up to all of the two-year target in one region.
const SIZES: [usize; 6] = [48, 106, 213, 425, 850, 1_700];
const REPEATS: u32 = 20;
/// Copies of the document that are kept to weigh one.
const COPIES: usize = 16;

pub(super) fn run() -> Vec<Value> {
    SIZES.into_iter().map(measure).collect()
}

fn measure(hosts: usize) -> Value {
    let fleet = sites::make_fleet(hosts);
    let text = serde_json::to_vec(&fleet).unwrap_or_default();
    let snapshot =
        peer::encode(&PeerMessage::Snapshot { fleet: Box::new(fleet.clone()), store_version: 1 })
            .unwrap_or_default();
    let change = peer::encode(&change_message(&fleet)).unwrap_or_default();
    json!({
        "hosts": hosts,
        "pools": fleet.pools.len(),
        "stored_bytes": text.len(),
        "snapshot_bytes": snapshot.len(),
        "change_bytes": change.len(),
        "memory_bytes": copy_bytes(&fleet),
        "write_us": micros(|| drop(black_box(serde_json::to_vec(&fleet)))),
        "read_us": micros(|| drop(black_box(serde_json::from_slice::<Fleet>(&text)))),
        "digest_us": micros(|| drop(black_box(peer::fleet_digest(&fleet)))),
        "apply_us": micros(|| {
            let mut next = fleet.clone();
            drop(black_box(changes::apply(&mut next, &lower_cap(&fleet))));
        }),
        "plan_us": micros(|| drop(black_box(steps::next_steps(&fleet, &Observed::default())))),
    })
}

fn lower_cap(fleet: &Fleet) -> ChangeRequest {
    ChangeRequest {
        operation: OperationId::from("bench-1"),
        expected: None,
        author: Author::Operator { name: Arc::from("bench") },
        reason: Arc::from("the cap changes for the benchmark"),
        change: FleetChange::SetPowerCap { cap: Watts(fleet.power_cap.0 + 1) },
    }
}

fn change_message(fleet: &Fleet) -> PeerMessage {
    let mut next = fleet.clone();
    let applied = changes::apply(&mut next, &lower_cap(fleet));
    assert!(applied.is_ok(), "the benchmark's change is refused: {applied:?}");
    PeerMessage::Changes(Delta {
        base: fleet.revision,
        changes: next.recent.iter().cloned().collect(),
        store_version: 1,
        digest: peer::fleet_digest(&next).unwrap_or_default(),
    })
}

fn micros<F>(mut act: F) -> f64
where
    F: FnMut(),
{
    act();
    let began = Instant::now();
    for _ in 0..REPEATS {
        act();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Resident memory that one more copy of the document takes. Names are shared between copies made
/// by cloning, so each copy is read anew from its text.
fn copy_bytes(fleet: &Fleet) -> u64 {
    let text = serde_json::to_vec(fleet).unwrap_or_default();
    let before = process::resident_bytes();
    let copies: Vec<Option<Fleet>> =
        (0..COPIES).map(|_| serde_json::from_slice(&text).ok()).collect();
    let after = process::resident_bytes();
    drop(black_box(copies));
    after.saturating_sub(before) / COPIES as u64
}
