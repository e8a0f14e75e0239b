//! Who is let in: the key that a request shows, by the configuration in force.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{
        Config, Queue,
        access::{Credential, KeyOwner},
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

/// Lets a request in, or not.
///
/// # Errors
///
/// [`Failure::NotLetIn`], and [`Failure::KeysUnknown`] where this daemon must not go by a
/// configuration as old as its own.
pub fn admit<'a, P>(
    shared: &Arc<Shared<P>>,
    config: &'a Config,
    queue: &'a Queue,
    shown: Credential<'_>,
) -> Served<Call<'a>>
where
    P: Platform,
{
    let owner = config.access.admit(&queue.name, shown);
    let age = shared.config_age();
    match owner {
        Ok(Some(_)) if shared.cfg.keys_hold.is_some_and(|hold| age > hold) => {
            log::warn!(queue = queue.name.as_str(), age_ms = millis(age); "keys-unknown");
            Err(Failure::KeysUnknown)
        }
        Ok(owner) => {
            let declared = owner.and_then(|owner| config.callers.get(&owner.caller));
            Ok(Call { queue, owner, quota: declared.map(|caller| caller.quota) })
        }
        Err(rejection) => {
            log::info!(
                queue = queue.name.as_str(), reason = rejection.to_string().as_str(),
                version = config.version, age_ms = millis(age);
                "not-let-in"
            );
            Err(Failure::NotLetIn(rejection))
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
