//! Links to peers: one WebSocket each, opened when needed and closed when it goes silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tarpc::client::{Config, NewClient};
use tarpc::context;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::protocol::frames::{FrameTransport, MAX_FRAME_BYTES, decode_batch, encode_batch};
use crate::protocol::peer::{Hello, HelloReply, PeerClient};
use crate::transport::http::AbortOnDrop;

/// Longest time to open a link, hello included.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without any answer after which a link in use is pinged.
const QUIET: Duration = Duration::from_millis(300);
/// Time without any answer to a ping after which a link is closed.
const SILENT: Duration = Duration::from_millis(800);
/// Time for which a peer that could not be reached is not tried again.
const BACKOFF: Duration = Duration::from_millis(300);
/// Requests that may be in flight on one link.
const IN_FLIGHT: usize = 16_384;

/// A link that is up.
pub(crate) struct Link {
    pub(crate) client: PeerClient,
    task: AbortOnDrop,
    rtt_us: AtomicU32,
    heard: Mutex<Heard>,
}

struct Heard {
    at: Instant,
    // since when a ping has had no answer
    pinged: Option<Instant>,
}

impl Link {
    /// Notes an answer; `rtt` is its round trip if it shows the link's own.
    pub(crate) fn heard(&self, rtt: Option<Duration>) {
        *self.heard.lock() = Heard { at: Instant::now(), pinged: None };
        if let Some(rtt) = rtt {
            let us = rtt.as_micros().min(u128::from(u32::MAX)) as u32;
            let old = self.rtt_us.load(Ordering::Relaxed);
            let new = if old == 0 { us } else { old - old / 8 + us / 8 };
            self.rtt_us.store(new, Ordering::Relaxed);
        }
    }

    /// Returns the round trip; zero until it is known.
    pub(crate) fn rtt(&self) -> Duration {
        Duration::from_micros(self.rtt_us.load(Ordering::Relaxed).into())
    }

    fn up(&self) -> bool {
        !self.task.0.is_finished()
            && self.heard.lock().pinged.is_none_or(|at| at.elapsed() < SILENT)
    }

    /// Pings a link that is about to be used and has been quiet; an idle one costs nothing.
    fn ping_if_quiet(self: &Arc<Self>) {
        let mut heard = self.heard.lock();
        if heard.pinged.is_some() || heard.at.elapsed() < QUIET {
            return;
        }
        heard.pinged = Some(Instant::now());
        drop(heard);
        let link = self.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let mut cx = context::current();
            cx.deadline = started + SILENT;
            if link.client.ping(cx).await.is_ok() {
                link.heard(Some(started.elapsed()));
            }
        });
    }
}

#[derive(Default)]
struct Place {
    link: Option<Arc<Link>>,
    failed: Option<Instant>,
    opening: Arc<tokio::sync::Mutex<()>>,
}

/// All links of an instance, by the peer's address.
#[derive(Default)]
pub(crate) struct Links {
    /// Bytes of all frames sent to peers, on links opened here and on those accepted.
    pub(crate) sent: Arc<AtomicU64>,
    places: Mutex<IndexMap<SocketAddr, Place>>,
}

impl Links {
    /// Returns the link to a peer, opening it if need be.
    pub(crate) async fn get(&self, addr: SocketAddr, hello: &Hello) -> Result<Arc<Link>> {
        let opening = {
            let mut places = self.places.lock();
            let place = places.entry(addr).or_default();
            if let Some(link) = place.link.as_ref().filter(|l| l.up()) {
                link.ping_if_quiet();
                return Ok(link.clone());
            }
            place.link = None;
            if place.failed.is_some_and(|at| at.elapsed() < BACKOFF) {
                bail!("peer {addr} could not be reached a moment ago");
            }
            place.opening.clone()
        };
        let _one = opening.lock().await;
        if let Some(link) = self.up(addr) {
            return Ok(link);
        }
        let opened = timeout(OPEN_TIMEOUT, open(addr, hello, self.sent.clone()))
            .await
            .context("timed out")
            .flatten();
        let mut places = self.places.lock();
        let place = places.entry(addr).or_default();
        match opened {
            Ok(link) => {
                let link = Arc::new(link);
                place.link = Some(link.clone());
                place.failed = None;
                Ok(link)
            }
            Err(e) => {
                if place.failed.replace(Instant::now()).is_none() {
                    log::warn!("peer {addr}: {e:#}");
                }
                Err(e)
            }
        }
    }

    /// Returns the link to a peer if it is up.
    pub(crate) fn up(&self, addr: SocketAddr) -> Option<Arc<Link>> {
        self.places.lock().get(&addr)?.link.as_ref().filter(|l| l.up()).cloned()
    }

    /// Returns the peers whose links are up.
    pub(crate) fn names(&self) -> Vec<String> {
        let places = self.places.lock();
        let up = |p: &Place| p.link.as_ref().is_some_and(|l| l.up());
        places.iter().filter(|(_, p)| up(p)).map(|(a, _)| a.to_string()).collect()
    }

    /// Closes the links to these peers.
    pub(crate) fn close(&self, addrs: &[SocketAddr]) {
        let mut places = self.places.lock();
        for addr in addrs {
            if let Some(place) = places.get_mut(addr) {
                place.link = None;
            }
        }
    }
}

/// Returns the limits of a link's frames.
pub(crate) fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn open(addr: SocketAddr, hello: &Hello, sent: Arc<AtomicU64>) -> Result<Link> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut ws, _) =
        client_async_with_config(format!("ws://{addr}/peer"), stream, Some(limits())).await?;
    ws.send(Message::Binary(encode_batch(std::slice::from_ref(hello))?)).await?;
    match welcome(&mut ws).await? {
        HelloReply::Accepted(_) => {}
        HelloReply::Refused(why) => bail!("refused: {why}"),
    }
    let mut cfg = Config::default();
    cfg.max_in_flight_requests = IN_FLIGHT;
    cfg.pending_request_buffer = IN_FLIGHT;
    let NewClient { client, dispatch } = PeerClient::new(cfg, FrameTransport::new(ws, sent));
    let task = tokio::spawn(async move {
        let _ = dispatch.await;
    });
    let heard = Mutex::new(Heard { at: Instant::now(), pinged: None });
    Ok(Link { client, task: AbortOnDrop(task), rtt_us: AtomicU32::new(0), heard })
}

async fn welcome(ws: &mut WebSocketStream<TcpStream>) -> Result<HelloReply> {
    match ws.next().await.context("closed before the welcome")?? {
        Message::Binary(buf) => decode_batch(&buf)?.pop().context("an empty welcome"),
        _ => bail!("no welcome"),
    }
}
