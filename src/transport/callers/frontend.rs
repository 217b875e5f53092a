//! The listener for callers: limits, kept connections, and the planned stop.

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

use crate::coordination::lag::SAMPLE_INTERVAL as LOOK_AT_LAG;
use crate::coordination::lifecycle::{InFlight, Instance, Leaving, Starting};
use crate::state::time::Tick;
use crate::transport::http::{AbortOnDrop, FullResponse};
use crate::transport::upstreams::conns::tune;
use crate::transport::upstreams::tier::Tier;

/// Smallest buffer that the HTTP library takes for a head.
const LEAST_HEADER_BYTES: usize = 8 << 10;
/// Pause after a failed accept, so that lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between looks at what a leaving instance still has under way.
const LOOK: Duration = Duration::from_millis(25);
/// Time that the connections of answered requests get to close.
const CLOSE: Duration = Duration::from_millis(300);

/// When a request came, and on what connection.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its head had come.
    pub received_at: Tick,
    /// It is the first request of its connection.
    pub is_first: bool,
}

/// What answers the requests of callers.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        arrival: Arrival,
    ) -> impl Future<Output = FullResponse> + Send;
}

/// Serves callers until `stop` fires, and then as long as the planned stop takes.
pub async fn serve(
    tier: Arc<Tier>,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    stop: CancellationToken,
) {
    let instance = Instance::<Starting>::default().serve();
    let (closing, tasks) = (CancellationToken::new(), TaskTracker::new());
    let _lag = AbortOnDrop(tokio::spawn(watch_lag(tier.clone())));
    let accepting = accept(&tier, &listener, &handler, &closing, &tasks);
    tokio::select! {
        () = accepting => {}
        () = stop.cancelled() => {}
    }
    tier.leave();
    log::info!(under_way = tier.flights(); "leaving: not ready from now on");
    let leaving = instance.leave(tier.now());
    let accepting = accept(&tier, &listener, &handler, &closing, &tasks);
    tokio::select! {
        () = accepting => {}
        () = tokio::time::sleep(tier.opts.stop.notice) => {}
    }
    drop(listener);
    closing.cancel();
    tasks.close();
    finish(&tier, leaving).await;
    if tokio::time::timeout(CLOSE, tasks.wait()).await.is_err() {
        log::warn!(connections = tasks.len(); "stopped with connections open");
    }
}

/// Notes how late this process is, for as long as it takes callers.
async fn watch_lag(tier: Arc<Tier>) {
    loop {
        tier.lag.lock().record_tick(tier.now());
        tokio::time::sleep(LOOK_AT_LAG).await;
    }
}

async fn accept(
    tier: &Arc<Tier>,
    listener: &TcpListener,
    handler: &Arc<impl Handler>,
    closing: &CancellationToken,
    tasks: &TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let conn = connection(tier.clone(), stream, handler.clone(), closing.clone());
                tasks.spawn(conn);
            }
            Err(e) => {
                log::warn!("accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until nothing is under way or the stop has taken too long.
async fn finish(tier: &Tier, mut leaving: Instance<Leaving>) {
    loop {
        let left = InFlight { requests: tier.flights(), gathers: tier.gathered_now() };
        leaving = match leaving.try_stop(&tier.opts.stop, left, tier.now()) {
            Ok(_stopped) => return,
            Err(back) => back,
        };
        tokio::time::sleep(LOOK).await;
    }
}

async fn connection(
    tier: Arc<Tier>,
    stream: TcpStream,
    handler: Arc<impl Handler>,
    closing: CancellationToken,
) {
    if let Err(e) = tune(&stream) {
        log::debug!("caller's connection: {e}");
        return;
    }
    let limits = tier.view().route_table.as_ref().map(|t| t.limits).unwrap_or_default();
    let first = AtomicBool::new(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let at = tier.lag.lock().arrival(tier.now());
        let arrival = Arrival { received_at: at, is_first: first.swap(false, Ordering::Relaxed) };
        let (tier, answer) = (tier.clone(), handler.clone().handle(req, arrival));
        async move { Ok::<_, Infallible>(close_if_not_ready(&tier, answer.await)) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = closing.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!("caller's connection: {e}");
    }
}

/// Tells the caller to open its next connection elsewhere while this instance is leaving or can not
/// serve.
fn close_if_not_ready(tier: &Tier, mut res: FullResponse) -> FullResponse {
    if tier.leaving() || !tier.able() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Answers the balancer's question whether this instance takes new connections.
pub fn readiness_response(tier: &Tier) -> FullResponse {
    let mut res = Response::default();
    if !tier.ready() {
        *res.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}
