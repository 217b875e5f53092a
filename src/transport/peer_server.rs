//! The listener for peers: hello, then calls.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::tickets::Head;
use crate::protocol::frames::{Frames, decode, encode};
use crate::protocol::peer::{Beat, BeatReply, Hello, Peer, Release, Welcome, Work, WorkReply};
use crate::state::members::Rosters;
use crate::state::news::News;
use crate::transport::node::Node;
use crate::transport::{beats, links, reports, steward};

/// Longest time for the hello of a new link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves peers until `stop` fires.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (node, stop) = (node.clone(), stop.clone());
        tasks.spawn(async move {
            tokio::select! {
                end = serve_link(node, stream) => {
                    if let Err(e) = end {
                        log::debug!("peer link: {e:#}");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn serve_link(node: Arc<Node>, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let opening = async {
        let mut ws = accept_async_with_config(stream, Some(links::limits())).await?;
        let hello: Hello = match ws.next().await.context("closed before the hello")?? {
            Message::Binary(buf) => decode(&buf)?.pop().context("an empty hello")?,
            _ => bail!("no hello"),
        };
        let welcome = hello.welcome(&node.cfg.deployment, &node.me.id);
        ws.send(Message::Binary(encode(std::slice::from_ref(&welcome))?)).await?;
        if let Welcome::No(why) = welcome {
            bail!("refused {}: {why}", hello.from.0);
        }
        Ok((ws, hello))
    };
    let (ws, hello) = timeout(HELLO_TIMEOUT, opening).await.context("no hello in time")??;
    let frames = Frames::new(ws, node.links.sent.clone());
    let server = PeerServer { node, from: Arc::new(hello) };
    let channel = BaseChannel::with_defaults(frames);
    channel
        .execute(server.serve())
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
    Ok(())
}

#[derive(Clone)]
struct PeerServer {
    node: Arc<Node>,
    from: Arc<Hello>,
}

impl PeerServer {
    /// A call from a peer that is cut off in a test is never answered.
    async fn gate(&self) {
        if self.node.faults.cuts_name(self.from.from.name()) {
            std::future::pending::<()>().await;
        }
    }
}

impl Peer for PeerServer {
    async fn run(self, _: context::Context, work: Work) -> WorkReply {
        self.gate().await;
        steward::run(&self.node, work).await
    }

    async fn news(self, _: context::Context, upstreams: Vec<String>) -> IndexMap<String, News> {
        self.gate().await;
        reports::tell(&self.node, &upstreams).await
    }

    async fn ping(self, _: context::Context) {
        self.gate().await;
    }

    async fn beat(self, _: context::Context, beat: Beat) -> BeatReply {
        self.gate().await;
        beats::take_beat(&self.node, beat)
    }

    async fn head(self, _: context::Context, have: u64) -> Option<Head> {
        self.gate().await;
        Some(self.node.head()).filter(|h| h.fleet.version > have)
    }

    async fn push(self, _: context::Context, head: Head) -> u64 {
        self.gate().await;
        beats::adopt_and_push(&self.node, head);
        self.node.catalog().version()
    }

    async fn release(self, _: context::Context, release: Vec<Release>) {
        self.gate().await;
        beats::take_release(&self.node, release);
    }

    async fn rosters(self, _: context::Context, rosters: Rosters) {
        self.gate().await;
        self.node.take_rosters(&rosters);
    }
}
