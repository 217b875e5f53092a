//! A stand-in for a server of a service.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::record::Record;

/// Slots of a server.
const SLOTS: usize = 4;

/// A request that a server received; those for another server are excluded.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    /// Number of the server's run.
    pub run: u32,
}

struct State {
    work: Duration,
    /// Requests in a second above which the server crashes while it is cold, and when it is.
    crash: Option<(usize, Range<Duration>)>,
    has_crashed: bool,
    /// Whether the server leaves, which it says in all its answers.
    is_leaving: bool,
    run: u32,
    /// `born` of the run, as Unix milliseconds.
    born: u128,
    arrivals: Vec<Arrival>,
    running: usize,
    open: Vec<TcpStream>,
}

/// A server that answers each request after its work, and records it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

impl Server {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        addr: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let state = State {
            work,
            crash: None,
            has_crashed: false,
            is_leaving: false,
            run: 1,
            born: unix_ms(),
            arrivals: vec![],
            running: 0,
            open: vec![],
        };
        let listener = TcpListener::bind(addr)?;
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        server.accept(listener, 1);
        Ok(server)
    }

    /// Accepts connections for as long as the run lasts.
    fn accept(&self, listener: TcpListener, run: u32) {
        let server = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = server.state.lock().unwrap();
                if state.run != run {
                    return;
                }
                state.open.extend(stream.try_clone());
                drop(state);
                let server = server.clone();
                std::thread::spawn(move || server.serve(Conn::new(stream), run));
            }
        });
    }

    /// Ends the run: the listener and all connections are closed.
    fn end_run(&self, mut state: MutexGuard<'_, State>) {
        state.run += 1;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // the accepting thread notices the end of its run with the next connection
        let _ = TcpStream::connect(self.addr);
    }

    /// Returns the entry in the store.
    pub fn entry(&self, state: &str, warmup_left_ms: u64, sequence: u64) -> String {
        let Self { service, addr, zone, .. } = self;
        let born = self.state.lock().unwrap().born;
        format!(
            r#"{{"backend":"{service}","address":"{addr}","zone":"{zone}","configVersion":"v1",
            "maxConcurrent":{SLOTS},"state":"{state}","warmupLeftMs":{warmup_left_ms},
            "sequence":{sequence},"born":{born}}}"#
        )
    }

    /// Makes the server cold for a time, in which it crashes above `max` requests in a second.
    pub fn make_cold(&self, max: usize, time: Duration) {
        let now = self.record.now();
        self.state.lock().unwrap().crash = Some((max, now..now + time));
    }

    /// Returns whether the server has crashed, as it was cold.
    pub fn has_crashed(&self) -> bool {
        self.state.lock().unwrap().has_crashed
    }

    /// Ends the run and begins a new one under the same identity and address, which knows nothing of before.
    pub fn restart(&self, down: Duration) -> std::io::Result<Duration> {
        self.end_run(self.state.lock().unwrap());
        self.record.line(format!("disruption: server {} crashes", self.id));
        std::thread::sleep(down);
        let listener = TcpListener::bind(self.addr)?;
        let run = {
            let mut state = self.state.lock().unwrap();
            state.born = unix_ms();
            state.run
        };
        self.accept(listener, run);
        Ok(self.record.line(format!("server {} starts again", self.id)))
    }

    /// Makes the server say in all its answers that it leaves.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// Returns how long a request runs.
    pub fn work(&self) -> Duration {
        self.state.lock().unwrap().work
    }

    /// Returns the requests received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    fn serve(&self, mut conn: Conn, run: u32) {
        while let Ok(Some(request)) = conn.read(false) {
            if self.state.lock().unwrap().run != run || !self.answer(&mut conn, &request, run) {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, request: &Message, run: u32) -> bool {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let id = header("x-attempt-id");
        if header("x-target-instance") != self.id {
            let headers = [("X-Attempt-Id", id), ("X-Instance-Id", self.id.clone())];
            return conn.respond(421, &headers, b"").is_ok();
        }
        let at = self.record.line(format!("server {} ({}) runs {id}", self.id, self.service));
        let work = {
            let mut state = self.state.lock().unwrap();
            state.arrivals.push(Arrival { at, id: id.clone(), run });
            let recent = |from: Duration| {
                let since = from.max(at.saturating_sub(Duration::from_secs(1)));
                let arrivals = state.arrivals.iter().rev();
                arrivals.take_while(|a| a.run == run && a.at > since).count()
            };
            let cold = state.crash.as_ref().filter(|(_, time)| time.contains(&at));
            let too_many = cold.map(|(max, time)| (recent(time.start), *max));
            if let Some((recent, max)) = too_many
                && recent > max
            {
                (state.crash, state.has_crashed) = (None, true);
                self.end_run(state);
                self.record
                    .line(format!("server {} crashes: {recent} requests in a second", self.id));
                return false;
            }
            state.running += 1;
            state.work
        };
        std::thread::sleep(work);
        let (running, is_leaving) = {
            let mut state = self.state.lock().unwrap();
            state.running -= 1;
            if state.run != run {
                return false;
            }
            (state.running, state.is_leaving)
        };
        let stamp = format!("{}.{id}", self.id);
        let mut headers = vec![
            ("X-Attempt-Id", id),
            ("X-Server-Stamp", stamp),
            ("X-Server-Load", format!("{running},0,{SLOTS}")),
            ("Keep-Alive", "timeout=30".to_owned()),
        ];
        if is_leaving {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        conn.respond(200, &headers, self.id.as_bytes()).is_ok()
    }
}
