//! Adapter that implements tokio's I/O traits, which `h2` requires, for a `smol` TCP stream.

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

/// TCP stream with tokio's I/O traits for `h2`; the tokio runtime is not used. Bytes are counted
/// here, below `h2`, so that pings and headers are included.
pub struct H2Stream {
    stream: TcpStream,
    bytes: ByteCounter,
}

/// Metric that counts the bytes sent and received on all connections.
#[derive(Clone, Debug)]
pub struct ByteCounter(Counter<u64>);

impl ByteCounter {
    /// Registers the counter with `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = meter.u64_counter("borageswitch_peer_bytes");
        Self(counter.with_description("Bytes on connections between daemons by direction").build())
    }

    fn record(&self, direction: &'static str, bytes: usize) {
        self.0.add(bytes as u64, &[KeyValue::new("direction", direction)]);
    }
}

impl H2Stream {
    /// Wraps a stream and counts its traffic in `bytes`.
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
        self.bytes.record("received", read);
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
        self.bytes.record("sent", written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
