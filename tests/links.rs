//! The memory that links from peers cost an instance.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use standins::rig::{Rig, RigOptions};
use tamarackdeck::{
    Hello, HelloReply, InstanceId, PEER_PROTOCOL_VERSION, decode_batch, encode_batch,
};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

/// Members of the deployment that the capacity page is for.
const MEMBERS: usize = 640;
/// Memory that an instance may use for control, of which links may take a fifth.
const CONTROL_MEMORY_MB: f64 = 256.0;

struct Case {
    name: &'static str,
    links: usize,
    /// Bytes of a message that each link carries before its memory is measured.
    message_bytes: usize,
}

const CASES: &[Case] = &[
    Case { name: "idle links", links: 160, message_bytes: 0 },
    Case { name: "links that carried a message each", links: 160, message_bytes: 100 },
];

async fn open_link(addr: SocketAddr, number: usize) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut ws, _) = client_async(format!("ws://{addr}/peer"), stream).await.unwrap();
    let hello = Hello {
        deployment: "default".into(),
        version: PEER_PROTOCOL_VERSION,
        from: InstanceId::new(&format!("peer-{number}"), 1),
        domain: "north".into(),
    };
    ws.send(Message::Binary(encode_batch(&[hello]).unwrap())).await.unwrap();
    let reply = ws.next().await.unwrap().unwrap().into_data();
    let reply: HelloReply = decode_batch(&reply).unwrap().pop().unwrap();
    assert!(matches!(reply, HelloReply::Accepted { .. }), "{reply:?}");
    ws
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn links_to_all_members_take_a_fifth_of_the_memory_for_control() {
    let bound_kb = CONTROL_MEMORY_MB * 1024.0 / 5.0 / (2 * MEMBERS) as f64;
    for case in CASES {
        let opts =
            RigOptions { domains: vec!["north"], instances_per_domain: 1, ..Default::default() };
        let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_tamarackd")), opts).await.unwrap();
        let process = &rig.instances["north-0"];
        let before_mb = process.memory_mb();
        let mut links = Vec::new();
        for number in 0..case.links {
            let mut link = open_link(process.peers_addr, number).await;
            if case.message_bytes > 0 {
                link.send(Message::Ping(vec![7; case.message_bytes].into())).await.unwrap();
            }
            links.push(link);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let each_kb = (process.memory_mb() - before_mb) * 1024.0 / case.links as f64;
        assert!(
            each_kb <= bound_kb,
            "{}: {each_kb:.1} KB a link, at most {bound_kb:.1}",
            case.name
        );
    }
}
