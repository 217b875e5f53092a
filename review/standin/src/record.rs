//! The record of a run: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("cannot create the record");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        if text.as_ref().starts_with('#') {
            print!("{line}");
        }
    }
}
