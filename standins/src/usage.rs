//! What a process holds: resident memory, bytes that its sockets have received and it has not read, open descriptors.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;

/// Interval at which a process is observed.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The peaks of what a process held while it was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peaks {
    /// Resident memory since the start of the process, in megabytes.
    pub resident_mb: f64,
    /// Bytes received and not read on the sockets of its listeners, in megabytes.
    pub unread_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// The machine of a process, which what it holds is to stay within.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory, for what is resident and for what its sockets have received, in megabytes.
    pub memory_mb: u32,
    /// Descriptors.
    pub max_fds: usize,
}

/// Observes a process until dropped.
pub struct Observer {
    pid: u32,
    peaks: Arc<Mutex<Peaks>>,
    task: JoinHandle<()>,
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Observer {
    /// Observes a process whose listeners have these addresses.
    pub fn start(pid: u32, listeners: &[SocketAddr]) -> Self {
        let peaks = Arc::new(Mutex::new(Peaks::default()));
        let (observed, listeners) = (peaks.clone(), listeners.to_vec());
        let task = tokio::spawn(async move {
            loop {
                let (descriptors, unread_mb) = (descriptors(pid), unread_mb(&listeners));
                {
                    let mut peaks = observed.lock();
                    peaks.descriptors = peaks.descriptors.max(descriptors);
                    peaks.unread_mb = peaks.unread_mb.max(unread_mb);
                }
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { pid, peaks, task }
    }

    /// Checks that the process lives, and has stayed within its machine; `when` says what has happened so far.
    ///
    /// # Panics
    /// If it has ended, or held more.
    pub fn check(&self, machine: Machine, when: &str) {
        let peaks = Peaks { resident_mb: peak_resident_mb(self.pid), ..*self.peaks.lock() };
        println!("{when}: {peaks:.1?}");
        assert!(is_alive(self.pid), "{when}: the process has ended");
        let held_mb = peaks.resident_mb + peaks.unread_mb;
        assert!(held_mb <= f64::from(machine.memory_mb), "{when}: {peaks:?}");
        assert!(peaks.descriptors <= machine.max_fds, "{when}: {peaks:?}");
    }
}

/// Returns whether a process runs; one that has ended and was not waited for does not.
fn is_alive(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

fn peak_resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or_default();
    let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Returns the bytes that wait in the receive queues of the sockets with these local addresses.
fn unread_mb(listeners: &[SocketAddr]) -> f64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let locals: Vec<String> = listeners.iter().filter_map(table_address).collect();
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?;
        let (state, queues) = (fields.nth(1)?, fields.next()?);
        // in the row of a listener the field is the number of connections that wait
        let is_listener = state == "0A";
        let is_ours = locals.iter().any(|l| l == local);
        let unread = queues.split_once(':')?.1;
        (is_ours && !is_listener).then(|| u64::from_str_radix(unread, 16).ok())?
    });
    unread.sum::<u64>() as f64 / (1024.0 * 1024.0)
}

/// Returns an address as the kernel's table of sockets has it.
fn table_address(addr: &SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = addr.ip() else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), addr.port()))
}
