//! The commands of `tamarackctl`.

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

/// Time limit for a call to an instance.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Exit code of a refused command; nothing was changed.
const REFUSED: u8 = 1;
/// Exit code of an invalid command line.
const USAGE: u8 = 2;
/// Exit code when no instance or not the platform was reachable; nothing was changed.
const UNREACHABLE: u8 = 3;
/// Exit code when the ticket may or may not have been accepted.
const OUTCOME_UNKNOWN: u8 = 4;

const HELP: &str = "\
tamarackctl: operate a tamarackdeck deployment

Usage: tamarackctl [--at ADDR[,ADDR...]] COMMAND

  ticket check FILE    check a ticket against the configuration in force, changing nothing
  ticket submit FILE   submit a ticket
  ticket show N        print an accepted ticket
  domain out NAME      evacuate a failure domain
  domain in NAME       return an evacuated failure domain to service
  status               list the instances, their configuration versions and which of them watch the platform
  dump                 print the state of the first instance as JSON
  help                 print this text

--at or TAMARACK_AT gives the addresses of the operators' listeners of one or more instances
[default: 127.0.0.1:7402]. FILE may be `-` for standard input.

Exit codes: 0 success; 1 refused, nothing changed; 2 invalid command line; 3 no instance or not the
platform was reachable, nothing changed; 4 outcome unknown: read `status` before submitting again.";

/// The output of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Exit code.
    pub code: u8,
    /// Text to print.
    pub text: String,
}

impl Output {
    fn new(code: u8, text: impl Into<String>) -> Self {
        Self { code, text: text.into() }
    }
}

/// Runs one command of `tamarackctl`.
pub async fn run_command(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Output {
    let (addrs, args) = match parse_args(args, env) {
        Ok(read) => read,
        Err(e) => return Output::new(USAGE, format!("{e:#}\nsee tamarackctl help")),
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let output = match args.as_slice() {
        ["help"] | [] => return Output::new(if args.is_empty() { USAGE } else { 0 }, HELP),
        ["version"] => return Output::new(0, format!("tamarackctl {}", env!("CARGO_PKG_VERSION"))),
        ["ticket", "check", file] => check_file(&addrs, file).await,
        ["ticket", "submit", file] => submit_file(&addrs, file).await,
        ["ticket", "show", number] => show_ticket(&addrs, number).await,
        ["domain", "out", name] => set_evacuated(&addrs, name, true).await,
        ["domain", "in", name] => set_evacuated(&addrs, name, false).await,
        ["status"] => status(&addrs).await,
        ["dump"] => get_first(&addrs, "/v1/dump").await.map(|r| Output::new(0, body_text(&r))),
        _ => {
            return Output::new(
                USAGE,
                format!("unknown command `{}`\nsee tamarackctl help", args.join(" ")),
            );
        }
    };
    output.unwrap_or_else(|e| Output::new(UNREACHABLE, format!("{e:#}")))
}

fn parse_args(
    args: impl IntoIterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<(Vec<SocketAddr>, Vec<String>)> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut addrs = env("TAMARACK_AT").unwrap_or_else(|| "127.0.0.1:7402".into());
    let mut args = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("at") => {
                addrs =
                    parser.value()?.into_string().map_err(|_| anyhow!("--at: not valid UTF-8"))?;
            }
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => args = vec!["help".into()],
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => args = vec!["version".into()],
            lexopt::Arg::Value(arg) => {
                args.push(
                    arg.into_string().map_err(|_| anyhow!("an argument is not valid UTF-8"))?,
                );
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let parse = |s: &str| {
        s.parse().with_context(|| format!("--at: `{s}` is not an address such as 127.0.0.1:7402"))
    };
    Ok((addrs.split(',').map(parse).collect::<Result<_>>()?, args))
}

fn body_text(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).trim_end().to_owned()
}

/// Gets a path from the first instance that replies.
async fn get_first(addrs: &[SocketAddr], path: &str) -> Result<Reply> {
    let mut last_error = anyhow!("no instance address is given");
    for addr in addrs {
        match get(*addr, path, TIMEOUT).await {
            Ok(reply) => return Ok(reply),
            Err(e) => last_error = e,
        }
    }
    Err(last_error.context("no instance replied; check that --at gives the operators' listener"))
}

async fn get_fleet(addrs: &[SocketAddr]) -> Result<FleetConfig> {
    let reply = get_first(addrs, "/v1/config").await?;
    serde_json::from_slice(&reply.body).context("cannot decode the configuration")
}

fn read_ticket(file: &str) -> Result<Ticket, Output> {
    let body = match file {
        "-" => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(file),
    };
    let body = body.map_err(|e| Output::new(REFUSED, format!("{file}: {e}")))?;
    serde_json::from_str(&body).map_err(|e| Output::new(REFUSED, format!("{file}: {e}")))
}

async fn check_file(addrs: &[SocketAddr], file: &str) -> Result<Output> {
    let ticket = match read_ticket(file) {
        Ok(ticket) => ticket,
        Err(output) => return Ok(output),
    };
    let head = Head { fleet: get_fleet(addrs).await?, ..Default::default() };
    Ok(match Change::new(ticket).check(&head, 0, head_size) {
        Ok(_) => Output::new(0, "the ticket is valid"),
        Err(findings) => Output::new(REFUSED, findings.to_string()),
    })
}

async fn submit_file(addrs: &[SocketAddr], file: &str) -> Result<Output> {
    match read_ticket(file) {
        Ok(ticket) => submit_ticket(addrs, &ticket).await,
        Err(output) => Ok(output),
    }
}

async fn submit_ticket(addrs: &[SocketAddr], ticket: &Ticket) -> Result<Output> {
    let body = serde_json::to_vec(ticket)?;
    let addr = addrs.first().context("no instance address is given")?;
    // sent to one instance only: after a lost reply another instance could accept the ticket again
    let reply = match post(*addr, "/v1/tickets", &[], body, TIMEOUT).await {
        Ok(reply) => reply,
        Err(e) if get(*addr, "/live", TIMEOUT).await.is_err() => return Err(e),
        Err(e) => {
            return Ok(Output::new(
                OUTCOME_UNKNOWN,
                format!("{e:#}\nread `tamarackctl status` before submitting again"),
            ));
        }
    };
    let value: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    Ok(match reply.status {
        200 => Output::new(0, format!("ticket {} accepted", ticket.number)),
        400 | 409 => Output::new(REFUSED, format_refusal(&value)),
        503 => Output::new(
            UNREACHABLE,
            format!("the platform is unreachable, nothing was changed: {}", value["away"]),
        ),
        _ => Output::new(
            OUTCOME_UNKNOWN,
            "the platform's reply was lost; read `tamarackctl status` before submitting again",
        ),
    })
}

fn format_refusal(value: &serde_json::Value) -> String {
    let line = |f: &serde_json::Value| {
        format!(
            "{}: {}",
            f["place"].as_str().unwrap_or_default(),
            f["problem"].as_str().unwrap_or_default()
        )
    };
    let lines = value["refused"].as_array().map(|a| a.iter().map(line).collect::<Vec<_>>());
    format!("refused, nothing was changed:\n{}", lines.unwrap_or_default().join("\n"))
}

async fn show_ticket(addrs: &[SocketAddr], number: &str) -> Result<Output> {
    let reply = get_first(addrs, &format!("/v1/tickets/{number}")).await?;
    let code = match reply.status {
        200 => 0,
        503 => UNREACHABLE,
        _ => REFUSED,
    };
    Ok(Output::new(code, body_text(&reply)))
}

async fn set_evacuated(addrs: &[SocketAddr], name: &str, evacuated: bool) -> Result<Output> {
    let fleet = get_fleet(addrs).await?;
    let Some(domain) = fleet.domains.get(name) else {
        let names: Vec<_> = fleet.domains.keys().cloned().collect();
        return Ok(Output::new(
            REFUSED,
            format!("no failure domain `{name}`; known domains are {}", names.join(", ")),
        ));
    };
    if domain.value.evacuated == evacuated {
        return Ok(Output::new(
            0,
            format!(
                "{name} is already {}",
                if evacuated { "out of service" } else { "in service" }
            ),
        ));
    }
    let ticket = Ticket {
        number: fleet.version + 1,
        base: fleet.version,
        note: format!("{name} {}", if evacuated { "out" } else { "in" }),
        domains: [(name.to_owned(), Domain { evacuated })].into_iter().collect(),
        ..Default::default()
    };
    submit_ticket(addrs, &ticket).await
}

/// Prints the state of each instance in `--at` and the members that the first of them knows.
async fn status(addrs: &[SocketAddr]) -> Result<Output> {
    let mut lines = Vec::new();
    let mut code = 0;
    for addr in addrs {
        match get(*addr, "/v1/dump", TIMEOUT).await {
            Ok(reply) => lines.push(status_line(&serde_json::from_slice(&reply.body)?)),
            Err(e) => {
                code = UNREACHABLE;
                lines.push(format!("{addr}  no reply: {e:#}"));
            }
        }
    }
    let first: Dump = serde_json::from_slice(&get_first(addrs, "/v1/dump").await?.body)?;
    for member in &first.members {
        lines.push(format!("member {}  {}  peers at {}", member.id.0, member.domain, member.addr));
    }
    Ok(Output::new(code, lines.join("\n")))
}

fn status_line(dump: &Dump) -> String {
    let ejected = dump.upstreams.values().filter(|u| u.ejected).count();
    format!(
        "{}  {}  {}  version {}  in flight {}  platform {}{}  of {} instances  {} upstreams, {ejected} ejected",
        dump.instance.0,
        dump.domain,
        dump.phase,
        dump.config,
        dump.flights,
        if dump.platform { "answers" } else { "unknown" },
        if dump.watches { ", watched" } else { "" },
        dump.instances,
        dump.upstreams.len(),
    )
}
