//! What the process's clock counts.

use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static BOOT_MS: AtomicU64 = AtomicU64::new(5_000);

fn boot() -> Duration {
    Duration::from_millis(BOOT_MS.load(Ordering::Relaxed))
}

#[test]
fn a_suspension_is_counted() {
    let clock = Clock::start_by(boot);
    assert_eq!(clock.now(), Time::ZERO);
    BOOT_MS.fetch_add(7_250, Ordering::Relaxed);
    assert_eq!(clock.now(), Time::from_millis(7_250));
}

#[test]
fn the_systems_clock_goes_on() {
    let clock = Clock::start();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now() >= Time::from_millis(20));
}
