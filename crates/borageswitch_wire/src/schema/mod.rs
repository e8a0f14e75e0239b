//! The operators' remote procedure calls, as `schema/borageswitch.proto` declares them.
//!
//! [`proto`] is generated. [`incoming`] reads its messages into the words of
//! [`borageswitch_types`] and names the field where that fails; [`outgoing`] writes them.

mod field;
mod incoming;
mod outgoing;

#[cfg(test)]
mod tests;

pub use self::field::FieldError;

/// The generated messages, client and server.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod proto {
    include!("generated/borageswitch.v1.rs");
}
