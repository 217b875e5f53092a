//! The platform's store: lists, watches, conditional writes. It loses nothing and answers at once.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, respond};
use crate::json::Json;
use crate::listen;

/// `historyS`: time for which changes can be watched.
const HISTORY: Duration = Duration::from_secs(20);
/// Size of a page of a list, in bytes, from which it ends.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name: revision and content.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Changes in order: time, revision, kind, name, content or `None` for a deletion.
    history: Vec<(Instant, u64, String, String, Option<String>)>,
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Option<String>) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.get(&key).map(|(_, spec)| spec) == spec.as_ref() {
            return; // a write that changes nothing is no event
        }
        self.revision += 1;
        match &spec {
            Some(spec) => {
                self.objects.insert(key, (self.revision, spec.clone()));
            }
            None => {
                self.objects.remove(&key);
            }
        }
        self.history.push((Instant::now(), self.revision, kind.to_owned(), name.to_owned(), spec));
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

/// Decodes a value of a query.
fn percent_decoded(text: &str) -> String {
    let (mut out, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) if *first == b'%' => {
                out.push(byte);
                rest = &tail[2..];
            }
            _ => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The store and its listener.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    /// Objects on a page of a list at most.
    page: usize,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        Self::start_with(100, 50)
    }

    /// Starts a store whose revision counter is at `revision`, with `page` objects on a page of a list.
    pub fn start_with(revision: u64, page: usize) -> Self {
        let (listener, addr) = listen();
        let state =
            Arc::new((Mutex::new(State { revision, ..Default::default() }), Condvar::new()));
        let store = Self { addr, page, state };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes an object; when this returns, the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().unwrap().write(kind, name, Some(spec.to_owned()));
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().write(kind, name, None);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(req) = reader.message()? {
            let (status, body) = self.handle(&req);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            respond(&mut out, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let Some(path) = path.strip_prefix("/api/objects/") else { return (404, String::new()) };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let param = |key: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == key).map(|p| p.1)
        };
        match req.method() {
            "GET" => match param("watch").and_then(|v| v.parse().ok()) {
                Some(from) => {
                    let wait = param("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                None if name.is_empty() => {
                    self.list(kind, &percent_decoded(param("after").unwrap_or_default()))
                }
                None => {
                    let state = self.state.0.lock().unwrap();
                    match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                        Some((revision, spec)) => (200, object(name, *revision, spec)),
                        None => (404, String::new()),
                    }
                }
            },
            "DELETE" => {
                let exists = self
                    .state
                    .0
                    .lock()
                    .unwrap()
                    .objects
                    .contains_key(&(kind.to_owned(), name.to_owned()));
                if !exists {
                    return (404, String::new());
                }
                self.delete(kind, name);
                (200, "{}".to_owned())
            }
            "POST" | "PUT" => self.write(kind, req),
            _ => (404, String::new()),
        }
    }

    fn write(&self, kind: &str, req: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&req.body)) else {
            return (400, String::new());
        };
        let meta = body.get("meta");
        let Some(name) = meta.and_then(|m| m.get("name")?.text()) else {
            return (400, String::new());
        };
        let spec = body.get("spec").map(Json::to_string).unwrap_or_else(|| "null".to_owned());
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let existing = state.objects.get(&key).cloned();
        match (req.method(), existing) {
            ("POST", Some((revision, spec))) => return (409, object(name, revision, &spec)),
            ("PUT", None) => return (404, String::new()),
            ("PUT", Some((revision, spec))) => {
                let expected = meta.and_then(|m| m.get("revision")?.number());
                if expected.is_some_and(|expected| expected != revision) {
                    return (409, object(name, revision, &spec));
                }
            }
            _ => {}
        }
        state.write(kind, name, Some(spec.clone()));
        let revision = state.objects[&key].0;
        drop(state);
        self.state.1.notify_all();
        (200, object(name, revision, &spec))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut items = items.map(|((_, n), (r, spec))| object(n, *r, spec)).peekable();
        let (mut page, mut bytes) = (Vec::new(), 0);
        while page.len() < self.page
            && bytes < PAGE_BYTES
            && let Some(item) = items.next()
        {
            bytes += item.len();
            page.push(item);
        }
        let (more, items) = (items.peek().is_some(), page);
        let body = format!(
            r#"{{"items":[{}],"more":{more},"storeRevision":{}}}"#,
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            state.history.retain(|(at, ..)| at.elapsed() < HISTORY);
            let oldest = state.history.first().map_or(state.revision + 1, |(_, r, ..)| *r);
            if from > state.revision || from + 1 < oldest {
                return (410, String::new());
            }
            let changes = state.history.iter().filter(|(_, r, k, ..)| *r > from && k == kind);
            let events: Vec<String> = changes
                .map(|(_, r, _, n, spec)| {
                    let deleted = spec.is_none();
                    let object = object(n, *r, spec.as_deref().unwrap_or("null"));
                    format!(r#"{{"deleted":{deleted},"object":{object}}}"#)
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"storeRevision":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
