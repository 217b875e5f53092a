//! The table of all flags, and the parser of the command line and the environment.

use std::ffi::OsString;
use std::time::Duration;

use indexmap::IndexMap;

use crate::state::findings::Findings;
use crate::transport::settings::{Command, LogFormat, Settings, env_var};

/// A flag: its name, its help text and the function that applies its value to the settings.
pub(crate) struct Flag {
    pub(crate) name: &'static str,
    pub(crate) placeholder: &'static str,
    pub(crate) help: &'static str,
    pub(crate) apply: fn(&mut Settings, &str) -> Result<(), String>,
}

fn parse_value<T: std::str::FromStr>(slot: &mut T, s: &str, expected: &str) -> Result<(), String> {
    *slot = s.parse().map_err(|_| format!("`{s}` is not {expected}"))?;
    Ok(())
}

fn parse_some<T: std::str::FromStr>(
    slot: &mut Option<T>,
    s: &str,
    expected: &str,
) -> Result<(), String> {
    *slot = Some(s.parse().map_err(|_| format!("`{s}` is not {expected}"))?);
    Ok(())
}

fn parse_millis(slot: &mut Duration, s: &str) -> Result<(), String> {
    let mut ms = 0u64;
    parse_value(&mut ms, s, "a whole number of milliseconds")?;
    *slot = Duration::from_millis(ms);
    Ok(())
}

fn parse_name(slot: &mut String, s: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if s.is_empty() || s.len() > 64 || !s.chars().all(is_allowed) {
        return Err(format!("`{s}` is not a name of 1 to 64 letters, digits, `-`, `_` or `.`"));
    }
    s.clone_into(slot);
    Ok(())
}

fn parse_bool(slot: &mut bool, s: &str) -> Result<(), String> {
    parse_value(slot, s, "`true` or `false`")
}

const ADDR_FORMAT: &str = "an IP address and port, such as 127.0.0.1:7400";

/// All flags, in the order of the help text.
pub(crate) const FLAGS: &[Flag] = &[
    Flag {
        name: "instance",
        placeholder: "NAME",
        help: "name of this instance, unique in the deployment (required)",
        apply: |c, s| parse_name(&mut c.instance, s),
    },
    Flag {
        name: "domain",
        placeholder: "NAME",
        help: "failure domain of this instance (required)",
        apply: |c, s| parse_name(&mut c.domain, s),
    },
    Flag {
        name: "deployment",
        placeholder: "NAME",
        help: "name of the deployment",
        apply: |c, s| parse_name(&mut c.deployment, s),
    },
    Flag {
        name: "callers",
        placeholder: "ADDR",
        help: "listening address for callers",
        apply: |c, s| parse_value(&mut c.callers_addr, s, ADDR_FORMAT),
    },
    Flag {
        name: "peers",
        placeholder: "ADDR",
        help: "listening address for peers",
        apply: |c, s| parse_value(&mut c.peers_addr, s, ADDR_FORMAT),
    },
    Flag {
        name: "advertise",
        placeholder: "ADDR",
        help: "address at which peers reach this instance [default: that of --peers]",
        apply: |c, s| {
            let mut addr = c.peers_addr;
            parse_value(&mut addr, s, ADDR_FORMAT)?;
            c.advertised_addr = Some(addr);
            Ok(())
        },
    },
    Flag {
        name: "operators",
        placeholder: "ADDR",
        help: "listening address for operators, metrics and health checks",
        apply: |c, s| parse_value(&mut c.operators_addr, s, ADDR_FORMAT),
    },
    Flag {
        name: "platform",
        placeholder: "ADDR",
        help: "address of the platform's object API, or `memory:` for one in memory",
        apply: |c, s| {
            if s == "memory:" {
                c.platform_addr = None;
                return Ok(());
            }
            let mut addr = c.callers_addr;
            parse_value(
                &mut addr,
                s.trim_start_matches("http://"),
                "`memory:` or an IP address and port",
            )?;
            c.platform_addr = Some(addr);
            Ok(())
        },
    },
    Flag {
        name: "seeds",
        placeholder: "ADDR,...",
        help: "peers to contact at startup if the platform is unreachable",
        apply: |c, s| {
            for part in s.split(',').filter(|p| !p.is_empty()) {
                let mut addr = c.callers_addr;
                parse_value(&mut addr, part, ADDR_FORMAT)?;
                c.seed_peers.push(addr);
            }
            Ok(())
        },
    },
    Flag {
        name: "flights",
        placeholder: "N",
        help: "maximum number of callers' requests in flight",
        apply: |c, s| parse_value(&mut c.max_requests, s, "a whole number"),
    },
    Flag {
        name: "memory-mb",
        placeholder: "MB",
        help: "memory of the machine, a quarter of which may be held for callers [default: 256]",
        apply: |c, s| parse_some(&mut c.memory_mb, s, "a whole number of megabytes"),
    },
    Flag {
        name: "max-fds",
        placeholder: "N",
        help: "descriptors of the machine; callers have half of those of its sockets [default: 1024]",
        apply: |c, s| parse_some(&mut c.max_fds, s, "a whole number"),
    },
    Flag {
        name: "log-level",
        placeholder: "LEVEL",
        help: "off, error, warn, info, debug or trace",
        apply: |c, s| parse_value(&mut c.log_level, s, "a log level"),
    },
    Flag {
        name: "log-format",
        placeholder: "FORM",
        help: "text or json",
        apply: |c, s| {
            c.log_format = match s {
                "text" => LogFormat::Text,
                "json" => LogFormat::Json,
                _ => return Err(format!("`{s}` is neither `text` nor `json`")),
            };
            Ok(())
        },
    },
    Flag {
        name: "stop-notice-ms",
        placeholder: "MS",
        help: "how long callers are still accepted after a stop signal",
        apply: |c, s| parse_millis(&mut c.stop.notice, s),
    },
    Flag {
        name: "stop-longest-ms",
        placeholder: "MS",
        help: "maximum duration of a planned stop",
        apply: |c, s| parse_millis(&mut c.stop.max_duration, s),
    },
];

/// Flags for tests, omitted from the help text.
pub(crate) const TEST_FLAGS: &[Flag] = &[Flag {
    name: "test-faults",
    placeholder: "BOOL",
    help: "",
    apply: |c, s| parse_bool(&mut c.test_faults, s),
}];

impl Settings {
    /// Parses the command line and the environment; a flag overrides its environment variable.
    ///
    /// # Errors
    /// All invalid settings, each with its flag or environment variable.
    pub fn parse(
        args: impl IntoIterator<Item = OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Command, Findings> {
        let mut findings = Findings::default();
        let (values, commands) = parse_args(args, &mut findings);
        if let Some(command) = commands.iter().find(|c| !matches!(c, Command::Check)) {
            return Ok(command.clone());
        }
        let mut cfg = Settings::default();
        for flag in FLAGS.iter().chain(TEST_FLAGS) {
            let variable = env_var(flag.name);
            let (place, value) = match values.get(flag.name) {
                Some(value) => (format!("--{}", flag.name), value.clone()),
                None => match env(&variable) {
                    Some(value) => (variable, value),
                    None => continue,
                },
            };
            if let Err(problem) = (flag.apply)(&mut cfg, &value) {
                findings.add(place, problem);
            }
        }
        cfg.validate(&mut findings);
        let command =
            if commands.is_empty() { Command::Run(Box::new(cfg)) } else { Command::Check };
        findings.into_result(command)
    }

    /// Returns the help text.
    pub fn help() -> String {
        let mut text = String::from(
            "tamarackd: an entry instance of tamarackdeck\n\nUsage: tamarackd [FLAGS]\n\n",
        );
        for flag in FLAGS {
            let head = format!("--{} {}", flag.name, flag.placeholder);
            text += &format!("  {head:<24} {} [{}]\n", flag.help, env_var(flag.name));
        }
        text += "  --check                  check the settings and exit\n";
        text += "  --help                   print this text and exit\n";
        text += "  --version                print the version and exit\n";
        text += "\nA flag overrides its environment variable. Exit codes: 0 success, 1 failure, 2 invalid settings.\n";
        text
    }
}

fn parse_args(
    args: impl IntoIterator<Item = OsString>,
    findings: &mut Findings,
) -> (IndexMap<String, String>, Vec<Command>) {
    let mut parser = lexopt::Parser::from_args(args);
    let mut values = IndexMap::new();
    let mut commands = Vec::new();
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
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => commands.push(Command::Help),
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                commands.push(Command::Version)
            }
            lexopt::Arg::Long("check") => commands.push(Command::Check),
            lexopt::Arg::Long(flag) if FLAGS.iter().chain(TEST_FLAGS).any(|f| f.name == flag) => {
                let flag = flag.to_owned();
                match parser.value().map(|v| v.into_string()) {
                    Ok(Ok(value)) => {
                        if values.insert(flag.clone(), value).is_some() {
                            findings.add(format!("--{flag}"), "is given more than once");
                        }
                    }
                    _ => findings.add(format!("--{flag}"), "requires a value"),
                }
            }
            other => findings.add("command line", other.unexpected().to_string()),
        }
    }
    (values, commands)
}
