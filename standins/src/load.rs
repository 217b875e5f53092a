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

/// Results of a load as seen by the callers.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
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
    /// Refusals by `error/reason`; `lost` counts requests without an HTTP response.
    pub refusals: IndexMap<String, u64>,
    /// Longest time between two consecutive answers, in milliseconds.
    pub gap_ms: f64,
}

struct ReportBuilder {
    latencies: Histogram<u64>,
    report: Report,
    shard_counts: (u64, u64),
    last_answer: Instant,
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
    ) -> Option<(u16, Bytes)> {
        let mut connection = None;
        for offset in 0..3 {
            let addr = self.select_instance(number + offset)?;
            connection = self.connect(addr).await.map(|connection| (addr, connection));
            if connection.is_some() {
                break;
            }
        }
        let (addr, mut connection) = connection?;
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
    let start = tokio::time::Instant::now();
    let builder = Arc::new(Mutex::new(ReportBuilder::new()));
    let mut tasks = tokio::task::JoinSet::new();
    let (mut offset, mut number) = (Duration::ZERO, 0u64);
    while offset < opts.duration {
        tokio::time::sleep_until(start + offset).await;
        let (balancer, builder, opts, intended) =
            (balancer.clone(), builder.clone(), opts.clone(), start + offset);
        tasks.spawn(async move {
            let headers = [("x-deadline-ms", opts.deadline_ms.to_string())];
            let request =
                balancer.send(number, &opts.path, &headers, Bytes::from(format!("q{number}")));
            let timeout = Duration::from_millis(opts.deadline_ms + 1_000);
            let response = tokio::time::timeout(timeout, request).await.ok().flatten();
            builder.lock().record(number, response, intended.elapsed());
        });
        number += 1;
        offset += Duration::from_secs_f64(-rng.random_range(1e-9f64..1.0).ln() / opts.rate);
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let builder = builder.lock();
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

impl ReportBuilder {
    fn new() -> Self {
        let report = Report {
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
            last_answer: Instant::now(),
        }
    }

    fn record(&mut self, number: u64, response: Option<(u16, Bytes)>, latency: Duration) {
        self.report.sent += 1;
        let Some((status, body)) = response else { return self.record_refusal("lost".into()) };
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
        let _ = self.latencies.record(latency.as_micros() as u64);
        self.report.gap_ms = self.report.gap_ms.max(self.last_answer.elapsed().as_secs_f64() * 1e3);
        self.last_answer = Instant::now();
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
