//! A write of the store that gets no response and is carried out late.

use std::sync::Arc;

use borageswitch_runtime::ports::{CommitOutcome, Transaction};

use super::MemoryPlatform;

/// Which transaction is held.
#[derive(Debug)]
enum Selection {
    /// The next one that writes this key.
    WriteOf(Arc<str>),
    /// The next one that removes keys with this prefix.
    RemovalUnder(Arc<str>),
}

impl Selection {
    fn matches(&self, tx: &Transaction) -> bool {
        match self {
            Self::WriteOf(key) => tx.write.iter().any(|(written, ..)| written == key),
            Self::RemovalUnder(prefix) => tx.remove.iter().any(|key| key.starts_with(&**prefix)),
        }
    }
}

/// The transaction that is held, and the selection of the next one.
#[derive(Debug, Default)]
pub(super) struct HeldWrite {
    next: Option<Selection>,
    held: Option<Transaction>,
}

impl HeldWrite {
    /// Holds the transaction if it was selected. Gives whether it is held.
    pub(super) fn takes(&mut self, tx: &Transaction) -> bool {
        let selected = self.next.take_if(|next| next.matches(tx)).is_some();
        if selected {
            self.held = Some(tx.clone());
        }
        selected
    }
}

impl MemoryPlatform {
    /// Holds the next transaction that writes this key: it gets no response, and is not carried out.
    pub fn hold_next_write_of(&self, key: &str) {
        self.lock().held_write.next = Some(Selection::WriteOf(key.into()));
    }

    /// Holds the next transaction that removes keys with this prefix.
    pub fn hold_next_removal_under(&self, prefix: &str) {
        self.lock().held_write.next = Some(Selection::RemovalUnder(prefix.into()));
    }

    /// Whether a transaction is held.
    pub fn holds_write(&self) -> bool {
        self.lock().held_write.held.is_some()
    }

    /// Carries out the transaction that is held, if there is one.
    pub fn carry_out_held_write(&self) -> Option<CommitOutcome> {
        let mut inner = self.lock();
        let tx = inner.held_write.held.take()?;
        Some(inner.store.commit(&tx))
    }
}
