//! Reads the platform's list of hosts for the planner.
//!
//! Only the holder of the planner duty reads it, so the region makes one call per [`READ_INTERVAL`]
//! for any number of daemons and hosts.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{Time, fleet::Duty, names::HostName};

use crate::{effect::Effect, event::ListedHost, reducer::State};

/// How often the list is read: a leaving host must stop getting new work within a few seconds.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Schedule of the host list reads.
#[derive(Debug, Default)]
pub(super) struct HostListing {
    next_read: Time,
}

impl State {
    pub(super) fn host_list_tick(&mut self) {
        if self.host_listing.next_read > self.now || !self.may_act(&Duty::Planner) {
            return;
        }
        self.host_listing.next_read = self.now + READ_INTERVAL;
        self.effects.push(Effect::ReadHostList);
    }

    /// Applies a host list; if it could not be read, the previous one stays in effect.
    pub(super) fn host_list_received(&mut self, hosts: Option<Vec<ListedHost>>) {
        let Some(hosts) = hosts else { return };
        let leaving = hosts.into_iter().filter(|listed| listed.leaving).map(|listed| listed.host);
        let leaving: BTreeSet<HostName> = leaving.collect();
        if self.observed.listed_leaving.as_ref() != Some(&leaving) {
            self.observed.listed_leaving = Some(leaving);
            self.schedule_planning();
        }
    }
}
