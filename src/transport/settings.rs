//! Settings: flags and environment variables, all checked, all findings reported together.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use log::LevelFilter;

use crate::coordination::leases::LeaseOptions;
use crate::coordination::lifecycle::StopOptions;
use crate::state::findings::Findings;
use crate::transport::flags::{HIDDEN, SETTINGS, variable};

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// How requests are spread over upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Through the steward of each upstream.
    #[default]
    Steward,
    /// The baseline that measurements compare with: random replica, a fixed share of the slots, no
    /// hedge, one retry.
    Baseline,
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
    pub callers: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
    /// Address at which peers reach this instance.
    pub advertise: Option<SocketAddr>,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// The platform's object API; none keeps a platform in the process.
    pub platform: Option<SocketAddr>,
    /// Peers to ask when the platform is away at the start.
    pub seeds: Vec<SocketAddr>,
    /// Most requests of callers in flight.
    pub flights: usize,
    /// Level of the log lines.
    pub log_level: LevelFilter,
    /// Form of the log lines.
    pub log_format: LogFormat,
    /// Times of a planned stop.
    pub stop: StopOptions,
    /// Times of leases.
    pub lease: LeaseOptions,
    /// Delay added to calls to peers of other failure domains, one way; for measurements.
    pub peer_delay: Duration,
    /// Faults may be switched on through the operators' listener; for tests.
    pub test_faults: bool,
    /// How requests are spread over upstreams.
    pub mode: Mode,
    /// Instances that share an upstream in the baseline.
    pub baseline_instances: u32,
    /// Hedges are sent; switched off to see what they are worth.
    pub hedge: bool,
    /// Cold upstreams are ramped up; switched off to see what that is worth.
    pub ramp: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            domain: String::new(),
            deployment: "default".into(),
            callers: SocketAddr::from(([127, 0, 0, 1], 7400)),
            peers: SocketAddr::from(([127, 0, 0, 1], 7401)),
            advertise: None,
            operators: SocketAddr::from(([127, 0, 0, 1], 7402)),
            platform: None,
            seeds: Vec::new(),
            flights: 4_096,
            log_level: LevelFilter::Info,
            log_format: LogFormat::Text,
            stop: StopOptions::default(),
            lease: LeaseOptions::default(),
            peer_delay: Duration::ZERO,
            test_faults: false,
            mode: Mode::Steward,
            baseline_instances: 1,
            hedge: true,
            ramp: true,
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
    /// Reads the command line and the environment; a flag goes before its variable.
    ///
    /// # Errors
    /// All findings, each with the flag or variable that it is about.
    pub fn read(
        args: impl IntoIterator<Item = OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Command, Findings> {
        let mut findings = Findings::default();
        let (given, asked) = flags(args, &mut findings);
        if let Some(command) = asked.iter().find(|c| !matches!(c, Command::Check)) {
            return Ok(command.clone());
        }
        let mut cfg = Settings::default();
        for setting in SETTINGS.iter().chain(HIDDEN) {
            let variable = variable(setting.flag);
            let (place, value) = match given.get(setting.flag) {
                Some(value) => (format!("--{}", setting.flag), value.clone()),
                None => match env(&variable) {
                    Some(value) => (variable, value),
                    None => continue,
                },
            };
            if let Err(problem) = (setting.take)(&mut cfg, &value) {
                findings.add(place, problem);
            }
        }
        cfg.check(&mut findings);
        let command = if asked.is_empty() { Command::Run(Box::new(cfg)) } else { Command::Check };
        findings.into_result(command)
    }

    fn check(&self, findings: &mut Findings) {
        for (flag, value) in [("instance", &self.instance), ("domain", &self.domain)] {
            let place = format!("--{flag}");
            let variable = variable(flag);
            let found = findings.0.iter().any(|f| f.place == place || f.place == variable);
            findings.require(found || !value.is_empty(), place, "is required");
        }
        let ports =
            [("callers", self.callers), ("peers", self.peers), ("operators", self.operators)];
        for (i, (flag, addr)) in ports.iter().enumerate() {
            let twin = ports[..i].iter().find(|(_, a)| a == addr && a.port() != 0);
            if let Some((other, _)) = twin {
                findings.add(format!("--{flag}"), format!("the same address as --{other}"));
            }
        }
        findings.require(self.flights > 0, "--flights", "must be above 0");
        findings.require(
            self.stop.longest >= self.stop.notice,
            "--stop-longest-ms",
            "must not be below --stop-notice-ms",
        );
        let lease = self.lease.hold;
        findings.require(
            lease >= Duration::from_millis(1_000) && lease <= Duration::from_secs(30),
            "--lease-ms",
            "must be from 1000 to 30000",
        );
        findings.require(self.baseline_instances > 0, "--baseline-instances", "must be above 0");
    }

    /// Returns the help text.
    pub fn help() -> String {
        let mut text = String::from(
            "tamarackd: an entry instance of tamarackdeck\n\nUsage: tamarackd [FLAGS]\n\n",
        );
        for s in SETTINGS {
            let head = format!("--{} {}", s.flag, s.value);
            text += &format!("  {head:<24} {} [{}]\n", s.help, variable(s.flag));
        }
        text += "  --check                  check the settings and exit\n";
        text += "  --help                   print this text and exit\n";
        text += "  --version                print the version and exit\n";
        text += "\nA flag goes before its environment variable. Exit codes: 0 done, 1 failed, 2 bad settings.\n";
        text
    }
}

fn flags(
    args: impl IntoIterator<Item = OsString>,
    findings: &mut Findings,
) -> (IndexMap<String, String>, Vec<Command>) {
    let mut parser = lexopt::Parser::from_args(args);
    let mut given = IndexMap::new();
    let mut asked = Vec::new();
    loop {
        let arg = match parser.next() {
            Ok(Some(arg)) => arg,
            Ok(None) => break,
            Err(e) => {
                findings.add("command line", e.to_string());
                break;
            }
        };
        match arg {
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => asked.push(Command::Help),
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => asked.push(Command::Version),
            lexopt::Arg::Long("check") => asked.push(Command::Check),
            lexopt::Arg::Long(flag) if SETTINGS.iter().chain(HIDDEN).any(|s| s.flag == flag) => {
                let flag = flag.to_owned();
                match parser.value().map(|v| v.into_string()) {
                    Ok(Ok(value)) => {
                        if given.insert(flag.clone(), value).is_some() {
                            findings.add(format!("--{flag}"), "given twice");
                        }
                    }
                    _ => findings.add(format!("--{flag}"), "needs a value"),
                }
            }
            other => findings.add("command line", other.unexpected().to_string()),
        }
    }
    (given, asked)
}
