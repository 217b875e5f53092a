//! Links to peers: one WebSocket per peer, opened on demand and replaced when it stops responding.

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

use crate::coordination::peer_clock::{MAX_CLOCK_ERROR, PeerClock};
use crate::protocol::frames::{FrameTransport, MAX_FRAME_BYTES, decode_batch, encode_batch};
use crate::protocol::peer::{Hello, HelloReply, PeerClient};
use crate::state::time::Tick;
use crate::transport::clock::Clock;
use crate::transport::http::AbortOnDrop;

/// Timeout for opening a link, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time since the last response after which a link is pinged on its next use.
const PING_AFTER_IDLE: Duration = Duration::from_millis(300);
/// Time without a response to a ping after which a link counts as closed.
const PING_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before the next attempt to connect to an unreachable peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Time since its last use after which a link is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Size of the read and the write buffer of a link; the library reserves and clears both for each read, and an
/// instance has a link to most members.
const BUFFER_BYTES: usize = 4 << 10;
/// Maximum number of requests in flight on one link.
const MAX_IN_FLIGHT_REQUESTS: usize = 16_384;

/// An open link to a peer.
pub(crate) struct Link {
    pub(crate) client: PeerClient,
    task: AbortOnDrop,
    round_trip_us: AtomicU32,
    contact: Mutex<Contact>,
    clock: Clock,
    peer_clock: Mutex<PeerClock>,
}

struct Contact {
    last_response: Instant,
    // when the ping was sent that has no response yet
    unanswered_ping: Option<Instant>,
}

impl Link {
    /// Records a response. `round_trip` is set if it measures the link and not the work of the peer;
    /// it updates a moving average with a weight of 1/8.
    pub(crate) fn record_response(&self, round_trip: Option<Duration>) {
        *self.contact.lock() = Contact { last_response: Instant::now(), unanswered_ping: None };
        if let Some(round_trip) = round_trip {
            let sample_us = round_trip.as_micros().min(u128::from(u32::MAX)) as u32;
            let old_us = self.round_trip_us.load(Ordering::Relaxed);
            let new_us = if old_us == 0 { sample_us } else { old_us - old_us / 8 + sample_us / 8 };
            self.round_trip_us.store(new_us, Ordering::Relaxed);
        }
    }

    /// Returns the mean round-trip time.
    pub(crate) fn round_trip(&self) -> Duration {
        Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed).into())
    }

    /// Returns the current time of the peer, as estimated from the handshake and pings.
    pub(crate) fn peer_time(&self) -> Tick {
        self.peer_clock.lock().peer_time(self.clock.now())
    }

    /// Returns the maximum error of [`peer_time`](Self::peer_time).
    pub(crate) fn peer_time_error(&self) -> Duration {
        self.peer_clock.lock().max_error(self.clock.now())
    }

    fn last_response(&self) -> Instant {
        self.contact.lock().last_response
    }

    /// Pings the peer and returns whether it answered within `limit`.
    pub(crate) async fn ping(&self, limit: Duration) -> bool {
        let sent = self.clock.now();
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit;
        let Ok(Ok(peer)) = timeout(limit, self.client.ping(cx)).await else { return false };
        let received = self.clock.now();
        let exchange = PeerClock::from_exchange(sent, peer, received);
        self.record_response(Some(exchange.round_trip()));
        self.peer_clock.lock().update(exchange, received);
        true
    }

    fn is_open(&self) -> bool {
        !self.task.0.is_finished()
            && self.contact.lock().unanswered_ping.is_none_or(|at| at.elapsed() < PING_TIMEOUT)
    }

    /// Pings the link if it had no recent response.
    ///
    /// Called only when the link is about to be used, so that unused links cause no traffic.
    fn ping_if_idle(self: &Arc<Self>) {
        let mut contact = self.contact.lock();
        if contact.unanswered_ping.is_some() || contact.last_response.elapsed() < PING_AFTER_IDLE {
            return;
        }
        contact.unanswered_ping = Some(Instant::now());
        drop(contact);
        let link = self.clone();
        tokio::spawn(async move { link.ping(PING_TIMEOUT).await });
    }
}

#[derive(Default)]
struct LinkSlot {
    link: Option<Arc<Link>>,
    failed_at: Option<Instant>,
    open_lock: Arc<tokio::sync::Mutex<()>>,
}

/// The links opened by an instance, by the peer's address.
#[derive(Default)]
pub(crate) struct Links {
    /// Bytes of all frames sent to peers, on links opened here and on accepted ones.
    pub(crate) sent_bytes: Arc<AtomicU64>,
    slots: Mutex<IndexMap<SocketAddr, LinkSlot>>,
}

impl Links {
    /// Returns the link to a peer, opening it if necessary.
    pub(crate) async fn get(
        &self,
        addr: SocketAddr,
        hello: &Hello,
        clock: Clock,
    ) -> Result<Arc<Link>> {
        let open_lock = {
            let mut slots = self.slots.lock();
            let slot = slots.entry(addr).or_default();
            if let Some(link) = slot.link.as_ref().filter(|l| l.is_open()) {
                link.ping_if_idle();
                return Ok(link.clone());
            }
            slot.link = None;
            if slot.failed_at.is_some_and(|at| at.elapsed() < RECONNECT_DELAY) {
                bail!("peer {addr} was unreachable a moment ago; not reconnecting yet");
            }
            slot.open_lock.clone()
        };
        let _guard = open_lock.lock().await;
        if let Some(link) = self.get_open(addr) {
            return Ok(link);
        }
        let opened = timeout(OPEN_TIMEOUT, open(addr, hello, clock, self.sent_bytes.clone()))
            .await
            .context("opening the link timed out")
            .flatten();
        let mut slots = self.slots.lock();
        let slot = slots.entry(addr).or_default();
        match opened {
            Ok(link) => {
                let link = Arc::new(link);
                slot.link = Some(link.clone());
                slot.failed_at = None;
                Ok(link)
            }
            Err(e) => {
                if slot.failed_at.replace(Instant::now()).is_none() {
                    log::warn!("cannot open a link to peer {addr}: {e:#}");
                }
                Err(e)
            }
        }
    }

    /// Returns the link to a peer if it is open.
    pub(crate) fn get_open(&self, addr: SocketAddr) -> Option<Arc<Link>> {
        self.slots.lock().get(&addr)?.link.as_ref().filter(|l| l.is_open()).cloned()
    }

    /// Returns the addresses of the peers with an open link.
    pub(crate) fn open_peers(&self) -> Vec<String> {
        let slots = self.slots.lock();
        let is_open = |s: &LinkSlot| s.link.as_ref().is_some_and(|l| l.is_open());
        slots.iter().filter(|(_, s)| is_open(s)).map(|(a, _)| a.to_string()).collect()
    }

    /// Closes the links that were not used for long, and forgets the addresses without a link or a recent failure.
    pub(crate) fn close_unused(&self) {
        let is_recent = |at: Instant| at.elapsed() < IDLE_TIMEOUT;
        self.slots.lock().retain(|_, slot| {
            slot.link =
                slot.link.take().filter(|link| link.is_open() && is_recent(link.last_response()));
            // an address whose link is being opened has another user of its lock
            let is_opening = Arc::strong_count(&slot.open_lock) > 1;
            slot.link.is_some() || is_opening || slot.failed_at.is_some_and(is_recent)
        });
    }

    /// Closes the links to these peers.
    pub(crate) fn close(&self, addrs: &[SocketAddr]) {
        let mut slots = self.slots.lock();
        for addr in addrs {
            if let Some(slot) = slots.get_mut(addr) {
                slot.link = None;
            }
        }
    }
}

/// Returns the WebSocket settings of a link, which limit the size of messages, frames and buffers.
pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn open(
    addr: SocketAddr,
    hello: &Hello,
    clock: Clock,
    sent_bytes: Arc<AtomicU64>,
) -> Result<Link> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut ws, _) =
        client_async_with_config(format!("ws://{addr}/peer"), stream, Some(websocket_config()))
            .await?;
    let sent = clock.now();
    ws.send(Message::Binary(encode_batch(std::slice::from_ref(hello))?)).await?;
    let peer_time = match read_reply(&mut ws).await? {
        HelloReply::Accepted { now, .. } => now,
        HelloReply::Refused(why) => bail!("peer refused the link: {why}"),
    };
    let received = clock.now();
    let peer_clock = PeerClock::from_exchange(sent, peer_time, received);
    if peer_clock.max_error(received) > MAX_CLOCK_ERROR {
        bail!(
            "the handshake took {:?}, too long to know the peer's clock",
            peer_clock.round_trip()
        );
    }
    let mut cfg = Config::default();
    cfg.max_in_flight_requests = MAX_IN_FLIGHT_REQUESTS;
    cfg.pending_request_buffer = MAX_IN_FLIGHT_REQUESTS;
    let NewClient { client, dispatch } = PeerClient::new(cfg, FrameTransport::new(ws, sent_bytes));
    let task = tokio::spawn(async move {
        let _ = dispatch.await;
    });
    let contact = Mutex::new(Contact { last_response: Instant::now(), unanswered_ping: None });
    let link = Link {
        client,
        task: AbortOnDrop(task),
        round_trip_us: AtomicU32::new(0),
        contact,
        clock,
        peer_clock: Mutex::new(peer_clock),
    };
    link.record_response(Some(peer_clock.round_trip()));
    Ok(link)
}

async fn read_reply(ws: &mut WebSocketStream<TcpStream>) -> Result<HelloReply> {
    match ws.next().await.context("link closed before the reply to the hello")?? {
        Message::Binary(buf) => decode_batch(&buf)?.pop().context("reply to the hello is empty"),
        _ => bail!("reply to the hello is not binary"),
    }
}
