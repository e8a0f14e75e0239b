//! The path of callers' requests over loopback sockets, against small targets within the test.

mod answers;
mod bad_input;
mod bodies;
mod cancelling;
mod claims;
mod errors_page;
mod http2;
mod not_run;
mod retries;
mod silence;
mod stopping;
mod support;
