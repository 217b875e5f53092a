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

use crate::transport::http::FullResponse;
use crate::transport::tier::Tier;
use crate::transport::tier::conns::tune;
use crate::transport::tier::serve::{Arrival, answer};

/// Smallest buffer that the HTTP library takes for a head.
const LEAST_HEADER_BYTES: usize = 8 << 10;
/// Pause after a failed accept, so that lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontStop {
    /// How long new connections are taken while the balancer learns of the stop.
    pub notice: Duration,
    /// Longest time for the whole stop.
    pub longest: Duration,
}

impl Default for FrontStop {
    fn default() -> Self {
        Self { notice: Duration::from_millis(2_800), longest: Duration::from_millis(5_400) }
    }
}

/// Serves callers until `stop` fires, and then as long as the planned stop takes.
pub async fn serve(tier: Arc<Tier>, listener: TcpListener, stop: CancellationToken) {
    let (closing, tasks) = (CancellationToken::new(), TaskTracker::new());
    let notice = async {
        stop.cancelled().await;
        tier.leave();
        log::info!("leaving: not ready from now on");
        tokio::time::sleep(tier.opts.stop.notice).await;
    };
    let mut notice = std::pin::pin!(notice);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(connection(tier.clone(), stream, closing.clone()));
                }
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = &mut notice => break,
        }
    }
    drop(listener);
    closing.cancel();
    tasks.close();
    let rest = tier.opts.stop.longest.saturating_sub(tier.opts.stop.notice);
    if tokio::time::timeout(rest, tasks.wait()).await.is_err() {
        log::warn!(connections = tasks.len(); "stopped with connections open");
    }
}

async fn connection(tier: Arc<Tier>, stream: TcpStream, closing: CancellationToken) {
    if let Err(e) = tune(&stream) {
        log::debug!("caller's connection: {e}");
        return;
    }
    let limits = tier.view().table.as_ref().map(|t| t.limits).unwrap_or_default();
    let first = AtomicBool::new(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let arrival = Arrival { at: tier.now(), first: first.swap(false, Ordering::Relaxed) };
        let tier = tier.clone();
        async move { Ok::<_, Infallible>(close_if_leaving(&tier, answer(&tier, req, arrival).await)) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.header_bytes.max(LEAST_HEADER_BYTES))
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

/// Tells the caller to open its next connection elsewhere once this instance is leaving.
fn close_if_leaving(tier: &Tier, mut res: FullResponse) -> FullResponse {
    if tier.leaving() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Answers the balancer's question whether this instance takes new connections.
pub fn ready(tier: &Tier) -> FullResponse {
    let mut res = Response::default();
    if !tier.ready() {
        *res.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}
