//! Log lines through a bounded ring to standard output.
//!
//! A line is dropped and counted when its kind is over its rate or the ring is
//! full; nothing that serves requests ever waits for the reader of the output.

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

/// Lines that the ring holds: ten seconds of both rates together.
const RING_LINES: usize = 4_096;
/// Lines a second on what goes as it should.
///
/// A box of the deployments serves some 4 requests a second with 3 lines each; at
/// 370 requests a second one in five is described.
const USUAL_RATE: f64 = 200.0;
/// Lines a second on failures, refusals and lost dependencies.
const FAILURE_RATE: f64 = 200.0;
/// Lines that each kind may bring at once.
const BURST: f64 = 400.0;
/// Time between two lines on what was left out.
const LEFT_OUT_GAP: Duration = Duration::from_secs(1);
/// Time for which the writer gathers lines before it writes them.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Lines left out so far, by reason.
#[derive(Debug, Default)]
pub struct LeftOut {
    rate: AtomicU64,
    full: AtomicU64,
}

impl LeftOut {
    /// Returns lines left out for their rate and for a full ring.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.rate.load(Ordering::Relaxed), self.full.load(Ordering::Relaxed))
    }
}

struct Shared {
    queue: ArrayQueue<Vec<u8>>,
    left_out: Arc<LeftOut>,
    closing: AtomicBool,
    asleep: AtomicBool,
    written: AtomicBool,
}

/// Accepts lines and never blocks.
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

/// Writes the rest of the lines when dropped, for a moment at most.
#[derive(Debug)]
pub struct LogGuard {
    shared: Arc<Shared>,
    writer: Thread,
    /// Lines left out so far.
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
        // A reader that stalls must not hold the end of the process.
        for _ in 0..20 {
            if self.shared.written.load(Ordering::Acquire) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Builds the ring and starts the thread that writes it to `out`; each line ends
/// with the name of its origin.
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
        asleep: AtomicBool::new(false),
        written: AtomicBool::new(false),
    });
    let back = Arc::clone(&shared);
    let name = origin.to_owned();
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_on(&back, &name, out))?
        .thread()
        .clone();
    let append = RingAppend {
        shared: Arc::clone(&shared),
        writer: writer.clone(),
        layout: LogfmtLayout::default(),
        origin: origin.to_owned(),
        began: Instant::now(),
        limits: Mutex::new((Gcra::new(USUAL_RATE), Gcra::new(FAILURE_RATE))),
    };
    let left_out = Arc::clone(&shared.left_out);
    Ok((append, LogGuard { shared, writer, left_out }))
}

impl Append for RingAppend {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = Time::from_micros(self.began.elapsed().as_micros() as u64);
        let within = {
            let mut limits = self.limits.lock();
            let failure = record.level() >= Level::Warn;
            let limit = if failure { &mut limits.1 } else { &mut limits.0 };
            limit.take(BURST, now).is_ok()
        };
        if !within {
            self.shared.left_out.rate.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.extend_from_slice(format!(" box={}\n", self.origin).as_bytes());
        if self.shared.queue.push(line).is_err() {
            self.shared.left_out.full.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.shared.asleep.swap(false, Ordering::AcqRel) {
            self.writer.unpark();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_on(shared: &Shared, origin: &str, mut out: impl Write) {
    let (mut told, mut told_at) = ((0, 0), Instant::now());
    loop {
        let mut batch = Vec::new();
        while let Some(line) = shared.queue.pop() {
            batch.extend_from_slice(&line);
        }
        let counts = shared.left_out.counts();
        if counts != told && told_at.elapsed() > LEFT_OUT_GAP {
            let (rate, full) = (counts.0 - told.0, counts.1 - told.1);
            let line = format!(
                "level=WARN message=\"log: lines left out\" over_rate={rate} ring_full={full} box={origin}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            (told, told_at) = (counts, Instant::now());
        }
        // There is nobody to tell of an output that is closed.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        if shared.closing.load(Ordering::Acquire) && shared.queue.is_empty() {
            shared.written.store(true, Ordering::Release);
            return;
        }
        shared.asleep.store(true, Ordering::Release);
        if shared.queue.is_empty() {
            thread::park();
        }
        shared.asleep.store(false, Ordering::Release);
        if !shared.closing.load(Ordering::Acquire) {
            thread::sleep(GATHER_TIME);
        }
    }
}
