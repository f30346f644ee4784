//! A log whose reader stalls never holds a writer up.

use honeypulley_observe::logs;
use logforth::append::Append;
use logforth::record::{Level, Record};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that is never read.
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

/// An output that keeps what it gets.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, b: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no holder panics").extend_from_slice(b);
        Ok(b.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Kept {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("no holder panics")).into_owned()
    }
}

fn write(to: &impl Append, level: Level, n: usize) {
    for i in 0..n {
        let line = Record::builder().level(level);
        to.append(&line.payload(format_args!("route: line {i}")).build(), &[])
            .expect("taken or dropped");
    }
}

#[test]
fn a_stalled_reader_holds_nobody_up() {
    let (append, guard) = logs::ring("box1", Stalled).expect("started");
    let began = Instant::now();
    for _ in 0..20 {
        write(&append, Level::Info, 1_000);
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    drop(guard);
    assert!(began.elapsed() < Duration::from_secs(3), "the end is not held either");
}

#[test]
fn lines_come_in_order_with_their_box_and_the_last_before_the_end() {
    let out = Kept::default();
    let (append, guard) = logs::ring("box1", out.clone()).expect("started");
    write(&append, Level::Info, 50);
    drop(guard);
    let text = out.text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 50);
    assert!(lines[0].contains("message=\"route: line 0\"") && lines[0].ends_with(" box=box1"));
    assert!(lines[49].contains("line 49"));
}

#[test]
fn too_many_usual_lines_are_left_out_and_failures_are_kept() {
    let out = Kept::default();
    let (append, guard) = logs::ring("box1", out.clone()).expect("started");
    write(&append, Level::Info, 2_000);
    write(&append, Level::Warn, 100);
    let (rate, full) = guard.left_out.counts();
    drop(guard);
    assert!(rate >= 1_500, "{rate} of 2,000 at once were over the rate");
    assert_eq!(full, 0);
    let failures = out
        .text()
        .lines()
        .filter(|l| l.contains("level=WARN") && l.contains("message=\"route"))
        .count();
    assert_eq!(failures, 100);
}
