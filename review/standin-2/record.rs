//! The record of a case: what was sent, answered and run, each line with the seconds since the start.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started_at: Instant::now() })
    }

    pub fn line(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {line}", self.started_at.elapsed().as_secs_f64());
    }

    /// Writes a line that is shown too.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.line(line);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }
}
