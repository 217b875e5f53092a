//! Settings of an instance, read from flags and environment variables, and their validation.

use std::net::SocketAddr;

use log::LevelFilter;

use crate::coordination::lifecycle::StopOptions;
use crate::state::findings::Findings;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Name of the deployment; peers of other deployments are refused.
    pub deployment: String,
    /// Listening address for callers.
    pub callers_addr: SocketAddr,
    /// Listening address for peers.
    pub peers_addr: SocketAddr,
    /// Address at which peers reach this instance; by default that of the peer listener.
    pub advertised_addr: Option<SocketAddr>,
    /// Listening address for operators.
    pub operators_addr: SocketAddr,
    /// Address of the platform's object API; `None` uses a platform in memory.
    pub platform_addr: Option<SocketAddr>,
    /// Peers to contact at startup if the platform is unreachable.
    pub seed_peers: Vec<SocketAddr>,
    /// Maximum number of callers' requests in flight.
    pub max_requests: usize,
    /// Memory of the machine, in megabytes.
    pub memory_mb: Option<u64>,
    /// Descriptors of the machine, of files and sockets together.
    pub max_fds: Option<usize>,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Time limits of a planned stop.
    pub stop: StopOptions,
    /// Allows faults to be injected through the operators' listener, for tests.
    pub test_faults: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            domain: String::new(),
            deployment: "default".into(),
            callers_addr: SocketAddr::from(([127, 0, 0, 1], 7400)),
            peers_addr: SocketAddr::from(([127, 0, 0, 1], 7401)),
            advertised_addr: None,
            operators_addr: SocketAddr::from(([127, 0, 0, 1], 7402)),
            platform_addr: None,
            seed_peers: Vec::new(),
            max_requests: 4_096,
            memory_mb: None,
            max_fds: None,
            log_level: LevelFilter::Info,
            log_format: LogFormat::Text,
            stop: StopOptions::default(),
            test_faults: false,
        }
    }
}

/// The action that the command line requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run an instance with these settings.
    Run(Box<Settings>),
    /// Check the settings and exit.
    Check,
    /// Print the help text and exit.
    Help,
    /// Print the version and exit.
    Version,
}

impl Settings {
    pub(crate) fn validate(&self, findings: &mut Findings) {
        for (flag, value) in [("instance", &self.instance), ("domain", &self.domain)] {
            let place = format!("--{flag}");
            let variable = env_var(flag);
            let has_error = findings.0.iter().any(|f| f.place == place || f.place == variable);
            findings.require(has_error || !value.is_empty(), place, "is required");
        }
        let listeners = [
            ("callers", self.callers_addr),
            ("peers", self.peers_addr),
            ("operators", self.operators_addr),
        ];
        for (i, (flag, addr)) in listeners.iter().enumerate() {
            let duplicate = listeners[..i].iter().find(|(_, a)| a == addr && a.port() != 0);
            if let Some((other, _)) = duplicate {
                findings.add(format!("--{flag}"), format!("has the same address as --{other}"));
            }
        }
        findings.require(self.max_requests > 0, "--flights", "must be greater than 0");
        findings.require(self.memory_mb != Some(0), "--memory-mb", "must be greater than 0");
        findings.require(self.max_fds != Some(0), "--max-fds", "must be greater than 0");
        findings.require(
            self.stop.max_duration >= self.stop.notice,
            "--stop-longest-ms",
            "must be at least --stop-notice-ms",
        );
    }
}

/// Returns the name of the environment variable that corresponds to a flag.
pub(crate) fn env_var(flag: &str) -> String {
    format!("TAMARACK_{}", flag.to_uppercase().replace('-', "_"))
}
