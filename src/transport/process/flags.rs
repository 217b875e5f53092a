//! The table of all flags, with the environment variables that stand for them.

use std::ffi::OsString;
use std::time::Duration;

use indexmap::IndexMap;

use crate::state::findings::Findings;
use crate::transport::settings::{Command, LogFormat, Settings, env_var};

/// One setting: its flag, the words of the help text, and how its value is taken.
pub(crate) struct Flag {
    pub(crate) flag: &'static str,
    pub(crate) placeholder: &'static str,
    pub(crate) help: &'static str,
    pub(crate) apply: fn(&mut Settings, &str) -> Result<(), String>,
}

fn parse_value<T: std::str::FromStr>(slot: &mut T, s: &str, want: &str) -> Result<(), String> {
    *slot = s.parse().map_err(|_| format!("`{s}` is not {want}"))?;
    Ok(())
}

fn parse_millis(slot: &mut Duration, s: &str) -> Result<(), String> {
    let mut ms = 0u64;
    parse_value(&mut ms, s, "a whole number of milliseconds")?;
    *slot = Duration::from_millis(ms);
    Ok(())
}

fn parse_name(slot: &mut String, s: &str) -> Result<(), String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if s.is_empty() || s.len() > 64 || !s.chars().all(fits) {
        return Err(format!("`{s}` is not a name of 1 to 64 letters, digits, `-`, `_` or `.`"));
    }
    s.clone_into(slot);
    Ok(())
}

fn parse_bool(slot: &mut bool, s: &str) -> Result<(), String> {
    parse_value(slot, s, "`true` or `false`")
}

const ADDR_FORMAT: &str = "an IP address and port, such as 127.0.0.1:7400";

/// All settings, in the order of the help text.
pub(crate) const FLAGS: &[Flag] = &[
    Flag {
        flag: "instance",
        placeholder: "NAME",
        help: "name of this instance, unique in the deployment (required)",
        apply: |c, s| parse_name(&mut c.instance, s),
    },
    Flag {
        flag: "domain",
        placeholder: "NAME",
        help: "failure domain of this instance (required)",
        apply: |c, s| parse_name(&mut c.domain, s),
    },
    Flag {
        flag: "deployment",
        placeholder: "NAME",
        help: "name of the deployment",
        apply: |c, s| parse_name(&mut c.deployment, s),
    },
    Flag {
        flag: "callers",
        placeholder: "ADDR",
        help: "listener for callers",
        apply: |c, s| parse_value(&mut c.callers_addr, s, ADDR_FORMAT),
    },
    Flag {
        flag: "peers",
        placeholder: "ADDR",
        help: "listener for peers",
        apply: |c, s| parse_value(&mut c.peers_addr, s, ADDR_FORMAT),
    },
    Flag {
        flag: "advertise",
        placeholder: "ADDR",
        help: "address at which peers reach this instance, if not that of --peers",
        apply: |c, s| {
            let mut addr = c.peers_addr;
            parse_value(&mut addr, s, ADDR_FORMAT)?;
            c.advertised_addr = Some(addr);
            Ok(())
        },
    },
    Flag {
        flag: "operators",
        placeholder: "ADDR",
        help: "listener for operators, metrics and probes",
        apply: |c, s| parse_value(&mut c.operators_addr, s, ADDR_FORMAT),
    },
    Flag {
        flag: "platform",
        placeholder: "ADDR",
        help: "the platform's object API, or `memory:` to keep one in the process",
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
        flag: "seeds",
        placeholder: "ADDR,...",
        help: "peers to ask when the platform is away at the start",
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
        flag: "flights",
        placeholder: "N",
        help: "most requests of callers in flight",
        apply: |c, s| parse_value(&mut c.max_requests, s, "a whole number"),
    },
    Flag {
        flag: "log-level",
        placeholder: "LEVEL",
        help: "off, error, warn, info, debug or trace",
        apply: |c, s| parse_value(&mut c.log_level, s, "a log level"),
    },
    Flag {
        flag: "log-format",
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
        flag: "stop-notice-ms",
        placeholder: "MS",
        help: "how long callers are still taken on after a stop was asked for",
        apply: |c, s| parse_millis(&mut c.stop.notice, s),
    },
    Flag {
        flag: "stop-longest-ms",
        placeholder: "MS",
        help: "longest time for a planned stop",
        apply: |c, s| parse_millis(&mut c.stop.max_duration, s),
    },
];

/// Settings for tests and measurements, left out of the help text.
pub(crate) const TEST_FLAGS: &[Flag] = &[Flag {
    flag: "test-faults",
    placeholder: "BOOL",
    help: "",
    apply: |c, s| parse_bool(&mut c.test_faults, s),
}];

impl Settings {
    /// Reads the command line and the environment; a flag goes before its variable.
    ///
    /// # Errors
    /// All findings, each with the flag or variable that it is about.
    pub fn parse(
        args: impl IntoIterator<Item = OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Command, Findings> {
        let mut findings = Findings::default();
        let (given, asked) = parse_args(args, &mut findings);
        if let Some(command) = asked.iter().find(|c| !matches!(c, Command::Check)) {
            return Ok(command.clone());
        }
        let mut cfg = Settings::default();
        for setting in FLAGS.iter().chain(TEST_FLAGS) {
            let variable = env_var(setting.flag);
            let (place, value) = match given.get(setting.flag) {
                Some(value) => (format!("--{}", setting.flag), value.clone()),
                None => match env(&variable) {
                    Some(value) => (variable, value),
                    None => continue,
                },
            };
            if let Err(problem) = (setting.apply)(&mut cfg, &value) {
                findings.add(place, problem);
            }
        }
        cfg.validate(&mut findings);
        let command = if asked.is_empty() { Command::Run(Box::new(cfg)) } else { Command::Check };
        findings.into_result(command)
    }

    /// Returns the help text.
    pub fn help() -> String {
        let mut text = String::from(
            "tamarackd: an entry instance of tamarackdeck\n\nUsage: tamarackd [FLAGS]\n\n",
        );
        for s in FLAGS {
            let head = format!("--{} {}", s.flag, s.placeholder);
            text += &format!("  {head:<24} {} [{}]\n", s.help, env_var(s.flag));
        }
        text += "  --check                  check the settings and exit\n";
        text += "  --help                   print this text and exit\n";
        text += "  --version                print the version and exit\n";
        text += "\nA flag goes before its environment variable. Exit codes: 0 done, 1 failed, 2 bad settings.\n";
        text
    }
}

fn parse_args(
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
            lexopt::Arg::Long(flag) if FLAGS.iter().chain(TEST_FLAGS).any(|s| s.flag == flag) => {
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
