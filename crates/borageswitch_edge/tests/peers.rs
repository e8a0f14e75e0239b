//! Connections between daemons: two ways, one for each pair, proved, and replaced when they end.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use async_channel::Receiver;
use borageswitch_control::Event;
use borageswitch_edge::peers::{Peers, PeersConfig, SiteKey};
use borageswitch_types::{
    fleet::Revision,
    names::{DaemonName, ServiceName},
    slots::SlotMessage,
};
use borageswitch_wire::{PeerMessage, peer::Member};

use crate::support::{Runner, proxy::Proxy};

const KEY: &[u8] = b"a key of the site, long enough";

struct Daemon {
    peers: Peers,
    events: Receiver<Event>,
    slots: Receiver<(DaemonName, SlotMessage)>,
}

fn daemon(runner: &Runner, name: &str) -> Daemon {
    daemon_with(runner, name, KEY)
}

fn daemon_with(runner: &Runner, name: &str, key: &[u8]) -> Daemon {
    let (tx, events) = async_channel::unbounded();
    let (slots_tx, slots) = async_channel::unbounded();
    let key = SiteKey::new(key).unwrap();
    let cfg = PeersConfig::new(support::any_port(), key, member(name, support::any_port()))
        .ping_interval(Duration::from_millis(100))
        .rest_interval(Duration::from_millis(300))
        .silence(Duration::from_secs(1))
        .handshake_timeout(Duration::from_millis(500))
        .max_backoff(Duration::from_millis(100));
    let peers = Peers::start(cfg, tx, slots_tx, runner.ex.clone()).unwrap();
    Daemon { peers, events, slots }
}

fn member(name: &str, address: SocketAddr) -> Member {
    Member { daemon: DaemonName::from(name), data_centre: "midrand".into(), address }
}

impl Daemon {
    fn member(&self) -> Member {
        self.peers.me().clone()
    }

    fn send(&self, to: &Daemon, revision: u64) {
        self.peers.send(&to.member().daemon, ask(revision));
    }

    fn wait_up(&self) -> DaemonName {
        support::next_event(&self.events, |event| match event {
            Event::PeerUp { member } => Some(member.daemon),
            _ => None,
        })
    }

    fn wait_down(&self) -> DaemonName {
        support::next_event(&self.events, |event| match event {
            Event::PeerDown { daemon } => Some(daemon),
            _ => None,
        })
    }

    fn receive(&self) -> (DaemonName, PeerMessage) {
        support::next_event(&self.events, |event| match event {
            Event::Peer { from, message } => Some((from, message)),
            _ => None,
        })
    }

    /// Whether a peer came up within a short time.
    fn hears_of_a_peer(&self) -> bool {
        let event = support::within(Duration::from_millis(400), self.events.recv());
        matches!(event, Some(Ok(Event::PeerUp { .. })))
    }
}

fn ask(revision: u64) -> PeerMessage {
    PeerMessage::AskFleet { have: Revision(revision) }
}

/// Reads until the other end closes, and says how much came; panics if it does not close.
fn read_to_close(stream: &mut TcpStream) -> usize {
    stream.set_read_timeout(Some(support::LIVENESS)).unwrap();
    let mut buf = [0; 4_096];
    let mut total = 0;
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return total,
            Ok(read) => total += read,
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => panic!("it stays open"),
            Err(_) => return total,
        }
    }
}

#[test]
fn messages_go_both_ways() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));

    a.peers.connect(b.member());
    assert_eq!((a.wait_up().as_str(), b.wait_up().as_str()), ("b", "a"));
    a.send(&b, 1);
    b.send(&a, 2);

    assert_eq!(b.receive(), ("a".into(), ask(1)));
    assert_eq!(a.receive(), ("b".into(), ask(2)));
}

#[test]
fn messages_about_slots_go_to_the_traffic_threads() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    a.peers.connect(b.member());
    a.wait_up();
    let hold = SlotMessage::Hold { service: ServiceName::from("billing"), loans: vec![1, 2] };

    a.peers.send(&b.member().daemon, PeerMessage::Slots(hold.clone()));

    let received = support::within(support::LIVENESS, b.slots.recv());
    assert_eq!(received, Some(Ok(("a".into(), hold))));
}

/// Callers come in a burst, and a daemon asks another one for slots hundreds of times at once. The
/// HTTP/2 library took so many small pieces for an attack and ended the connection: the messages
/// were lost, and the daemons counted as gone for a moment.
#[test]
fn a_burst_of_small_messages_arrives_whole() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    a.peers.connect(b.member());
    a.wait_up();
    b.wait_up();

    for round in 0..10 {
        for n in 0..500 {
            a.send(&b, round * 500 + n);
        }
        for n in 0..500 {
            let event = support::next_event(&b.events, Some);
            let message = ask(round * 500 + n);
            assert_eq!(event, Event::Peer { from: "a".into(), message });
        }
    }
}

#[test]
fn a_large_message_arrives_whole() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    a.peers.connect(b.member());
    a.wait_up();
    let many = (0..20_000).map(|n| member(&format!("daemon-{n}"), support::any_port()));
    let roster = PeerMessage::Roster(many.collect());

    a.peers.send(&b.member().daemon, roster.clone());

    assert!(b.receive().1 == roster);
}

/// Both daemons learn of each other at the same time and dial. If each end kept the connection that
/// it saw first, both would be closed, over and over. Exactly one must stay and work both ways.
#[test]
fn two_daemons_that_dial_each_other_keep_one_connection() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    let (to_a, to_b) = (
        Proxy::start(&runner.ex, a.peers.local_addr()),
        Proxy::start(&runner.ex, b.peers.local_addr()),
    );

    a.peers.dial(to_b.address);
    b.peers.dial(to_a.address);
    a.wait_up();
    b.wait_up();
    smol::block_on(smol::Timer::after(Duration::from_millis(300)));
    for round in 0..20 {
        a.send(&b, round);
        b.send(&a, round);
    }

    let last = |daemon: &Daemon| {
        support::next_event(&daemon.events, |event| match event {
            Event::Peer { message, .. } if message == ask(19) => Some(()),
            _ => None,
        });
    };
    last(&a);
    last(&b);
    assert!(to_a.accepted() <= 1 && to_b.accepted() <= 1);
}

/// A program without the site's key connects to the peers' port. If it counted as a peer it could
/// hand out a fleet document of its own making.
#[test]
fn a_daemon_with_another_key_is_no_peer() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    let stranger = daemon_with(&runner, "c", b"another key, as long as it needs");

    stranger.peers.connect(a.member());
    a.peers.connect(stranger.member());
    let heard = a.hears_of_a_peer() || stranger.hears_of_a_peer();
    b.peers.connect(a.member());

    assert!(!heard);
    assert_eq!(a.wait_up().as_str(), "b");
}

#[test]
fn a_short_key_is_refused() {
    let key = SiteKey::new(b"too short");

    assert!(key.is_err());
}

#[test]
fn a_key_is_not_shown() {
    let key = SiteKey::new(KEY).unwrap();

    assert_eq!(format!("{key:?}"), "SiteKey(..)");
}

/// A port scanner sends bytes that are no protocol of ours. The connection is closed, and daemons
/// still connect.
#[test]
fn garbage_is_closed_and_harms_nobody() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    let mut rng = fastrand::Rng::with_seed(3);
    let garbage: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(64 << 10).collect();

    let mut stream = TcpStream::connect(a.peers.local_addr()).unwrap();
    let _ = stream.write_all(&garbage);
    read_to_close(&mut stream);
    let mut stream = TcpStream::connect(a.peers.local_addr()).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    read_to_close(&mut stream);
    b.peers.connect(a.member());

    assert_eq!(a.wait_up().as_str(), "b");
}

/// Something opens many connections and says nothing. Each would hold a place for good; instead it
/// is closed after the time for the proof, and daemons still connect.
#[test]
fn connections_that_say_nothing_are_closed() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));

    let mut silent: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(a.peers.local_addr()).unwrap()).collect();
    for stream in &mut silent {
        read_to_close(stream);
    }
    b.peers.connect(a.member());

    assert_eq!(a.wait_up().as_str(), "b");
}

/// What lies between two daemons loses track of their connection: nothing arrives and nothing fails.
/// Both must notice, say so, and connect anew.
#[test]
fn a_silent_connection_is_replaced() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    let proxy = Proxy::start(&runner.ex, b.peers.local_addr());
    a.peers.connect(member("b", proxy.address));
    a.wait_up();
    b.wait_up();

    proxy.silence_open_connections();
    let downs = (a.wait_down(), b.wait_down());
    let ups = (a.wait_up(), b.wait_up());
    a.send(&b, 5);

    assert_eq!((downs.0.as_str(), downs.1.as_str()), ("b", "a"));
    assert_eq!((ups.0.as_str(), ups.1.as_str()), ("b", "a"));
    assert_eq!(b.receive().1, ask(5));
}

/// A quiet pair of daemons has nothing to say for longer than the limit of silence. Their pings keep
/// the connection: it must not be taken for dead.
#[test]
fn a_quiet_connection_stays() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    a.peers.connect(b.member());
    a.wait_up();
    b.wait_up();

    smol::block_on(smol::Timer::after(Duration::from_millis(2_500)));

    assert!(a.events.is_empty() && b.events.is_empty());
}

/// As above, but the connection has carried nothing for so long that it is asked seldom. It is found
/// dead all the same, if later.
#[test]
fn a_silent_connection_at_rest_is_replaced() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    let proxy = Proxy::start(&runner.ex, b.peers.local_addr());
    a.peers.connect(member("b", proxy.address));
    a.wait_up();
    b.wait_up();
    smol::block_on(smol::Timer::after(Duration::from_millis(800)));

    proxy.silence_open_connections();
    let downs = (a.wait_down(), b.wait_down());

    assert_eq!((downs.0.as_str(), downs.1.as_str()), ("b", "a"));
    assert_eq!(a.wait_up().as_str(), "b");
}

#[test]
fn a_broken_connection_is_dialled_again() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    let proxy = Proxy::start(&runner.ex, b.peers.local_addr());
    a.peers.connect(member("b", proxy.address));
    a.wait_up();

    proxy.cut_open_connections();
    a.wait_down();

    assert_eq!(a.wait_up().as_str(), "b");
}

/// A daemon was replaced and another one listens at its address. Its messages must not pass for the
/// old daemon's.
#[test]
fn another_daemon_at_the_address_is_not_taken_for_the_wanted_one() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));

    a.peers.connect(member("gone", b.peers.local_addr()));

    assert!(!a.hears_of_a_peer());
}

#[test]
fn a_seed_leads_to_whoever_listens_there() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));

    a.peers.dial(a.peers.local_addr());
    a.peers.dial(b.peers.local_addr());

    assert_eq!(a.wait_up().as_str(), "b");
    assert_eq!(b.wait_up().as_str(), "a");
}

#[test]
fn a_dropped_peer_is_not_dialled_again() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    a.peers.connect(b.member());
    a.wait_up();

    a.peers.drop_peer(&b.member().daemon);
    a.wait_down();

    assert!(!a.hears_of_a_peer());
}

#[test]
fn a_daemon_that_ends_closes_its_connections() {
    let runner = Runner::start();
    let (a, b) = (daemon(&runner, "a"), daemon(&runner, "b"));
    a.peers.connect(b.member());
    a.wait_up();
    b.wait_up();

    drop(a);

    assert_eq!(b.wait_down().as_str(), "a");
}
