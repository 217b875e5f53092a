//! A platform stand-in: versioned objects, watches, the instance list and injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tamarackdeck::{ERA_HEADER, ListedInstance, Object, RESTORED_HEADER};
use tokio::sync::Notify;

use crate::server::{self, Answer, Server, query_param, respond, respond_json};

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every connection is closed without a response.
    pub down: bool,
    /// Number of further writes that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Delay of every response, in milliseconds.
    pub slow_ms: u64,
    /// Reads return the value before the last write.
    pub stale: bool,
}

#[derive(Default)]
struct State {
    objects: IndexMap<String, Object>,
    previous: IndexMap<String, Object>,
    lists: Vec<(Instant, Vec<ListedInstance>)>,
    faults: PlatformFaults,
    calls: IndexMap<String, u64>,
    /// Restores so far; each starts a new era of the store and ends the watches that wait.
    restores: u64,
    last_restore: Option<Instant>,
}

impl State {
    fn era(&self) -> u64 {
        1 + self.restores
    }
}

/// A platform stand-in on its own listener.
pub struct PlatformStandIn {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    list_delay: Duration,
    pub server: Server,
}

impl PlatformStandIn {
    /// Starts the stand-in; changes of the instance list become visible after `list_delay`.
    pub async fn start(addr: SocketAddr, list_delay: Duration) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(Notify::new());
        let (shared, notify) = (state.clone(), changed.clone());
        let server = server::serve(addr, Duration::ZERO, 10_000, move |_, request| {
            let (shared, notify) = (shared.clone(), notify.clone());
            async move {
                let answer = handle(shared.clone(), notify, list_delay, request).await?;
                Some(state_era(&shared.lock(), answer))
            }
        });
        Ok(Self { state, changed, list_delay, server: server.await? })
    }

    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> IndexMap<String, Object> {
        self.state.lock().objects.clone()
    }

    /// Replaces all objects by those of an older copy, whose versions go on from there; watches that wait are cut.
    pub fn restore(&self, copy: IndexMap<String, Object>) {
        let mut state = self.state.lock();
        state.objects = copy;
        state.previous.clear();
        state.restores += 1;
        state.last_restore = Some(Instant::now());
        drop(state);
        self.changed.notify_waiters();
    }

    pub fn publish_list(&self, listed: Vec<ListedInstance>) {
        self.state.lock().lists.push((Instant::now(), listed));
    }

    /// Sets the instance list without the visibility delay.
    pub fn publish_list_immediately(&self, listed: Vec<ListedInstance>) {
        let long_ago = Instant::now().checked_sub(self.list_delay + Duration::from_millis(1));
        self.state.lock().lists.push((long_ago.unwrap_or_else(Instant::now), listed));
    }

    pub fn object(&self, key: &str) -> Option<Object> {
        self.state.lock().objects.get(key).cloned()
    }

    /// Number of calls since the start, by method and path prefix.
    pub fn call_counts(&self) -> IndexMap<String, u64> {
        self.state.lock().calls.clone()
    }
}

/// Adds the headers that state the era of the store.
fn state_era(state: &State, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    answer.headers_mut().insert(ERA_HEADER, state.era().into());
    if let Some(restored) = state.last_restore {
        let ago_ms = restored.elapsed().as_millis() as u64;
        answer.headers_mut().insert(RESTORED_HEADER, ago_ms.into());
    }
    answer
}

async fn handle(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    list_delay: Duration,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    if path == "/admin/faults" || path == "/admin/instances" {
        let body = server::read_body(request).await.unwrap_or_default();
        let mut state = state.lock();
        if path == "/admin/faults" {
            state.faults = serde_json::from_slice(&body).ok()?;
        } else {
            state.lists.push((Instant::now(), serde_json::from_slice(&body).ok()?));
        }
        return Some(respond(200, "set\n"));
    }
    let faults = state.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(1 + faults.slow_ms)).await;
    if faults.down {
        return None;
    }
    let call =
        format!("{} {}", request.method(), path.split('/').take(4).collect::<Vec<_>>().join("/"));
    *state.lock().calls.entry(call).or_default() += 1;
    if path == "/v1/instances" {
        return respond_json(200, &visible_list(&state, list_delay));
    }
    if let Some(key) = path.strip_prefix("/v1/watch/") {
        let (after, wait) = (query_param(&request, "after")?, query_param(&request, "wait_ms")?);
        return watch(&state, &changed, key, after, Duration::from_millis(wait)).await;
    }
    let key = path.strip_prefix("/v1/objects/")?.to_owned();
    let version = query_param(&request, "if_version");
    let era = query_param(&request, "if_era");
    match *request.method() {
        Method::GET => read_object(&state, &key),
        Method::PUT => {
            let value =
                String::from_utf8(server::read_body(request).await.unwrap_or_default().into())
                    .ok()?;
            let written = write_object(&state, key, value, version?, era);
            changed.notify_waiters();
            written
        }
        Method::DELETE => {
            let mut state = state.lock();
            let found = state.objects.get(&key).map(|object| object.version);
            if found != version || era.is_some_and(|era| era != state.era()) {
                return Some(respond(409, ""));
            }
            state.objects.shift_remove(&key);
            Some(respond(200, ""))
        }
        _ => Some(respond(405, "")),
    }
}

fn visible_list(state: &Mutex<State>, list_delay: Duration) -> Vec<ListedInstance> {
    let state = state.lock();
    let visible = state.lists.iter().rev().find(|(published, _)| published.elapsed() >= list_delay);
    visible.map(|(_, list)| list.clone()).unwrap_or_default()
}

fn read_object(state: &Mutex<State>, key: &str) -> Answer {
    let state = state.lock();
    let stale = state.previous.get(key).filter(|_| state.faults.stale);
    match stale.or_else(|| state.objects.get(key)) {
        Some(object) => respond_json(200, object),
        None => Some(respond(404, "")),
    }
}

fn write_object(
    state: &Mutex<State>,
    key: String,
    value: String,
    version: u64,
    era: Option<u64>,
) -> Answer {
    let mut state = state.lock();
    let current_version = state.objects.get(&key).map_or(0, |object| object.version);
    if current_version != version || era.is_some_and(|era| era != state.era()) {
        return Some(respond(409, ""));
    }
    if value.len() > 1_000_000 {
        return Some(respond(413, ""));
    }
    let object = Object { version: current_version + 1, value };
    if let Some(previous) = state.objects.insert(key.clone(), object.clone()) {
        state.previous.insert(key, previous);
    }
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return None;
    }
    respond_json(200, &object)
}

async fn watch(
    state: &Mutex<State>,
    changed: &Notify,
    key: &str,
    after: u64,
    wait: Duration,
) -> Answer {
    let restores = state.lock().restores;
    let next_change = async {
        loop {
            let notified = changed.notified();
            if state.lock().restores != restores {
                return None;
            }
            let found =
                state.lock().objects.get(key).filter(|object| object.version > after).cloned();
            if found.is_some() {
                return found;
            }
            if state.lock().faults.down {
                std::future::pending::<()>().await;
            }
            notified.await;
        }
    };
    match tokio::time::timeout(wait, next_change).await {
        Ok(object) => respond_json(200, &object?),
        Err(_) => Some(respond(204, "")),
    }
}
