//! Log lines as JSON objects on standard output, bounded in number and never waited for.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

use anyhow::Result;
use indexmap::IndexMap;
use log::kv::{Key, Value, VisitSource};
use parking_lot::Mutex;
use serde_json::Map;

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

struct Writer {
    instance: String,
    start: Instant,
    tx: SyncSender<String>,
    rates: Mutex<IndexMap<(&'static str, u32), Rate>>,
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
        let mut line = Map::new();
        line.insert("ms".into(), (self.start.elapsed().as_millis() as u64).into());
        line.insert("level".into(), record.level().as_str().into());
        line.insert("instance".into(), self.instance.as_str().into());
        line.insert("message".into(), record.args().to_string().into());
        if record.key_values().visit(&mut Fields(&mut line)).is_err() {
            line.insert("fields".into(), "unreadable".into());
        }
        if left_out > 0 {
            line.insert("left_out".into(), left_out.into());
        }
        // a full queue means that nobody reads: the line is given up
        let _ = self.tx.try_send(serde_json::Value::Object(line).to_string());
    }
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
pub fn init(instance: &str) -> Result<()> {
    let (tx, rx) = sync_channel(QUEUE);
    std::thread::Builder::new().name("log".into()).spawn(move || print(rx))?;
    let writer = Writer {
        instance: instance.to_owned(),
        start: Instant::now(),
        tx,
        rates: Mutex::default(),
    };
    fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("tamarackdeck", log::LevelFilter::Info)
        .level_for("tamarackdeck_platform", log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| writer.write(record)))
        .apply()?;
    Ok(())
}
