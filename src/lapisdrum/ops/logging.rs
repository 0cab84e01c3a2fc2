//! Structured logs on standard output, where the people on call read them.
//!
//! Libraries are held to warnings, since tarpc logs a line for every call, and the hybrid clock to
//! errors, since it warns at every call of a peer whose clock is a day ahead.
//!
//! Whoever logs never waits: lines go through a bounded channel to a thread that writes them. A reader of
//! standard output that stands still would otherwise hold up every order to every worker. What finds the
//! channel full, or comes beyond [`LINES_A_SECOND`], is left out and counted, and the count is a line.

use crate::settings::{LogFormat, LogSettings};
use logforth::{
    Append, Diagnostic, Error, Layout,
    filter::rustlog::RustLogFilterBuilder,
    layout::{JsonLayout, TextLayout},
    record::Record,
};
use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait to be written: two seconds of the busiest owner that was measured, some 1 MB.
const WAITING_LINES: usize = 4_096;
/// Most lines written in a second: three times what an owner of 200 starts a second writes.
const LINES_A_SECOND: u64 = 2_000;
/// Span over which the lines are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(1);

/// Starts logging as the settings say. Called once, before the daemon begins.
pub fn start(cfg: &LogSettings) {
    let level = cfg.level.as_str().to_lowercase();
    let filter =
        RustLogFilterBuilder::from_spec(format!("warn,uhlc=error,lapisdrum={level}")).build();
    let stdout = match cfg.format {
        LogFormat::Text => BoundedStdout::start(TextLayout::default().no_color()),
        LogFormat::Json => BoundedStdout::start(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(stdout))
        .apply();
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct BoundedStdout {
    layout: Box<dyn Layout>,
    tx: SyncSender<Vec<u8>>,
    /// Lines left out since the last one that said so.
    left_out: Arc<AtomicU64>,
}

impl BoundedStdout {
    fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (tx, rx) = sync_channel(WAITING_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        // Ends with the process; what is still waiting then is lost.
        thread::spawn(move || write_lines(&rx, &counted));
        Self {
            layout: layout.into(),
            tx,
            left_out,
        }
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    let mut out = std::io::stdout();
    let (mut began, mut lines) = (Instant::now(), 0);
    while let Ok(line) = rx.recv() {
        if began.elapsed() >= COUNTED_SPAN {
            (began, lines) = (Instant::now(), 0);
            report(&mut out, left_out);
        }
        lines += 1;
        if lines > LINES_A_SECOND {
            left_out.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        // Nobody reads any more; there is nowhere left to say so.
        let _ = out.write_all(&line);
    }
}

fn report(out: &mut impl Write, left_out: &AtomicU64) {
    let count = left_out.swap(0, Ordering::Relaxed);
    if count > 0 {
        let line =
            format!("{{\"level\":\"WARN\",\"message\":\"lines left out\",\"count\":{count}}}\n");
        // As above.
        let _ = out.write_all(line.as_bytes());
    }
}
