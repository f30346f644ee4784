//! Non-blocking log output through a bounded ring.
//!
//! A line is dropped and counted if its severity class exceeds its rate limit or the
//! ring is full, so the threads that serve requests never wait for a slow reader.

use crossbeam_queue::ArrayQueue;
use honeypulley_policy::limits::Gcra;
use honeypulley_policy::time::Time;
use logforth::append::Append;
use logforth::layout::LogfmtLayout;
use logforth::record::{Level, Record};
use logforth::{Diagnostic, Error, Layout};
use parking_lot::Mutex;
use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Capacity of the ring in lines: ten seconds at both rates together.
const RING_LINES: usize = 4_096;
/// Rate limit of lines below level `WARN`, in lines per second.
///
/// A deployed box serves about 4 requests per second and logs 3 lines for each; at 370
/// requests per second, about one request in five is logged.
const INFO_RATE: f64 = 200.0;
/// Rate limit of lines at `WARN` or above, in lines per second.
///
/// They report failures, refusals and unreachable dependencies.
const WARN_RATE: f64 = 200.0;
/// Burst of lines that each rate limit admits.
const BURST: f64 = 400.0;
/// Minimum time between two lines that report dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the writer collects lines into a batch.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// Number of dropped lines, by reason.
#[derive(Debug, Default)]
pub struct LeftOut {
    rate: AtomicU64,
    full: AtomicU64,
}

impl LeftOut {
    /// Returns the lines dropped by a rate limit and by a full ring.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.rate.load(Ordering::Relaxed), self.full.load(Ordering::Relaxed))
    }
}

struct Shared {
    queue: ArrayQueue<Vec<u8>>,
    left_out: Arc<LeftOut>,
    closing: AtomicBool,
    parked: AtomicBool,
    finished: AtomicBool,
}

/// Appender that queues lines in the ring and never blocks.
pub struct RingAppend {
    shared: Arc<Shared>,
    writer: Thread,
    layout: LogfmtLayout,
    origin: String,
    began: Instant,
    limits: Mutex<(Gcra, Gcra)>,
}

impl fmt::Debug for RingAppend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RingAppend").field("origin", &self.origin).finish_non_exhaustive()
    }
}

/// Flushes the remaining lines when dropped, waiting 200 ms at most.
#[derive(Debug)]
pub struct LogGuard {
    shared: Arc<Shared>,
    writer: Thread,
    /// Number of dropped lines so far.
    pub left_out: Arc<LeftOut>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("left_out", &self.left_out).finish_non_exhaustive()
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.shared.closing.store(true, Ordering::Release);
        self.writer.unpark();
        // A stalled reader must not delay the exit of the process.
        for _ in 0..20 {
            if self.shared.finished.load(Ordering::Acquire) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Creates the ring and starts the thread that writes its lines to `out`.
///
/// Each line ends with a `box` field that holds `origin`.
///
/// # Errors
/// Returns an error if the thread can't be started.
pub fn ring(
    origin: &str,
    out: impl Write + Send + 'static,
) -> std::io::Result<(RingAppend, LogGuard)> {
    let shared = Arc::new(Shared {
        queue: ArrayQueue::new(RING_LINES),
        left_out: Arc::default(),
        closing: AtomicBool::new(false),
        parked: AtomicBool::new(false),
        finished: AtomicBool::new(false),
    });
    let writer_shared = Arc::clone(&shared);
    let name = origin.to_owned();
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_writer(&writer_shared, &name, out))?
        .thread()
        .clone();
    let append = RingAppend {
        shared: Arc::clone(&shared),
        writer: writer.clone(),
        layout: LogfmtLayout::default(),
        origin: origin.to_owned(),
        began: Instant::now(),
        limits: Mutex::new((Gcra::new(INFO_RATE), Gcra::new(WARN_RATE))),
    };
    let left_out = Arc::clone(&shared.left_out);
    Ok((append, LogGuard { shared, writer, left_out }))
}

impl Append for RingAppend {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = Time::from_micros(self.began.elapsed().as_micros() as u64);
        let admitted = {
            let mut limits = self.limits.lock();
            let failure = record.level() >= Level::Warn;
            let limit = if failure { &mut limits.1 } else { &mut limits.0 };
            limit.try_acquire(BURST, now).is_ok()
        };
        if !admitted {
            self.shared.left_out.rate.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.extend_from_slice(format!(" box={}\n", self.origin).as_bytes());
        if self.shared.queue.push(line).is_err() {
            self.shared.left_out.full.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.shared.parked.swap(false, Ordering::AcqRel) {
            self.writer.unpark();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn run_writer(shared: &Shared, origin: &str, mut out: impl Write) {
    let (mut reported, mut reported_at) = ((0, 0), Instant::now());
    loop {
        let mut batch = Vec::new();
        while let Some(line) = shared.queue.pop() {
            batch.extend_from_slice(&line);
        }
        let counts = shared.left_out.counts();
        if counts != reported && reported_at.elapsed() > REPORT_INTERVAL {
            let (rate, full) = (counts.0 - reported.0, counts.1 - reported.1);
            let line = format!(
                "level=WARN message=\"log: lines left out\" over_rate={rate} ring_full={full} box={origin}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            (reported, reported_at) = (counts, Instant::now());
        }
        // Errors are ignored: if the output is closed, they can't be reported anywhere.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        if shared.closing.load(Ordering::Acquire) && shared.queue.is_empty() {
            shared.finished.store(true, Ordering::Release);
            return;
        }
        shared.parked.store(true, Ordering::Release);
        if shared.queue.is_empty() {
            thread::park();
        }
        shared.parked.store(false, Ordering::Release);
        if !shared.closing.load(Ordering::Acquire) {
            thread::sleep(BATCH_TIME);
        }
    }
}
