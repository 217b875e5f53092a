//! The record of a case: what was sent, answered and run, each with its time.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started: Instant::now(), file })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> Duration {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>10.1} {}", now.as_secs_f64() * 1e3, text.as_ref());
        // the script that started the case reads from it which processes to end
        let _ = file.flush();
        now
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) -> Duration {
        println!("{}", text.as_ref());
        self.line(text)
    }
}

/// Sleeps until `at` on the clock of the record.
pub fn sleep_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.now()));
}
