//! A stalled reader of the log never blocks the threads that write to it.

use honeypulley_observe::logs;
use logforth::append::Append;
use logforth::record::{Level, Record};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Output whose writes block, as if its reader had stalled.
struct Stalled;

impl Write for Stalled {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that stores everything written to it.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, b: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("the lock is not poisoned").extend_from_slice(b);
        Ok(b.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Captured {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("the lock is not poisoned")).into_owned()
    }
}

fn write(to: &impl Append, level: Level, n: usize) {
    for i in 0..n {
        let line = Record::builder().level(level);
        to.append(&line.payload(format_args!("route: line {i}")).build(), &[])
            .expect("a line is queued or dropped without an error");
    }
}

#[test]
fn a_stalled_reader_blocks_no_writer() {
    let (append, guard) = logs::ring("box1", Stalled).expect("the writer thread starts");
    let began = Instant::now();
    for _ in 0..20 {
        write(&append, Level::Info, 1_000);
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    drop(guard);
    assert!(began.elapsed() < Duration::from_secs(3), "dropping the guard does not block either");
}

#[test]
fn lines_are_written_in_order_with_their_box_until_the_last() {
    let out = Captured::default();
    let (append, guard) = logs::ring("box1", out.clone()).expect("the writer thread starts");
    write(&append, Level::Info, 50);
    drop(guard);
    let text = out.text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 50);
    assert!(lines[0].contains("message=\"route: line 0\"") && lines[0].ends_with(" box=box1"));
    assert!(lines[49].contains("line 49"));
}

#[test]
fn excess_info_lines_are_dropped_and_failures_are_kept() {
    let out = Captured::default();
    let (append, guard) = logs::ring("box1", out.clone()).expect("the writer thread starts");
    write(&append, Level::Info, 2_000);
    write(&append, Level::Warn, 100);
    let (rate, full) = guard.left_out.counts();
    drop(guard);
    assert!(rate >= 1_500, "{rate} of 2,000 lines written at once exceeded the rate");
    assert_eq!(full, 0);
    let failures = out
        .text()
        .lines()
        .filter(|l| l.contains("level=WARN") && l.contains("message=\"route"))
        .count();
    assert_eq!(failures, 100);
}
