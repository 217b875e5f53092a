//! Open-loop callers behind a load balancer; latency is measured from the intended send time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tamarackdeck::QueryAnswer;
use tokio::net::TcpStream;

use crate::standstills::Standstills;

/// Standstills of the machine, in sum, from which a query is not counted: the shortest timeout in a deployment.
const MIN_DISTURBANCE: Duration = Duration::from_millis(100);
/// Time before a query in which standstills matter to it, since a deployment avoids for so long what timed out.
const AFTERMATH: Duration = Duration::from_secs(1);

/// The listener addresses of an instance behind the balancer.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    pub callers_addr: SocketAddr,
    pub operators_addr: SocketAddr,
}

/// Parameters of a query load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub path: String,
    /// Requests per second.
    pub rate: f64,
    pub duration: Duration,
    pub deadline_ms: u64,
    pub seed: u64,
}

/// Why a request has no HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// The balancer knew no instance that is ready.
    NoneReady,
    /// No connection to any of the instances tried could be opened.
    NotConnected,
    /// The connection was lost, or there was no response in time.
    Lost,
}

impl Unserved {
    fn as_str(self) -> &'static str {
        match self {
            Unserved::NoneReady => "none-ready",
            Unserved::NotConnected => "not-connected",
            Unserved::Lost => "lost",
        }
    }
}

impl std::fmt::Display for Unserved {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for Unserved {}

/// The response to a request: its status and body.
type Response = Result<(u16, Bytes), Unserved>;

/// A query that has ended.
struct Ended {
    number: u64,
    response: Response,
    intended: Instant,
    at: Instant,
}

/// Results of a load as seen by the callers.
///
/// Queries that a standstill of the machine disturbed are left out, except for wrong answers.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Queries that a standstill of the machine disturbed.
    pub disturbed: u64,
    pub sent: u64,
    pub answered: u64,
    pub whole: u64,
    pub coverage: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
    /// Answers whose coverage does not match their parts, or with a part of another request, shard or snapshot.
    pub wrong: u64,
    /// Refusals by `error/reason`, and requests without an HTTP response by why there is none.
    pub refusals: IndexMap<String, u64>,
    /// Longest time between two consecutive answers, in milliseconds.
    pub gap_ms: f64,
}

struct ReportBuilder {
    latencies: Histogram<u64>,
    report: Report,
    shard_counts: (u64, u64),
    last_answer: Option<Instant>,
}

type Pool = Mutex<IndexMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>;

/// A load balancer that probes the readiness of each instance every 200 ms.
pub struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    pool: Pool,
    task: tokio::task::AbortHandle,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Balancer {
    pub async fn start(backends: Vec<Backend>) -> Self {
        let ready = Arc::new(Mutex::new(ready_instances(&backends).await));
        let shared = ready.clone();
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(200)).await;
                let addrs = ready_instances(&backends).await;
                *shared.lock() = addrs;
            }
        });
        Self { ready, pool: Pool::default(), task: task.abort_handle() }
    }

    pub fn ready(&self) -> usize {
        self.ready.lock().len()
    }

    fn select_instance(&self, number: u64) -> Option<SocketAddr> {
        let ready = self.ready.lock();
        (!ready.is_empty()).then(|| ready[number as usize % ready.len()])
    }

    /// Sends one request. An instance that cannot be connected to is skipped; up to three are tried.
    pub async fn send(
        &self,
        number: u64,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Response {
        let mut connection = None;
        for offset in 0..3 {
            let addr = self.select_instance(number + offset).ok_or(Unserved::NoneReady)?;
            connection = self.connect(addr).await.map(|connection| (addr, connection));
            if connection.is_some() {
                break;
            }
        }
        let (addr, connection) = connection.ok_or(Unserved::NotConnected)?;
        self.exchange(addr, connection, path, headers, body).await.ok_or(Unserved::Lost)
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut connection: SendRequest<Full<Bytes>>,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Option<(u16, Bytes)> {
        let mut request = Request::post(path).header("host", "balancer");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let response = connection.send_request(request.body(Full::new(body)).ok()?).await.ok()?;
        let status = response.status().as_u16();
        let closing = response.headers().get("connection").is_some_and(|v| v == "close");
        let body = response.into_body().collect().await.ok()?.to_bytes();
        if !closing {
            self.pool.lock().entry(addr).or_default().push(connection);
        }
        Some((status, body))
    }

    async fn connect(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        while let Some(mut connection) = self.pool.lock().entry(addr).or_default().pop() {
            if !connection.is_closed()
                && futures::FutureExt::now_or_never(connection.ready()).is_some_and(|r| r.is_ok())
            {
                return Some(connection);
            }
        }
        let connect = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            handshake(TokioIo::new(stream)).await.ok()
        };
        let (sender, connection) =
            tokio::time::timeout(Duration::from_millis(500), connect).await.ok()??;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(sender)
    }
}

async fn ready_instances(backends: &[Backend]) -> Vec<SocketAddr> {
    let check_ready = async |backend: &Backend| {
        let reply =
            tamarackdeck::get(backend.operators_addr, "/ready", Duration::from_millis(150)).await;
        reply.is_ok_and(|r| r.status == 200).then_some(backend.callers_addr)
    };
    futures::future::join_all(backends.iter().map(check_ready))
        .await
        .into_iter()
        .flatten()
        .collect()
}

/// Sends queries in an open loop with exponential inter-arrival times and reports the results.
pub async fn run(balancer: Arc<Balancer>, opts: LoadOptions) -> Report {
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let standstills = Standstills::start();
    let start = tokio::time::Instant::now();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = tokio::task::JoinSet::new();
    let (mut offset, mut number) = (Duration::ZERO, 0u64);
    while offset < opts.duration {
        tokio::time::sleep_until(start + offset).await;
        let (balancer, ended, opts, intended) =
            (balancer.clone(), ended.clone(), opts.clone(), start + offset);
        tasks.spawn(async move {
            let headers = [("x-deadline-ms", opts.deadline_ms.to_string())];
            let request =
                balancer.send(number, &opts.path, &headers, Bytes::from(format!("q{number}")));
            let timeout = Duration::from_millis(opts.deadline_ms + 1_000);
            let response = tokio::time::timeout(timeout, request).await;
            let response = response.unwrap_or(Err(Unserved::Lost));
            let (intended, at) = (intended.into_std(), Instant::now());
            ended.lock().push(Ended { number, response, intended, at });
        });
        number += 1;
        offset += Duration::from_secs_f64(-rng.random_range(1e-9f64..1.0).ln() / opts.rate);
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut builder = ReportBuilder::new();
    ended.lock().drain(..).for_each(|query| builder.record(query, &standstills));
    builder.build()
}

/// Checks that the coverage adds up and that each part is what an upstream stand-in returns for this query.
fn is_consistent(number: u64, answer: &QueryAnswer) -> bool {
    let coverage = &answer.coverage;
    let adds_up = coverage.answered == answer.parts.len()
        && coverage.answered + coverage.missing.len() == coverage.total;
    let matches_query = |part: &tamarackdeck::Part| {
        part.text.as_deref()
            == Some(format!("{}@{} of q{number}", part.shard, answer.snapshot).as_str())
    };
    adds_up && answer.parts.iter().all(matches_query)
}

/// Returns whether a response claims to be an answer but is not one, or not one to this query.
fn is_wrong(number: u64, response: &Response) -> bool {
    let Ok((200, body)) = response else { return false };
    serde_json::from_slice::<QueryAnswer>(body)
        .map_or(true, |answer| !is_consistent(number, &answer))
}

impl ReportBuilder {
    fn new() -> Self {
        let report = Report {
            disturbed: 0,
            sent: 0,
            answered: 0,
            whole: 0,
            wrong: 0,
            coverage: 0.0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            p999_ms: 0.0,
            max_ms: 0.0,
            refusals: IndexMap::new(),
            gap_ms: 0.0,
        };
        Self {
            latencies: Histogram::new(3).expect("valid precision"),
            report,
            shard_counts: (0, 0),
            last_answer: None,
        }
    }

    /// Records a query; queries must be recorded in the order in which they ended.
    fn record(&mut self, query: Ended, standstills: &Standstills) {
        let Ended { number, response, intended, at } = query;
        let from = intended.checked_sub(AFTERMATH).unwrap_or(intended);
        if standstills.total(from, at) >= MIN_DISTURBANCE {
            self.report.disturbed += 1;
            self.report.wrong += u64::from(is_wrong(number, &response));
            return;
        }
        self.report.sent += 1;
        let (status, body) = match response {
            Ok(response) => response,
            Err(why) => return self.record_refusal(why.as_str().into()),
        };
        if status != 200 {
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let field = |name: &str| value[name].as_str().unwrap_or("?").to_owned();
            return self.record_refusal(format!("{}/{}", field("error"), field("reason")));
        }
        let Ok(answer) = serde_json::from_slice::<QueryAnswer>(&body) else {
            return self.record_refusal("garbled".into());
        };
        self.report.wrong += u64::from(!is_consistent(number, &answer));
        self.report.answered += 1;
        self.report.whole += u64::from(answer.coverage.missing.is_empty());
        self.shard_counts.0 += answer.coverage.answered as u64;
        self.shard_counts.1 += answer.coverage.total as u64;
        let _ = self.latencies.record((at - intended).as_micros() as u64);
        let gap = self.last_answer.replace(at).map_or(Duration::ZERO, |last| at - last);
        self.report.gap_ms = self.report.gap_ms.max(gap.as_secs_f64() * 1e3);
    }

    fn record_refusal(&mut self, kind: String) {
        *self.report.refusals.entry(kind).or_default() += 1;
    }

    fn build(&self) -> Report {
        let ms = |quantile: f64| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        let coverage = self.shard_counts.0 as f64 / (self.shard_counts.1 as f64).max(1.0);
        Report {
            coverage,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            max_ms: self.latencies.max() as f64 / 1e3,
            ..self.report.clone()
        }
    }
}
