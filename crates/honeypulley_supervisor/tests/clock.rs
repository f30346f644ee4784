//! Tests of the process clock.

use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static BOOT_TIME_MS: AtomicU64 = AtomicU64::new(5_000);

fn boot_time() -> Duration {
    Duration::from_millis(BOOT_TIME_MS.load(Ordering::Relaxed))
}

#[test]
fn the_clock_includes_suspensions() {
    let clock = Clock::with_source(boot_time);
    assert_eq!(clock.now(), Time::ZERO);
    BOOT_TIME_MS.fetch_add(7_250, Ordering::Relaxed);
    assert_eq!(clock.now(), Time::from_millis(7_250));
}

#[test]
fn the_system_clock_advances() {
    let clock = Clock::start();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now() >= Time::from_millis(20));
}
