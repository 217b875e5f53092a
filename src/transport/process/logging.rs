//! Log lines on standard output, as JSON objects or text, bounded in number and never waited for.

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

/// Lines that may wait for the reader; further ones are dropped and counted.
const QUEUE: usize = 1_024;
/// Lines of one kind in a second; further ones are dropped and counted.
const PER_SECOND: u32 = 60;

/// Lines of one kind in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    second: u64,
    lines: u32,
    left_out: u32,
}

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Name of the instance, in each line.
    pub instance: String,
    /// Form of the lines.
    pub format: LogFormat,
    /// Lines below this level are left out.
    pub level: log::LevelFilter,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { instance: String::new(), format: LogFormat::Json, level: log::LevelFilter::Info }
    }
}

struct Writer {
    opts: LogOptions,
    start: Instant,
    tx: SyncSender<String>,
    rates: Mutex<IndexMap<(&'static str, u32), Rate>>,
    /// Lines that were given up since the last one that was not.
    dropped: AtomicU32,
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_bool(), value.to_u64(), value.to_f64()) {
            (Some(b), ..) => b.into(),
            (_, Some(n), _) => n.into(),
            (_, _, Some(x)) => x.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

impl Writer {
    /// Returns how many lines of this place were left out before this one, or `None` to leave it out.
    fn admit(&self, record: &log::Record) -> Option<u32> {
        let place = (record.module_path_static().unwrap_or(""), record.line().unwrap_or(0));
        let second = self.start.elapsed().as_secs();
        let mut rates = self.rates.lock();
        let rate = rates.entry(place).or_default();
        if rate.second != second {
            *rate = Rate { second, lines: 0, left_out: rate.left_out };
        }
        if rate.lines >= PER_SECOND {
            rate.left_out += 1;
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.left_out))
    }

    fn write(&self, record: &log::Record) {
        let Some(left_out) = self.admit(record) else { return };
        let ms = self.start.elapsed().as_millis() as u64;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let text = render(&self.opts, ms, &[("left_out", left_out), ("dropped", dropped)], record);
        if self.tx.try_send(text).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed); // nobody reads
        }
    }
}

/// Returns a record as a line; of `counts`, only those above zero are in it.
pub fn render(opts: &LogOptions, ms: u64, counts: &[(&str, u32)], record: &log::Record) -> String {
    let mut line = Map::new();
    line.insert("ms".into(), ms.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("instance".into(), opts.instance.as_str().into());
    line.insert("message".into(), record.args().to_string().into());
    if record.key_values().visit(&mut Fields(&mut line)).is_err() {
        line.insert("fields".into(), "unreadable".into());
    }
    for (name, count) in counts.iter().filter(|(_, count)| *count > 0) {
        line.insert((*name).into(), (*count).into());
    }
    match opts.format {
        LogFormat::Json => serde_json::Value::Object(line).to_string(),
        LogFormat::Text => as_text(&line),
    }
}

fn as_text(line: &Map<String, serde_json::Value>) -> String {
    let word = |value: &serde_json::Value| match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let head = ["level", "instance", "message"].map(|name| line.get(name).map_or("".into(), word));
    let rest = line.iter().filter(|(n, _)| !["level", "instance", "message"].contains(&n.as_str()));
    rest.fold(head.join(" "), |text, (name, value)| format!("{text} {name}={}", word(value)))
}

fn print(rx: Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Sends log lines to standard output from a thread of their own.
///
/// # Errors
/// When a logger was set before or the thread does not start.
pub fn init(opts: LogOptions) -> Result<()> {
    let (tx, rx) = sync_channel(QUEUE);
    std::thread::Builder::new().name("log".into()).spawn(move || print(rx))?;
    let level = opts.level;
    let writer = Writer {
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
