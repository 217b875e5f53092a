//! What was sent, answered and run, in order, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file that the variable `CASE_RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("CASE_RECORD").expect("CASE_RECORD is set by run-case.sh");
        let file = File::create(path).expect("the record can be written");
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
