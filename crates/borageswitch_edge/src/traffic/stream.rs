//! A socket that is read only when there may be something to read.
//!
//! The HTTP library tries to read whenever its connection runs, mostly to notice its end. Measured
//! without this: eleven calls of `recv` a request, nine of them in vain. A read that found the
//! socket empty, or did not fill its buffer, has shown that the next one would be in vain until
//! the reactor reports the socket as readable; so only the reactor is asked until then.

use std::{
    io::{self, Read},
    net::{Shutdown, TcpStream},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// A socket, shared between its connection and whoever may have to break it off.
#[derive(Clone)]
pub(super) struct SharedStream(Arc<Inner>);

struct Inner {
    stream: Async<TcpStream>,
    /// Whether the next read would be in vain before the reactor reports the socket.
    dry: AtomicBool,
}

impl SharedStream {
    pub(super) fn new(stream: Async<TcpStream>) -> Self {
        Self(Arc::new(Inner { stream, dry: AtomicBool::new(false) }))
    }

    /// Makes the next read look at the socket itself.
    ///
    /// The reactor may lag: a connection whose end has arrived must be noticed before a request
    /// is written to it, or nobody could say afterwards whether the request ran.
    pub(super) fn look_again(&self) {
        self.0.dry.store(false, Ordering::Relaxed);
    }

    /// Ends the connection under whoever uses it.
    pub(super) fn break_off(&self) {
        // It fails only if the connection has ended already.
        let _ = self.0.stream.get_ref().shutdown(Shutdown::Both);
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Inner { stream, dry } = &*self.0;
        loop {
            if dry.load(Ordering::Relaxed) {
                ready!(stream.poll_readable(cx))?;
                dry.store(false, Ordering::Relaxed);
            }
            match stream.get_ref().read(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    dry.store(true, Ordering::Relaxed);
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                read => {
                    // The end of the connection reads as nothing, and must be read again.
                    let short = matches!(read, Ok(len) if len > 0 && len < buf.len());
                    dry.store(short, Ordering::Relaxed);
                    return Poll::Ready(read);
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.0.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.0.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_close(cx)
    }
}
