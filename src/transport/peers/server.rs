//! The listener for peers: a hello handshake on each link, then RPC calls.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::caller_budget::CallerBudgetOptions;
use crate::protocol::encoded::Encoded;
use crate::protocol::frames::{FrameTransport, decode_batch, encode_batch};
use crate::protocol::gather::{GatherRequest, GatherResult};
use crate::protocol::peer::{DocDeltas, Heartbeat, Hello, HelloReply, NewerDocs, Peer};
use crate::state::routes::CallerLimits;
use crate::state::time::Tick;
use crate::transport::admission::Hold;
use crate::transport::peers::{Peers, heartbeats, links};
use crate::transport::upstreams::tier::Tier;

/// Timeout of the handshake on a new link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the messages of a handshake, in bytes: a few names.
const MAX_HELLO_BYTES: usize = 16 << 10;
/// Time without a call after which a link is closed; the peer that opened it closes it much sooner.
const SILENCE_TIMEOUT: Duration = links::IDLE_TIMEOUT.saturating_mul(2);

/// Serves peers until `stop` is cancelled.
///
/// Links are admitted to a budget of their own; those whose handshake is not complete go first if there are too many.
pub async fn serve(
    tier: Arc<Tier>,
    peers: Arc<Peers>,
    listener: impl Into<Arc<TcpListener>>,
    stop: CancellationToken,
) {
    let listener = listener.into();
    let opts = CallerBudgetOptions::for_peers(tier.opts.machine);
    let admission = Arc::new(tier.new_admission(opts));
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
        let Some(hold) = admission.open(CallerLimits::default()).await else { continue };
        let (peers, stop) = (peers.clone(), stop.clone());
        tasks.spawn(async move {
            tokio::select! {
                result = serve_link(peers, stream, &hold) => {
                    if let Err(e) = result {
                        log::debug!("link from a peer closed with an error: {e:#}");
                    }
                }
                () = hold.given_up() => {}
                () = stop.cancelled() => {}
            }
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn serve_link(peers: Arc<Peers>, stream: TcpStream, hold: &Arc<Hold>) -> Result<()> {
    stream.set_nodelay(true)?;
    let handshake = async {
        let mut ws = accept_async_with_config(stream, Some(handshake_config())).await?;
        let hello: Hello = match ws.next().await.context("link closed before the hello")?? {
            Message::Binary(buf) => decode_batch(&buf)?.pop().context("hello message is empty")?,
            _ => bail!("first message is not a binary hello"),
        };
        let reply = hello.reply(&peers.opts.deployment, &peers.opts.me.id, peers.now());
        ws.send(Message::Binary(encode_batch(std::slice::from_ref(&reply))?)).await?;
        if let HelloReply::Refused(why) = reply {
            bail!("refused the link from {}: {why}", hello.from.0);
        }
        // a peer sends nothing more before it has the reply, so that nothing else has been read
        let stream = ws.into_inner();
        let cfg = Some(links::websocket_config());
        Ok((WebSocketStream::from_raw_socket(stream, Role::Server, cfg).await, hello))
    };
    let (ws, hello) = timeout(HELLO_TIMEOUT, handshake).await.context("handshake timed out")??;
    let Ok(_hold) = hold.record_request().whole(0).await else {
        bail!("there is no room for another link")
    };
    let frames = FrameTransport::new(ws, peers.links.sent_bytes.clone());
    let server = PeerServer { peers, peer: Arc::new(hello) };
    let channel = BaseChannel::with_defaults(frames);
    let mut calls = pin!(channel.execute(server.serve()));
    while let Some(call) = timeout(SILENCE_TIMEOUT, calls.next()).await.context("no call came")? {
        tokio::spawn(call);
    }
    Ok(())
}

/// Returns the WebSocket settings of a link whose peer has not said who it is.
fn handshake_config() -> WebSocketConfig {
    links::websocket_config()
        .max_message_size(Some(MAX_HELLO_BYTES))
        .max_frame_size(Some(MAX_HELLO_BYTES))
}

#[derive(Clone)]
struct PeerServer {
    peers: Arc<Peers>,
    peer: Arc<Hello>,
}

impl PeerServer {
    /// Never returns if a fault injected by a test cuts off the peer, so its calls get no answer.
    async fn block_if_cut_off(&self) {
        if self.peers.faults.is_name_cut(self.peer.from.name()) {
            std::future::pending::<()>().await;
        }
    }
}

impl Peer for PeerServer {
    async fn ping(self, _: context::Context) -> Tick {
        self.block_if_cut_off().await;
        self.peers.now()
    }

    async fn beat(self, _: context::Context, heartbeat: Heartbeat) -> Heartbeat {
        self.block_if_cut_off().await;
        if self.peers.has_departed() {
            std::future::pending::<()>().await; // an answer would make this instance a member again
        }
        heartbeats::handle_heartbeat(&self.peers, &heartbeat)
    }

    async fn docs(self, _: context::Context, have: IndexMap<String, u64>) -> NewerDocs {
        self.block_if_cut_off().await;
        let grace = self.peers.grace().left(self.peers.now());
        NewerDocs { docs: self.peers.docs_newer_than(&have), grace }
    }

    async fn push(
        self,
        _: context::Context,
        from: SocketAddr,
        changes: Encoded<DocDeltas>,
        grace: Duration,
    ) {
        self.block_if_cut_off().await;
        self.peers.record_peer_grace(grace);
        heartbeats::handle_push(&self.peers, from, &changes);
    }

    async fn left(self, cx: context::Context, name: String) {
        self.block_if_cut_off().await;
        let Some(addr) = self.peers.remove_member(&name) else { return };
        // a link keeps the order: once the member answers, it has received all that was sent to it, and what it answered is here
        if let Some(link) = self.peers.links.get_open(addr) {
            link.ping(cx.deadline.saturating_duration_since(Instant::now())).await;
            self.peers.remove_member(&name);
        }
    }

    async fn gather(self, _: context::Context, request: GatherRequest) -> GatherResult {
        self.block_if_cut_off().await;
        self.peers.gather_for_peer(request).await
    }
}
