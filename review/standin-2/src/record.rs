//! What was sent, answered and run, in order, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder that the variable `CASE_DIR` names.
    pub fn create() -> Self {
        let dir = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR is set by run.sh"));
        let file = File::create(dir.join("record.txt")).expect("record.txt can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the milliseconds from the start to `at`.
    pub fn at(&self, at: Instant) -> u64 {
        at.duration_since(self.start).as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.ms(), text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}
