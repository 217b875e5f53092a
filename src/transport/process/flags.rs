//! The table of all flags, with the environment variables that stand for them.

use std::ffi::OsString;
use std::time::Duration;

use indexmap::IndexMap;

use crate::state::findings::Findings;
use crate::transport::settings::{Command, LogFormat, Settings, variable};

/// One setting: its flag, the words of the help text, and how its value is taken.
pub(crate) struct Setting {
    pub(crate) flag: &'static str,
    pub(crate) value: &'static str,
    pub(crate) help: &'static str,
    pub(crate) take: fn(&mut Settings, &str) -> Result<(), String>,
}

fn parse<T: std::str::FromStr>(slot: &mut T, s: &str, want: &str) -> Result<(), String> {
    *slot = s.parse().map_err(|_| format!("`{s}` is not {want}"))?;
    Ok(())
}

fn millis(slot: &mut Duration, s: &str) -> Result<(), String> {
    let mut ms = 0u64;
    parse(&mut ms, s, "a whole number of milliseconds")?;
    *slot = Duration::from_millis(ms);
    Ok(())
}

fn name(slot: &mut String, s: &str) -> Result<(), String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if s.is_empty() || s.len() > 64 || !s.chars().all(fits) {
        return Err(format!("`{s}` is not a name of 1 to 64 letters, digits, `-`, `_` or `.`"));
    }
    s.clone_into(slot);
    Ok(())
}

fn switch(slot: &mut bool, s: &str) -> Result<(), String> {
    parse(slot, s, "`true` or `false`")
}

const ADDR: &str = "an IP address and port, such as 127.0.0.1:7400";

/// All settings, in the order of the help text.
pub(crate) const SETTINGS: &[Setting] = &[
    Setting {
        flag: "instance",
        value: "NAME",
        help: "name of this instance, unique in the deployment (required)",
        take: |c, s| name(&mut c.instance, s),
    },
    Setting {
        flag: "domain",
        value: "NAME",
        help: "failure domain of this instance (required)",
        take: |c, s| name(&mut c.domain, s),
    },
    Setting {
        flag: "deployment",
        value: "NAME",
        help: "name of the deployment",
        take: |c, s| name(&mut c.deployment, s),
    },
    Setting {
        flag: "callers",
        value: "ADDR",
        help: "listener for callers",
        take: |c, s| parse(&mut c.callers, s, ADDR),
    },
    Setting {
        flag: "peers",
        value: "ADDR",
        help: "listener for peers",
        take: |c, s| parse(&mut c.peers, s, ADDR),
    },
    Setting {
        flag: "advertise",
        value: "ADDR",
        help: "address at which peers reach this instance, if not that of --peers",
        take: |c, s| {
            let mut addr = c.peers;
            parse(&mut addr, s, ADDR)?;
            c.advertise = Some(addr);
            Ok(())
        },
    },
    Setting {
        flag: "operators",
        value: "ADDR",
        help: "listener for operators, metrics and probes",
        take: |c, s| parse(&mut c.operators, s, ADDR),
    },
    Setting {
        flag: "platform",
        value: "ADDR",
        help: "the platform's object API, or `memory:` to keep one in the process",
        take: |c, s| {
            if s == "memory:" {
                c.platform = None;
                return Ok(());
            }
            let mut addr = c.callers;
            parse(
                &mut addr,
                s.trim_start_matches("http://"),
                "`memory:` or an IP address and port",
            )?;
            c.platform = Some(addr);
            Ok(())
        },
    },
    Setting {
        flag: "seeds",
        value: "ADDR,...",
        help: "peers to ask when the platform is away at the start",
        take: |c, s| {
            for part in s.split(',').filter(|p| !p.is_empty()) {
                let mut addr = c.callers;
                parse(&mut addr, part, ADDR)?;
                c.seeds.push(addr);
            }
            Ok(())
        },
    },
    Setting {
        flag: "flights",
        value: "N",
        help: "most requests of callers in flight",
        take: |c, s| parse(&mut c.flights, s, "a whole number"),
    },
    Setting {
        flag: "log-level",
        value: "LEVEL",
        help: "off, error, warn, info, debug or trace",
        take: |c, s| parse(&mut c.log_level, s, "a log level"),
    },
    Setting {
        flag: "log-format",
        value: "FORM",
        help: "text or json",
        take: |c, s| {
            c.log_format = match s {
                "text" => LogFormat::Text,
                "json" => LogFormat::Json,
                _ => return Err(format!("`{s}` is neither `text` nor `json`")),
            };
            Ok(())
        },
    },
    Setting {
        flag: "stop-notice-ms",
        value: "MS",
        help: "how long callers are still taken on after a stop was asked for",
        take: |c, s| millis(&mut c.stop.notice, s),
    },
    Setting {
        flag: "stop-longest-ms",
        value: "MS",
        help: "longest time for a planned stop",
        take: |c, s| millis(&mut c.stop.max_duration, s),
    },
];

/// Settings for tests and measurements, left out of the help text.
pub(crate) const HIDDEN: &[Setting] = &[Setting {
    flag: "test-faults",
    value: "BOOL",
    help: "",
    take: |c, s| switch(&mut c.test_faults, s),
}];

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
