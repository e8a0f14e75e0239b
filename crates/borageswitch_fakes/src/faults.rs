//! What can be made to go wrong at a stand-in.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// What goes wrong at one stand-in at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each answer comes this many milliseconds later.
    pub delay_ms: u64,
    /// Connections are closed as soon as they are accepted, and no open one is answered.
    pub down: bool,
    /// Calls take effect, but the connection is closed instead of an answer.
    pub lose_answers: bool,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    next_connection: u64,
    silent_below: u64,
}

/// Shares the faults of one stand-in between its server and whoever injects them.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch(Arc<Mutex<Inner>>);

/// What a connection does with the answer to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is sent after this time.
    After(Duration),
    /// The connection is closed instead.
    Lost,
    /// Nothing happens, for good.
    Never,
}

impl FaultSwitch {
    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// The faults at the moment.
    pub fn get(&self) -> Faults {
        self.lock().faults
    }

    /// Makes every connection that is open now silent for good, while new ones work: something
    /// between the two ends has lost track of them.
    pub fn silence_open_connections(&self) {
        let mut inner = self.lock();
        inner.silent_below = inner.next_connection;
    }

    /// Numbers a new connection, or refuses it.
    pub(crate) fn accept(&self) -> Option<u64> {
        let mut inner = self.lock();
        if inner.faults.down {
            return None;
        }
        inner.next_connection += 1;
        Some(inner.next_connection - 1)
    }

    /// Whether calls on a connection reach the stand-in at all.
    pub(crate) fn reaches(&self, connection: u64) -> bool {
        let inner = self.lock();
        connection >= inner.silent_below && !inner.faults.down
    }

    /// What becomes of an answer on a connection.
    pub(crate) fn delivery(&self, connection: u64) -> Delivery {
        let inner = self.lock();
        if connection < inner.silent_below {
            Delivery::Never
        } else if inner.faults.lose_answers || inner.faults.down {
            Delivery::Lost
        } else {
            Delivery::After(Duration::from_millis(inner.faults.delay_ms))
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
