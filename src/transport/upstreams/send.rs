//! Sends a request to one server: checks out a connection, then exchanges request and answer.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, StatusCode};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::coordination::attempt::{Attempt, Fault, NotRunCode, Outcome, Pending, is_final_status};
use crate::coordination::outlier::Probe;
use crate::coordination::rate_limit::Reservation;
use crate::coordination::scatter::SendResult;
use crate::coordination::server_notices::SendPermit;
use crate::coordination::server_stats::Sent;
use crate::protocol::codec::{OutgoingRequest, ResponseHead};
use crate::state::arena::ServerKey;
use crate::state::time::Tick;
use crate::state::topology::{Server, TopologyView};
use crate::transport::http::{self, Reply, ReplyError};
use crate::transport::segments::SegmentedBody;
use crate::transport::upstreams::connection_pool::{Checkout, Connection, Released};
use crate::transport::upstreams::context::AnswerTimes;
use crate::transport::upstreams::tier::{ServerRun, ServerState, Tier};

/// Minimum time without an answer after which a connection counts as unresponsive.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Multiple of the overdue time after which a connection without an answer counts as unresponsive.
const ANSWER_TIMEOUT_FACTOR: u32 = 8;
/// Age of the oldest unanswered request above which a new connection is preferred, since idle ones may
/// be unresponsive too.
const PREFER_NEW_AGE: Duration = Duration::from_millis(200);
/// Minimum time left before the hard deadline for a request to be sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// The dispatches of a request: when the last send to each shard was written to its connection, and how many sends may have
/// run.
#[derive(Debug)]
pub(crate) struct Dispatches {
    times: Vec<AtomicU64>,
    may_have_run: AtomicUsize,
}

impl Dispatches {
    pub(crate) fn new(shards: usize) -> Self {
        let times = (0..shards).map(|_| AtomicU64::new(0)).collect();
        Self { times, may_have_run: AtomicUsize::new(0) }
    }

    /// Returns the number of shards.
    fn shard_count(&self) -> usize {
        self.times.len()
    }

    pub(crate) fn clear_time(&self, shard: usize) {
        self.times[shard].store(0, Ordering::Relaxed);
    }

    /// Records a dispatch.
    fn record(&self, shard: usize, at: Tick) {
        self.times[shard].store(at.0, Ordering::Relaxed);
        self.may_have_run.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a dispatched send is known not to have run.
    fn record_not_run(&self) {
        self.may_have_run.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the time of the last dispatch; `None` if the last send was not dispatched yet.
    pub(crate) fn time(&self, shard: usize) -> Option<Tick> {
        Some(Tick(self.times[shard].load(Ordering::Relaxed))).filter(|at| *at != Tick::default())
    }

    /// Returns whether some server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed) > 0
    }
}

/// A request as shared by all its sends.
pub(crate) struct ScatterRequest {
    pub(crate) id: String,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) idempotent: bool,
    pub(crate) times: AnswerTimes,
    pub(crate) dispatches: Arc<Dispatches>,
    pub(crate) hard_deadline: Tick,
}

impl ScatterRequest {
    fn is_sharded(&self) -> bool {
        self.dispatches.shard_count() > 1
    }
}

/// A complete answer of a server.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: SegmentedBody,
    pub(crate) signature: Option<HeaderValue>,
}

/// The outcome of a send.
#[derive(Debug)]
pub(crate) struct SendOutcome {
    pub(crate) result: SendResult,
    /// Name of the server, for logs.
    pub(crate) server_id: String,
    pub(crate) answer: Option<Answer>,
    /// Time until the answer, without the round trip.
    pub(crate) latency: Option<Duration>,
}

impl SendOutcome {
    pub(crate) fn new(result: SendResult) -> Self {
        Self { result, server_id: String::new(), answer: None, latency: None }
    }

    /// Marks a failed send as broken if its connection was a reused one.
    fn on_connection(self, conn: &Connection) -> Self {
        match self.result {
            SendResult::Failed(fault) if conn.reused => {
                Self { result: SendResult::Broken(fault), ..self }
            }
            _ => self,
        }
    }

    /// Returns the word used in logs and metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self.result {
            SendResult::Answered => "answered",
            SendResult::Unsent(why) | SendResult::NotRun(why) => why.as_str(),
            SendResult::Failed(fault) | SendResult::Broken(fault) => fault.as_str(),
        }
    }
}

/// Why a request that was handed to a connection has no answer.
enum Unanswered {
    /// Nothing of it was written.
    Unsent,
    /// It may have run.
    Failed(Fault),
}

/// Counts a request as in flight to a server until dropped.
struct InFlightGuard<'a> {
    tier: &'a Tier,
    key: ServerKey,
    in_flight: Option<Sent>,
}

impl<'a> InFlightGuard<'a> {
    fn new(tier: &'a Tier, key: ServerKey, now: Tick) -> Self {
        let record = |s: &mut ServerState| s.stats.record_send(now);
        let in_flight = tier.servers.with_or_insert(key, ServerState::default, record);
        Self { tier, key, in_flight: Some(in_flight) }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if let Some(ended) = self.in_flight.take() {
            let now = self.tier.now();
            self.tier.servers.with(self.key, |s| s.stats.record_end(ended, now));
        }
    }
}

/// The probe of an unresponsive failure domain, which ends when dropped.
pub(crate) struct DomainProbe {
    tier: Arc<Tier>,
    domain: String,
    probe: Option<Probe>,
}

impl DomainProbe {
    /// Records a request that will be sent to a failure domain; returns the probe if the request is one.
    pub(crate) fn record_send(tier: &Arc<Tier>, domain: &str) -> Option<Self> {
        let probe = tier.with_domain(domain, |d| d.record_send())?;
        Some(Self { tier: tier.clone(), domain: domain.to_owned(), probe: Some(probe) })
    }

    /// Gives the probe back, since its request is not sent.
    pub(crate) fn cancel(mut self) {
        if let Some(probe) = self.probe.take() {
            self.tier.with_domain(&self.domain, |d| d.cancel_probe(probe));
        }
    }
}

/// What is reserved for a send to a server when it is picked.
pub(crate) struct Pick {
    pub(crate) reserved: ReservedSend,
    /// The probe of a failure domain that the send is, if it is one; it ends when dropped.
    pub(crate) domain_probe: Option<DomainProbe>,
}

/// A request that is reserved within the limit of a server; given back when dropped, unless it was dispatched.
pub(crate) struct ReservedSend {
    tier: Arc<Tier>,
    key: ServerKey,
    reservation: Reservation,
    is_dispatched: bool,
}

impl ReservedSend {
    pub(crate) fn new(tier: &Arc<Tier>, key: ServerKey, reservation: Reservation) -> Self {
        Self { tier: tier.clone(), key, reservation, is_dispatched: false }
    }

    /// Permits the dispatch by all that the server asked for; a reservation that has ended is made again if possible.
    fn permit(&mut self, now: Tick) -> Result<SendPermit, NotRunCode> {
        let Self { tier, key, reservation, .. } = self;
        tier.servers.with_or_insert(*key, ServerState::default, |s| {
            s.stats.notices.renew(reservation, now);
            s.stats.notices.permit(reservation, now)
        })
    }
}

impl Drop for ReservedSend {
    fn drop(&mut self) {
        if !self.is_dispatched {
            let give_back = |s: &mut ServerState| s.stats.notices.give_back(self.reservation);
            self.tier.servers.with(self.key, give_back);
        }
    }
}

impl Drop for DomainProbe {
    fn drop(&mut self) {
        if let Some(probe) = self.probe.take() {
            let now = self.tier.now();
            self.tier.with_domain(&self.domain, |d| d.end_probe(probe, now));
        }
    }
}

impl Tier {
    /// Records whether a connection to a server could be opened.
    pub(crate) fn record_connect(
        &self,
        key: ServerKey,
        result: anyhow::Result<Connection>,
        cold_duration: Duration,
        started_at: Tick,
    ) -> Result<Connection, NotRunCode> {
        let now = self.now();
        let label = if result.is_ok() { "opened" } else { "refused" };
        self.metrics.connections.with_label_values(&[label]).inc();
        match result {
            Ok(mut conn) => {
                let listener = self.servers.with(key, |s| {
                    s.connections.record_connect(now.since(started_at));
                    s.stats.record_connect(cold_duration, now)
                });
                conn.listener = listener.unwrap_or_default();
                Ok(conn)
            }
            Err(e) => {
                let view = self.view();
                let server = view.server(key);
                let id = server.map_or("?", |s| s.report.id.as_str());
                log::debug!(server = id; "connection to a server could not be opened: {e:#}");
                let no_listener = e
                    .downcast_ref::<io::Error>()
                    .is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
                self.servers.with(key, |s| {
                    s.stats.record_connect_refused(no_listener);
                    s.stats.record_failure(now);
                });
                if let Some(server) = server {
                    self.with_domain(&server.report.domain, |d| {
                        if e.is::<Elapsed>() {
                            d.record_unanswered(now);
                        } else {
                            d.record_refused(now);
                        }
                    });
                }
                Err(NotRunCode::NotConnected)
            }
        }
    }
}

/// Sends a request to a server of a shard.
pub(crate) async fn send(
    tier: Arc<Tier>,
    request: Arc<ScatterRequest>,
    shard: usize,
    (key, pick): (ServerKey, Pick),
) -> SendOutcome {
    let _guard = InFlightGuard::new(&tier, key, tier.now());
    let Pick { reserved, domain_probe: _domain_probe } = pick;
    let sender = Sender { tier: &tier, request: &request, shard, key };
    let mut outcome = sender.run(reserved).await;
    outcome.server_id = tier.view().server(key).map_or_else(String::new, |s| s.report.id.clone());
    tier.metrics.sends.with_label_values(&[outcome.reason()]).inc();
    outcome
}

/// One send of a request to a server of a shard.
pub(crate) struct Sender<'a> {
    pub(crate) tier: &'a Tier,
    pub(crate) request: &'a ScatterRequest,
    pub(crate) shard: usize,
    pub(crate) key: ServerKey,
}

impl Sender<'_> {
    async fn run(&self, mut reserved: ReservedSend) -> SendOutcome {
        let mut attempt = Attempt::new(self.request.outgoing.label(self.shard));
        loop {
            let conn = match self.acquire_connection(&mut reserved).await {
                Ok(conn) => conn,
                Err(why) => return SendOutcome::new(SendResult::Unsent(why)),
            };
            let reused = conn.reused;
            match self.exchange(conn, attempt, &mut reserved).await {
                Ok(outcome) => return outcome,
                Err(unsent) if reused => attempt = unsent,
                Err(_) => return SendOutcome::new(SendResult::Unsent(NotRunCode::NotConnected)),
            }
        }
    }

    /// Runs `update` on the state of the server, if the server is known.
    pub(crate) fn update_server<R>(&self, update: impl FnOnce(&mut ServerState) -> R) -> Option<R> {
        self.tier.servers.with(self.key, update)
    }

    /// Checks out a connection, waiting while this instance's share of the limit is in use.
    ///
    /// A request that waited and finds that the server is to be sent nothing wakes the next one, which finds the same.
    async fn acquire_connection(
        &self,
        reserved: &mut ReservedSend,
    ) -> Result<Connection, NotRunCode> {
        let mut waited: Option<Released> = None;
        loop {
            let (view, now) = (self.tier.view(), self.tier.now());
            let permitted = view.available_server(self.key).ok_or(NotRunCode::Leaving);
            let permitted = permitted.and_then(|server| reserved.permit(now).map(|_| server));
            let server = permitted.inspect_err(|_| waited.iter().for_each(Released::wake_next))?;
            let limits = view.server_limits(server);
            let limit = self.tier.connection_limit(limits.connections, now);
            let checkout = self.tier.servers.with_or_insert(self.key, ServerState::default, |s| {
                let prefer_new = s.stats.oldest_in_flight(now) > PREFER_NEW_AGE;
                s.connections.check_out(limit, prefer_new, now)
            });
            match checkout {
                Checkout::Idle(conn) => return Ok(conn),
                Checkout::Busy(released) => {
                    let time_left = self.request.hard_deadline.since(now);
                    if timeout(time_left, released.wait()).await.is_err() {
                        return Err(NotRunCode::NoConnection);
                    }
                    waited = Some(released);
                }
                Checkout::MayOpen(permit) => {
                    let result = Connection::open(server.report.addr, permit, now).await;
                    return self.tier.record_connect(self.key, result, limits.cold_duration, now);
                }
            }
        }
    }

    /// Sends the request on a connection; returns the attempt if nothing of it was written.
    async fn exchange(
        &self,
        mut conn: Connection,
        attempt: Attempt<Pending>,
        reserved: &mut ReservedSend,
    ) -> Result<SendOutcome, Attempt<Pending>> {
        if conn.sender.ready().await.is_err() {
            return Err(attempt);
        }
        let sent_at = self.tier.now();
        let time_left = self.request.hard_deadline.since(sent_at);
        let view = self.tier.view();
        let (server, permit) = match self.permitted_server(&view, reserved, time_left, sent_at) {
            Ok(permitted) => permitted,
            Err(why) => {
                self.check_in(conn, sent_at);
                return Ok(SendOutcome::new(SendResult::Unsent(why)));
            }
        };
        let req = self.build_request(&server.report.id, time_left);
        let dispatched = attempt.dispatch(permit);
        reserved.is_dispatched = true;
        self.request.dispatches.record(self.shard, sent_at);
        let answer = async {
            let res = conn.sender.try_send_request(req).await;
            let res = res.map_err(|mut e| match e.take_message() {
                Some(_) => Unanswered::Unsent,
                None if e.error().is_parse_too_large() => Unanswered::Failed(Fault::TooLarge),
                None => Unanswered::Failed(Fault::Lost),
            })?;
            let (parts, body) = res.into_parts();
            if !is_final_status(parts.status.as_u16()) {
                return Err(Unanswered::Failed(Fault::Upstream));
            }
            let head = self.tier.codec.parse_response_head(&parts);
            let res = hyper::Response::from_parts(parts, body);
            let reply = http::read_reply(res, self.max_bytes(), &self.tier.reply_buffers).await;
            let reply = reply.map_err(|e| match e {
                ReplyError::TooLarge => Unanswered::Failed(Fault::TooLarge),
                ReplyError::Broken => Unanswered::Failed(Fault::Lost),
            })?;
            Ok((reply, head))
        };
        match timeout(self.answer_timeout(time_left), answer).await {
            Err(_) => {
                self.update_server(|s| s.connections.close_idle());
                Ok(self.record_failure(dispatched.fail(Fault::Timeout)).on_connection(&conn))
            }
            Ok(Err(Unanswered::Unsent)) => {
                self.request.dispatches.record_not_run();
                reserved.is_dispatched = false;
                Err(dispatched.into_pending())
            }
            // the server answers, but what follows on the connection is not known
            Ok(Err(Unanswered::Failed(fault @ (Fault::TooLarge | Fault::Upstream)))) => {
                Ok(self.record_failure(dispatched.fail(fault)))
            }
            Ok(Err(Unanswered::Failed(fault))) => {
                let now = self.tier.now();
                self.update_server(|s| s.connections.record_closed(!conn.reused, now));
                Ok(self.record_failure(dispatched.fail(fault)).on_connection(&conn))
            }
            Ok(Ok((reply, head))) => {
                let now = self.tier.now();
                let attempt = match dispatched.identify(head.label.as_deref(), conn.usage()) {
                    Ok(attempt) => attempt,
                    Err(fault) => {
                        self.log_foreign_reply(&reply, &head, &conn, sent_at);
                        return Ok(self.record_failure(Outcome::Unknown(fault)));
                    }
                };
                conn.answered += 1;
                conn.idle_limit = head.idle_timeout.or(conn.idle_limit);
                let run = ServerRun { server, listener: conn.listener, sent_at };
                let outcome = self.evaluate_reply(attempt, run, (head, reply), now.since(sent_at));
                if matches!(outcome.result, SendResult::NotRun(_)) {
                    self.request.dispatches.record_not_run();
                }
                if outcome.result != SendResult::Failed(Fault::Truncated) {
                    self.check_in(conn, now);
                }
                Ok(outcome)
            }
        }
    }

    /// Returns the server and the permit to send to it, or why it is sent nothing.
    fn permitted_server<'v>(
        &self,
        view: &'v TopologyView,
        reserved: &mut ReservedSend,
        time_left: Duration,
        now: Tick,
    ) -> Result<(&'v Server, SendPermit), NotRunCode> {
        let server = view.available_server(self.key).ok_or(NotRunCode::Leaving)?;
        if time_left < MIN_TIME_LEFT {
            return Err(NotRunCode::TooLate);
        }
        Ok((server, reserved.permit(now)?))
    }

    /// Returns a connection to the pool, or closes it if the server is draining.
    fn check_in(&self, conn: Connection, now: Tick) {
        self.update_server(|s| s.check_in(conn, now));
    }

    /// Logs a reply that is not known to be this request's; its connection is closed.
    fn log_foreign_reply(
        &self,
        reply: &Reply<SegmentedBody>,
        head: &ResponseHead,
        conn: &Connection,
        sent_at: Tick,
    ) {
        let (id, shard, status) = (self.request.id.as_str(), self.shard, reply.status);
        let view = self.tier.view();
        let server = view.server(self.key).map_or("?", |s| s.report.id.as_str());
        let (connection, answered) = (conn.number, conn.answered);
        let idle_ms = sent_at.since(conn.last_used).as_millis() as u64;
        let expected = self.request.outgoing.label(self.shard);
        let echoed = head.label.as_deref().unwrap_or_default();
        let (refused, bytes) = (head.refusal.is_some(), reply.body.len());
        log::info!(
            request = id, shard, server, connection, answered, idle_ms, expected, echoed, status,
            refused, bytes; "reply belongs to another request"
        );
    }

    /// Returns the maximum size of an answer, in bytes.
    fn max_bytes(&self) -> usize {
        let opts = &self.tier.opts;
        if self.request.is_sharded() { opts.max_part_bytes } else { opts.max_answer_bytes }
    }

    /// Returns how long to wait for an answer before the connection counts as unresponsive.
    fn answer_timeout(&self, time_left: Duration) -> Duration {
        if self.request.idempotent {
            time_left
                .min(MIN_ANSWER_TIMEOUT.max(self.request.times.overdue * ANSWER_TIMEOUT_FACTOR))
        } else {
            time_left
        }
    }

    fn build_request(&self, server_id: &str, time_left: Duration) -> Request<Full<Bytes>> {
        let outgoing = &self.request.outgoing;
        let mut req = Request::new(Full::new(outgoing.body.clone()));
        *req.method_mut() = outgoing.method.clone();
        *req.uri_mut() = outgoing.uri.clone();
        *req.headers_mut() =
            self.tier.codec.request_headers(outgoing, self.shard, server_id, time_left);
        req
    }
}
