//! The record of a scenario: what was sent, answered and run, one line each with its time.

use std::{
    cell::RefCell,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    time::Instant,
};

/// Writes `record.txt`.
pub struct Record {
    out: RefCell<BufWriter<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            out: RefCell::new(BufWriter::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    /// Seconds since the scenario began.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let mut out = self.out.borrow_mut();
        let _ = writeln!(out, "{:8.3} {line}", self.now());
        let _ = out.flush();
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{:8.3} {line}", self.now());
    }
}
