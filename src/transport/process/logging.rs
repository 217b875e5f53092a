//! Logging to standard output, as JSON or text, with a rate limit and without blocking the caller.

use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

use anyhow::Result;
use indexmap::IndexMap;
use log::kv::{Key, Value, VisitSource};
use parking_lot::Mutex;
use serde_json::Map;

use crate::transport::settings::LogFormat;

/// Maximum number of queued lines; further lines are dropped and counted.
const QUEUE_LINES: usize = 1_024;
/// Maximum number of lines per second from one log statement; further lines are left out and counted.
const MAX_LINES_PER_SECOND: u32 = 60;

/// Maximum length of a message or a field, in bytes; other writers choose some of their text.
const MAX_TEXT_BYTES: usize = 8 << 10;

/// Number of lines of one log statement in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct LineRate {
    second: u64,
    lines: u32,
    left_out: u32,
}

/// Options of the log.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Name of the instance, included in each line.
    pub instance: String,
    /// Format of the lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { instance: String::new(), format: LogFormat::Json, level: log::LevelFilter::Info }
    }
}

struct LogWriter {
    opts: LogOptions,
    start: Instant,
    tx: SyncSender<String>,
    rates: Mutex<IndexMap<(&'static str, u32), LineRate>>,
    /// Number of lines dropped since the last line that was queued.
    dropped: AtomicU32,
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_bool(), value.to_u64(), value.to_f64()) {
            (Some(b), ..) => b.into(),
            (_, Some(n), _) => n.into(),
            (_, _, Some(x)) => x.into(),
            _ => shortened(value.to_string()).into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

impl LogWriter {
    /// Applies the rate limit of the record's log statement: returns the number of lines left out since
    /// the last one that was written, or `None` if this line is left out too.
    fn try_admit(&self, record: &log::Record) -> Option<u32> {
        let statement = (record.module_path_static().unwrap_or(""), record.line().unwrap_or(0));
        let second = self.start.elapsed().as_secs();
        let mut rates = self.rates.lock();
        let rate = rates.entry(statement).or_default();
        if rate.second != second {
            *rate = LineRate { second, lines: 0, left_out: rate.left_out };
        }
        if rate.lines >= MAX_LINES_PER_SECOND {
            rate.left_out += 1;
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.left_out))
    }

    fn write(&self, record: &log::Record) {
        let Some(left_out) = self.try_admit(record) else { return };
        let ms = self.start.elapsed().as_millis() as u64;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let text = render(&self.opts, ms, &[("left_out", left_out), ("dropped", dropped)], record);
        if self.tx.try_send(text).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed); // the queue is full or its reader has ended
        }
    }
}

/// Formats a record as a line, with those of `counts` that are above zero.
pub fn render(opts: &LogOptions, ms: u64, counts: &[(&str, u32)], record: &log::Record) -> String {
    let mut line = Map::new();
    line.insert("ms".into(), ms.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("instance".into(), opts.instance.as_str().into());
    line.insert("message".into(), shortened(record.args().to_string()).into());
    if record.key_values().visit(&mut FieldVisitor(&mut line)).is_err() {
        line.insert("fields".into(), "unreadable".into());
    }
    for (name, count) in counts.iter().filter(|(_, count)| *count > 0) {
        line.insert((*name).into(), (*count).into());
    }
    match opts.format {
        LogFormat::Json => serde_json::Value::Object(line).to_string(),
        LogFormat::Text => format_text(&line),
    }
}

/// Returns text of at most [`MAX_TEXT_BYTES`], and how much of it is left out.
fn shortened(mut text: String) -> String {
    let kept = text.floor_char_boundary(MAX_TEXT_BYTES);
    if kept < text.len() {
        let left_out = text.len() - kept;
        text.truncate(kept);
        text.push_str(&format!("... ({left_out} bytes left out)"));
    }
    text
}

/// Returns text without control characters, which could begin a line or reach a terminal.
fn on_one_line(text: &str) -> String {
    text.chars().fold(String::with_capacity(text.len()), |mut escaped, c| {
        if c.is_control() {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
        escaped
    })
}

fn format_text(line: &Map<String, serde_json::Value>) -> String {
    let plain = |value: &serde_json::Value| match value {
        serde_json::Value::String(text) => on_one_line(text),
        other => other.to_string(),
    };
    let head = ["level", "instance", "message"].map(|name| line.get(name).map_or("".into(), plain));
    let rest = line.iter().filter(|(n, _)| !["level", "instance", "message"].contains(&n.as_str()));
    rest.fold(head.join(" "), |text, (name, value)| format!("{text} {name}={}", plain(value)))
}

fn write_lines(rx: Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Installs the logger, which writes lines to standard output from a separate thread.
///
/// # Errors
/// When a logger is already installed or the thread cannot be started.
pub fn init(opts: LogOptions) -> Result<()> {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(rx))?;
    let level = opts.level;
    let writer = LogWriter {
        opts,
        start: Instant::now(),
        tx,
        rates: Mutex::default(),
        dropped: AtomicU32::new(0),
    };
    fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("tamarackdeck", level)
        .level_for("tamarackdeck_platform", level)
        .level_for("tamarackd", level)
        .chain(fern::Output::call(move |record| writer.write(record)))
        .apply()?;
    Ok(())
}
