//! A stand-in for a server: it runs requests that name it, signs its answers and says when it leaves.

use std::io;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_message, write_response};
use crate::record::Record;

/// A request that reached a server and that it did not reject.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub attempt: String,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    work: Duration,
    born_ms: u64,
    leaving: AtomicBool,
    /// `Retry-After` of the refusals; requests are run if it is not set.
    turns_away: Mutex<Option<String>>,
    turned_away: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    /// Whether the server resets new connections while its queue is long.
    resets_when_long: AtomicBool,
    /// The rate that its answers name; none if empty.
    limit: Mutex<Option<String>>,
    /// Requests that run, and requests that wait for a slot.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    answered: AtomicUsize,
    /// Attempts whose answer named the limit.
    limited_answers: Mutex<Vec<String>>,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Number of waiting requests from which the queue is long.
const LONG_QUEUE: usize = 4;
/// Each answer of this number says `Connection: close`, as servers do now and then.
const CLOSE_EACH: usize = 25;

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        listen: SocketAddr,
        work: Duration,
        record: Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(listen).expect("cannot listen for a server");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().unwrap(),
            work,
            born_ms: born.as_millis() as u64,
            leaving: AtomicBool::new(false),
            turns_away: Mutex::default(),
            turned_away: Mutex::default(),
            connections: Mutex::default(),
            resets_when_long: AtomicBool::new(false),
            limit: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            answered: AtomicUsize::new(0),
            limited_answers: Mutex::default(),
            arrivals: Mutex::default(),
            record,
        });
        let s = server.clone();
        std::thread::spawn(move || s.accept(listener));
        server
    }

    /// Accepts connections. While the queue is long the port has no listener, so that new ones are reset.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).expect("cannot set the listener's mode");
            while !self.is_resetting() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let s = self.clone();
                        std::thread::spawn(move || s.serve(stream));
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => {}
                }
            }
            drop(listener);
            self.record
                .line(format!("server {}: its queue is long, new connections are reset", self.id));
            while self.is_resetting() {
                std::thread::sleep(Duration::from_millis(5));
            }
            listener = loop {
                match TcpListener::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            };
            self.record.line(format!("server {}: accepts connections", self.id));
        }
    }

    fn is_resetting(&self) -> bool {
        let waiting = self.load.lock().unwrap().1;
        self.resets_when_long.load(Ordering::SeqCst) && waiting >= LONG_QUEUE
    }

    /// Sets whether new connections are reset while the queue is long.
    pub fn set_resets_when_long(&self, resets: bool) {
        self.resets_when_long.store(resets, Ordering::SeqCst);
    }

    /// Names a rate in all answers from now on.
    pub fn name_limit(&self, limit: &str) {
        *self.limit.lock().unwrap() = Some(limit.to_owned());
        self.record.line(format!("# server {}: names Server-Limit {limit}", self.id));
    }

    /// Returns the entry that the server writes to the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","configVersion":"v1","maxConcurrent":{SLOTS},"state":"{state}","warmupLeftMs":0,"sequence":1,"born":{}}}"#,
            self.service, self.addr, self.zone, self.born_ms
        )
    }

    /// From now on the server leaves, and says so in all its answers.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.record.line(format!("server {}: leaves", self.id));
    }

    pub fn limited_answers(&self) -> Vec<String> {
        self.limited_answers.lock().unwrap().clone()
    }

    /// From now on all requests are turned away with this `Retry-After`.
    pub fn turn_away(&self, retry_after: &str) {
        *self.turns_away.lock().unwrap() = Some(retry_after.to_owned());
        self.record
            .line(format!("# server {}: turns requests away, Retry-After {retry_after}", self.id));
    }

    /// Returns the requests that were turned away.
    pub fn turned_away(&self) -> Vec<Arrival> {
        self.turned_away.lock().unwrap().clone()
    }

    /// Ends all connections, as the end of the process does, while the port goes on accepting.
    pub fn end_connections(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the entry of a run that began some milliseconds after the first.
    pub fn entry_of_later_run(&self, after_ms: u64) -> String {
        let born = |ms| format!("\"born\":{ms}");
        self.entry("ready").replace(&born(self.born_ms), &born(self.born_ms + after_ms))
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Waits for a slot; returns `false` if too many wait already.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 == SLOTS && load.1 == QUEUE {
            return false;
        }
        load.1 += 1;
        while load.0 == SLOTS {
            load = self.freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    /// Frees a slot; returns how many requests still run and wait.
    fn free_slot(&self) -> (usize, usize) {
        let mut load = self.load.lock().unwrap();
        load.0 -= 1;
        self.freed.notify_one();
        *load
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Ok(connection) = stream.try_clone() {
            self.connections.lock().unwrap().push(connection);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let attempt = req.header("x-attempt-id").unwrap_or("").to_owned();
            let leaving = self.leaving.load(Ordering::SeqCst);
            let mut headers = vec![("X-Attempt-Id", attempt.clone())];
            if leaving {
                headers.push(("Server-Leaving", "1".to_owned()));
            }
            if req.target().starts_with("/health") {
                headers.push(("X-Instance-Id", self.id.clone()));
                let status = if leaving { 503 } else { 200 };
                if write_response(reader.get_mut(), status, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if req.header("x-target-instance").is_some_and(|id| id != self.id) {
                headers.push(("X-Instance-Id", self.id.clone()));
                headers.push(("X-Not-Executed", "1".to_owned()));
                if write_response(reader.get_mut(), 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let retry_after = self.turns_away.lock().unwrap().clone();
            if let Some(retry_after) = retry_after {
                let at = self.record.now();
                self.turned_away.lock().unwrap().push(Arrival { at, attempt: attempt.clone() });
                self.record.line(format!("server {}: turns {attempt} away", self.id));
                headers.push(("X-Not-Executed", "1".to_owned()));
                headers.push(("Retry-After", retry_after));
                if write_response(reader.get_mut(), 503, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let at = self.record.now();
            self.arrivals.lock().unwrap().push(Arrival { at, attempt: attempt.clone() });
            if !self.take_slot() {
                if let Some(limit) = self.limit.lock().unwrap().clone() {
                    headers.push(("Server-Limit", limit));
                }
                headers.push(("X-Not-Executed", "1".to_owned()));
                self.record.line(format!(
                    "server {} ({}): full, rejects {attempt}",
                    self.id, self.service
                ));
                if write_response(reader.get_mut(), 503, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record.line(format!(
                "server {} ({}): runs {attempt} {} {}{}",
                self.id,
                self.service,
                req.method(),
                req.target(),
                if leaving { ", leaving" } else { "" }
            ));
            std::thread::sleep(self.work);
            let (running, waiting) = self.free_slot();
            if let Some(limit) = self.limit.lock().unwrap().clone() {
                headers.push(("Server-Limit", limit));
                self.limited_answers.lock().unwrap().push(attempt.clone());
            }
            let number = self.answered.fetch_add(1, Ordering::SeqCst) + 1;
            let closes = number % CLOSE_EACH == 0;
            if closes {
                headers.push(("Connection", "close".to_owned()));
            }
            headers.push(("X-Server-Stamp", format!("{}.{attempt}", self.id)));
            headers.push(("X-Server-Load", format!("{running},{waiting},{SLOTS}")));
            let body = format!("{} ran {attempt}", self.service);
            if write_response(reader.get_mut(), 200, &headers, body.as_bytes()).is_err() || closes {
                return;
            }
        }
    }
}
