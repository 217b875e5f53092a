//! The operators' commands, as `tamarackctl` runs them.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};

use crate::coordination::tickets::{Change, Head};
use crate::protocol::dump::Dump;
use crate::protocol::platform::head_size;
use crate::state::fleet::{Domain, FleetConfig};
use crate::state::ticket::Ticket;
use crate::transport::http::{Reply, get, post};

/// Longest time for a call to an instance.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Exit code of a command that was refused, with nothing changed.
const REFUSED: u8 = 1;
/// Exit code of a command line that cannot be understood.
const USAGE: u8 = 2;
/// Exit code when no instance, or not the platform, could be reached; nothing was changed.
const UNREACHED: u8 = 3;
/// Exit code when it is not known whether the ticket was accepted.
const UNKNOWN: u8 = 4;

const HELP: &str = "\
tamarackctl: operate a tamarackdeck deployment

Usage: tamarackctl [--at ADDR[,ADDR...]] COMMAND

  ticket check FILE    check a ticket against the configuration in force, changing nothing
  ticket submit FILE   submit a ticket
  ticket show N        print an accepted ticket
  domain out NAME      take a failure domain out
  domain in NAME       bring a failure domain back
  status               list every instance, the version in force there, and who follows the platform
  dump                 print the state of the first instance as JSON
  help                 print this text

--at, or TAMARACK_AT, names the operators' listeners of one or more instances
[default: 127.0.0.1:7402]. FILE may be `-` for the standard input.

Exit codes: 0 done; 1 refused, nothing changed; 2 bad command line; 3 no instance or not the platform
could be reached, nothing changed; 4 not known: read `status` before submitting again.";

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandResult {
    /// Exit code.
    pub code: u8,
    /// What to print.
    pub text: String,
}

impl CommandResult {
    fn new(code: u8, text: impl Into<String>) -> Self {
        Self { code, text: text.into() }
    }
}

/// Runs one command.
pub async fn run_command(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> CommandResult {
    let (at, words) = match command_line(args, env) {
        Ok(read) => read,
        Err(e) => return CommandResult::new(USAGE, format!("{e:#}\nsee tamarackctl help")),
    };
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let ended = match words.as_slice() {
        ["help"] | [] => return CommandResult::new(if words.is_empty() { USAGE } else { 0 }, HELP),
        ["version"] => {
            return CommandResult::new(0, format!("tamarackctl {}", env!("CARGO_PKG_VERSION")));
        }
        ["ticket", "check", file] => check(&at, file).await,
        ["ticket", "submit", file] => submit_file(&at, file).await,
        ["ticket", "show", number] => show(&at, number).await,
        ["domain", "out", name] => set_domain(&at, name, true).await,
        ["domain", "in", name] => set_domain(&at, name, false).await,
        ["status"] => status(&at).await,
        ["dump"] => read(&at, "/v1/dump").await.map(|r| CommandResult::new(0, text(&r))),
        _ => {
            return CommandResult::new(
                USAGE,
                format!("no command `{}`\nsee tamarackctl help", words.join(" ")),
            );
        }
    };
    ended.unwrap_or_else(|e| CommandResult::new(UNREACHED, format!("{e:#}")))
}

fn command_line(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<(Vec<SocketAddr>, Vec<String>)> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut at = env("TAMARACK_AT").unwrap_or_else(|| "127.0.0.1:7402".into());
    let mut words = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("at") => {
                at = parser.value()?.into_string().map_err(|_| anyhow!("--at: not plain text"))?;
            }
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => words = vec!["help".into()],
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                words = vec!["version".into()]
            }
            lexopt::Arg::Value(word) => {
                words.push(
                    word.into_string().map_err(|_| anyhow!("an argument is not plain text"))?,
                );
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let parse = |s: &str| {
        s.parse().with_context(|| format!("--at: `{s}` is no address such as 127.0.0.1:7402"))
    };
    Ok((at.split(',').map(parse).collect::<Result<_>>()?, words))
}

fn text(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).trim_end().to_owned()
}

/// Reads a path from the first instance that answers.
async fn read(at: &[SocketAddr], path: &str) -> Result<Reply> {
    let mut last = anyhow!("no instance named");
    for addr in at {
        match get(*addr, path, TIMEOUT).await {
            Ok(reply) => return Ok(reply),
            Err(e) => last = e,
        }
    }
    Err(last.context("no instance answers; is --at the operators' listener?"))
}

async fn fleet(at: &[SocketAddr]) -> Result<FleetConfig> {
    let reply = read(at, "/v1/config").await?;
    serde_json::from_slice(&reply.body).context("the configuration cannot be understood")
}

fn ticket(file: &str) -> Result<Ticket, CommandResult> {
    let body = match file {
        "-" => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(file),
    };
    let body = body.map_err(|e| CommandResult::new(REFUSED, format!("{file}: {e}")))?;
    serde_json::from_str(&body).map_err(|e| CommandResult::new(REFUSED, format!("{file}: {e}")))
}

async fn check(at: &[SocketAddr], file: &str) -> Result<CommandResult> {
    let ticket = match ticket(file) {
        Ok(ticket) => ticket,
        Err(ended) => return Ok(ended),
    };
    let head = Head { fleet: fleet(at).await?, ..Default::default() };
    Ok(match Change::new(ticket).check(&head, 0, head_size) {
        Ok(_) => CommandResult::new(0, "the ticket is good"),
        Err(findings) => CommandResult::new(REFUSED, findings.to_string()),
    })
}

async fn submit_file(at: &[SocketAddr], file: &str) -> Result<CommandResult> {
    match ticket(file) {
        Ok(ticket) => submit(at, &ticket).await,
        Err(ended) => Ok(ended),
    }
}

async fn submit(at: &[SocketAddr], ticket: &Ticket) -> Result<CommandResult> {
    let body = serde_json::to_vec(ticket)?;
    let addr = at.first().context("no instance named")?;
    // only one instance is asked: after a lost answer another one could accept the ticket twice
    let reply = match post(*addr, "/v1/tickets", &[], body, TIMEOUT).await {
        Ok(reply) => reply,
        Err(e) if get(*addr, "/live", TIMEOUT).await.is_err() => return Err(e),
        Err(e) => {
            return Ok(CommandResult::new(
                UNKNOWN,
                format!("{e:#}\nread `tamarackctl status` before submitting again"),
            ));
        }
    };
    let value: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    Ok(match reply.status {
        200 => CommandResult::new(0, format!("ticket {} accepted", ticket.number)),
        400 | 409 => CommandResult::new(REFUSED, findings(&value)),
        503 => CommandResult::new(
            UNREACHED,
            format!("the platform is away, nothing was changed: {}", value["away"]),
        ),
        _ => CommandResult::new(
            UNKNOWN,
            "the platform's answer was lost; read `tamarackctl status` before submitting again",
        ),
    })
}

fn findings(value: &serde_json::Value) -> String {
    let line = |f: &serde_json::Value| {
        format!(
            "{}: {}",
            f["place"].as_str().unwrap_or_default(),
            f["problem"].as_str().unwrap_or_default()
        )
    };
    let all = value["refused"].as_array().map(|a| a.iter().map(line).collect::<Vec<_>>());
    format!("refused, nothing was changed:\n{}", all.unwrap_or_default().join("\n"))
}

async fn show(at: &[SocketAddr], number: &str) -> Result<CommandResult> {
    let reply = read(at, &format!("/v1/tickets/{number}")).await?;
    let code = match reply.status {
        200 => 0,
        503 => UNREACHED,
        _ => REFUSED,
    };
    Ok(CommandResult::new(code, text(&reply)))
}

async fn set_domain(at: &[SocketAddr], name: &str, out: bool) -> Result<CommandResult> {
    let fleet = fleet(at).await?;
    let Some(domain) = fleet.domains.get(name) else {
        let known: Vec<_> = fleet.domains.keys().cloned().collect();
        return Ok(CommandResult::new(
            REFUSED,
            format!("no failure domain `{name}`; there are {}", known.join(", ")),
        ));
    };
    if domain.value.evacuated == out {
        return Ok(CommandResult::new(
            0,
            format!("{name} is already {}", if out { "out" } else { "in" }),
        ));
    }
    let ticket = Ticket {
        number: fleet.version + 1,
        base: fleet.version,
        note: format!("{name} {}", if out { "out" } else { "in" }),
        domains: [(name.to_owned(), Domain { evacuated: out })].into_iter().collect(),
        ..Default::default()
    };
    submit(at, &ticket).await
}

/// Lists the instances that the first instance knows; each is asked if `--at` names it.
async fn status(at: &[SocketAddr]) -> Result<CommandResult> {
    let mut lines = Vec::new();
    let mut worst = 0;
    for addr in at {
        match get(*addr, "/v1/dump", TIMEOUT).await {
            Ok(reply) => lines.push(status_line(&serde_json::from_slice(&reply.body)?)),
            Err(e) => {
                worst = UNREACHED;
                lines.push(format!("{addr}  does not answer: {e:#}"));
            }
        }
    }
    let first: Dump = serde_json::from_slice(&read(at, "/v1/dump").await?.body)?;
    for member in &first.members {
        lines.push(format!("member {}  {}  peers at {}", member.id.0, member.domain, member.addr));
    }
    Ok(CommandResult::new(worst, lines.join("\n")))
}

fn status_line(d: &Dump) -> String {
    let ejected = d.upstreams.values().filter(|u| u.ejected).count();
    format!(
        "{}  {}  {}  version {}  in flight {}  platform {}{}  of {} instances  {} upstreams, {ejected} ejected",
        d.instance.0,
        d.domain,
        d.phase,
        d.config,
        d.flights,
        if d.platform { "answers" } else { "unknown" },
        if d.watches { ", followed" } else { "" },
        d.instances,
        d.upstreams.len(),
    )
}
