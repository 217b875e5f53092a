//! The listener for callers: connection limits, keep-alive and the planned stop.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::coordination::lag::SAMPLE_INTERVAL as LAG_SAMPLE_INTERVAL;
use crate::coordination::lifecycle::{Closing, Instance, Starting, Unfinished};
use crate::state::time::Tick;
use crate::transport::admission::{Admission, End, Hold, Receiving, RequestHold, drive};
use crate::transport::connection::{TrackedStream, track_answer};
use crate::transport::http::{AbortOnDrop, FullResponse};
use crate::transport::supervisor::Supervisor;
use crate::transport::upstreams::connection_pool::set_socket_options;
use crate::transport::upstreams::tier::Tier;

/// Minimum buffer size that the HTTP library accepts for a request head.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a closing instance checks whether anything is unfinished.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(25);

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
        hold: RequestHold<Receiving>,
    ) -> impl Future<Output = FullResponse> + Send;

    /// Returns the response to a request that is given up while it is handled; it may have run.
    fn give_up(&self) -> FullResponse;
}

/// What all connections of callers share.
struct Shared<H> {
    tier: Arc<Tier>,
    handler: Arc<H>,
    /// Cancelled when the instance closes its connections.
    closing: CancellationToken,
    /// Cancelled when the instance gives up its requests in flight.
    giving_up: CancellationToken,
    tasks: TaskTracker,
}

/// Serves callers until `stop` is cancelled, then shuts down gracefully.
///
/// The instance first reports not ready but goes on accepting connections for the notice period; then it closes the listener and
/// finishes what has begun, from the first byte of a request to the last byte of its answer. `departure` tells peers.
pub async fn serve(
    supervisor: &Supervisor,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    stop: CancellationToken,
    departure: impl Future<Output = ()>,
) {
    let tier = supervisor.tier();
    let instance = Instance::<Starting>::default().serve();
    let (closing, giving_up, tasks) = Default::default();
    let shared = Arc::new(Shared { tier: tier.clone(), handler, closing, giving_up, tasks });
    let sampled = tier.clone();
    let _lag_sampler = AbortOnDrop(supervisor.spawn("lag", move || sample_lag(sampled.clone())));
    Admission::bound_sockets(&listener);
    tokio::select! {
        () = accept_connections(&listener, &shared) => {}
        () = stop.cancelled() => {}
    }
    let (times, clock) = (tier.leave(), tier.clock());
    log::info!(under_way = tier.requests_in_flight(); "instance is leaving and no longer reports ready");
    let mut leaving = instance.leave(times);
    let closed = loop {
        leaving = match leaving.try_close(tier.now()) {
            Ok(closed) => break closed,
            Err(leaving) => leaving,
        };
        tokio::select! {
            () = accept_connections(&listener, &shared) => {}
            () = clock.sleep_until(times.accepts_until) => {}
        }
    };
    // the system resets those that still wait once the listener is closed
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        admit(&shared, stream).await;
    }
    drop(listener);
    shared.closing.cancel();
    shared.tasks.close();
    log::info!(connections = shared.tasks.len(); "instance accepts no more connections");
    let giving_up = shared.giving_up.clone();
    let _give_up = AbortOnDrop(tokio::spawn(async move {
        clock.sleep_until(times.answers_at).await;
        giving_up.cancel();
    }));
    finish(&shared, closed, departure).await;
}

/// Samples the scheduling lag of this process until the task is aborted.
async fn sample_lag(tier: Arc<Tier>) {
    loop {
        tier.lag.lock().record_tick(tier.now());
        tokio::time::sleep(LAG_SAMPLE_INTERVAL).await;
    }
}

async fn accept_connections(listener: &TcpListener, shared: &Arc<Shared<impl Handler>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(shared, stream).await,
            Err(e) => {
                log::warn!("cannot accept a connection from a caller: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until nothing is unfinished and peers know, or the stop must end.
async fn finish(
    shared: &Shared<impl Handler>,
    mut instance: Instance<Closing>,
    departure: impl Future<Output = ()>,
) {
    let tier = &shared.tier;
    let mut departure = std::pin::pin!(departure.fuse());
    let (mut announces, mut is_announced) = (false, false);
    loop {
        let unfinished = Unfinished { connections: shared.tasks.len(), ..tier.unfinished() };
        announces |= instance.announces(unfinished, tier.now());
        instance = match instance.try_stop(unfinished, is_announced, tier.now()) {
            Ok(_stopped) => {
                if unfinished != Unfinished::default() || !is_announced {
                    log::warn!(unfinished:? = unfinished, is_announced; "stopped before all was finished");
                }
                return;
            }
            Err(unfinished) => unfinished,
        };
        tokio::select! {
            () = departure.as_mut(), if announces && !is_announced => is_announced = true,
            () = tokio::time::sleep(CLOSE_POLL_INTERVAL) => {}
        }
    }
}

/// Serves a connection, or closes it if there is no room for it.
async fn admit(shared: &Arc<Shared<impl Handler>>, stream: TcpStream) {
    let limits = shared.tier.view().route_table.as_ref().map(|t| t.limits).unwrap_or_default();
    if let Some(hold) = shared.tier.admission.open(limits).await {
        shared.tasks.spawn(serve_connection(shared.clone(), stream, hold));
    }
}

async fn serve_connection(shared: Arc<Shared<impl Handler>>, stream: TcpStream, hold: Arc<Hold>) {
    if let Err(e) = set_socket_options(&stream) {
        log::debug!("cannot set socket options of a caller's connection: {e}");
        return;
    }
    let tier = shared.tier.clone();
    let is_first = AtomicBool::new(true);
    let (closing, handled) = (shared.closing.clone(), hold.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        let request_hold = handled.record_request();
        let arrived_at = tier.lag.lock().arrival(tier.now());
        let arrival = Arrival { arrived_at, is_first: is_first.swap(false, Ordering::Relaxed) };
        let (shared, hold) = (shared.clone(), handled.clone());
        async move {
            let res = respond(&shared, req, arrival, request_hold).await;
            Ok::<_, Infallible>(track_answer(res, hold))
        }
    });
    // time limits are those of what the connection is doing, see `drive`
    let conn = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(hold.limits().max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(TrackedStream::new(stream, hold.clone())), service);
    let mut conn = std::pin::pin!(conn);
    let end = tokio::select! {
        end = drive(conn.as_mut(), &hold) => end,
        () = closing.cancelled() => {
            hold.begin_close();
            drive(conn.as_mut(), &hold).await
        }
    };
    if !matches!(end, End::Closed(Ok(()))) {
        log::debug!("caller's connection closed: {end:?}");
    }
}

async fn respond(
    shared: &Shared<impl Handler>,
    req: Request<Incoming>,
    arrival: Arrival,
    hold: RequestHold<Receiving>,
) -> FullResponse {
    let response = tokio::select! {
        biased;
        response = shared.handler.clone().handle(req, arrival, hold) => response,
        () = shared.giving_up.cancelled() => shared.handler.give_up(),
    };
    close_if_not_ready(&shared.tier, response)
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
