//! Who is let in: the key that a request shows, by the configuration in force.

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
    answers::{Failure, Served},
    daemon::Shared,
    ports::Platform,
};

/// Who calls which queue.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// Whose key was shown; nobody's where none is needed.
    pub owner: Option<&'a KeyOwner>,
    /// What that caller may use.
    pub(crate) quota: Option<Size>,
}

impl<'a> Call<'a> {
    /// A call for which no key is needed.
    pub fn without_key(queue: &'a Queue) -> Self {
        Self { queue, owner: None, quota: None }
    }

    pub(crate) fn caller(&self) -> Option<CallerName> {
        self.owner.map(|owner| owner.caller.clone())
    }

    pub(crate) fn caller_name(&self) -> &str {
        self.owner.map_or("", |owner| owner.caller.as_str())
    }
}

/// How long the answer of a slow store takes.
const SLOW_ANSWER: Duration = Duration::from_millis(600);

/// Whether the configuration may be too old to say that there is no such key or queue. A watch says
/// how things stood when it was sent, so that a daemon in touch is up to two watches behind, and a
/// slow answer more.
fn may_be_outdated<P>(shared: &Arc<Shared<P>>) -> bool
where
    P: Platform,
{
    shared.config_age() > 2 * shared.cfg.config_wait + SLOW_ANSWER
}

/// Lets a request in, or not.
///
/// # Errors
///
/// [`Failure::NotLetIn`], and [`Failure::ConfigTooOld`] where this daemon must not go by a
/// configuration as old as its own, or may have missed the one that has the key.
pub fn admit<'a, P>(
    shared: &Arc<Shared<P>>,
    config: &'a Config,
    queue: &'a Queue,
    shown: Credential<'_>,
) -> Served<Call<'a>>
where
    P: Platform,
{
    let age = shared.config_age();
    let failure = match config.access.admit(&queue.name, shown) {
        Ok(Some(_)) if shared.cfg.keys_hold.is_some_and(|hold| age > hold) => Failure::ConfigTooOld,
        Ok(owner) => {
            let declared = owner.and_then(|owner| config.callers.get(&owner.caller));
            return Ok(Call { queue, owner, quota: declared.map(|caller| caller.quota) });
        }
        // A daemon that was cut off while a key was handed out would turn its owner away for good.
        // Told to come back, the owner finds a daemon that knows it.
        Err(Rejection::UnknownKey(_)) if may_be_outdated(shared) => Failure::ConfigTooOld,
        Err(rejection) => Failure::NotLetIn(rejection),
    };
    log::info!(
        queue = queue.name.as_str(), reason = failure.to_string().as_str(),
        version = config.version, age_ms = age.as_millis() as u64;
        "not-let-in"
    );
    Err(failure)
}

/// What is said of a queue that the configuration in force does not have.
pub fn no_queue<P>(shared: &Arc<Shared<P>>) -> Failure
where
    P: Platform,
{
    if may_be_outdated(shared) { Failure::ConfigTooOld } else { Failure::NoQueue }
}
