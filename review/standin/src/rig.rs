//! A small deployment on loopback addresses: a store, servers, and the instances as processes of their own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::Conn;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

pub const HOST: &str = "deck.example";
/// The program, as the deploy file starts it in the repository's folder.
const PROGRAM: &str = "target/release/tamarackdeck-platform";

/// Bounds of the two sites' sheets, in milliseconds.
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const DRAIN: Duration = Duration::from_millis(3_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// Processes that were started and not ended yet.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends the processes that were started.
pub fn end_processes() {
    for (_, mut child) in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        let _ = (child.kill(), child.wait());
    }
}

/// Returns a loopback address that no other process of ours uses.
fn next_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let n = NEXT.fetch_add(1, Ordering::SeqCst) as u8;
    IpAddr::V4(Ipv4Addr::new(127, 64 + high % 60, low, n))
}

fn any_port() -> SocketAddr {
    SocketAddr::new(next_ip(), 0)
}

pub struct Instance {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// Between the instance and the store.
    pub line: Proxy,
    settings: PathBuf,
}

/// An answer to a client's attempt, or why there is none.
#[derive(Clone, Debug)]
pub struct Answer {
    pub attempt: String,
    pub instance: String,
    pub path: String,
    pub sent: Duration,
    pub answered: Duration,
    pub status: Result<u16, String>,
    pub body: String,
}

pub struct Rig {
    pub record: Record,
    pub store: Arc<Store>,
    pub instances: Vec<Arc<Instance>>,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    folder: PathBuf,
    next_attempt: AtomicU32,
}

impl Rig {
    pub fn start(record: Record) -> Self {
        let folder = std::env::temp_dir().join(format!("deck-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("cannot create a temporary folder");
        let store = Store::start(any_port(), record.clone());
        Self {
            record,
            store,
            instances: Vec::new(),
            answers: Arc::default(),
            folder,
            next_attempt: AtomicU32::new(1),
        }
    }

    /// Starts a server and writes its entry.
    pub fn server(&self, id: &str, service: &str, zone: &str, work_ms: u64) -> Arc<Server> {
        let work = Duration::from_millis(work_ms);
        let server = Server::start(id, service, zone, any_port(), work, self.record.clone());
        self.store.put("servers", id, &server.entry("ready"));
        server
    }

    /// Prepares an instance and starts its process.
    pub fn instance(&mut self, name: &str, zone: &str) -> Arc<Instance> {
        let ip = next_ip();
        let addr = |port| SocketAddr::new(ip, port);
        for port in [8104, 8108, 7380, 9464] {
            if TcpListener::bind(addr(port)).is_err() {
                self.give_up(&format!("{} is in use", addr(port)));
            }
        }
        let line = Proxy::start(any_port(), self.store.addr);
        let settings = self.folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"front","serves":["front"],"ip":"{ip}","zone":"{zone}","region":"sul",
"zones":{{"poa":"sul","cxs":"sul","pel":"sul"}},"listenAddrs":{{"front":"{ip}:8104","ready":"{ip}:8108"}},"internalPortRange":[7380,7395],
"seeds":[],"bootstrap":true,"faultCounted":false,"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entryPoint":"vip","heartbeatMs":1200,
"policies":["base","drain","config","cost","retry","recover","scatter","places","platform"],"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"parameters":{{"seedStalenessS":3,"addrReuseS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":3000,"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,"maxSkewMs":12000,"retryBudgetRatio":0.2,"retryWindowS":10,"retryBudgetSlack":58,"warmupFactor":1.5,"warmupSlack":5,"evacMs":5000,"recoverS":12}},
"platform":{{"address":"{}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            line.addr
        );
        std::fs::write(&settings, text).expect("cannot write the settings");
        let instance = Arc::new(Instance {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: addr(8104),
            ready: addr(8108),
            line,
            settings,
        });
        self.spawn(&instance);
        self.instances.push(instance.clone());
        instance
    }

    /// Starts the process of an instance; returns its ID.
    pub fn spawn(&self, instance: &Instance) -> u32 {
        let path = self.folder.join(format!("{}.log", instance.name));
        let log = || std::fs::OpenOptions::new().create(true).append(true).open(&path).unwrap();
        let mut command = Command::new(PROGRAM);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("TAMARACKDECK_CONFIG", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log())
            .stderr(log())
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(e) => self.give_up(&format!("cannot start {PROGRAM}: {e}")),
        };
        let id = child.id();
        CHILDREN.lock().unwrap().push((instance.name.clone(), child));
        self.record.line(format!(
            "# instance {} ({}) started as process {id}",
            instance.name, instance.zone
        ));
        id
    }

    /// Kills the process of an instance.
    pub fn kill(&self, instance: &Instance) {
        let mut children = CHILDREN.lock().unwrap();
        for (_, child) in children.iter_mut().filter(|(name, _)| *name == instance.name) {
            let _ = (child.kill(), child.wait());
        }
        children.retain(|(name, _)| *name != instance.name);
        self.record.line(format!("# instance {} was killed", instance.name));
    }

    /// Waits until all instances are ready.
    pub fn wait_ready(&self) {
        let deadline = self.record.now() + Duration::from_secs(20);
        for instance in &self.instances {
            while !is_ready(instance) {
                if self.record.now() > deadline {
                    self.give_up(&format!("instance {} is not ready", instance.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("# all instances are ready");
    }

    /// Sends one attempt of a client to an instance on a new connection, and records its answer.
    pub fn send(&self, instance: &Instance, method: &str, path: &str, deadline_ms: u64) -> Answer {
        let number = self.next_attempt.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("{number:016x}");
        let sent = self.record.now();
        self.record.line(format!("client: {attempt} {method} {path} to {}", instance.name));
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", attempt.clone()),
            ("X-Deadline-Ms", deadline_ms.to_string()),
        ];
        let reply = Conn::open(instance.front).and_then(|mut conn| {
            let wait = Duration::from_millis(deadline_ms);
            conn.request(&format!("{method} {path}"), &headers, b"", wait)
        });
        let answered = self.record.now();
        let (status, body) = match reply {
            Ok(m) => (Ok(m.status()), String::from_utf8_lossy(&m.body).into_owned()),
            Err(e) => (Err(e.to_string()), String::new()),
        };
        self.record.line(format!("client: {attempt} answered {status:?} {body}"));
        let answer = Answer {
            attempt,
            instance: instance.name.clone(),
            path: path.to_owned(),
            sent,
            answered,
            status,
            body,
        };
        self.answers.lock().unwrap().push(answer.clone());
        answer
    }

    /// Sends requests to an instance at a steady rate until stopped, each by a client of its own.
    pub fn traffic(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        path: &'static str,
        every: Duration,
    ) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let (rig, instance, s) = (self.clone(), instance.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let mut clients = Vec::new();
            while !s.load(Ordering::SeqCst) {
                let (rig, instance) = (rig.clone(), instance.clone());
                clients.push(std::thread::spawn(move || {
                    rig.send(&instance, "GET", path, 2_000);
                }));
                std::thread::sleep(every);
            }
            clients.into_iter().for_each(|c| drop(c.join()));
        });
        Traffic { stop, thread: Some(thread) }
    }

    /// Ends the case because it cannot run.
    pub fn give_up(&self, why: &str) -> ! {
        self.record.line(format!("# the case cannot run: {why}"));
        self.finish(2)
    }

    /// Ends all processes and the case.
    pub fn finish(&self, code: i32) -> ! {
        end_processes();
        if let Ok(folder) = std::env::var("REVIEW_KEEP_LOGS") {
            let _ = std::fs::create_dir_all(&folder);
            for file in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                let _ = std::fs::copy(file.path(), PathBuf::from(&folder).join(file.file_name()));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code)
    }
}

/// Returns whether the balancer's question is answered with 200.
pub fn is_ready(instance: &Instance) -> bool {
    let host = [("Host", instance.ready.to_string())];
    let reply = Conn::open(instance.ready)
        .and_then(|mut c| c.request("GET /api/ready", &host, b"", Duration::from_secs(1)));
    reply.is_ok_and(|m| m.status() == 200)
}

pub struct Traffic {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Traffic {
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns a route in the operator's words.
pub fn route(name: &str, prefix: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"{HOST}","pathPrefix":"{prefix}","type":"safe","timeoutMs":{timeout_ms},"targetLatencyMs":400,"priority":2,"backend":"{service}","maxAttempts":2}}"#
    )
}

/// Returns a configuration in the operator's words.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}}"#
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"configVersion":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
