//! HTTP server and client functions that all listeners and clients share.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::caller_budget::CallerBudgetOptions;
use crate::coordination::tickets::MAX_CONFIG_BYTES;
use crate::state::routes::CallerLimits;
use crate::transport::admission::{
    Admission, Hold, NoRoom, Receiving, RequestHold, Working, drive,
};
use crate::transport::connection::{TrackedStream, track_answer};
use crate::transport::segments::{SegmentedBody, Segments};
use crate::transport::upstreams::tier::Tier;

/// Time limit for receiving the headers of a request, and again for its body if the request has no time limit of its own.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a reply that a client accepts, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Limits of connections to the listeners for operators, the load balancer and metrics.
const LISTENER_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: MAX_CONFIG_BYTES,
    header_timeout: READ_TIMEOUT,
    idle_timeout: READ_TIMEOUT,
};

/// Size of the read buffer of a client's connection, which bounds the head of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Returns the settings of connections to servers, which bound the memory that a reply takes before it is read.
pub(crate) fn client_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    builder
}

/// A response with a complete body.
pub type FullResponse = Response<SegmentedBody>;

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    TooSlow,
    Broken,
    /// There is no room for it among what is held for callers.
    NoRoom,
}

impl From<NoRoom> for BodyError {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// Reads a complete body of at most `max_bytes` bytes within `time_left`.
///
/// It is copied into segments of one size, whatever the size of its frames is: each frame of a few bytes would keep a whole read
/// buffer, and a record of its own.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    time_left: Duration,
    hold: RequestHold<Receiving>,
) -> Result<(Bytes, RequestHold<Working>), BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let receive = async {
        let (mut received, mut segments) = (0, Segments::default());
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
            received += data.len();
            if received > max_bytes {
                return Err(BodyError::TooLarge);
            }
            hold.receive(segments.growth(data.len())).await?;
            segments.push(&data);
        }
        Ok(segments.concat())
    };
    let body = tokio::select! {
        received = tokio::time::timeout(time_left, receive) => received.map_err(|_| BodyError::TooSlow)??,
        () = hold.given_up() => return Err(BodyError::NoRoom),
    };
    let hold = hold.whole(body.len()).await?;
    Ok((body, hold))
}

/// Builds a JSON response.
pub(crate) fn json_response(status: u16, value: &impl Serialize) -> FullResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    respond(status, "application/json", body.into())
}

/// Builds a plain text response.
pub fn text_response(status: u16, text: impl Into<String>) -> FullResponse {
    respond(status, "text/plain", text.into().into())
}

fn respond(status: u16, content_type: &'static str, body: Bytes) -> FullResponse {
    let mut res = Response::new(SegmentedBody::from(body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    res.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(content_type));
    res
}

/// Serves HTTP until `stop` is cancelled, then finishes the requests in flight.
///
/// What is held for the connections is a budget of the listener's own, which no crowd at another listener uses up.
pub async fn serve<F, R>(
    tier: Arc<Tier>,
    listener: impl Into<Arc<TcpListener>>,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>, RequestHold<Receiving>) -> R + Send + Sync + 'static,
    R: Future<Output = FullResponse> + Send + 'static,
{
    let (listener, handler) = (listener.into(), Arc::new(handler));
    let opts = CallerBudgetOptions::for_listener(tier.opts.machine);
    let admission = Arc::new(tier.new_admission(opts));
    Admission::bound_sockets(&listener);
    let tasks = TaskTracker::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = stop.cancelled() => break,
        };
        if let Some(hold) = admission.open(LISTENER_LIMITS).await {
            tasks.spawn(serve_connection(stream, hold, stop.clone(), handler.clone()));
        }
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    hold: Arc<Hold>,
    stop: CancellationToken,
    handler: Arc<F>,
) where
    F: Fn(Request<Incoming>, RequestHold<Receiving>) -> R + Send + Sync + 'static,
    R: Future<Output = FullResponse> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let handled = hold.clone();
    let service = service_fn(move |req| {
        let (answer, hold) = (handler(req, handled.record_request()), handled.clone());
        async move { Ok::<_, Infallible>(track_answer(answer.await, hold)) }
    });
    // time limits are those of what the connection is doing, see `drive`
    let conn = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(LISTENER_LIMITS.max_header_bytes)
        .serve_connection(TokioIo::new(TrackedStream::new(stream, hold.clone())), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = drive(conn.as_mut(), &hold) => return,
        () = stop.cancelled() => conn.as_mut().graceful_shutdown(),
    }
    drive(conn.as_mut(), &hold).await;
}

/// A reply received by a client of this module.
#[derive(Clone, Debug)]
pub struct Reply<B = Bytes> {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: B,
}

/// Sends a `GET` request on a new connection.
///
/// # Errors
/// When no complete reply arrives within `timeout`.
pub async fn get(addr: SocketAddr, path: &str, timeout: Duration) -> Result<Reply> {
    let req = Request::get(path).header("host", addr.to_string()).body(Full::default())?;
    send(addr, req, timeout).await
}

/// Sends a `POST` request on a new connection.
///
/// # Errors
/// When no complete reply arrives within `timeout`.
pub async fn post(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    timeout: Duration,
) -> Result<Reply> {
    let mut req = Request::post(path).header("host", addr.to_string());
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    send(addr, req.body(Full::new(body.into()))?, timeout).await
}

/// A connection for a single request.
pub struct Client {
    send: SendRequest<Full<Bytes>>,
    _task: AbortOnDrop,
}

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    /// When the connection cannot be opened within `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        let open = async {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            anyhow::Ok(client_builder().handshake(TokioIo::new(stream)).await?)
        };
        let opened = tokio::time::timeout(timeout, open).await.context("timed out").flatten();
        let (send, conn) = opened.with_context(|| format!("cannot connect to {addr}"))?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self { send, _task: AbortOnDrop(task) })
    }

    /// Sends a request; after an error the request may have taken effect.
    ///
    /// # Errors
    /// When no complete reply arrives within `timeout`.
    pub async fn send(mut self, req: Request<Full<Bytes>>, timeout: Duration) -> Result<Reply> {
        let buffers = SharedMemory::new(MAX_REPLY_BYTES);
        let exchange = async {
            let res = self.send.send_request(req).await?;
            let Reply { status, headers, body } =
                read_reply(res, MAX_REPLY_BYTES, &buffers).await?;
            anyhow::Ok(Reply { status, headers, body: body.to_bytes() })
        };
        tokio::time::timeout(timeout, exchange).await.context("no answer in time")?
    }
}

async fn send(addr: SocketAddr, req: Request<Full<Bytes>>, timeout: Duration) -> Result<Reply> {
    Client::open(addr, timeout).await?.send(req, timeout).await
}

/// Why a reply could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ReplyError {
    #[error("the body is larger than allowed")]
    TooLarge,
    #[error("the connection broke off")]
    Broken,
}

/// Memory that all bodies of one kind in a process share, such as those of incomplete replies.
#[derive(Debug)]
pub(crate) struct SharedMemory {
    max_bytes: usize,
    held_bytes: AtomicUsize,
}

impl SharedMemory {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { max_bytes, held_bytes: AtomicUsize::new(0) }
    }

    /// Holds bytes until what is returned is dropped; `None` if there is no room for them.
    pub(crate) fn hold(&self, bytes: usize) -> Option<HeldBytes<'_>> {
        let mut held = HeldBytes(self, 0);
        held.add(bytes).then_some(held)
    }
}

/// The memory that one body holds until it is complete or dropped, in bytes.
pub(crate) struct HeldBytes<'a>(&'a SharedMemory, usize);

impl HeldBytes<'_> {
    /// Adds bytes and returns whether all bodies together stay within their limit.
    fn add(&mut self, bytes: usize) -> bool {
        self.1 += bytes;
        self.0.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes <= self.0.max_bytes
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.0.held_bytes.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// Reads the complete reply to a request; fails as soon as it is known to exceed `max_bytes`.
pub(crate) async fn read_reply(
    res: Response<Incoming>,
    max_bytes: usize,
    buffers: &SharedMemory,
) -> Result<Reply<SegmentedBody>, ReplyError> {
    let (parts, mut incoming) = res.into_parts();
    if incoming.size_hint().lower() > max_bytes as u64 {
        return Err(ReplyError::TooLarge);
    }
    let (mut held, mut received) = (HeldBytes(buffers, 0), 0);
    // copied from the second frame on, since a frame of a few bytes would keep a whole buffer
    let (mut first, mut segments) = (Bytes::new(), Segments::default());
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| ReplyError::Broken)?.into_data() else { continue };
        received += data.len();
        if received > max_bytes {
            return Err(ReplyError::TooLarge);
        }
        let allocated = if received == data.len() {
            first = data;
            received
        } else {
            let allocated = segments.growth(first.len() + data.len());
            segments.push(&std::mem::take(&mut first));
            segments.push(&data);
            allocated
        };
        if !held.add(allocated) {
            return Err(ReplyError::TooLarge);
        }
    }
    let body = if received == first.len() { first.into() } else { segments.into() };
    Ok(Reply { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// A task that is aborted when this handle is dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
