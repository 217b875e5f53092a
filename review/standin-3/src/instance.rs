//! An instance of the project, started with the command of the deploy file.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::record::Record;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/tamarackdeck-platform";

/// Returns a loopback address that no other process of this or another case uses.
pub fn next_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, low, n))
}

/// Returns an address with a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::new(next_ip(), 0)
}

/// A running instance; dropping it kills the process.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    folder: PathBuf,
    starts: u32,
}

impl Instance {
    /// Starts an instance with settings as on a machine of the site laco-sul.
    pub fn start(
        (name, zone, zones): (&str, &str, &[&str]),
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> std::io::Result<Self> {
        let ip = next_ip();
        let held = [(); 3].map(|()| TcpListener::bind((ip, 0)));
        let mut ports = Vec::new();
        for listener in &held {
            let listener = listener.as_ref().map_err(|e| std::io::Error::other(e.to_string()))?;
            ports.push(listener.local_addr()?.port());
        }
        drop(held);
        let all = zones.iter().map(|z| format!(r#""{z}":"sul""#)).collect::<Vec<_>>().join(",");
        let text = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"front","serves":["front"],
            "ip":"{ip}","zone":"{zone}","region":"sul","zones":{{{all}}},
            "listenAddrs":{{"front":"{ip}:{}","ready":"{ip}:{}"}},
            "internalPortRange":[{},{}],"seeds":[],"bootstrap":true,"faultCounted":true,
            "limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":260,"maxFds":4100,
            "linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform",
            "entryPoint":"vip","heartbeatMs":1200,
            "policies":["base","drain","config","cost","retry","recover","scatter","places","platform"],
            "faultTolerance":{{"machines":2,"zones":{},"regions":0}},
            "parameters":{{"seedStalenessS":3,"addrReuseS":2,"contactMs":4000,"ackMs":5000,
            "catchUpS":4,"drainMs":3000,"graceS":6,"lossSlackMs":200,"configApplyMs":3000,
            "rollbackSlackMs":250,"maxSkewMs":12000,"retryBudgetRatio":0.2,"retryWindowS":10,
            "retryBudgetSlack":58,"warmupFactor":1.5,"warmupSlack":5,"evacMs":5000,"recoverS":12}},
            "platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,
            "historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            ports[0],
            ports[1],
            ports[2],
            ports[2] + 1,
            zones.len().min(2) - 1
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text)?;
        let mut instance = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: SocketAddr::new(ip, ports[0]),
            ready: SocketAddr::new(ip, ports[1]),
            child: None,
            settings,
            folder: folder.to_owned(),
            starts: 0,
        };
        instance.spawn(record)?;
        Ok(instance)
    }

    /// Starts the process, whose log goes to a file of the temporary folder.
    pub fn spawn(&mut self, record: &Record) -> std::io::Result<()> {
        self.starts += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.starts));
        let log = std::fs::File::create(log)?;
        let child = Command::new(PROGRAM)
            .env("TAMARACKDECK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(format!("{} started as process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends the named signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &child.id().to_string()])
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended.
    pub fn wait_exit(&mut self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
            && Instant::now() < deadline
        {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = Client::new(self.ready).send(request, Duration::from_millis(500));
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Waits until the process is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request of a client and what became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub instance: String,
    pub sent_at: Duration,
    /// Status and signature of the answer, and its time; `None` if the connection ended without one.
    pub answer: Option<(u16, String, Duration)>,
}

/// Builds the request of a client.
pub fn request(method: &str, host: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Sends a request and records it with its answer.
pub fn send(
    client: &mut Client,
    instance: &str,
    request: &[u8],
    (path, id): (&str, &str),
    record: &Record,
) -> Sent {
    let sent_at = record.line(format!("client sends {id} {path} to {instance}"));
    let answer = client.send(request, Duration::from_secs(6));
    let answer = match answer {
        Ok(message) => {
            let stamp = message.header("x-server-stamp").unwrap_or("-").to_owned();
            let status = message.status();
            let at = record.line(format!("client gets {id} {status} {stamp}"));
            Some((status, stamp, at))
        }
        Err(e) => {
            record.line(format!("client gets {id} nothing: {e}"));
            None
        }
    };
    Sent { id: id.into(), instance: instance.into(), sent_at, answer }
}
