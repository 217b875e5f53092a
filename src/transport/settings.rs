//! Settings: flags and environment variables, all checked, all findings reported together.

use std::net::SocketAddr;

use log::LevelFilter;

use crate::coordination::lifecycle::StopOptions;
use crate::state::findings::Findings;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Name of the deployment; peers of another one are refused.
    pub deployment: String,
    /// Listener for callers.
    pub callers_addr: SocketAddr,
    /// Listener for peers.
    pub peers_addr: SocketAddr,
    /// Address at which peers reach this instance.
    pub advertised_addr: Option<SocketAddr>,
    /// Listener for operators.
    pub operators_addr: SocketAddr,
    /// The platform's object API; none keeps a platform in the process.
    pub platform_addr: Option<SocketAddr>,
    /// Peers to ask when the platform is away at the start.
    pub seed_peers: Vec<SocketAddr>,
    /// Most requests of callers in flight.
    pub max_requests: usize,
    /// Level of the log lines.
    pub log_level: LevelFilter,
    /// Form of the log lines.
    pub log_format: LogFormat,
    /// Times of a planned stop.
    pub stop: StopOptions,
    /// Faults may be switched on through the operators' listener; for tests.
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
            log_level: LevelFilter::Info,
            log_format: LogFormat::Text,
            stop: StopOptions::default(),
            test_faults: false,
        }
    }
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Only check them.
    Check,
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

impl Settings {
    pub(crate) fn validate(&self, findings: &mut Findings) {
        for (flag, value) in [("instance", &self.instance), ("domain", &self.domain)] {
            let place = format!("--{flag}");
            let variable = env_var(flag);
            let found = findings.0.iter().any(|f| f.place == place || f.place == variable);
            findings.require(found || !value.is_empty(), place, "is required");
        }
        let ports = [
            ("callers", self.callers_addr),
            ("peers", self.peers_addr),
            ("operators", self.operators_addr),
        ];
        for (i, (flag, addr)) in ports.iter().enumerate() {
            let twin = ports[..i].iter().find(|(_, a)| a == addr && a.port() != 0);
            if let Some((other, _)) = twin {
                findings.add(format!("--{flag}"), format!("the same address as --{other}"));
            }
        }
        findings.require(self.max_requests > 0, "--flights", "must be above 0");
        findings.require(
            self.stop.max_duration >= self.stop.notice,
            "--stop-longest-ms",
            "must not be below --stop-notice-ms",
        );
    }
}

/// Returns the environment variable that stands for a flag.
pub(crate) fn env_var(flag: &str) -> String {
    format!("TAMARACK_{}", flag.to_uppercase().replace('-', "_"))
}
