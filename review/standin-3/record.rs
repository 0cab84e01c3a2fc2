//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record")),
            started: Instant::now(),
        }
    }

    pub fn line(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// A line that is shown as well.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.line(line);
    }

    pub fn at(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.started)
    }
}
