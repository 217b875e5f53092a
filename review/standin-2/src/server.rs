//! A server of a service: it runs the requests that name it and logs them.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, respond};
use crate::listen;
use crate::record::Record;

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub service: String,
    pub attempt: String,
    pub path: String,
    pub began: Instant,
    /// When the answer was written; `None` while it runs.
    pub answered: Option<Instant>,
}

/// The requests that all servers ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A sound server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    work: Duration,
    runs: Runs,
    record: Record,
    leaving: Arc<AtomicBool>,
}

impl Server {
    pub fn start(id: &str, service: &str, work: Duration, runs: &Runs, record: &Record) -> Self {
        let (listener, addr) = listen();
        let (id, service) = (id.to_owned(), service.to_owned());
        let leaving = Arc::default();
        let server =
            Self { id, service, addr, work, runs: runs.clone(), record: record.clone(), leaving };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        server
    }

    /// From now on the server says in all its answers that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the entry of the server in the store, at the address under which it is reached.
    pub fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            r#"{{"backend":"{}","address":"{}","zone":"{zone}","configVersion":"v1","maxConcurrent":2,"state":"{state}","warmupLeftMs":0,"sequence":4,"born":1700000000000}}"#,
            self.service, self.addr
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(req) = reader.message()? {
            self.answer(&req, &mut out)?;
        }
        Ok(())
    }

    fn answer(&self, req: &Message, out: &mut TcpStream) -> io::Result<()> {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        if req.header("x-target-instance").is_some_and(|target| target != self.id) {
            let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Instance-Id", &self.id)];
            return respond(out, 421, &headers, b"");
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                server: self.id.clone(),
                service: self.service.clone(),
                attempt: attempt.clone(),
                path: req.path().to_owned(),
                began: Instant::now(),
                answered: None,
            });
            runs.len() - 1
        };
        self.record.line(format!(
            "server {} of {} runs {attempt} {}",
            self.id,
            self.service,
            req.path()
        ));
        thread::sleep(self.work);
        let stamp = format!("{}.{attempt}", self.id);
        let mut headers = vec![
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Server-Stamp", &stamp),
            ("X-Server-Load", "1,0,2"),
        ];
        if self.leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        let body = format!("{:0<16}", self.service);
        let written = respond(out, 200, &headers, body.as_bytes());
        self.runs.lock().unwrap()[index].answered = Some(Instant::now());
        written
    }
}
