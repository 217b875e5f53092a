//! Upstreams over HTTP: a pool of connections for each, and what a broken one proves.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::coordination::admission::Done;
use crate::coordination::attempt::{
    Attempt, Fault, Handed, Label, Outcome, RawAnswer, Waiting, Why,
};
use crate::protocol::upstream::{
    CANCEL, Call, DEADLINE_MS, Ended, LENGTH, RUN, STATUS, Target, Told, Upstreams, label, number,
    put_label, said, told,
};
use crate::state::arena::UpstreamKey;
use crate::state::sharded::Sharded;
use crate::transport::http::{self, AbortOnDrop, Reply};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a report or a cancellation.
const SIDE_TIMEOUT: Duration = Duration::from_millis(300);

struct Conn {
    send: SendRequest<Full<Bytes>>,
    reused: bool,
    _task: AbortOnDrop,
}

/// Upstreams over HTTP.
#[derive(Default)]
pub struct HttpUpstreams {
    idle: Sharded<UpstreamKey, Vec<Conn>>,
}

/// The attempt was not answered; `Retry` gives it back with proof that nothing was written.
enum Exchange {
    Retry(Attempt<Waiting>),
    Ended(Ended),
}

impl HttpUpstreams {
    fn take_idle(&self, key: UpstreamKey) -> Option<Conn> {
        self.idle.with(key, |conns| {
            conns.retain(|c| !c.send.is_closed());
            conns.pop()
        })?
    }

    fn give_back(&self, target: Target, mut conn: Conn) {
        conn.reused = true;
        self.idle.with_or(target.key, Vec::new, |conns| {
            if conns.len() < target.connections as usize {
                conns.push(conn);
            }
        });
    }

    async fn connect(target: Target) -> Option<Conn> {
        let open = async {
            let stream = TcpStream::connect(target.addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            handshake(TokioIo::new(stream)).await.ok()
        };
        let (send, conn) = timeout(CONNECT_TIMEOUT, open).await.ok()??;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Some(Conn { send, reused: false, _task: AbortOnDrop(task) })
    }

    async fn run(&self, target: Target, call: Call) -> Ended {
        let Call { mut attempt, body, left, patience, cancel } = call;
        let until = tokio::time::Instant::now() + left;
        loop {
            let conn = match self.take_idle(target.key) {
                Some(conn) => Some(conn),
                None => Self::connect(target).await,
            };
            let Some(conn) = conn else {
                return ended(attempt.refuse(Why::NotConnected), Done::Refused, None);
            };
            let reused = conn.reused;
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            let wait = patience.filter(|_| reused).map_or(left, |p| p.min(left));
            let label = attempt.label().clone();
            let exchange = self.exchange(target, conn, attempt, body.clone(), wait);
            let mut exchange = std::pin::pin!(exchange);
            let end = tokio::select! {
                end = exchange.as_mut() => end,
                () = cancel.cancelled() => {
                    self.cancel(target, &label).await;
                    exchange.await
                }
            };
            match end {
                Exchange::Retry(back) if reused => attempt = back,
                Exchange::Retry(back) => {
                    return ended(back.refuse(Why::NotConnected), Done::Refused, None);
                }
                Exchange::Ended(ended) => return ended,
            }
        }
    }

    async fn exchange(
        &self,
        target: Target,
        mut conn: Conn,
        attempt: Attempt<Waiting>,
        body: Bytes,
        wait: Duration,
    ) -> Exchange {
        let started = tokio::time::Instant::now();
        if conn.send.ready().await.is_err() {
            return Exchange::Retry(attempt);
        }
        let req = request(target, RUN, attempt.label(), wait, body);
        let handed = attempt.hand();
        let answer = async {
            let res = conn
                .send
                .try_send_request(req)
                .await
                .map_err(|mut e| e.take_message().is_some())?;
            http::read_reply(res).await.map_err(|_| false)
        };
        // the answer gets a moment more than the upstream, which keeps the deadline itself
        match timeout(wait + Duration::from_millis(2), answer).await {
            Err(_) if conn.reused => {
                self.forget(target.key);
                Exchange::Ended(ended(handed.lost(Fault::Timeout), Done::Neither, None))
            }
            Err(_) => Exchange::Ended(ended(handed.lost(Fault::Timeout), Done::Failed, None)),
            Ok(Err(true)) => Exchange::Retry(handed.unsent()),
            Ok(Err(false)) => Exchange::Ended(ended(handed.lost(Fault::Lost), Done::Failed, None)),
            Ok(Ok(reply)) => {
                self.give_back(target, conn);
                Exchange::Ended(settle(handed, reply, started.elapsed()))
            }
        }
    }

    /// Asks the upstream to stop; the slot counts as free only when the request itself has ended.
    async fn cancel(&self, target: Target, label: &Label) {
        let req = request(target, CANCEL, label, SIDE_TIMEOUT, Bytes::new());
        let conn = match self.take_idle(target.key) {
            Some(conn) => Some(conn),
            None => Self::connect(target).await,
        };
        let Some(mut conn) = conn else { return };
        let answer = async { http::read_reply(conn.send.send_request(req).await.ok()?).await.ok() };
        if let Ok(Some(_)) = timeout(SIDE_TIMEOUT, answer).await {
            self.give_back(target, conn);
        }
    }
}

fn ended(outcome: Outcome, done: Done, told: Option<Told>) -> Ended {
    Ended { outcome, done, told }
}

fn request(
    target: Target,
    path: &str,
    label: &Label,
    left: Duration,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = hyper::Method::POST;
    *req.uri_mut() = hyper::Uri::try_from(path).unwrap_or_default();
    let headers = req.headers_mut();
    if let Ok(host) = target.addr.to_string().try_into() {
        headers.insert(hyper::header::HOST, host);
    }
    put_label(headers, label);
    headers.insert(DEADLINE_MS, (left.as_millis().max(1) as u64).into());
    req
}

fn settle(handed: Attempt<Handed>, reply: Reply, took: Duration) -> Ended {
    let told = Some(told(&reply.headers));
    if let Some(said) = said(&reply.headers) {
        let outcome = handed.said(said);
        let done = if let Outcome::NotRun(r) = &outcome
            && r.why() == Why::Shed
        {
            Done::Shed
        } else {
            Done::Neither
        };
        return ended(outcome, done, told);
    }
    if reply.status != 200 {
        return ended(handed.lost(Fault::Upstream), Done::Failed, told);
    }
    let raw = RawAnswer {
        label: label(&reply.headers).unwrap_or_default(),
        length: number(&reply.headers, &LENGTH).map_or(usize::MAX, |n| n as usize),
        body: reply.body,
    };
    let outcome = handed.answer(raw);
    let done =
        if matches!(outcome, Outcome::Answer(_)) { Done::Answered(took) } else { Done::Failed };
    ended(outcome, done, told)
}

impl Upstreams for HttpUpstreams {
    fn call(&self, target: Target, call: Call) -> BoxFuture<'_, Ended> {
        Box::pin(self.run(target, call))
    }

    fn status(&self, target: Target) -> BoxFuture<'_, Option<Told>> {
        Box::pin(async move {
            let reply = http::get(target.addr, STATUS, SIDE_TIMEOUT).await.ok()?;
            (reply.status == 200).then(|| told(&reply.headers))
        })
    }

    fn forget(&self, key: UpstreamKey) {
        self.idle.with(key, |conns| conns.clear());
    }
}
