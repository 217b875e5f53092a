//! The listener for peers: hello, then calls.

use std::net::SocketAddr;
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

use crate::protocol::frames::{Frames, decode, encode};
use crate::protocol::gather::{Query, QueryEnd};
use crate::protocol::peer::{Beat, Hello, Peer, Welcome};
use crate::state::docs::{Doc, DocDelta};
use crate::transport::peers::gather::Delays;
use crate::transport::peers::{Peers, heartbeats, links};

/// Longest time for the hello of a new link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves peers until `stop` fires.
pub async fn serve(peers: Arc<Peers>, listener: TcpListener, stop: CancellationToken) {
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
        let (peers, stop) = (peers.clone(), stop.clone());
        tasks.spawn(async move {
            tokio::select! {
                end = serve_link(peers, stream) => {
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

async fn serve_link(peers: Arc<Peers>, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let opening = async {
        let mut ws = accept_async_with_config(stream, Some(links::limits())).await?;
        let hello: Hello = match ws.next().await.context("closed before the hello")?? {
            Message::Binary(buf) => decode(&buf)?.pop().context("an empty hello")?,
            _ => bail!("no hello"),
        };
        let welcome = hello.welcome(&peers.opts.deployment, &peers.opts.me.id);
        ws.send(Message::Binary(encode(std::slice::from_ref(&welcome))?)).await?;
        if let Welcome::No(why) = welcome {
            bail!("refused {}: {why}", hello.from.0);
        }
        Ok((ws, hello))
    };
    let (ws, hello) = timeout(HELLO_TIMEOUT, opening).await.context("no hello in time")??;
    let frames = Frames::new(ws, peers.links.sent.clone());
    let server = PeerServer { peers, from: Arc::new(hello), delays: Arc::default() };
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
    peers: Arc<Peers>,
    from: Arc<Hello>,
    delays: Arc<Delays>,
}

impl PeerServer {
    /// A call from a peer that is cut off in a test is never answered.
    async fn gate(&self) {
        if self.peers.faults.cuts_name(self.from.from.name()) {
            std::future::pending::<()>().await;
        }
    }
}

impl Peer for PeerServer {
    async fn ping(self, _: context::Context) {
        self.gate().await;
    }

    async fn beat(self, _: context::Context, beat: Beat) -> Beat {
        self.gate().await;
        heartbeats::take_beat(&self.peers, &beat)
    }

    async fn docs(
        self,
        _: context::Context,
        have: IndexMap<String, u64>,
    ) -> IndexMap<String, Arc<Doc>> {
        self.gate().await;
        self.peers.newer_than(&have)
    }

    async fn push(
        self,
        _: context::Context,
        from: SocketAddr,
        changes: IndexMap<String, DocDelta>,
    ) {
        self.gate().await;
        heartbeats::take_push(&self.peers, from, &changes);
    }

    async fn left(self, _: context::Context, name: String) {
        self.gate().await;
        self.peers.left(&name);
    }

    async fn gather(self, _: context::Context, query: Query) -> QueryEnd {
        self.gate().await;
        self.peers.gather_for(query, &self.delays).await
    }
}
