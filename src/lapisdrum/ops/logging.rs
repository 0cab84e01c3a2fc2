//! Structured logs on standard output.
//!
//! Libraries log warnings and errors only, since tarpc logs a line for each call. The hybrid clock
//! logs errors only, since it warns at each call of a peer whose clock is a day ahead.
//!
//! Logging never blocks: lines go through a bounded channel to a thread that writes them. Otherwise
//! a stalled reader of standard output would delay all orders to workers. Lines that find the
//! channel full or exceed [`MAX_LINES_PER_SECOND`] are dropped and counted, and the count is logged.

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
const CHANNEL_CAPACITY_LINES: usize = 4_096;
/// Maximum number of lines written per second: three times what an owner writes that starts 200
/// tasks per second.
const MAX_LINES_PER_SECOND: u64 = 2_000;
/// Time window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

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
    dropped: Arc<AtomicU64>,
}

impl BoundedStdout {
    fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let (tx, rx) = sync_channel(CHANNEL_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        // Ends with the process; lines that are still queued then are lost.
        thread::spawn(move || write_lines(&rx, &writer_dropped));
        Self {
            layout: layout.into(),
            tx,
            dropped,
        }
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    let (mut window_start, mut lines) = (Instant::now(), 0);
    while let Ok(line) = rx.recv() {
        if window_start.elapsed() >= RATE_WINDOW {
            (window_start, lines) = (Instant::now(), 0);
            report_dropped(&mut out, dropped);
        }
        lines += 1;
        if lines > MAX_LINES_PER_SECOND {
            dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        // Fails if standard output is closed; there is nowhere left to report that.
        let _ = out.write_all(&line);
    }
}

fn report_dropped(out: &mut impl Write, dropped: &AtomicU64) {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let line =
            format!("{{\"level\":\"WARN\",\"message\":\"lines left out\",\"count\":{count}}}\n");
        // Fails if standard output is closed, as in `write_lines`.
        let _ = out.write_all(line.as_bytes());
    }
}
