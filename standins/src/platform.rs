//! A stand-in of the platform: objects, watches and the instance list, with faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tamarackdeck::{Listed, Object};
use tokio::sync::Notify;

use crate::server::{self, Answer, Server, json, param, respond};

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every connection is closed without an answer.
    pub down: bool,
    /// This many writes take effect but their answers are lost.
    pub lose_answers: u32,
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Reads give the value before the last write.
    pub stale: bool,
}

#[derive(Default)]
struct State {
    objects: IndexMap<String, Object>,
    before: IndexMap<String, Object>,
    listed: Vec<(Instant, Vec<Listed>)>,
    faults: PlatformFaults,
    calls: IndexMap<String, u64>,
}

/// A stand-in of the platform.
pub struct PlatformStandIn {
    state: Arc<Mutex<State>>,
    lag: Duration,
    pub server: Server,
}

impl PlatformStandIn {
    /// Starts it; the instance list lags by `lag`.
    pub async fn start(addr: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(Notify::new());
        let shared = state.clone();
        let server = server::serve(addr, Duration::ZERO, 10_000, move |_, req| {
            handle(shared.clone(), changed.clone(), lag, req)
        });
        Ok(Self { state, lag, server: server.await? })
    }

    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    pub fn list(&self, listed: Vec<Listed>) {
        self.state.lock().listed.push((Instant::now(), listed));
    }

    /// Sets the list as if it had been so for long.
    pub fn list_at_once(&self, listed: Vec<Listed>) {
        let long_ago = Instant::now().checked_sub(self.lag + Duration::from_millis(1));
        self.state.lock().listed.push((long_ago.unwrap_or_else(Instant::now), listed));
    }

    pub fn object(&self, key: &str) -> Option<Object> {
        self.state.lock().objects.get(key).cloned()
    }

    /// Counts of calls by kind, since the start.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.state.lock().calls.clone()
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    lag: Duration,
    req: Request<Incoming>,
) -> Answer {
    let path = req.uri().path().to_owned();
    if path == "/admin/faults" || path == "/admin/instances" {
        let body = server::body(req).await.unwrap_or_default();
        let mut state = state.lock();
        if path == "/admin/faults" {
            state.faults = serde_json::from_slice(&body).ok()?;
        } else {
            state.listed.push((Instant::now(), serde_json::from_slice(&body).ok()?));
        }
        return Some(respond(200, "set\n"));
    }
    let faults = state.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(1 + faults.slow_ms)).await;
    if faults.down {
        return None;
    }
    let kind =
        format!("{} {}", req.method(), path.split('/').take(4).collect::<Vec<_>>().join("/"));
    *state.lock().calls.entry(kind).or_default() += 1;
    if path == "/v1/instances" {
        return json(200, &listed(&state, lag));
    }
    if let Some(key) = path.strip_prefix("/v1/watch/") {
        let (after, wait) = (param(&req, "after")?, param(&req, "wait_ms")?);
        return watch(&state, &changed, key, after, Duration::from_millis(wait)).await;
    }
    let key = path.strip_prefix("/v1/objects/")?.to_owned();
    let version = param(&req, "if_version");
    match *req.method() {
        Method::GET => read(&state, &key),
        Method::PUT => {
            let value =
                String::from_utf8(server::body(req).await.unwrap_or_default().into()).ok()?;
            let written = put(&state, key, value, version?);
            changed.notify_waiters();
            written
        }
        Method::DELETE => {
            let mut state = state.lock();
            if state.objects.get(&key).map(|o| o.version) != version {
                return Some(respond(409, ""));
            }
            state.objects.shift_remove(&key);
            Some(respond(200, ""))
        }
        _ => Some(respond(405, "")),
    }
}

fn listed(state: &Mutex<State>, lag: Duration) -> Vec<Listed> {
    let state = state.lock();
    let old = state.listed.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    old.map(|(_, l)| l.clone()).unwrap_or_default()
}

fn read(state: &Mutex<State>, key: &str) -> Answer {
    let state = state.lock();
    let stale = state.before.get(key).filter(|_| state.faults.stale);
    match stale.or_else(|| state.objects.get(key)) {
        Some(object) => json(200, object),
        None => Some(respond(404, "")),
    }
}

fn put(state: &Mutex<State>, key: String, value: String, version: u64) -> Answer {
    let mut state = state.lock();
    let now = state.objects.get(&key).map_or(0, |o| o.version);
    if now != version {
        return Some(respond(409, ""));
    }
    if value.len() > 1_000_000 {
        return Some(respond(413, ""));
    }
    let object = Object { version: now + 1, value };
    if let Some(old) = state.objects.insert(key.clone(), object.clone()) {
        state.before.insert(key, old);
    }
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return None;
    }
    json(200, &object)
}

async fn watch(
    state: &Mutex<State>,
    changed: &Notify,
    key: &str,
    after: u64,
    wait: Duration,
) -> Answer {
    let newer = async {
        loop {
            let notified = changed.notified();
            let found = state.lock().objects.get(key).filter(|o| o.version > after).cloned();
            if let Some(object) = found {
                return object;
            }
            if state.lock().faults.down {
                std::future::pending::<()>().await;
            }
            notified.await;
        }
    };
    match tokio::time::timeout(wait, newer).await {
        Ok(object) => json(200, &object),
        Err(_) => Some(respond(204, "")),
    }
}
