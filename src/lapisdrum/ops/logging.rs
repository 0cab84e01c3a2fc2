//! Structured logs on standard output.
//!
//! Libraries log warnings and errors only, since tarpc logs a line for each call. The hybrid clock
//! logs errors only, since it warns at each call of a peer whose clock is a day ahead.
//!
//! Logging never blocks: lines go through a bounded channel to a thread that writes them. Otherwise
//! a stalled reader of standard output would delay all orders to workers. Lines that find the
//! channel full or exceed [`LINES_A_SECOND`] are dropped and counted, and the count is logged.

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

/// Capacity of the channel in lines, about 1 MB: holds 2 s of output of the busiest owner.
const WAITING_LINES: usize = 4_096;
/// Maximum number of lines written per second: three times what an owner writes that starts 200
/// tasks per second.
const LINES_A_SECOND: u64 = 2_000;
/// Time window of the rate limit.
const COUNTED_SPAN: Duration = Duration::from_secs(1);

/// Installs the global logger. Call it once, before the daemon starts.
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

/// Log appender that sends formatted lines to the writer thread and drops them if it lags.
#[derive(Debug)]
struct BoundedStdout {
    layout: Box<dyn Layout>,
    tx: SyncSender<Vec<u8>>,
    /// Number of lines dropped since the last line that reported the count.
    left_out: Arc<AtomicU64>,
}

impl BoundedStdout {
    fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (tx, rx) = sync_channel(WAITING_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        // Ends with the process; lines that are still queued then are lost.
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
        // Fails if standard output is closed; there is nowhere left to report that.
        let _ = out.write_all(&line);
    }
}

fn report(out: &mut impl Write, left_out: &AtomicU64) {
    let count = left_out.swap(0, Ordering::Relaxed);
    if count > 0 {
        let line =
            format!("{{\"level\":\"WARN\",\"message\":\"lines left out\",\"count\":{count}}}\n");
        // Fails if standard output is closed, as in `write_lines`.
        let _ = out.write_all(line.as_bytes());
    }
}
