//! The listener for callers: connection limits, keep-alive and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::lag::SAMPLE_INTERVAL as LAG_SAMPLE_INTERVAL;
use crate::coordination::lifecycle::{InFlight, Instance, Leaving, Starting};
use crate::state::time::Tick;
use crate::transport::http::{AbortOnDrop, FullResponse};
use crate::transport::supervisor::Supervisor;
use crate::transport::upstreams::connection_pool::set_socket_options;
use crate::transport::upstreams::tier::Tier;

/// Minimum buffer size that the HTTP library accepts for a request head.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a leaving instance checks its requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout for connections to close once no request is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// When a request arrived, and whether it opened the connection.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the request head arrived, corrected for the lag of this process.
    pub arrived_at: Tick,
    /// Whether it is the first request of its connection.
    pub is_first: bool,
}

/// A handler for the requests of callers.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request and returns the response.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        arrival: Arrival,
    ) -> impl Future<Output = FullResponse> + Send;
}

/// Serves callers until `stop` is cancelled, then shuts down gracefully.
///
/// The instance first reports not ready but goes on accepting connections for the notice period; then
/// it closes the listener and waits for the requests in flight.
pub async fn serve(
    supervisor: &Supervisor,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    stop: CancellationToken,
) {
    let tier = supervisor.tier();
    let instance = Instance::<Starting>::default().serve();
    let (closing, tasks) = (CancellationToken::new(), TaskTracker::new());
    let sampled = tier.clone();
    let _lag_sampler = AbortOnDrop(supervisor.spawn("lag", move || sample_lag(sampled.clone())));
    let accepting = accept_connections(&tier, &listener, &handler, &closing, &tasks);
    tokio::select! {
        () = accepting => {}
        () = stop.cancelled() => {}
    }
    tier.leave();
    log::info!(under_way = tier.requests_in_flight(); "instance is leaving and no longer reports ready");
    let leaving = instance.leave(tier.now());
    let accepting = accept_connections(&tier, &listener, &handler, &closing, &tasks);
    tokio::select! {
        () = accepting => {}
        () = tokio::time::sleep(tier.opts.stop.notice) => {}
    }
    drop(listener);
    closing.cancel();
    tasks.close();
    wait_until_drained(&tier, leaving).await;
    if tokio::time::timeout(CLOSE_TIMEOUT, tasks.wait()).await.is_err() {
        log::warn!(connections = tasks.len(); "stopped with connections still open");
    }
}

/// Samples the scheduling lag of this process until the task is aborted.
async fn sample_lag(tier: Arc<Tier>) {
    loop {
        tier.lag.lock().record_tick(tier.now());
        tokio::time::sleep(LAG_SAMPLE_INTERVAL).await;
    }
}

async fn accept_connections(
    tier: &Arc<Tier>,
    listener: &TcpListener,
    handler: &Arc<impl Handler>,
    closing: &CancellationToken,
    tasks: &TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let conn = serve_connection(tier.clone(), stream, handler.clone(), closing.clone());
                tasks.spawn(conn);
            }
            Err(e) => {
                log::warn!("cannot accept a connection from a caller: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until no request is in flight or the maximum duration of the stop has passed.
async fn wait_until_drained(tier: &Tier, mut leaving: Instance<Leaving>) {
    loop {
        let in_flight =
            InFlight { requests: tier.requests_in_flight(), gathers: tier.gathers_in_flight() };
        leaving = match leaving.try_stop(&tier.opts.stop, in_flight, tier.now()) {
            Ok(_stopped) => return,
            Err(unfinished) => unfinished,
        };
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn serve_connection(
    tier: Arc<Tier>,
    stream: TcpStream,
    handler: Arc<impl Handler>,
    closing: CancellationToken,
) {
    if let Err(e) = set_socket_options(&stream) {
        log::debug!("cannot set socket options of a caller's connection: {e}");
        return;
    }
    let limits = tier.view().route_table.as_ref().map(|t| t.limits).unwrap_or_default();
    let is_first = AtomicBool::new(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let arrived_at = tier.lag.lock().arrival(tier.now());
        let arrival = Arrival { arrived_at, is_first: is_first.swap(false, Ordering::Relaxed) };
        let (tier, response) = (tier.clone(), handler.clone().handle(req, arrival));
        async move { Ok::<_, Infallible>(close_if_not_ready(&tier, response.await)) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = closing.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        log::debug!("caller's connection closed with an error: {e}");
    }
}

/// Adds `connection: close` while this instance is leaving, cannot serve or has failing tasks, so that the caller opens its
/// next connection to another instance.
fn close_if_not_ready(tier: &Tier, mut res: FullResponse) -> FullResponse {
    if tier.is_leaving() || !tier.can_serve() || tier.has_failing_tasks() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Answers a readiness check of the load balancer: 200, or 503 while this instance is not ready.
pub fn readiness_response(tier: &Tier) -> FullResponse {
    let mut res = Response::default();
    if !tier.is_ready() {
        *res.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}
