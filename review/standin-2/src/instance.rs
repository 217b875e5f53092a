//! An instance: the program of the deploy file as a child process, with settings like those of a small deployment.

use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::is_ready;
use crate::{free_ports, next_ip};

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    log: Option<PathBuf>,
}

impl Instance {
    /// Starts an instance of a zone; `store` is the address of the platform's store in its settings.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Self {
        let ip = next_ip();
        let [front, ready, control, internal] = free_ports(ip);
        let dir = std::env::var("CASE_TMP").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
        let settings = dir.join(format!("{name}-{}.json", std::process::id()));
        std::fs::write(
            &settings,
            settings_text(name, zone, ip, [front, ready, control, internal], store),
        )
        .expect("the settings file can be written");
        let log = std::env::var("CASE_LOGS")
            .ok()
            .map(|dir| PathBuf::from(dir).join(format!("{name}.log")));
        let mut instance = Self {
            name: name.to_owned(),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            settings,
            child: None,
            log,
        };
        instance.run();
        instance
    }

    /// Starts the process, with the command of the deploy file.
    pub fn run(&mut self) {
        let out = self
            .log
            .as_ref()
            .and_then(|path| std::fs::File::options().create(true).append(true).open(path).ok());
        let out = out.map_or_else(Stdio::null, Stdio::from);
        let child = Command::new("target/release/tamarackdeck-platform")
            .env("TAMARACKDECK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .spawn();
        let child = child.expect("the program of the deploy file is built");
        note_pid(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([format!("-{name}"), pid]).status();
    }

    /// Waits until the process has ended; returns whether it did.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => thread::sleep(Duration::from_millis(5)),
                _ => {
                    self.child = None;
                    return true;
                }
            }
        }
        false
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Notes a process for the script, which ends what is left of a run.
fn note_pid(pid: u32) {
    let Ok(dir) = std::env::var("CASE_TMP") else { return };
    let file =
        std::fs::File::options().create(true).append(true).open(PathBuf::from(dir).join("pids"));
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{pid}");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn settings_text(name: &str, zone: &str, ip: IpAddr, ports: [u16; 4], store: SocketAddr) -> String {
    let [front, ready, control, internal] = ports;
    format!(
        r#"{{"nodeName":"{name}","role":"entry","machineClass":"front","serves":["front"],"ip":"{ip}","zone":"{zone}","region":"sul",
"zones":{{"poa":"sul","cxs":"sul","pel":"sul"}},
"listenAddrs":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"internalPortRange":[{internal},{internal}],"seeds":[],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entryPoint":"vip","heartbeatMs":1200,
"policies":["base","drain","config","cost","retry","recover","scatter","places","platform"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"parameters":{{"seedStalenessS":3,"addrReuseS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":3000,"graceS":6,"lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,"maxSkewMs":12000,"retryBudgetRatio":0.2,"retryWindowS":10,"retryBudgetSlack":58,"warmupFactor":1.5,"warmupSlack":5,"evacMs":5000,"recoverS":12}},
"platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#
    )
}
