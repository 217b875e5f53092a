//! An upstream stand-in with slots, a connection limit, cold start, draining, deadlines, cancellation,
//! snapshots, load shedding, a health endpoint that always reports healthy, and injected faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::server::{self, Answer, Server, respond, respond_json};

/// Capacity, timing and initial state of an upstream stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamOptions {
    pub slots: usize,
    pub connections: usize,
    pub connect_ms: u64,
    /// Approximate median service time, in microseconds.
    pub service_us: u64,
    /// Requests that may wait for a slot; those beyond are shed.
    pub backlog: usize,
    /// Whether the upstream starts cold.
    pub cold: bool,
    /// Sustainable requests per second while cold.
    pub cold_rate: f64,
    /// Duration of the cold period after a start, in milliseconds.
    pub cold_ms: u64,
    pub oldest: u64,
    pub newest: u64,
    pub seed: u64,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 25,
            connect_ms: 0,
            service_us: 3_000,
            backlog: 4,
            cold: false,
            cold_rate: 20.0,
            cold_ms: 3_000,
            oldest: 1,
            newest: 1,
            seed: 1,
        }
    }
}

/// Injected faults of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Factor on the service time; 0 means no slowdown.
    pub slow: f64,
    /// The upstream reports that it is draining and refuses requests.
    pub draining: bool,
    /// Answers belong to another `request`, `attempt`, `shard` or `snapshot`, or are `truncated`.
    pub wrong: String,
    /// Connections opened before the fault was set never respond again.
    pub silent: bool,
    /// The connection is closed `before` or `after` the request runs.
    pub lost: String,
    /// Every request is shed.
    pub shed: bool,
    /// Seconds for which a shed request asks for no further ones; 0 means that it does not.
    pub retry_after_s: f64,
}

/// Counters of an upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamStats {
    pub runs: u64,
    /// Requests that started to run, whether or not they finished.
    pub started: u64,
    pub shed: u64,
    /// Arrivals by request and shard; those beyond the first are hedges and retries.
    pub arrivals: IndexMap<String, u64>,
    /// Highest number of concurrent requests, including waiting ones.
    pub peak: usize,
    /// Requests above the sustainable rate while cold.
    pub over_cold: u64,
    /// Number of crashes from overload while cold.
    pub fell: u64,
    /// Runs of non-query requests, by request body.
    pub bodies: IndexMap<String, u64>,
    /// Time since the last request, in milliseconds.
    pub idle_ms: u64,
}

struct BootState {
    id: u64,
    cold_until: Option<Instant>,
    arrivals: VecDeque<Instant>,
    down_until: Option<Instant>,
    silent_through: u64,
}

struct State {
    opts: UpstreamOptions,
    faults: UpstreamFaults,
    stats: UpstreamStats,
    boot: BootState,
    in_flight: usize,
    newest_connection: u64,
    last_request: Instant,
    rng: StdRng,
}

/// An upstream stand-in on its own listener.
pub struct UpstreamStandIn {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Option<Server>,
}

/// Tolerance above `cold_rate` before a request counts as excess: a factor, and a number of requests in
/// any one-second window.
const COLD_RATE_FACTOR: f64 = 1.5;
const COLD_RATE_SLACK: f64 = 5.0;
/// A cold upstream crashes at every eighth excess request.
const EXCESS_REQUESTS_PER_CRASH: u64 = 8;
/// Time for which a crashed upstream closes every connection.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);

impl BootState {
    fn new(cold: Option<Duration>, rng: &mut StdRng) -> Self {
        Self {
            id: rng.random_range(1..1 << 40),
            cold_until: cold.map(|duration| Instant::now() + duration),
            arrivals: VecDeque::new(),
            down_until: None,
            silent_through: 0,
        }
    }

    fn is_cold(&self) -> bool {
        self.cold_until.is_some_and(|until| Instant::now() < until)
    }

    /// Records an arrival while the upstream is cold and returns whether it is within the sustainable rate,
    /// counted over a sliding one-second window. A warm upstream accepts every arrival.
    fn record_arrival(&mut self, opts: &UpstreamOptions) -> bool {
        if !self.is_cold() {
            return true;
        }
        let now = Instant::now();
        while self.arrivals.front().is_some_and(|arrived| now - *arrived > Duration::from_secs(1)) {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
        self.arrivals.len() as f64 <= opts.cold_rate * COLD_RATE_FACTOR + COLD_RATE_SLACK
    }
}

impl UpstreamStandIn {
    pub async fn start(addr: SocketAddr, opts: UpstreamOptions) -> std::io::Result<Self> {
        let mut rng = StdRng::seed_from_u64(opts.seed);
        let state = State {
            faults: UpstreamFaults::default(),
            stats: UpstreamStats::default(),
            boot: BootState::new(opts.cold.then(|| Duration::from_millis(opts.cold_ms)), &mut rng),
            in_flight: 0,
            newest_connection: 0,
            last_request: Instant::now(),
            rng,
            opts,
        };
        let mut upstream = Self { addr, state: Arc::new(Mutex::new(state)), server: None };
        upstream.start_server().await?;
        Ok(upstream)
    }

    async fn start_server(&mut self) -> std::io::Result<()> {
        let (shared, slots) =
            (self.state.clone(), Arc::new(Semaphore::new(self.state.lock().opts.slots)));
        let (setup_delay, max_connections) = {
            let state = self.state.lock();
            (Duration::from_millis(state.opts.connect_ms), state.opts.connections)
        };
        let server =
            server::serve(self.addr, setup_delay, max_connections, move |connection, request| {
                handle(shared.clone(), slots.clone(), connection, request)
            });
        let server = server.await?;
        self.addr = server.addr;
        self.server = Some(server);
        Ok(())
    }

    /// Closes the listener and all connections, like a killed process.
    pub fn kill(&mut self) {
        self.server = None;
        let mut state = self.state.lock();
        state.in_flight = 0;
    }

    /// Restarts the upstream, cold and with a new boot id.
    pub async fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.make_cold();
        self.start_server().await
    }

    /// Makes the upstream cold, with a new boot id, without closing connections.
    pub fn make_cold(&self) {
        let mut state = self.state.lock();
        let mut rng = StdRng::seed_from_u64(state.rng.random());
        let cold = Duration::from_millis(state.opts.cold_ms);
        state.boot = BootState::new(Some(cold), &mut rng);
    }

    pub fn set_faults(&self, faults: UpstreamFaults) {
        let mut state = self.state.lock();
        if faults.silent {
            state.boot.silent_through = state.newest_connection;
        }
        state.faults = faults;
    }

    pub fn set_held_snapshots(&self, oldest: u64, newest: u64) {
        let mut state = self.state.lock();
        state.opts.oldest = oldest;
        state.opts.newest = newest;
    }

    pub fn stats(&self) -> UpstreamStats {
        let state = self.state.lock();
        UpstreamStats {
            idle_ms: state.last_request.elapsed().as_millis() as u64,
            ..state.stats.clone()
        }
    }

    pub fn reset_stats(&self) {
        self.state.lock().stats = UpstreamStats::default();
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

/// Counts a request as in flight until dropped.
struct InFlightGuard(Arc<Mutex<State>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    connection: u64,
    request: Request<Incoming>,
) -> Answer {
    let (silent, is_down) = {
        let mut state = state.lock();
        state.newest_connection = state.newest_connection.max(connection);
        (
            connection <= state.boot.silent_through,
            state.boot.down_until.is_some_and(|until| until > Instant::now()),
        )
    };
    if silent {
        return std::future::pending().await;
    }
    if is_down {
        return None;
    }
    match request.uri().path() {
        "/health" => Some(respond(200, "yes\n")),
        "/v1/status" => Some(with_status_headers(&state.lock(), respond(200, ""))),
        "/v1/run" => run(state, slots, request).await,
        _ => Some(respond(404, "")),
    }
}

fn with_status_headers(
    state: &State,
    mut response: Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    let (running, waiting) =
        (state.in_flight.min(state.opts.slots), state.in_flight.saturating_sub(state.opts.slots));
    let load = format!("{running},{waiting},{}", state.opts.slots);
    let headers = response.headers_mut();
    headers.insert("x-load", load.parse().expect("plain text"));
    headers.insert("x-boot", state.boot.id.into());
    headers.insert(
        "x-held",
        format!("{}-{}", state.opts.oldest, state.opts.newest).parse().expect("plain text"),
    );
    if state.faults.draining {
        headers.insert("x-draining", 1.into());
    }
    response
}

fn refusal(state: &State, status: u16, reason: &'static str) -> Answer {
    let mut response = with_status_headers(state, respond(status, ""));
    let headers = response.headers_mut();
    headers.insert("x-refused", reason.parse().expect("plain text"));
    if reason == "shed" && state.faults.retry_after_s > 0.0 {
        let seconds = state.faults.retry_after_s.to_string();
        headers.insert("retry-after", seconds.parse().expect("plain text"));
    }
    Some(response)
}

/// Checks whether a request may wait for a slot; returns the answer to a request that may not.
fn check_admission(state: &mut State, snapshot: &str) -> Option<Answer> {
    state.last_request = Instant::now();
    if state.faults.draining {
        return Some(refusal(state, 503, "draining"));
    }
    if state.faults.shed || state.in_flight >= state.opts.slots + state.opts.backlog {
        state.stats.shed += 1;
        return Some(refusal(state, 503, "shed"));
    }
    if let Ok(wanted) = snapshot.parse::<u64>()
        && !(state.opts.oldest..=state.opts.newest).contains(&wanted)
    {
        return Some(refusal(state, 409, "not-held"));
    }
    let opts = state.opts.clone();
    if !state.boot.record_arrival(&opts) {
        state.stats.over_cold += 1;
        if state.stats.over_cold.is_multiple_of(EXCESS_REQUESTS_PER_CRASH) {
            state.stats.fell += 1;
            state.boot.down_until = Some(Instant::now() + CRASH_DOWNTIME);
            return Some(None);
        }
    }
    state.in_flight += 1;
    state.stats.peak = state.stats.peak.max(state.in_flight);
    None
}

/// Counts an arrival by request and shard, for all attempts and snapshots together.
fn count_arrival(state: &mut State, headers: &HeaderMap) {
    let label = header_text(headers, "x-label");
    let parts: Vec<&str> = label.splitn(4, '.').collect();
    if let [request, _, _, shard] = parts.as_slice() {
        *state.stats.arrivals.entry(format!("{request}.{shard}")).or_default() += 1;
    }
}

/// Runs a request; refusals echo the label, as answers do.
async fn run(
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    request: Request<Incoming>,
) -> Answer {
    let label = request.headers().get("x-label").cloned();
    let mut answer = admit_and_run(state, slots, request).await?;
    if let Some(label) = label {
        answer.headers_mut().entry("x-label").or_insert(label);
    }
    Some(answer)
}

async fn admit_and_run(
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    request: Request<Incoming>,
) -> Answer {
    let headers = request.headers().clone();
    let snapshot = header_text(&headers, "x-snapshot");
    let time_left =
        Duration::from_millis(header_text(&headers, "x-deadline-ms").parse().unwrap_or(1_000));
    let body = server::read_body(request).await.unwrap_or_default();
    count_arrival(&mut state.lock(), &headers);
    if let Some(answer) = check_admission(&mut state.lock(), &snapshot) {
        return answer;
    }
    let _in_flight = InFlightGuard(state.clone());
    let deadline = tokio::time::Instant::now() + time_left;
    let slot = tokio::select! {
        slot = slots.acquire() => slot.ok()?,
        () = tokio::time::sleep_until(deadline) => return refusal(&state.lock(), 503, "too-late"),
    };
    if state.lock().faults.lost == "before" {
        return None;
    }
    let run_duration = {
        let mut state = state.lock();
        state.stats.started += 1;
        service_time(&mut state)
    };
    let is_query = !snapshot.is_empty();
    if is_query {
        tokio::select! {
            () = tokio::time::sleep(run_duration) => {}
                () = tokio::time::sleep_until(deadline) => return refusal(&state.lock(), 503, "too-late"),
        }
    } else {
        *state.lock().stats.bodies.entry(String::from_utf8_lossy(&body).into()).or_default() += 1;
        tokio::time::sleep(run_duration).await;
    }
    drop(slot);
    build_answer(&mut state.lock(), &headers, &body)
}

fn service_time(state: &mut State) -> Duration {
    let slow_factor = if state.faults.slow > 0.0 { state.faults.slow } else { 1.0 };
    let cold_factor = if state.boot.is_cold() { 2.0 } else { 1.0 };
    // half of the median is fixed, the rest is exponential and capped at six times its mean
    let tail = (-state.rng.random_range(1e-9f64..1.0).ln()).min(6.0);
    Duration::from_secs_f64(
        state.opts.service_us as f64 * (0.5 + 0.7 * tail) * slow_factor * cold_factor / 1e6,
    )
}

fn build_answer(state: &mut State, headers: &HeaderMap, body: &Bytes) -> Answer {
    state.stats.runs += 1;
    if state.faults.lost == "after" {
        return None;
    }
    // the body of a wrong answer is wrong as well, as if it came from another request, shard or snapshot
    let is_wrong = |wrong: &str| state.faults.wrong == wrong;
    let shard = if is_wrong("shard") { "999999".into() } else { header_text(headers, "x-shard") };
    let snapshot =
        if is_wrong("snapshot") { "999999".into() } else { header_text(headers, "x-snapshot") };
    let body =
        if is_wrong("attempt") { "another request".into() } else { String::from_utf8_lossy(body) };
    let content = format!("{shard}@{snapshot} of {body}");
    let mut label: Vec<String> =
        header_text(headers, "x-label").splitn(4, '.').map(str::to_owned).collect();
    let label_fields = ["request", "attempt", "snapshot", "shard"];
    if let Some(field) = label_fields.iter().position(|field| is_wrong(field)) {
        label[field] = "999999".into();
    }
    let mut response = with_status_headers(state, respond(200, content.clone()));
    response.headers_mut().insert("x-label", label.join(".").parse().ok()?);
    let extra = usize::from(state.faults.wrong == "truncated");
    response.headers_mut().insert("x-length", ((content.len() + extra) as u64).into());
    Some(response)
}

/// Serves the admin listener for several upstreams in one process.
pub async fn serve_admin(
    addr: SocketAddr,
    upstreams: IndexMap<String, UpstreamStandIn>,
) -> std::io::Result<Server> {
    let upstreams = Arc::new(tokio::sync::Mutex::new(upstreams));
    server::serve(addr, Duration::ZERO, 100, move |_, request| admin(upstreams.clone(), request))
        .await
}

/// Handles `GET /stats`, `POST /NAME/{kill,restart,cold,faults}` and `POST /NAME/hold/OLDEST-NEWEST`.
async fn admin(
    upstreams: Arc<tokio::sync::Mutex<IndexMap<String, UpstreamStandIn>>>,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    let body = server::read_body(request).await.unwrap_or_default();
    let mut upstreams = upstreams.lock().await;
    if path == "/stats" {
        let all: IndexMap<_, _> =
            upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.stats())).collect();
        return respond_json(200, &all);
    }
    let mut parts = path.trim_start_matches('/').split('/');
    let upstream = upstreams.get_mut(parts.next()?)?;
    match parts.next()? {
        "kill" => upstream.kill(),
        "restart" => upstream.restart().await.ok()?,
        "cold" => upstream.make_cold(),
        "faults" => upstream.set_faults(serde_json::from_slice(&body).ok()?),
        "hold" => {
            let (oldest, newest) = parts.next()?.split_once('-')?;
            upstream.set_held_snapshots(oldest.parse().ok()?, newest.parse().ok()?);
        }
        _ => return Some(respond(404, "")),
    }
    Some(respond(200, "done\n"))
}
