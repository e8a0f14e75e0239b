//! Authentication of callers by the keys of the configuration in force.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{
        Config, Queue,
        access::{Credential, KeyOwner, Rejection},
    },
    job::Size,
};
use borageswitch_types::names::CallerName;

use crate::{
    daemon::Shared,
    failures::{Failure, RequestResult},
    intake::PendingOutcome,
    ports::Platform,
};

/// A caller's request to a queue.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The owner of the key; `None` if the queue requires no key.
    pub owner: Option<&'a KeyOwner>,
    /// The resources that the caller may use.
    pub(crate) quota: Option<Size>,
    /// Takes whether the outcome is unknown, if the request may be abandoned at a deadline.
    pub(crate) pending: Option<&'a PendingOutcome>,
    /// How long the caller waits for a response, if it says so.
    pub(crate) patience: Option<Duration>,
}

impl<'a> Call<'a> {
    /// A request to a queue that requires no key.
    pub fn without_key(queue: &'a Queue) -> Self {
        Self { queue, owner: None, quota: None, pending: None, patience: None }
    }

    /// The same request, which may be abandoned at a deadline: what its outcome then is, is kept in
    /// `pending`.
    pub fn with_pending(self, pending: &'a PendingOutcome) -> Self {
        Self { pending: Some(pending), ..self }
    }

    /// The same request of a caller that waits for a response for so long. Zero says nothing.
    pub fn with_patience(self, patience: Option<Duration>) -> Self {
        Self { patience: patience.filter(|patience| !patience.is_zero()), ..self }
    }

    pub(crate) fn caller(&self) -> Option<CallerName> {
        self.owner.map(|owner| owner.caller.clone())
    }

    pub(crate) fn caller_name(&self) -> &str {
        self.owner.map_or("", |owner| owner.caller.as_str())
    }
}

/// How long a slow store takes to respond.
const SLOW_RESPONSE: Duration = Duration::from_millis(600);

/// Whether the configuration may be too old to conclude that a key or queue does not exist. A watch
/// confirms the state at the time when it was sent, so the last confirmation of a connected daemon
/// is up to two watches and a slow response old.
fn may_be_outdated<P>(shared: &Arc<Shared<P>>) -> bool
where
    P: Platform,
{
    shared.config_age() > 2 * shared.cfg.config_watch_timeout + SLOW_RESPONSE
}

/// Authenticates a request by the key that it shows.
///
/// # Errors
///
/// [`Failure::Unauthenticated`], or [`Failure::ConfigTooOld`] if this daemon must not rely on a
/// configuration as old as its own, or may have missed the one with the key.
pub fn admit<'a, P>(
    shared: &Arc<Shared<P>>,
    config: &'a Config,
    queue: &'a Queue,
    shown: Credential<'_>,
) -> RequestResult<Call<'a>>
where
    P: Platform,
{
    let age = shared.config_age();
    let failure = match config.access.admit(&queue.name, shown) {
        Ok(Some(_)) if shared.cfg.keys_hold.is_some_and(|hold| age > hold) => Failure::ConfigTooOld,
        Ok(owner) => {
            let declared = owner.and_then(|owner| config.callers.get(&owner.caller));
            let quota = declared.map(|caller| caller.quota);
            return Ok(Call { queue, owner, quota, pending: None, patience: None });
        }
        // A daemon that was disconnected when a key was issued does not know it and would reject
        // its owner permanently. The response makes the owner retry and find a daemon that knows the
        // key.
        Err(Rejection::UnknownKey(_)) if may_be_outdated(shared) => Failure::ConfigTooOld,
        Err(rejection) => Failure::Unauthenticated(rejection),
    };
    log::info!(
        queue = queue.name.as_str(), reason = failure.to_string().as_str(),
        version = config.version, age_ms = age.as_millis() as u64;
        "not-let-in"
    );
    Err(failure)
}

/// The failure of a request to a queue that the configuration in force does not have.
pub fn unknown_queue<P>(shared: &Arc<Shared<P>>) -> Failure
where
    P: Platform,
{
    if may_be_outdated(shared) { Failure::ConfigTooOld } else { Failure::NoQueue }
}
