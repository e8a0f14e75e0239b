//! A connection that asks before each write whether the request may still be sent.
//!
//! Between a decision to send a request and its first byte a process may be suspended, for instance
//! while the connection is made. The question is asked right before the bytes are handed to the
//! system, so that a request which is no longer permitted is not sent on resuming.

use std::{
    fmt, io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Says whether a request may still be sent.
#[derive(Clone)]
pub struct WritePermit(Arc<dyn Fn() -> bool + Send + Sync>);

impl WritePermit {
    /// Creates a permit that is in force while `is_permitted` returns true.
    pub fn new<F>(is_permitted: F) -> Self
    where
        F: Fn() -> bool + Send + Sync + 'static,
    {
        Self(Arc::new(is_permitted))
    }

    /// Returns whether the request may be sent now.
    pub fn is_in_force(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for WritePermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("WritePermit").field(&self.is_in_force()).finish()
    }
}

/// The permit of the request that a connection sends at present.
#[derive(Clone, Debug, Default)]
pub(super) struct Gate {
    state: Arc<Mutex<GateState>>,
}

#[derive(Debug, Default)]
struct GateState {
    permit: Option<WritePermit>,
    has_written: bool,
}

impl Gate {
    /// Begins another request; without a permit all its bytes may be written.
    pub(super) fn begin_request(&self, permit: Option<WritePermit>) {
        *self.lock() = GateState { permit, has_written: false };
    }

    /// Ends a request whose response was read.
    pub(super) fn end_request(&self) {
        self.lock().permit = None;
    }

    /// Returns whether bytes of the request may have been written.
    pub(super) fn has_written(&self) -> bool {
        self.lock().has_written
    }

    /// Checks the permit, right before bytes are written.
    fn pass(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.permit.as_ref().is_some_and(|permit| !permit.is_in_force()) {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        state.has_written = true;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP stream whose writes pass a [`Gate`].
#[derive(Debug)]
pub(super) struct GatedStream {
    stream: TcpStream,
    gate: Gate,
}

impl GatedStream {
    pub(super) fn new(stream: TcpStream, gate: Gate) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
