//! What an instance that leaves tells its peers, and what they have sent it by then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tamarackdeck::{
    InstanceId, Member, PeerOptions, Peers, Tier, TierOptions, UpstreamCodec, announce_departure,
    run_heartbeats, serve_peers,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay of a line in each direction.
const DELAY: Duration = Duration::from_millis(120);
/// Time in which two instances have opened links to each other.
const LINKED: Duration = Duration::from_millis(1_500);
/// Time in which a heartbeat would come.
const HEARTBEATS: Duration = Duration::from_millis(900);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(read) = from.read(&mut buf).await {
        tokio::time::sleep(DELAY).await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

/// Opens a line to `to` that delays what goes over it, and returns its address.
async fn slow_line(to: SocketAddr) -> SocketAddr {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(onward) = TcpStream::connect(to).await else { continue };
            let (read, write) = stream.into_split();
            let (read_onward, write_onward) = onward.into_split();
            tokio::spawn(pump(read, write_onward));
            tokio::spawn(pump(read_onward, write));
        }
    });
    addr
}

/// Returns a tier of its own, whose machine bounds the links.
fn new_tier() -> Arc<Tier> {
    Arc::new(Tier::new(TierOptions::default(), UpstreamCodec))
}

fn start(name: &str, addr: SocketAddr, listener: TcpListener) -> Arc<Peers> {
    let me = Member { id: InstanceId::new(name, 1), domain: "north".into(), addr, power: 0 };
    let opts = PeerOptions { deployment: "d".into(), me, seeds: Vec::new(), remote_push_fanout: 0 };
    let peers = Arc::new(Peers::new(opts, Box::new(|_, _| {})));
    tokio::spawn(serve_peers(new_tier(), peers.clone(), listener, CancellationToken::new()));
    peers
}

struct Case {
    name: &'static str,
    /// Whether the peer's line to the instance that leaves is slow.
    is_slow: bool,
}

const CASES: &[Case] =
    &[Case { name: "a fast line", is_slow: false }, Case { name: "a slow line", is_slow: true }];

/// Guards against an instance that ends while requests of peers are on their way to it, or that peers take for a member again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_confirm_a_departure_once_all_they_sent_has_arrived() {
    for case in CASES {
        let ((a_listener, a_addr), (listener, b_addr)) = (listen().await, listen().await);
        let a_addr = if case.is_slow { slow_line(a_addr).await } else { a_addr };
        let (a, b) = (start("a", a_addr, a_listener), start("b", b_addr, listener));
        a.apply_list(&list(&[("a", a_addr), ("b", b_addr)]));
        b.apply_list(&list(&[("a", a_addr), ("b", b_addr)]));
        let beating = [a.clone(), b.clone()].map(|peers| tokio::spawn(run_heartbeats(peers)));
        tokio::time::sleep(LINKED).await;
        let started = Instant::now();
        announce_departure(&a).await;
        let took = started.elapsed();
        if case.is_slow {
            assert!(took >= 2 * DELAY, "{}: confirmed after {took:?}", case.name);
        }
        let knows = || b.members().iter().any(|m| m.id.name() == "a");
        assert!(!knows(), "{}: still a member", case.name);
        tokio::time::sleep(HEARTBEATS).await;
        assert!(!knows(), "{}: a member again", case.name);
        beating.into_iter().for_each(|task| task.abort());
    }
}

fn list(members: &[(&str, SocketAddr)]) -> Vec<Member> {
    let member = |(name, addr): &(&str, SocketAddr)| Member {
        id: InstanceId::new(name, 1),
        domain: "north".into(),
        addr: *addr,
        power: 0,
    };
    members.iter().map(member).collect()
}
