//! One request sent to one server: connection and exchange.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, StatusCode};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::coordination::attempt::{Attempt, Fault, NotRunCode, Pending};
use crate::coordination::scatter::SendResult;
use crate::protocol::wire::OutgoingRequest;
use crate::state::arena::ServerKey;
use crate::state::time::Tick;
use crate::transport::http;
use crate::transport::upstreams::conns::{Conn, Got};
use crate::transport::upstreams::scene::Times;
use crate::transport::upstreams::tier::{Live, Tier};

/// Shortest time after which a connection without an answer counts as silent.
const SILENT: Duration = Duration::from_millis(400);
/// Overdue times after which a connection without an answer counts as silent.
const SILENT_FACTOR: u32 = 8;
/// Age of a request without an answer from which on kept connections to its server are suspect.
const SUSPECT: Duration = Duration::from_millis(200);
/// Least time that is worth sending a request for.
const LEAST_TIME: Duration = Duration::from_millis(1);

/// What all sends of one request share.
pub(crate) struct Asked {
    pub(crate) id: String,
    pub(crate) out: OutgoingRequest,
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
    pub(crate) end: SendResult,
    /// The server asked, for logs.
    pub(crate) server: String,
    pub(crate) answer: Option<Answer>,
    /// Time of the answer without the round trip.
    pub(crate) took: Option<Duration>,
}

impl Landed {
    pub(crate) fn new(end: SendResult) -> Self {
        Self { end, server: String::new(), answer: None, took: None }
    }

    /// Takes into account on what connection the send failed.
    fn on(self, conn: &Conn) -> Self {
        match self.end {
            SendResult::Failed(fault) if conn.reused => {
                Self { end: SendResult::Broken(fault), ..self }
            }
            _ => self,
        }
    }

    /// Returns a word for logs and metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self.end {
            SendResult::Answered => "answered",
            SendResult::Unsent(why) | SendResult::NotRun(why) => why.as_str(),
            SendResult::Failed(fault) | SendResult::Broken(fault) => fault.as_str(),
        }
    }
}

/// Counts a request as under way at a server until dropped.
struct UnderWay<'a>(&'a Tier, ServerKey, Tick);

impl<'a> UnderWay<'a> {
    fn new(tier: &'a Tier, key: ServerKey, now: Tick) -> Self {
        tier.live.with_or_insert(key, Live::default, |l| l.learned.record_send(now));
        Self(tier, key, now)
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.live.with(self.1, |l| l.learned.record_end(self.2));
    }
}

/// Sends a request to a server of a shard.
pub(crate) async fn send(
    tier: Arc<Tier>,
    asked: Arc<Asked>,
    shard: usize,
    key: ServerKey,
) -> Landed {
    let _under_way = UnderWay::new(&tier, key, tier.now());
    let sender = Sender { tier: &tier, asked: &asked, shard, key };
    let mut landed = sender.run().await;
    landed.server = tier.view().server(key).map_or_else(String::new, |s| s.report.id.clone());
    tier.meters.sends.with_label_values(&[landed.reason()]).inc();
    landed
}

/// One send of a request to a server of a shard.
pub(crate) struct Sender<'a> {
    pub(crate) tier: &'a Tier,
    pub(crate) asked: &'a Asked,
    pub(crate) shard: usize,
    pub(crate) key: ServerKey,
}

impl Sender<'_> {
    async fn run(&self) -> Landed {
        let mut attempt = Attempt::new(self.asked.out.label(self.shard));
        loop {
            let conn = match self.connection().await {
                Ok(conn) => conn,
                Err(why) => return Landed::new(SendResult::Unsent(why)),
            };
            let reused = conn.reused;
            match self.talk(conn, attempt).await {
                Ok(landed) => return landed,
                Err(back) if reused => attempt = back,
                Err(_) => return Landed::new(SendResult::Unsent(NotRunCode::NotConnected)),
            }
        }
    }

    pub(crate) fn live<R>(&self, f: impl FnOnce(&mut Live) -> R) -> Option<R> {
        self.tier.live.with(self.key, f)
    }

    /// Returns a connection, waiting for one while all of this instance's share are in use.
    async fn connection(&self) -> Result<Conn, NotRunCode> {
        loop {
            let view = self.tier.view();
            let Some(server) = view.available_server(self.key) else {
                return Err(NotRunCode::Leaving);
            };
            let bounds = view.server_limits(server);
            let now = self.tier.now();
            let most = self.tier.connections(bounds.connections, now);
            let got = self.tier.live.with_or_insert(self.key, Live::default, |l| {
                let suspect = l.learned.oldest_in_flight(now) > SUSPECT;
                l.conns.take(most, suspect, now)
            });
            match got {
                Got::Kept(conn) => return Ok(conn),
                Got::Busy(freed) => {
                    let left = self.asked.until.since(now);
                    if timeout(left, freed.wait()).await.is_err() {
                        return Err(NotRunCode::NoConnection);
                    }
                }
                Got::May(permit) => {
                    let opened = Conn::open(server.report.addr, permit, now).await;
                    return self.note_opened(opened, bounds.cold_duration, now);
                }
            }
        }
    }

    fn note_opened(
        &self,
        opened: anyhow::Result<Conn>,
        cold_for: Duration,
        began: Tick,
    ) -> Result<Conn, NotRunCode> {
        let now = self.tier.now();
        let result = if opened.is_ok() { "opened" } else { "refused" };
        self.tier.meters.connections.with_label_values(&[result]).inc();
        match opened {
            Ok(conn) => {
                self.live(|l| {
                    l.conns.opened(now.since(began));
                    l.learned.record_connect(cold_for, now);
                });
                Ok(conn)
            }
            Err(e) => {
                log::debug!("no connection to a server: {e:#}");
                self.live(|l| {
                    l.learned.record_connect_refused();
                    l.learned.record_failure(now);
                });
                if e.is::<Elapsed>() {
                    self.note_silence(now);
                } else {
                    self.note_domain(|d| d.record_refused(now));
                }
                Err(NotRunCode::NotConnected)
            }
        }
    }

    /// Sends the request on a connection; gives the attempt back if nothing of it was written.
    async fn talk(
        &self,
        mut conn: Conn,
        attempt: Attempt<Pending>,
    ) -> Result<Landed, Attempt<Pending>> {
        if conn.send.ready().await.is_err() {
            return Err(attempt);
        }
        let sent_at = self.tier.now();
        let left = self.asked.until.since(sent_at);
        let view = self.tier.view();
        let server = view.available_server(self.key);
        let Some(server) = server.filter(|_| left >= LEAST_TIME) else {
            self.live(|l| l.conns.keep(conn, sent_at));
            let why = if server.is_none() { NotRunCode::Leaving } else { NotRunCode::TooLate };
            return Ok(Landed::new(SendResult::Unsent(why)));
        };
        let req = self.request(&server.report.id, left);
        let handed = attempt.dispatch();
        let answer = async {
            let res = conn.send.try_send_request(req).await;
            let res = res.map_err(|mut e| e.take_message().is_some())?;
            let (head, body) = res.into_parts();
            let told = self.tier.wire.parse_response_head(&head);
            let res = hyper::Response::from_parts(head, body);
            Ok((http::read_reply(res).await.map_err(|_| false)?, told))
        };
        match timeout(self.patience(left), answer).await {
            Err(_) => {
                self.live(|l| l.conns.forget());
                Ok(self.failed(handed.fail(Fault::Timeout)).on(&conn))
            }
            Ok(Err(true)) => Err(handed.into_pending()),
            Ok(Err(false)) => {
                let now = self.tier.now();
                self.live(|l| l.conns.closed(!conn.reused, now));
                Ok(self.failed(handed.fail(Fault::Lost)).on(&conn))
            }
            Ok(Ok((reply, told))) => {
                let took = self.tier.now().since(sent_at);
                conn.idle_limit = told.idle_timeout.or(conn.idle_limit);
                let mine =
                    told.label.as_deref().is_none_or(|l| l == self.asked.out.label(self.shard));
                if mine {
                    let now = self.tier.now();
                    self.live(|l| l.conns.keep(conn, now));
                }
                Ok(self.settle(handed, reply, told, took))
            }
        }
    }

    /// Returns how long an answer is waited for before the connection counts as silent.
    fn patience(&self, left: Duration) -> Duration {
        if self.asked.idempotent {
            left.min(SILENT.max(self.asked.times.overdue * SILENT_FACTOR))
        } else {
            left
        }
    }

    fn request(&self, id: &str, left: Duration) -> Request<Full<Bytes>> {
        let out = &self.asked.out;
        let mut req = Request::new(Full::new(out.body.clone()));
        *req.method_mut() = out.method.clone();
        *req.uri_mut() = out.uri.clone();
        *req.headers_mut() = self.tier.wire.request_headers(out, self.shard, id, left);
        req
    }
}
