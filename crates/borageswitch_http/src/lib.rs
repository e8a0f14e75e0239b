//! HTTP/1.1 client calls that are bounded in time and size, and whose errors say whether the
//! request may have been processed.
//!
//! - [`client`] makes calls. Each returns a complete response, or an error that says whether the
//!   server may have read the request.
//! - [`connections`] pools idle connections for reuse, and closes those that stopped responding.
//! - [`write_gate`] keeps a request that is no longer permitted from being written.
//! - [`h2_stream`] adapts a connection between daemons for `h2`.

pub mod client;
pub mod connections;
pub mod h2_stream;
pub mod write_gate;
