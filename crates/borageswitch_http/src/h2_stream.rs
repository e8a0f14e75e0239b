//! Lets `h2`, which speaks tokio's I/O traits, read and write a stream of `smol`.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};
use smol::net::TcpStream;
use tokio::io::ReadBuf;

/// A connection as `h2` wants it; only the traits of tokio are used, none of its runtime. It counts
/// every byte, so that pings and headers count too.
pub struct H2Stream {
    stream: TcpStream,
    bytes: ByteCounter,
}

/// Counts the bytes of all connections.
#[derive(Clone, Debug)]
pub struct ByteCounter(Counter<u64>);

impl ByteCounter {
    /// A counter that begins at zero.
    pub fn new(meter: &Meter) -> Self {
        let bytes = meter.u64_counter("borageswitch_peer_bytes");
        Self(bytes.with_description("Bytes on connections between daemons by direction").build())
    }

    fn count(&self, direction: &'static str, bytes: usize) {
        self.0.add(bytes as u64, &[KeyValue::new("direction", direction)]);
    }
}

impl H2Stream {
    /// A connection whose bytes are counted.
    pub fn new(stream: TcpStream, bytes: ByteCounter) -> Self {
        Self { stream, bytes }
    }
}

impl tokio::io::AsyncRead for H2Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unfilled = buf.initialize_unfilled();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, unfilled))?;
        buf.advance(read);
        self.bytes.count("received", read);
        Poll::Ready(Ok(()))
    }
}

impl tokio::io::AsyncWrite for H2Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.bytes.count("sent", written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
