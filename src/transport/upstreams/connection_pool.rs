//! The pool of connections to one server, limited to this instance's share of the server's limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::coordination::attempt::ConnectionUse;
use crate::coordination::server_notices::ListenerNumber;
use crate::state::time::Tick;
use crate::transport::http::{AbortOnDrop, client_builder};

/// Timeout of opening a connection: several round trips between failure domains, but shorter than the
/// retransmission timeout of a SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a connection with unacknowledged data is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time before the server's own idle timeout from which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Idle time after which a connection is closed, unless it is the only idle one.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which no additional connection is opened to a server that closed a new one.
const OPEN_BACKOFF: Duration = Duration::from_millis(500);

/// The number of the next connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A permit to hold one connection, returned when dropped.
#[derive(Debug)]
pub(crate) struct Permit(Arc<OpenCount>);

#[derive(Debug, Default)]
struct OpenCount {
    count: AtomicU32,
    released: Notify,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
        self.0.released.notify_one();
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether it waited in the pool, where it may have broken.
    pub(crate) reused: bool,
    pub(crate) idle_limit: Option<Duration>,
    /// Number of the connection in this process, for logs.
    pub(crate) number: u64,
    /// The listener that accepted it.
    pub(crate) listener: ListenerNumber,
    /// Number of requests that were answered on it.
    pub(crate) answered: u32,
    /// When it was opened or last answered a request.
    pub(crate) last_used: Tick,
    _permit: Permit,
    _task: AbortOnDrop,
}

/// The result of checking out a connection.
pub(crate) enum Checkout {
    /// An idle connection that was used before.
    Idle(Connection),
    /// A permit to open a connection.
    MayOpen(Permit),
    /// All connections are in use.
    Busy(Released),
}

/// Notifies of released connections.
pub(crate) struct Released(Arc<OpenCount>);

impl Released {
    /// Waits until a connection may be available.
    pub(crate) async fn wait(&self) {
        self.0.released.notified().await;
    }

    /// Wakes the next request that waits.
    pub(crate) fn wake_next(&self) {
        self.0.released.notify_one();
    }
}

/// The connection pool of one server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Vec<Connection>,
    open_count: Arc<OpenCount>,
    open_blocked_until: Tick,
    pub(crate) round_trip: Option<Duration>,
}

impl ConnectionPool {
    /// Checks out an idle connection, or a permit to open one if fewer than `limit` are open and the
    /// server did not just close a new one.
    ///
    /// With `prefer_new`, opening a connection comes first, since idle ones may be unresponsive.
    pub(crate) fn check_out(&mut self, limit: u32, prefer_new: bool, now: Tick) -> Checkout {
        self.idle.retain(|c| c.is_usable(now));
        if self.idle.len() > 1 && now.since(self.idle[0].last_used) > SURPLUS_IDLE_TIMEOUT {
            self.idle.remove(0);
        }
        let open = self.open_count.count.load(Ordering::Relaxed);
        let may_open = open < limit && (open == 0 || now >= self.open_blocked_until);
        if let Some(conn) = self.idle.pop_if(|_| !(prefer_new && may_open)) {
            return Checkout::Idle(conn);
        }
        if !may_open {
            return Checkout::Busy(Released(self.open_count.clone()));
        }
        self.open_count.count.fetch_add(1, Ordering::Relaxed);
        Checkout::MayOpen(Permit(self.open_count.clone()))
    }

    /// Returns whether an idle connection can be used.
    pub(crate) fn has_idle(&mut self, now: Tick) -> bool {
        self.idle.retain(|c| c.is_usable(now));
        !self.idle.is_empty()
    }

    /// Returns whether any connection is open, idle or in use, or is being opened.
    pub(crate) fn is_open(&mut self, now: Tick) -> bool {
        self.has_idle(now) || self.open_count.count.load(Ordering::Relaxed) > 0
    }

    /// Returns a connection to the pool for reuse.
    pub(crate) fn check_in(&mut self, mut conn: Connection, now: Tick) {
        conn.reused = true;
        conn.last_used = now;
        self.idle.push(conn);
        self.open_count.released.notify_one();
    }

    /// Records that the server closed a connection without an answer; if the connection was `new`, the
    /// server is taken to be at its connection limit.
    pub(crate) fn record_closed(&mut self, new: bool, now: Tick) {
        if new {
            self.open_blocked_until = now + OPEN_BACKOFF;
        }
    }

    /// Closes all idle connections, for example after one became unresponsive.
    pub(crate) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Wakes a request that waits for a connection, which will find that the server is not to be sent any.
    pub(crate) fn wake_waiter(&self) {
        self.open_count.released.notify_one();
    }

    /// Records how long a connection took to open; the minimum estimates the round-trip time.
    pub(crate) fn record_connect(&mut self, took: Duration) {
        self.round_trip = Some(self.round_trip.map_or(took, |min| min.min(took)));
    }
}

impl Connection {
    /// Returns whether a reply on it may belong to an earlier request.
    pub(crate) fn usage(&self) -> ConnectionUse {
        if self.answered == 0 { ConnectionUse::First } else { ConnectionUse::Reused }
    }

    fn is_usable(&self, now: Tick) -> bool {
        let limit = self.idle_limit.map(|l| l.saturating_sub(IDLE_MARGIN));
        !self.sender.is_closed() && limit.is_none_or(|l| now.since(self.last_used) < l)
    }

    /// Opens a connection, or fails after the connect timeout.
    pub(crate) async fn open(
        addr: SocketAddr,
        permit: Permit,
        now: Tick,
    ) -> anyhow::Result<Connection> {
        let open = async {
            let stream = TcpStream::connect(addr).await?;
            set_socket_options(&stream)?;
            anyhow::Ok(client_builder().handshake(TokioIo::new(stream)).await?)
        };
        let (sender, conn) = timeout(CONNECT_TIMEOUT, open).await??;
        let task = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection to {addr} failed: {e}");
            }
        });
        Ok(Connection {
            sender,
            reused: false,
            idle_limit: None,
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            listener: ListenerNumber::default(),
            answered: 0,
            last_used: now,
            _permit: permit,
            _task: AbortOnDrop(task),
        })
    }
}

/// Disables Nagle's algorithm and sets the timeouts that close a connection whose peer is unresponsive.
pub(crate) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let sock = SockRef::from(stream);
    sock.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    sock.set_tcp_keepalive(&keepalive)
}
