//! One request sent to one server: connection, exchange, and what its end proves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, StatusCode, http::request::Parts};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::coordination::attempt::{Attempt, Fault, Handed, Outcome, Said, Waiting, Why};
use crate::coordination::scatter::End;
use crate::protocol::wire::HeadTold;
use crate::state::arena::ServerKey;
use crate::state::picture::View;
use crate::state::time::Tick;
use crate::transport::http::{self, Reply};
use crate::transport::tier::conns::{Conn, Got};
use crate::transport::tier::scene::Times;
use crate::transport::tier::{Live, Tier};

/// Shortest time after which a connection without an answer counts as silent.
const SILENT: Duration = Duration::from_millis(400);
/// Overdue times after which a connection without an answer counts as silent.
const SILENT_FACTOR: u32 = 8;

/// What all sends of one request share.
pub(crate) struct Asked {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) id: String,
    pub(crate) idempotent: bool,
    pub(crate) times: Times,
    pub(crate) until: Tick,
}

/// A server's whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) signature: Option<HeaderValue>,
}

/// How a send ended.
#[derive(Debug)]
pub(crate) struct Landed {
    pub(crate) end: End,
    pub(crate) answer: Option<Answer>,
    pub(crate) took: Option<Duration>,
    pub(crate) reason: &'static str,
}

impl Landed {
    fn unsent(reason: &'static str) -> Self {
        Self { end: End::Unsent, answer: None, took: None, reason }
    }
}

type Flying = Attempt<Handed, String>;

/// Counts a request as under way at a server until dropped.
struct UnderWay<'a>(&'a Tier, ServerKey, Tick);

impl<'a> UnderWay<'a> {
    fn new(tier: &'a Tier, key: ServerKey, now: Tick) -> Self {
        tier.live.with_or(key, Live::default, |l| l.learned.sent(now));
        Self(tier, key, now)
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.live.with(self.1, |l| l.learned.landed(self.2));
    }
}

/// Sends a request to a server.
pub(crate) async fn send(tier: Arc<Tier>, asked: Arc<Asked>, key: ServerKey) -> Landed {
    let landed = exchange(&tier, &asked, key).await;
    tier.meters.sends.with_label_values(&[landed.reason]).inc();
    landed
}

async fn exchange(tier: &Tier, asked: &Asked, key: ServerKey) -> Landed {
    let under_way = UnderWay::new(tier, key, tier.now());
    let mut attempt = Attempt::new(asked.id.clone());
    loop {
        let conn = match connection(tier, asked, key).await {
            Ok(conn) => conn,
            Err(reason) => return Landed::unsent(reason),
        };
        let view = tier.view();
        let Some(id) = open_id(&view, key) else { return Landed::unsent("server_left") };
        let reused = conn.reused;
        match talk(tier, asked, key, id, conn, attempt).await {
            Ok(landed) => {
                drop(under_way);
                return landed;
            }
            Err(back) if reused => attempt = back,
            Err(_) => return Landed::unsent("connection_closed"),
        }
    }
}

/// Returns the identity of a server that new work may go to.
fn open_id(view: &View, key: ServerKey) -> Option<&str> {
    view.takes_work(key).map(|s| s.report.id.as_str())
}

/// Returns a connection to the server, waiting for one while all of this instance's share are in use.
async fn connection(tier: &Tier, asked: &Asked, key: ServerKey) -> Result<Conn, &'static str> {
    loop {
        let view = tier.view();
        let Some(server) = view.takes_work(key) else { return Err("server_left") };
        let bounds = view.bounds(server.report.pool);
        let now = tier.now();
        let most = tier.connections(bounds.connections, now);
        match tier.live.with_or(key, Live::default, |l| l.conns.take(most, now)) {
            Got::Kept(conn) => return Ok(conn),
            Got::Busy(freed) => {
                let left = asked.until.since(now);
                if timeout(left, freed.wait()).await.is_err() {
                    return Err("no_connection_free");
                }
            }
            Got::May(permit) => {
                let opened = Conn::open(server.report.addr, permit, now).await;
                return note_opened(tier, key, opened, bounds.cold_for, now);
            }
        }
    }
}

fn note_opened(
    tier: &Tier,
    key: ServerKey,
    opened: anyhow::Result<Conn>,
    cold_for: Duration,
    began: Tick,
) -> Result<Conn, &'static str> {
    let now = tier.now();
    match opened {
        Ok(conn) => {
            tier.meters.connects.with_label_values(&["opened"]).inc();
            tier.live.with(key, |l| {
                l.conns.opened(now.since(began));
                l.learned.connected(cold_for, now);
            });
            Ok(conn)
        }
        Err(e) => {
            tier.meters.connects.with_label_values(&["refused"]).inc();
            log::debug!("no connection to server: {e:#}");
            tier.live.with(key, |l| {
                l.learned.refused();
                l.learned.failed(now);
            });
            if e.is::<Elapsed>() {
                note_silence(tier, key, now);
            }
            Err("not_connected")
        }
    }
}

/// Sends the request on a connection; gives the attempt back if nothing of it was written.
async fn talk(
    tier: &Tier,
    asked: &Asked,
    key: ServerKey,
    id: &str,
    mut conn: Conn,
    attempt: Attempt<Waiting, String>,
) -> Result<Landed, Attempt<Waiting, String>> {
    if conn.send.ready().await.is_err() {
        return Err(attempt);
    }
    let sent_at = tier.now();
    let left = asked.until.since(sent_at);
    if left < Duration::from_millis(1) {
        tier.live.with(key, |l| l.conns.keep(conn, sent_at));
        return Ok(Landed::unsent("too_late"));
    }
    let req = request(tier, asked, id, left);
    let handed: Flying = attempt.hand();
    let answer = async {
        let res = conn.send.try_send_request(req).await;
        let res = res.map_err(|mut e| e.take_message().is_some())?;
        let (head, body) = res.into_parts();
        let told = tier.wire.told(&head);
        let res = hyper::Response::from_parts(head, body);
        Ok((http::read_reply(res).await.map_err(|_| false)?, told))
    };
    let patience = left.min(SILENT.max(asked.times.overdue * SILENT_FACTOR));
    let wait = if asked.idempotent { patience } else { left };
    let outcome = match timeout(wait, answer).await {
        Err(_) => {
            tier.live.with(key, |l| l.conns.forget());
            handed.lost(Fault::Timeout)
        }
        Ok(Err(true)) => return Err(handed.unsent()),
        Ok(Err(false)) => {
            let now = tier.now();
            tier.live.with(key, |l| l.conns.closed(!conn.reused, now));
            handed.lost(Fault::Lost)
        }
        Ok(Ok((reply, told))) => {
            let now = tier.now();
            conn.idle_limit = told.keeps_idle.or(conn.idle_limit);
            if told.id.as_ref().is_none_or(|id| *id == asked.id) {
                tier.live.with(key, |l| l.conns.keep(conn, now));
            }
            let took = now.since(sent_at);
            return Ok(settle(tier, asked, key, handed, reply, told, took));
        }
    };
    Ok(note_failure(tier, key, outcome))
}

fn request(tier: &Tier, asked: &Asked, id: &str, left: Duration) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(asked.body.clone()));
    *req.method_mut() = asked.head.method.clone();
    *req.uri_mut() = asked.head.uri.clone();
    *req.headers_mut() = tier.wire.forward(&asked.head, id, left);
    req
}

/// Notes that a server's failure domain may be silent.
fn note_silence(tier: &Tier, key: ServerKey, now: Tick) {
    if let Some(server) = tier.view().server(key) {
        tier.domain(&server.report.domain, |d| d.silent(now));
    }
}

fn note_failure(tier: &Tier, key: ServerKey, outcome: Outcome<Answer>) -> Landed {
    let now = tier.now();
    let reason = match outcome {
        Outcome::Unknown(Fault::Timeout) => "no_answer",
        Outcome::Unknown(Fault::Lost) => "connection_lost",
        Outcome::Unknown(Fault::Mismatch) => "other_answer",
        _ => "server_error",
    };
    tier.live.with(key, |l| l.learned.failed(now));
    if reason == "no_answer" {
        note_silence(tier, key, now);
    }
    Landed { end: End::Failed, answer: None, took: None, reason }
}

/// Judges a whole answer.
fn settle(
    tier: &Tier,
    asked: &Asked,
    key: ServerKey,
    handed: Flying,
    reply: Reply,
    told: HeadTold,
    took: Duration,
) -> Landed {
    let now = tier.now();
    if let Some(server) = tier.view().server(key) {
        tier.domain(&server.report.domain, |d| d.answered());
    }
    if let Some((queue, slots)) = told.load {
        tier.live.with(key, |l| l.learned.told(queue, slots, now));
    }
    if let Some(said) = told.said {
        return not_run(tier, key, handed, said, now);
    }
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let answer =
        Answer { status, headers: reply.headers, body: reply.body, signature: told.signature };
    let whole = answer.status.is_success() && answer.signature.is_some() && !told.encoded;
    match handed.echoed(told.id.as_ref(), answer) {
        Outcome::Answer(answer) if whole => {
            let trip = tier.live.with(key, |l| {
                let trip = l.conns.trip.unwrap_or_default();
                l.learned.answered(took.saturating_sub(trip), asked.times.usual, now);
                trip
            });
            let took = Some(took.saturating_sub(trip.unwrap_or_default()));
            Landed { end: End::Answered, answer: Some(answer), took, reason: "answered" }
        }
        Outcome::Answer(answer) => {
            let passes = tier.wire.passes(answer.status) && !answer.status.is_success();
            let mut landed = note_failure(tier, key, Outcome::Unknown(Fault::Upstream));
            landed.answer = passes.then_some(answer);
            landed
        }
        outcome => note_failure(tier, key, outcome),
    }
}

fn not_run(tier: &Tier, key: ServerKey, handed: Flying, said: Said, now: Tick) -> Landed {
    let outcome: Outcome<Answer> = handed.said(said);
    let why = if let Outcome::NotRun(refusal) = &outcome { refusal.why() } else { Why::Shed };
    tier.live.with(key, |l| match why {
        Why::Replaced => l.learned.outlier.eject(now),
        _ => l.learned.shed(now),
    });
    let reason = if why == Why::Replaced { "server_replaced" } else { "server_shed" };
    Landed { end: End::NotRun, answer: None, took: None, reason }
}
