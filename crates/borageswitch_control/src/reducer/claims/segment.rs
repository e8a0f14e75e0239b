//! One value of a shard's chain, as text in the store.
//!
//! The first line says whether the segment is open or sealed; each further line is a claim: key,
//! nonce, when it was made, and end of the window. A sealed segment never changes again; claims go on in the next.

use borageswitch_types::{
    claim::{ClaimKey, ClaimNonce},
    time::UnixMillis,
};

const OPEN: &str = "open";
const SEALED: &str = "sealed";

/// A claim as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Claim {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    /// When the claim was made, by the writer's wall clock.
    pub(super) made: UnixMillis,
    /// When the claim may be forgotten, by the same clock.
    pub(super) until: UnixMillis,
}

/// One value of a shard's chain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) claims: Vec<Claim>,
    pub(super) sealed: bool,
}

impl Segment {
    pub(super) fn to_text(&self) -> String {
        let mut text = String::from(if self.sealed { SEALED } else { OPEN });
        for Claim { key, nonce, made, until } in &self.claims {
            text.push_str(&format!("\n{key} {nonce} {made} {until}"));
        }
        text
    }

    /// Reads a segment, or gives nothing if the bytes are no segment.
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

    /// When the last of the claims may be forgotten.
    pub(super) fn newest_until(&self) -> UnixMillis {
        self.claims.iter().map(|claim| claim.until).max().unwrap_or_default()
    }
}

fn parse_claim(line: &str) -> Option<Claim> {
    let mut words = line.split(' ');
    let key = u128::from_str_radix(words.next()?, 16).ok()?;
    let nonce = u64::from_str_radix(words.next()?, 16).ok()?;
    let made = words.next()?.parse().ok()?;
    let until = words.next()?.parse().ok()?;
    words.next().is_none().then_some(Claim {
        key: ClaimKey(key),
        nonce: ClaimNonce(nonce),
        made: UnixMillis(made),
        until: UnixMillis(until),
    })
}
