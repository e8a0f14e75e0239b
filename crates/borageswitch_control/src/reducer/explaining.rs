//! Records decisions with their reasons, and explains to operators why something waits.

use std::{collections::BTreeMap, collections::VecDeque, sync::Arc};

use borageswitch_planner::explain;
use borageswitch_types::{Time, fleet::Duty, names::HostName};
use borageswitch_wire::operator::Subject;

use crate::{effect::Effect, reducer::State};

/// Number of decisions kept: an hour of a busy wave, in under 64 KB.
const MAX_DECISIONS: usize = 512;
/// Number of decisions included in one explanation.
const MAX_EXPLAINED_DECISIONS: usize = 8;

/// A decision with the time at which it was made.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Decision {
    at: Time,
    text: Arc<str>,
}

/// The most recent decisions, oldest first.
#[derive(Debug, Default)]
pub(super) struct Decisions(VecDeque<Decision>);

impl State {
    /// Records a decision with its reason.
    pub(super) fn record_decision(&mut self, text: String) {
        let text: Arc<str> = text.into();
        if self.decisions.0.len() >= MAX_DECISIONS {
            self.decisions.0.pop_front();
        }
        self.decisions.0.push_back(Decision { at: self.now, text: text.clone() });
        self.effects.push(Effect::RecordDecision { text });
    }

    pub(super) fn explain(&self, subject: &Subject) -> Option<Vec<String>> {
        let fleet = self.sync.fleet()?;
        let observed = &self.observed;
        let (name, reasons) = match subject {
            Subject::Host(host) => (host.as_str(), explain::host(fleet, observed, host)),
            Subject::Pool(pool) => (pool.as_str(), explain::pool(fleet, observed, pool)),
            Subject::Wave(wave) => (wave.as_str(), explain::wave(fleet, observed, wave)),
            Subject::Request(id) => (&**id, vec![]),
        };
        if reasons.is_empty() && !matches!(subject, Subject::Request(_)) {
            return None;
        }
        let mut lines: Vec<String> = reasons.iter().map(ToString::to_string).collect();
        lines.extend(self.explain_drains(subject));
        let holder = match self.may_act(&Duty::Planner) {
            true => Some(self.me()),
            false => self.recent_holder(&Duty::Planner),
        };
        match holder {
            Some(holder) => lines.push(format!("{holder} takes the steps of this region")),
            None => lines.push("no daemon is known to take the steps of this region".to_owned()),
        }
        lines.extend(self.decisions_about(name));
        let is_unknown_request = matches!(subject, Subject::Request(_)) && lines.len() < 2;
        (!is_unknown_request).then_some(lines)
    }

    fn decisions_about(&self, name: &str) -> Vec<String> {
        let is_word = |word: &str| word.trim_matches(|c: char| !c.is_alphanumeric()) == name;
        let about = |decision: &&Decision| decision.text.split(' ').any(is_word);
        let mut last: Vec<&Decision> = self.decisions.0.iter().rev().filter(about).collect();
        last.truncate(MAX_EXPLAINED_DECISIONS);
        let ago = |decision: &Decision| self.now.since(decision.at).as_secs();
        last.iter().rev().map(|d| format!("{} s ago: {}", ago(d), d.text)).collect()
    }

    /// Explains why leaving hosts are not drained, for one host or all hosts of a wave.
    fn explain_drains(&self, subject: &Subject) -> Vec<String> {
        let is_subject = |host: &&HostName| match subject {
            Subject::Host(name) => *host == name,
            Subject::Wave(wave) => {
                let wave = self.sync.fleet().and_then(|fleet| fleet.waves.get(wave));
                wave.is_some_and(|wave| wave.out.contains(*host))
            }
            Subject::Pool(_) | Subject::Request(_) => false,
        };
        let hosts = self.leaving.iter().filter(is_subject);
        let lines = hosts.map(|host| match self.local_drain_blocker(host) {
            Some(why) => format!("{host} is not drained: {why}"),
            None => format!("{host} is drained and its next step is due"),
        });
        lines.collect()
    }

    /// The daemon's full state as JSON.
    pub(super) fn dump(&self) -> String {
        let members = self.members.known.iter().map(|(daemon, known)| {
            let contact = self.members.contacts.get(daemon);
            let member = serde_json::json!({
                "member": known.member,
                "heard_ms_ago": contact.map(|h| self.now.since(h.at).as_millis() as u64),
                "revision": contact.map(|h| h.revision),
                "progress": contact.map(|h| &h.progress),
                "duties": contact.map(|h| &h.duties),
                "lease_stands": known.listed.as_ref().map(|listed| listed.live),
            });
            (daemon, member)
        });
        let members: BTreeMap<_, _> = members.collect();
        let undrained = self.leaving.iter();
        let undrained =
            undrained.map(|h| (h, self.local_drain_blocker(h).map(|why| why.to_string())));
        let undrained: BTreeMap<_, _> = undrained.collect();
        let dump = serde_json::json!({
            "daemon": self.me(),
            "region": self.cfg.region,
            "revision": self.known_document().0,
            "store_version": self.sync.version(),
            "applied": self.traffic.applied,
            "draining": self.traffic.draining,
            "unfinished": self.traffic.unfinished,
            "lease_valid_ms": self.session.valid_until().since(self.now).as_millis() as u64,
            "admitting": self.is_admitting(),
            "duties": self.duties.held(),
            "parent": self.parent(),
            "neighbours": self.neighbours(),
            "entries": &self.entries[..],
            "members": members,
            "undrained": undrained,
            "changes_waiting": self.writer.waiting(),
            "claims_known_and_waiting": self.claims.summary(),
            "store_calls": self.store_calls.counts(),
            "stopping": self.stopping,
            "decisions": self.decisions.0,
            "fleet": self.sync.fleet().map(|fleet| &**fleet),
        });
        dump.to_string()
    }
}
