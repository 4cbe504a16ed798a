//! Log output through a bounded queue to a writer thread; lines over the limits are dropped and
//! counted.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, Instant},
};

use crate::line::{Line, timestamp};

/// Capacity of the queue to the writer thread, in lines; further lines are dropped.
const MAX_QUEUED_LINES: usize = 1_024;
/// Lines written per second; further lines are dropped. A request logs about three lines.
const MAX_LINES_PER_SECOND: u64 = 600;
/// How long the writer collects lines before it writes them in one call.
const WRITE_DELAY: Duration = Duration::from_millis(100);

/// Why logging could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The writer thread can't be started.
    #[error("could not start the log writer")]
    Thread(#[source] std::io::Error),
    /// A logger is already installed.
    #[error("could not install the logger")]
    Install(#[from] log::SetLoggerError),
}

/// Counters of log lines.
#[derive(Debug, Default)]
pub struct Counters {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Counters {
    /// Returns the numbers of lines written and dropped since the start.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.written.load(Relaxed), self.dropped.load(Relaxed))
    }
}

/// Starts logging as JSON lines on standard output. `targets` are logged from `level`, all others
/// from warnings.
///
/// # Errors
///
/// Returns an error if the writer thread can't be started or a logger is already installed.
pub fn init(level: log::LevelFilter, targets: &[&'static str]) -> Result<Arc<Counters>, Error> {
    let counters = Arc::new(Counters::default());
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let writer_counters = counters.clone();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &writer_counters))
        .map_err(Error::Thread)?;
    let queue_counters = counters.clone();
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .format(|out, message, record| {
            let mut line = Line::new(true);
            line.add_field("time", &timestamp());
            line.add_field("level", record.level().as_str());
            line.add_field("target", record.target());
            line.add_field("message", &message.to_string());
            // This only returns errors of the visitor, and `Line` returns none.
            let _ = record.key_values().visit(&mut line);
            out.finish(format_args!("{}", line.finish()));
        })
        .chain(fern::Output::call(move |record| {
            enqueue(&sender, &queue_counters, record.args().to_string());
        }));
    let dispatch = targets.iter().fold(dispatch, |dispatch, target| {
        dispatch.level_for(*target, level)
    });
    dispatch.apply()?;
    Ok(counters)
}

fn enqueue(sender: &SyncSender<String>, counters: &Counters, line: String) {
    if sender.try_send(line).is_err() {
        counters.dropped.fetch_add(1, Relaxed);
    }
}

/// Writes queued lines until the process ends, at most `MAX_LINES_PER_SECOND`.
fn write_lines(lines: &Receiver<String>, counters: &Counters) {
    let mut window_start = Instant::now();
    let mut lines_in_window = 0;
    let mut reported_drops = 0;
    while let Ok(first) = lines.recv() {
        std::thread::sleep(WRITE_DELAY);
        if window_start.elapsed() >= Duration::from_secs(1) {
            window_start = Instant::now();
            lines_in_window = 0;
        }
        let mut text = String::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            if lines_in_window >= MAX_LINES_PER_SECOND {
                counters.dropped.fetch_add(1, Relaxed);
                continue;
            }
            lines_in_window += 1;
            counters.written.fetch_add(1, Relaxed);
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = counters.dropped.load(Relaxed);
        if dropped > reported_drops {
            let mut line = Line::new(true);
            line.add_field("time", &timestamp());
            line.add_field("level", "WARN");
            line.add_field("target", "log");
            line.add_field("message", "log lines were dropped");
            line.add_field("dropped", &(dropped - reported_drops).to_string());
            text.push_str(&line.finish());
            text.push('\n');
            reported_drops = dropped;
        }
        // An error of standard output can't be logged anywhere.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
    }
}
