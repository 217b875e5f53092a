//! Callers behind a balancer: open loop, latency counted from the intended send time.

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

/// An instance as the balancer sees it.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    pub length: Duration,
    pub deadline_ms: u64,
    pub seed: u64,
}

/// What callers saw.
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
    /// Answers whose coverage is not what is there, or with a part for another request, shard or snapshot.
    pub wrong: u64,
    /// Refusals by kind and reason; `lost` when no HTTP answer came.
    pub refusals: IndexMap<String, u64>,
    /// Time between the answers next to the longest gap, in milliseconds.
    pub gap_ms: f64,
}

struct Tally {
    times: Histogram<u64>,
    report: Report,
    shards: (u64, u64),
    last: Instant,
}

type Pool = Mutex<IndexMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>;

/// A balancer that asks each instance whether it is ready, five times a second.
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
        let ready = Arc::new(Mutex::new(look(&backends).await));
        let shared = ready.clone();
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(200)).await;
                let now = look(&backends).await;
                *shared.lock() = now;
            }
        });
        Self { ready, pool: Pool::default(), task: task.abort_handle() }
    }

    pub fn ready(&self) -> usize {
        self.ready.lock().len()
    }

    fn pick(&self, n: u64) -> Option<SocketAddr> {
        let ready = self.ready.lock();
        (!ready.is_empty()).then(|| ready[n as usize % ready.len()])
    }

    /// Sends one request; an instance that cannot be connected to is passed over, as a balancer does.
    pub async fn send(
        &self,
        n: u64,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Option<(u16, Bytes)> {
        let mut conn = None;
        for turn in 0..3 {
            let addr = self.pick(n + turn)?;
            conn = self.connect(addr).await.map(|c| (addr, c));
            if conn.is_some() {
                break;
            }
        }
        let (addr, mut conn) = conn?;
        let mut req = Request::post(path).header("host", "balancer");
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        let res = conn.send_request(req.body(Full::new(body)).ok()?).await.ok()?;
        let status = res.status().as_u16();
        let closing = res.headers().get("connection").is_some_and(|v| v == "close");
        let body = res.into_body().collect().await.ok()?.to_bytes();
        if !closing {
            self.pool.lock().entry(addr).or_default().push(conn);
        }
        Some((status, body))
    }

    async fn connect(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        while let Some(mut conn) = self.pool.lock().entry(addr).or_default().pop() {
            if !conn.is_closed()
                && futures::FutureExt::now_or_never(conn.ready()).is_some_and(|r| r.is_ok())
            {
                return Some(conn);
            }
        }
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            handshake(TokioIo::new(stream)).await.ok()
        };
        let (send, conn) = tokio::time::timeout(Duration::from_millis(500), open).await.ok()??;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Some(send)
    }
}

async fn look(backends: &[Backend]) -> Vec<SocketAddr> {
    let ask = async |b: &Backend| {
        let reply = tamarackdeck::get(b.operators, "/ready", Duration::from_millis(150)).await;
        reply.is_ok_and(|r| r.status == 200).then_some(b.callers)
    };
    futures::future::join_all(backends.iter().map(ask)).await.into_iter().flatten().collect()
}

/// Sends queries in an open loop and reports what callers saw.
pub async fn run(balancer: Arc<Balancer>, opts: LoadOptions) -> Report {
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let start = tokio::time::Instant::now();
    let tally = Arc::new(Mutex::new(Tally::new()));
    let mut tasks = tokio::task::JoinSet::new();
    let (mut at, mut n) = (Duration::ZERO, 0u64);
    while at < opts.length {
        tokio::time::sleep_until(start + at).await;
        let (balancer, tally, opts, due) =
            (balancer.clone(), tally.clone(), opts.clone(), start + at);
        tasks.spawn(async move {
            let headers = [("x-deadline-ms", opts.deadline_ms.to_string())];
            let sent = balancer.send(n, &opts.path, &headers, Bytes::from(format!("q{n}")));
            let limit = Duration::from_millis(opts.deadline_ms + 1_000);
            let got = tokio::time::timeout(limit, sent).await.ok().flatten();
            tally.lock().add(n, got, due.elapsed());
        });
        n += 1;
        at += Duration::from_secs_f64(-rng.random_range(1e-9f64..1.0).ln() / opts.rate);
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let tally = tally.lock();
    tally.finish()
}

/// Checks an answer against what the stand-in of an upstream says.
fn is_true(n: u64, answer: &QueryAnswer) -> bool {
    let c = &answer.coverage;
    let adds_up = c.answered == answer.parts.len() && c.answered + c.missing.len() == c.total;
    let own = |p: &tamarackdeck::Part| {
        p.text.as_deref() == Some(format!("{}@{} of q{n}", p.shard, answer.snapshot).as_str())
    };
    adds_up && answer.parts.iter().all(own)
}

impl Tally {
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
            times: Histogram::new(3).expect("valid precision"),
            report,
            shards: (0, 0),
            last: Instant::now(),
        }
    }

    fn add(&mut self, n: u64, got: Option<(u16, Bytes)>, took: Duration) {
        self.report.sent += 1;
        let Some((status, body)) = got else { return self.refuse("lost".into()) };
        if status != 200 {
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let field = |f: &str| value[f].as_str().unwrap_or("?").to_owned();
            return self.refuse(format!("{}/{}", field("error"), field("reason")));
        }
        let Ok(answer) = serde_json::from_slice::<QueryAnswer>(&body) else {
            return self.refuse("garbled".into());
        };
        self.report.wrong += u64::from(!is_true(n, &answer));
        self.report.answered += 1;
        self.report.whole += u64::from(answer.coverage.missing.is_empty());
        self.shards.0 += answer.coverage.answered as u64;
        self.shards.1 += answer.coverage.total as u64;
        let _ = self.times.record(took.as_micros() as u64);
        self.report.gap_ms = self.report.gap_ms.max(self.last.elapsed().as_secs_f64() * 1e3);
        self.last = Instant::now();
    }

    fn refuse(&mut self, kind: String) {
        *self.report.refusals.entry(kind).or_default() += 1;
    }

    fn finish(&self) -> Report {
        let ms = |q: f64| self.times.value_at_quantile(q) as f64 / 1e3;
        let coverage = self.shards.0 as f64 / (self.shards.1 as f64).max(1.0);
        Report {
            coverage,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            max_ms: self.times.max() as f64 / 1e3,
            ..self.report.clone()
        }
    }
}
