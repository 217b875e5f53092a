//! A stand-in for the platform's metadata store: lists, watches and writes of objects.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, write_response, Message};
use crate::json;
use crate::record::Record;

const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    /// The spec as its writer gave it.
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            r#"{{"meta":{{"name":"{}","revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.name, self.revision, self.created, self.spec
        )
    }
}

struct Change {
    revision: u64,
    kind: String,
    object: Object,
    deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    items: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

pub struct Store {
    pub addr: SocketAddr,
    objects: Mutex<Objects>,
    changed: Condvar,
    record: Record,
}

type Reply = (u16, String);

impl Store {
    pub fn start(listen: SocketAddr, record: Record) -> Arc<Self> {
        let listener = TcpListener::bind(listen).expect("cannot listen for the store");
        let store = Arc::new(Self {
            addr: listener.local_addr().unwrap(),
            objects: Mutex::new(Objects { revision: 100, ..Objects::default() }),
            changed: Condvar::new(),
            record,
        });
        let s = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let s = s.clone();
                std::thread::spawn(move || s.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a server does; returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Duration {
        let mut o = self.objects.lock().unwrap();
        let known = o.items.get(&(kind.to_owned(), name.to_owned()));
        if known.is_some_and(|known| known.spec == spec) {
            return self.record.now(); // changes nothing
        }
        let revision = o.write(kind, name, spec);
        self.changed.notify_all();
        drop(o);
        self.record.line(format!("store: {kind}/{name} written, revision {revision}: {spec}"));
        self.record.now()
    }

    /// Removes an object; returns the time of the acknowledgement.
    pub fn delete(&self, kind: &str, name: &str) -> Duration {
        let mut o = self.objects.lock().unwrap();
        let revision = o.delete(kind, name);
        self.changed.notify_all();
        drop(o);
        self.record.line(format!("store: {kind}/{name} removed, revision {revision:?}"));
        self.record.now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let (status, body) = self.answer(&req);
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", "1".to_owned())];
            if write_response(reader.get_mut(), status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Reply {
        let target = req.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let param = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
                .map(str::to_owned)
        };
        let Some(path) = path.strip_prefix("/api/objects/") else { return (404, String::new()) };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&req.body).into_owned();
        match req.method() {
            "GET" if !name.is_empty() => self.get(kind, name),
            "GET" => match param("watch").and_then(|r| r.parse().ok()) {
                Some(from) => {
                    let wait = param("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait.min(30_000)))
                }
                None => self.list(kind, &param("after").unwrap_or_default()),
            },
            "POST" => self.create(kind, &body),
            "PUT" => self.replace(kind, name, &body),
            "DELETE" => {
                let mut o = self.objects.lock().unwrap();
                let deleted = o.delete(kind, name);
                self.changed.notify_all();
                if deleted.is_some() {
                    (200, "{}".to_owned())
                } else {
                    (404, String::new())
                }
            }
            _ => (405, String::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        let o = self.objects.lock().unwrap();
        match o.items.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.json()),
            None => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Reply {
        let o = self.objects.lock().unwrap();
        let all = o.items.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut items: Vec<String> = all.take(PAGE + 1).map(|(_, object)| object.json()).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        let (items, revision) = (items.join(","), o.revision);
        (200, format!(r#"{{"items":[{items}],"more":{more},"storeRevision":{revision}}}"#))
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut o = self.objects.lock().unwrap();
        loop {
            if from > o.revision {
                return (410, String::new());
            }
            let new = o.history.iter().filter(|c| c.revision > from && c.kind == kind);
            let events: Vec<String> = new
                .map(|c| format!(r#"{{"deleted":{},"object":{}}}"#, c.deleted, c.object.json()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), o.revision);
                return (200, format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#));
            }
            o = self.changed.wait_timeout(o, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> Reply {
        let meta = json::member(body, "meta").unwrap_or("{}");
        let (Some(name), Some(spec)) = (json::text(meta, "name"), json::member(body, "spec"))
        else {
            return (400, String::new());
        };
        let mut o = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(existing) = o.items.get(&key) {
            return (409, existing.json());
        }
        o.write(kind, name, spec);
        self.changed.notify_all();
        (201, o.items[&key].json())
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> Reply {
        let Some(spec) = json::member(body, "spec") else { return (400, String::new()) };
        let mut o = self.objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(existing) = o.items.get(&key) else { return (404, String::new()) };
        let meta = json::member(body, "meta").unwrap_or("{}");
        let revision = json::member(meta, "revision").and_then(|r| r.parse::<u64>().ok());
        if revision.is_some_and(|r| r != existing.revision) {
            return (409, existing.json());
        }
        if existing.spec != spec {
            o.write(kind, name, spec);
            self.changed.notify_all();
        }
        (200, o.items[&key].json())
    }
}

impl Objects {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.items.get(&key).map_or(revision, |old| old.created);
        let object = Object { name: name.to_owned(), revision, created, spec: spec.to_owned() };
        self.items.insert(key, object.clone());
        self.history.push(Change { revision, kind: kind.to_owned(), object, deleted: false });
        revision
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<u64> {
        let object = self.items.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        let revision = self.revision;
        self.history.push(Change { revision, kind: kind.to_owned(), object, deleted: true });
        Some(revision)
    }
}
