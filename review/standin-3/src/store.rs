//! A stand-in for the platform's store: lists, watches and conditional writes over HTTP/1.1.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, listen};
use crate::json::Json;
use crate::record::Record;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Revision of the empty store.
const FIRST_REVISION: u64 = 10;

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    spec: Option<Json>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    items: BTreeMap<(String, String), (u64, Json)>,
    history: Vec<Change>,
    /// How old the data of a stale list is.
    stale_by: Duration,
}

struct Shared {
    objects: Mutex<Objects>,
    changed: Condvar,
    record: Record,
    /// Watches that wait now: the endpoint, the kind, its wait and its start.
    waiting: Mutex<BTreeMap<u64, (String, String, u64, Instant)>>,
    number: AtomicU64,
}

/// The store; all endpoints serve the same objects.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

/// One address of the store, the path to which can be cut.
#[derive(Clone)]
pub struct Endpoint {
    pub addr: SocketAddr,
    state: Arc<EndpointState>,
}

#[derive(Default)]
struct EndpointState {
    /// Whether nothing passes on any connection.
    is_cut: AtomicBool,
}

impl Endpoint {
    /// Cuts or restores the path, without a reset.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

impl EndpointState {
    /// Waits while the path is cut.
    fn pass(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Store {
    pub fn new(record: Record) -> Self {
        let objects = Mutex::new(Objects { revision: FIRST_REVISION, ..Default::default() });
        let (changed, waiting, number) = Default::default();
        Self(Arc::new(Shared { objects, changed, record, waiting, number }))
    }

    /// Opens an address of the store.
    pub fn endpoint(&self, name: &str, addr: SocketAddr) -> std::io::Result<Endpoint> {
        let state = Arc::new(EndpointState::default());
        let (store, served, name) = (self.clone(), state.clone(), name.to_owned());
        let addr = listen(addr, move |conn| {
            store.serve(conn, &served, &name);
        })?;
        Ok(Endpoint { addr, state })
    }

    /// Writes an object as the operator or a server does, and returns when the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Duration {
        let spec = Json::parse(spec).expect("the content of an object is JSON");
        self.0.objects.lock().unwrap().write(kind, name, Some(spec));
        self.0.changed.notify_all();
        self.0.record.line(format!("store acknowledged: {kind}/{name} written"))
    }

    /// Removes an object, and returns when the store has acknowledged it.
    pub fn delete(&self, kind: &str, name: &str) -> Duration {
        self.0.objects.lock().unwrap().write(kind, name, None);
        self.0.changed.notify_all();
        self.0.record.line(format!("store acknowledged: {kind}/{name} removed"))
    }

    /// Sets how old the data of stale lists is.
    pub fn set_stale_by(&self, stale_by: Duration) {
        self.0.objects.lock().unwrap().stale_by = stale_by;
    }

    /// Returns the watches that wait now: endpoint, kind, wait in milliseconds, and age.
    pub fn waiting(&self) -> Vec<(String, String, u64, Duration)> {
        let waiting = self.0.waiting.lock().unwrap();
        waiting.values().map(|(e, k, w, at)| (e.clone(), k.clone(), *w, at.elapsed())).collect()
    }

    fn serve(&self, mut conn: Conn, endpoint: &EndpointState, name: &str) {
        while let Ok(Some(request)) = conn.read(false) {
            endpoint.pass();
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request, name);
            endpoint.pass();
            let json = [("Content-Type", "application/json".to_owned())];
            if conn.respond(status, &json, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, endpoint: &str) -> (u16, Json) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/api/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let param = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
                .map(str::to_owned)
        };
        let number = |name: &str| param(name).and_then(|text| text.parse::<u64>().ok());
        match (request.word(0), name) {
            ("GET", None) => match number("watch") {
                Some(from) => {
                    let wait = number("waitMs").unwrap_or(0).min(30_000);
                    (200, self.watch(endpoint, kind, from, wait))
                }
                None => {
                    let objects = self.0.objects.lock().unwrap();
                    let is_stale = param("staleOk").is_some();
                    (200, if is_stale { objects.list_stale(kind) } else { objects.list(kind) })
                }
            },
            ("GET", Some(name)) => match self.0.objects.lock().unwrap().object(kind, name) {
                Some(object) => (200, object),
                None => (404, Json::Null),
            },
            ("POST", None) => self.write(&request.body, kind, None),
            ("PUT", Some(name)) => self.write(&request.body, kind, Some(name)),
            ("DELETE", Some(name)) => {
                self.delete(kind, name);
                (200, Json::Object(Vec::new()))
            }
            _ => (404, Json::Null),
        }
    }

    fn write(&self, body: &[u8], kind: &str, name: Option<&str>) -> (u16, Json) {
        let body = std::str::from_utf8(body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let meta = body.get("meta").cloned().unwrap_or(Json::Null);
        let is_new = name.is_none();
        let name = name.or(meta.get("name").and_then(Json::text)).unwrap_or_default().to_owned();
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut objects = self.0.objects.lock().unwrap();
        let existing = objects.object(kind, &name);
        let held = existing.as_ref().and_then(|o| o.get("meta")?.get("revision").cloned());
        let conflicts = match &existing {
            Some(_) => is_new || meta.get("revision").is_some_and(|r| Some(r) != held.as_ref()),
            None => !is_new,
        };
        if conflicts {
            return (if existing.is_some() { 409 } else { 404 }, existing.unwrap_or(Json::Null));
        }
        objects.write(kind, &name, Some(spec));
        let object = objects.object(kind, &name).unwrap_or(Json::Null);
        drop(objects);
        self.0.changed.notify_all();
        (200, object)
    }

    fn watch(&self, endpoint: &str, kind: &str, from: u64, wait: u64) -> Json {
        let number = self.0.number.fetch_add(1, Ordering::SeqCst);
        let started = Instant::now();
        let entry = (endpoint.to_owned(), kind.to_owned(), wait, started);
        self.0.waiting.lock().unwrap().insert(number, entry);
        let deadline = started + Duration::from_millis(wait);
        let mut objects = self.0.objects.lock().unwrap();
        let (events, revision) = loop {
            let events = objects.events(kind, from);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break (events, objects.revision);
            }
            objects = self.0.changed.wait_timeout(objects, left).unwrap().0;
        };
        drop(objects);
        self.0.waiting.lock().unwrap().remove(&number);
        Json::Object(vec![
            ("events".into(), Json::List(events)),
            ("storeRevision".into(), Json::Number(revision.to_string())),
        ])
    }
}

impl Objects {
    fn write(&mut self, kind: &str, name: &str, spec: Option<Json>) {
        let key = (kind.to_owned(), name.to_owned());
        if self.items.get(&key).map(|(_, spec)| spec) == spec.as_ref() {
            return;
        }
        self.revision += 1;
        match &spec {
            Some(spec) => self.items.insert(key, (self.revision, spec.clone())),
            None => self.items.remove(&key),
        };
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.history.push(Change { at: Instant::now(), revision: self.revision, kind, name, spec });
    }

    fn object(&self, kind: &str, name: &str) -> Option<Json> {
        let (revision, spec) = self.items.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object(name, *revision, spec.clone()))
    }

    fn list(&self, kind: &str) -> Json {
        let items = self.items.iter().filter(|((k, _), _)| k == kind);
        let items =
            items.map(|((_, name), (revision, spec))| object(name, *revision, spec.clone()));
        Json::Object(vec![
            ("items".into(), Json::List(items.collect())),
            ("more".into(), Json::Bool(false)),
            ("storeRevision".into(), Json::Number(self.revision.to_string())),
        ])
    }

    /// Lists a kind as it was some time ago.
    fn list_stale(&self, kind: &str) -> Json {
        let at = Instant::now().checked_sub(self.stale_by);
        let mut old = Self { revision: FIRST_REVISION, ..Default::default() };
        for change in self.history.iter().take_while(|c| at.is_some_and(|at| c.at <= at)) {
            old.revision = change.revision;
            let key = (change.kind.clone(), change.name.clone());
            match &change.spec {
                Some(spec) => old.items.insert(key, (change.revision, spec.clone())),
                None => old.items.remove(&key),
            };
        }
        old.list(kind)
    }

    fn events(&self, kind: &str, from: u64) -> Vec<Json> {
        let changes = self.history.iter().filter(|c| c.revision > from && c.kind == kind);
        let event = |c: &Change| {
            let spec = c.spec.clone().unwrap_or(Json::Null);
            Json::Object(vec![
                ("object".into(), object(&c.name, c.revision, spec)),
                ("deleted".into(), Json::Bool(c.spec.is_none())),
            ])
        };
        changes.map(event).collect()
    }
}

fn object(name: &str, revision: u64, spec: Json) -> Json {
    let meta = Json::Object(vec![
        ("name".into(), Json::Text(name.to_owned())),
        ("revision".into(), Json::Number(revision.to_string())),
        ("finalizers".into(), Json::List(Vec::new())),
        ("deleting".into(), Json::Bool(false)),
    ]);
    Json::Object(vec![("meta".into(), meta), ("spec".into(), spec), ("status".into(), Json::Null)])
}
