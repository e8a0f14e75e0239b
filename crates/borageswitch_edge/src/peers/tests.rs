//! What a peer that holds the key, or has recorded others who do, can get wrong on purpose.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use borageswitch_control::Event;
use borageswitch_http::h2_stream::{ByteCounter, H2Stream};
use borageswitch_types::{fleet::Revision, names::DaemonName};
use borageswitch_wire::{
    PeerMessage,
    peer::{self, Member},
};
use bytes::Bytes;
use h2::SendStream;
use http::Request;
use smol::net::TcpStream;

use crate::peers::{
    Peers, PeersConfig, SiteKey,
    frames::{FrameReader, FrameWriter},
    handshake::{self, HandshakeError, Role},
};

const KEY: &[u8] = b"a key of the site, long enough";

fn member(name: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Member { daemon: DaemonName::from(name), data_centre: "midrand".into(), address }
}

struct Fixture {
    ex: Arc<smol::Executor<'static>>,
    peers: Peers,
    events: Receiver<Event>,
}

fn fixture() -> Fixture {
    let ex = Arc::new(smol::Executor::new());
    let (tx, events) = async_channel::unbounded();
    let (slots, _) = async_channel::unbounded();
    let key = SiteKey::new(KEY).unwrap();
    let cfg = PeersConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)), key, member("a"))
        .handshake_timeout(Duration::from_secs(10));
    let peers = Peers::start(cfg, tx, slots, ex.clone()).unwrap();
    Fixture { ex, peers, events }
}

/// A stream to the daemon, not yet proved.
async fn open(f: &Fixture) -> (FrameReader, SendStream<Bytes>) {
    let stream = TcpStream::connect(f.peers.local_addr()).await.unwrap();
    let bytes = ByteCounter::new(&opentelemetry::global::meter("test"));
    let (mut send, conn) = h2::client::handshake(H2Stream::new(stream, bytes)).await.unwrap();
    f.ex.spawn(async move {
        let _ = conn.await;
    })
    .detach();
    let req = Request::builder().method("POST").uri("http://peer/").body(()).unwrap();
    let (response, stream) = send.send_request(req, false).unwrap();
    (FrameReader::new(response.await.unwrap().into_body()), stream)
}

async fn prove(reader: &mut FrameReader, writer: &mut FrameWriter) {
    let key = SiteKey::new(KEY).unwrap();
    handshake::prove(Role::Dialler, &key, &member("b"), reader, writer).await.unwrap();
}

/// A peer announces a frame of four gigabytes. The daemon must not gather it: the connection ends at
/// once, and nothing was read but its length.
#[test]
fn a_frame_beyond_the_limit_ends_the_connection() {
    let f = fixture();
    let events = f.events.clone();
    let session = async {
        let (mut reader, stream) = open(&f).await;
        let mut writer = FrameWriter::new(stream);
        prove(&mut reader, &mut writer).await;
        assert!(matches!(events.recv().await, Ok(Event::PeerUp { .. })));
        writer.write_raw(Bytes::copy_from_slice(&u32::MAX.to_be_bytes())).await.unwrap();
        events.recv().await
    };

    let end = smol::block_on(f.ex.run(session));

    assert_eq!(end, Ok(Event::PeerDown { daemon: "b".into() }));
}

/// A peer of another build sends bytes that are no message. Guessing at them could change the
/// fleet; the connection ends instead.
#[test]
fn a_frame_that_is_no_message_ends_the_connection() {
    let f = fixture();
    let events = f.events.clone();
    let session = async {
        let (mut reader, stream) = open(&f).await;
        let mut writer = FrameWriter::new(stream);
        prove(&mut reader, &mut writer).await;
        assert!(matches!(events.recv().await, Ok(Event::PeerUp { .. })));
        writer.write(&[250, 1, 2, 3]).await.unwrap();
        events.recv().await
    };

    let end = smol::block_on(f.ex.run(session));

    assert_eq!(end, Ok(Event::PeerDown { daemon: "b".into() }));
}

/// A stranger announces a long opening to make the daemon hold it. Before the proof only a short
/// frame is read.
#[test]
fn a_long_opening_is_not_read() {
    let f = fixture();
    let session = async {
        let (mut reader, stream) = open(&f).await;
        let mut writer = FrameWriter::new(stream);
        reader.read(512).await.unwrap();
        writer.write_raw(Bytes::copy_from_slice(&100_000_u32.to_be_bytes())).await.unwrap();
        reader.read(512).await
    };

    let end = smol::block_on(f.ex.run(session));

    assert!(end.is_err());
    assert!(f.events.is_empty());
}

/// A stranger without the key sends the daemon's own opening and proof back to it. Both are signed
/// for one role and one pair of openings, so they prove nothing.
#[test]
fn a_daemon_does_not_prove_itself_to_itself() {
    let f = fixture();
    let session = async {
        let (mut reader, stream) = open(&f).await;
        let mut writer = FrameWriter::new(stream);
        let opening = reader.read(512).await.unwrap();
        writer.write(&opening).await.unwrap();
        writer.write(&[0; 32]).await.unwrap();
        reader.read(512).await
    };

    let end = smol::block_on(f.ex.run(session));

    assert!(end.is_err());
    assert!(f.events.is_empty());
}

#[test]
fn a_peer_without_the_key_is_told_nothing_that_is_signed() {
    let f = fixture();
    let key = SiteKey::new(b"another key, as long as it needs").unwrap();
    let session = async {
        let (mut reader, stream) = open(&f).await;
        let mut writer = FrameWriter::new(stream);
        handshake::prove(Role::Dialler, &key, &member("b"), &mut reader, &mut writer).await
    };

    let end = smol::block_on(f.ex.run(session));

    assert!(matches!(end, Err(HandshakeError::Frame(_))), "{end:?}");
    assert!(f.events.is_empty());
}

/// A daemon is paused for a second while heartbeats and slot messages come, each as a frame of its
/// own. When it goes on it finds them all at once; the connection must not end over that.
#[test]
fn many_small_frames_at_once_are_read() {
    let f = fixture();
    let events = f.events.clone();
    let frame = peer::encode(&PeerMessage::AskFleet { have: Revision(1) }).unwrap();
    let session = async {
        let (mut reader, stream) = open(&f).await;
        let mut writer = FrameWriter::new(stream);
        prove(&mut reader, &mut writer).await;
        assert!(matches!(events.recv().await, Ok(Event::PeerUp { .. })));
        for _ in 0..1_000 {
            writer.write(&frame).await.unwrap();
        }
        let mut read = 0;
        while let Ok(Event::Peer { .. }) = events.recv().await {
            read += 1;
            if read == 1_000 {
                break;
            }
        }
        read
    };

    let read = smol::block_on(f.ex.run(session));

    assert_eq!(read, 1_000);
}
