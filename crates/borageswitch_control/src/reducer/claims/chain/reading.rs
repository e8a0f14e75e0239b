//! Updates a chain from the store's responses: its claims, releases and open end.

use borageswitch_types::Time;

use super::{Chain, Sealed, Stage};
use crate::{
    reducer::claims::segment::{Claim, Kind, Segment},
    store::{KeyValue, Version},
};

impl Chain {
    /// Loads the whole chain from a list; returns whether the list was complete and readable.
    pub(super) fn load(&mut self, sent_at: Time, values: &[KeyValue]) -> bool {
        self.claimed.clear();
        self.released.clear();
        self.sealed.clear();
        self.head = 1;
        self.head_version = Version::ABSENT;
        self.head_segment = Segment::default();
        self.absent_at = sent_at;
        let last = values.len().saturating_sub(1);
        for (index, kv) in values.iter().enumerate() {
            let number = kv.key.strip_prefix(&*self.prefix).and_then(|text| text.parse().ok());
            let (Some(number), Some(segment)) = (number, Segment::from_bytes(&kv.value)) else {
                log::error!("the claims under {} cannot be read", kv.key);
                return false;
            };
            if !segment.sealed && index != last {
                // The chain grew while the list was read, so it is read again.
                return false;
            }
            self.take_segment(number, kv.version, segment);
        }
        let has_open_end = values.is_empty() || self.head_version != Version::ABSENT;
        if has_open_end {
            self.end_seen_at = sent_at;
        }
        self.stage = if has_open_end { Stage::Ready } else { Stage::HeadUnknown };
        true
    }

    /// Applies a segment, skipping the lines that are already known: otherwise a key that was
    /// claimed, released and claimed again would seem to be claimed twice.
    pub(super) fn take_segment(&mut self, number: u64, version: Version, segment: Segment) {
        let known = if number == self.head { self.head_segment.claims.len() } else { 0 };
        for claim in &segment.claims[known..] {
            match claim.kind {
                Kind::Claimed => self.add_claim(*claim),
                Kind::Released => self.add_release(*claim),
            }
        }
        self.head = number;
        self.head_version = version;
        self.head_segment = segment;
        if self.head_segment.sealed {
            self.advance_head();
        }
    }

    /// Moves the head to the segment after a sealed one.
    fn advance_head(&mut self) {
        let segment = std::mem::take(&mut self.head_segment);
        let newest_until = segment.newest_until();
        let sealed = Sealed { version: self.head_version, newest_until, claims: segment.claims };
        self.sealed.insert(self.head, sealed);
        self.head += 1;
        self.head_version = Version::ABSENT;
    }

    /// # Panics
    ///
    /// If the chain contains two claims of one key and the first was neither released nor expired
    /// when the second was made, since a request could have run twice; or if a nonce is claimed
    /// after its release.
    fn add_claim(&mut self, claim: Claim) {
        let before = self.claimed.insert(claim.key, claim);
        let is_released = self.released.contains(&claim.nonce);
        assert!(!is_released, "the claim {} was made again after its release", claim.nonce);
        let is_allowed =
            |before: Claim| before.nonce == claim.nonce || before.until <= claim.claimed_at;
        assert!(before.is_none_or(is_allowed), "the key {} is claimed twice", claim.key);
    }

    /// Applies a release. If the nonce's claim is not in the chain, the release only prevents that
    /// nonce from being granted.
    fn add_release(&mut self, release: Claim) {
        self.released.insert(release.nonce);
        self.releases.remove(&release.nonce);
        if self.claimed.get(&release.key).is_some_and(|claim| claim.nonce == release.nonce) {
            self.claimed.remove(&release.key);
        }
    }

    pub(super) fn read_head(&mut self, sent_at: Time, kv: Option<KeyValue>) {
        let Some(kv) = kv else {
            let vanished = self.head_version != Version::ABSENT;
            self.absent_at = sent_at;
            if !vanished {
                self.end_seen_at = sent_at;
            }
            self.stage = if vanished { Stage::Unloaded } else { Stage::Ready };
            return;
        };
        let Some(segment) = Segment::from_bytes(&kv.value) else {
            log::error!("the claims under {} cannot be read", kv.key);
            return;
        };
        if !segment.extends(&self.head_segment) {
            self.stage = Stage::Unloaded;
            return;
        }
        let sealed = segment.sealed;
        self.take_segment(self.head, kv.version, segment);
        if !sealed {
            self.end_seen_at = sent_at;
        }
        self.stage = if sealed { Stage::HeadUnknown } else { Stage::Ready };
    }

    pub(super) fn forget_segment(&mut self, number: u64) {
        let Some(sealed) = self.sealed.remove(&number) else { return };
        for claim in sealed.claims {
            if claim.kind == Kind::Released {
                self.released.remove(&claim.nonce);
            }
            if self.claimed.get(&claim.key) == Some(&claim) {
                self.claimed.remove(&claim.key);
            }
        }
    }
}
