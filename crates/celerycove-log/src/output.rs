//! Lines go through a bounded queue to a thread that writes them; what does not fit is counted.

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

/// Lines that wait to be written; more are dropped and counted.
const QUEUE: usize = 1_024;
/// Lines a second that are let through; a request writes about three.
const LINES_PER_SECOND: u64 = 600;
/// How long the writer collects lines before it writes them together.
const COLLECT: Duration = Duration::from_millis(100);

/// Why logging could not begin.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The thread that writes can't be started.
    #[error("could not start the log writer")]
    Thread(#[source] std::io::Error),
    /// Logging has begun before.
    #[error("could not install the logger")]
    Install(#[from] log::SetLoggerError),
}

/// Counts of lines.
#[derive(Debug, Default)]
pub struct Output {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Output {
    /// Lines written and dropped since the start.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.written.load(Relaxed), self.dropped.load(Relaxed))
    }
}

/// Begins logging as JSON lines on standard output. Only lines of `targets` are written.
///
/// # Errors
///
/// Returns an error if the writer's thread can't be started or logging has begun.
pub fn begin(level: log::LevelFilter, targets: &[&'static str]) -> Result<Arc<Output>, Error> {
    let output = Arc::new(Output::default());
    let (sender, receiver) = sync_channel(QUEUE);
    let counts = output.clone();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &counts))
        .map_err(Error::Thread)?;
    let counts = output.clone();
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .format(|out, message, record| {
            let mut line = Line::new(true);
            line.put("time", &timestamp());
            line.put("level", record.level().as_str());
            line.put("target", record.target());
            line.put("message", &message.to_string());
            // Visiting only fails where the visitor does, and this one does not.
            let _ = record.key_values().visit(&mut line);
            out.finish(format_args!("{}", line.finish()));
        })
        .chain(fern::Output::call(move |record| {
            queue_line(&sender, &counts, record.args().to_string());
        }));
    let dispatch = targets.iter().fold(dispatch, |dispatch, target| {
        dispatch.level_for(*target, level)
    });
    dispatch.apply()?;
    Ok(output)
}

fn queue_line(sender: &SyncSender<String>, counts: &Output, line: String) {
    if sender.try_send(line).is_err() {
        counts.dropped.fetch_add(1, Relaxed);
    }
}

/// Writes lines until the process ends, at most so many a second.
fn write_lines(lines: &Receiver<String>, counts: &Output) {
    let mut second = Instant::now();
    let mut this_second = 0;
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        std::thread::sleep(COLLECT);
        if second.elapsed() >= Duration::from_secs(1) {
            second = Instant::now();
            this_second = 0;
        }
        let mut text = String::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            if this_second >= LINES_PER_SECOND {
                counts.dropped.fetch_add(1, Relaxed);
                continue;
            }
            this_second += 1;
            counts.written.fetch_add(1, Relaxed);
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = counts.dropped.load(Relaxed);
        if dropped > told {
            let mut line = Line::new(true);
            line.put("time", &timestamp());
            line.put("level", "WARN");
            line.put("target", "log");
            line.put("message", "log lines were dropped");
            line.put("dropped", &(dropped - told).to_string());
            text.push_str(&line.finish());
            text.push('\n');
            told = dropped;
        }
        // Nobody could be told of an output that is closed.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
    }
}
