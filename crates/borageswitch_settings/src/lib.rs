//! Settings files in JSON with comments, checked as a whole.
//!
//! A file is either right in all of it or refused, and a refusal names every wrong field at once
//! with its reason: whoever writes a file should not have to start a daemon five times to find
//! five mistakes.
//!
//! - [`daemon`] is what one daemon is told of itself.
//! - [`site`] is what operators declare of a site, for `borageswitchctl config apply`.
//! - [`reader`] walks a document and collects [`problems`]; [`units`] reads durations, powers and
//!   sizes.

pub mod daemon;
pub mod problems;
pub mod reader;
pub mod site;
pub mod units;

#[cfg(test)]
mod tests;
