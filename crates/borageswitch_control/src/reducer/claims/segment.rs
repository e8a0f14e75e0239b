//! The text format of a segment, one stored value of a shard's chain.
//!
//! The first line states whether the segment is open or sealed. Each further line is a claim: key,
//! nonce, time of the claim and end of its window. A released claim stays in place and is cancelled
//! by a later line with the same nonce and the word `released`. A sealed segment never changes;
//! further claims go into the next segment.

use borageswitch_types::{
    claim::{ClaimKey, ClaimNonce},
    time::UnixMillis,
};

const OPEN: &str = "open";
const SEALED: &str = "sealed";
const RELEASED: &str = "released";

/// The kind of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// The claim was made.
    Claimed,
    /// The claim was released: nothing was sent under it, and nothing will be.
    Released,
}

/// A claim, or its release, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Claim {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    /// When the claim was made, by the writer's wall clock.
    pub(super) claimed_at: UnixMillis,
    /// When the claim expires, by the same clock.
    pub(super) until: UnixMillis,
    pub(super) kind: Kind,
}

/// One stored value of a shard's chain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) claims: Vec<Claim>,
    pub(super) sealed: bool,
}

impl Segment {
    pub(super) fn to_text(&self) -> String {
        let mut text = String::from(if self.sealed { SEALED } else { OPEN });
        for Claim { key, nonce, claimed_at, until, kind } in &self.claims {
            text.push_str(&format!("\n{key} {nonce} {claimed_at} {until}"));
            if *kind == Kind::Released {
                text.push(' ');
                text.push_str(RELEASED);
            }
        }
        text
    }

    /// Parses a segment; `None` if the bytes are not a valid one.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Segment> {
        let mut lines = std::str::from_utf8(bytes).ok()?.lines();
        let sealed = match lines.next()? {
            OPEN => false,
            SEALED => true,
            _ => return None,
        };
        let claims = lines.map(parse_claim).collect::<Option<Vec<Claim>>>()?;
        Some(Segment { claims, sealed })
    }

    /// Whether this segment is `before` with zero or more lines appended, as every later value must
    /// be.
    pub(super) fn extends(&self, before: &Segment) -> bool {
        self.claims.starts_with(&before.claims)
    }

    /// When the last of the claims expires.
    pub(super) fn newest_until(&self) -> UnixMillis {
        self.claims.iter().map(|claim| claim.until).max().unwrap_or_default()
    }
}

fn parse_claim(line: &str) -> Option<Claim> {
    let mut words = line.split(' ');
    let key = u128::from_str_radix(words.next()?, 16).ok()?;
    let nonce = u64::from_str_radix(words.next()?, 16).ok()?;
    let claimed_at = words.next()?.parse().ok()?;
    let until = words.next()?.parse().ok()?;
    let kind = match words.next() {
        None => Kind::Claimed,
        Some(RELEASED) => Kind::Released,
        Some(_) => return None,
    };
    words.next().is_none().then_some(Claim {
        key: ClaimKey(key),
        nonce: ClaimNonce(nonce),
        claimed_at: UnixMillis(claimed_at),
        until: UnixMillis(until),
        kind,
    })
}
