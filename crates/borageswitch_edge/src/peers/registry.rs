//! Keeps one connection for each peer.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_channel::{Receiver, Sender};
use borageswitch_types::names::DaemonName;
use borageswitch_wire::{
    PeerMessage,
    peer::{self, MAX_FRAME},
};

use crate::peers::{
    handshake::Role,
    queue::{Keep, SendQueue},
};

/// A connection that stands.
#[derive(Clone)]
pub(super) struct Standing {
    /// Who dialled it.
    dialler: DaemonName,
    /// What waits to be sent on it.
    pub(super) queue: Arc<SendQueue>,
    /// Closed once the connection has ended and the reducer has been told.
    pub(super) ended: Receiver<()>,
}

/// A connection's place in the registry, held by its task.
pub(super) struct Place {
    pub(super) queue: Arc<SendQueue>,
    pub(super) _ended: Sender<()>,
}

/// The standing connections by peer.
pub(super) struct Registry {
    me: DaemonName,
    standing: Mutex<BTreeMap<DaemonName, Standing>>,
}

impl Registry {
    pub(super) fn new(me: DaemonName) -> Self {
        Self { me, standing: Mutex::default() }
    }

    /// Enters a proved connection, unless the one that stands is to be kept.
    ///
    /// When both daemons dial at once, two connections are proved, perhaps in different order at
    /// the two ends. If each end kept its first one, both would be closed, again and again. So both
    /// keep the one that the daemon with the lower name dialled. A second one from the same dialler
    /// replaces the first: the dialler would not have dialled unless it had given the first one up.
    pub(super) async fn enter(&self, peer: &DaemonName, role: Role) -> Option<Place> {
        let dialler = match role {
            Role::Dialler => &self.me,
            Role::Acceptor => peer,
        };
        let preferred = dialler == (&self.me).min(peer);
        loop {
            let old = {
                let mut standing = self.lock();
                match standing.get(peer) {
                    None => {
                        let (place, entry) = new_entry(dialler.clone());
                        standing.insert(peer.clone(), entry);
                        return Some(place);
                    }
                    Some(old) if old.dialler != *dialler && !preferred => return None,
                    Some(old) => old.clone(),
                }
            };
            old.queue.close();
            // Fails as soon as the old connection has ended.
            let _ = old.ended.recv().await;
        }
    }

    /// Removes the entry of a connection that has ended.
    pub(super) fn leave(&self, peer: &DaemonName, place: &Place) {
        let mut standing = self.lock();
        if standing.get(peer).is_some_and(|entry| Arc::ptr_eq(&entry.queue, &place.queue)) {
            standing.remove(peer);
        }
    }

    /// The connection to a peer.
    pub(super) fn find(&self, peer: &DaemonName) -> Option<Standing> {
        self.lock().get(peer).cloned()
    }

    pub(super) fn send(&self, to: &DaemonName, message: &PeerMessage) {
        let Some(entry) = self.find(to) else { return };
        match peer::encode(message) {
            Ok(frame) if frame.len() <= MAX_FRAME => entry.queue.push(Keep::of(message), frame),
            Ok(frame) => log::error!("a message of {} bytes exceeds a frame", frame.len()),
            Err(err) => log::error!("a message to {to} is not sent: {err}"),
        }
    }

    pub(super) fn close(&self, peer: &DaemonName) {
        if let Some(entry) = self.find(peer) {
            entry.queue.close();
        }
    }

    pub(super) fn close_all(&self) {
        for entry in self.lock().values() {
            entry.queue.close();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<DaemonName, Standing>> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_entry(dialler: DaemonName) -> (Place, Standing) {
    let queue = Arc::new(SendQueue::new());
    let (tx, ended) = async_channel::bounded(1);
    let place = Place { queue: queue.clone(), _ended: tx };
    (place, Standing { dialler, queue, ended })
}
