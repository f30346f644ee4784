//! State of a planned stop that the serving path shares.

use honeypulley_policy::shutdown::PlannedStop;
use honeypulley_proxy::stop::StopState;
use honeypulley_supervisor::clock::Clock;
use rstest::rstest;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time without a sign of the thread that takes signals.
const SILENCE: Duration = Duration::from_millis(400);
/// Time within which a request is decided that need not wait.
const AT_ONCE: Duration = Duration::from_millis(40);

/// Returns how long a request waits.
async fn waits(stop: &StopState, clock: Clock) -> Duration {
    let began = Instant::now();
    stop.wait_noticed(clock).await;
    began.elapsed()
}

#[rstest]
#[case::nobody_records(false, SILENCE)]
#[case::recorded_lately(true, Duration::from_millis(100))]
#[tokio::test]
async fn a_request_does_not_wait_usually(#[case] is_recorded: bool, #[case] silence: Duration) {
    let (stop, clock) = (StopState::default(), Clock::start());
    tokio::time::sleep(AT_ONCE).await;
    if is_recorded {
        stop.record_quiet(clock.now());
    }
    tokio::time::sleep(silence).await;
    assert!(waits(&stop, clock).await < AT_ONCE);
}

/// Guards against accepting a request before a signal that was sent during a suspension.
#[tokio::test]
async fn a_request_after_a_suspension_waits_for_the_signal() {
    let (stop, clock) = (StopState::default(), Clock::start());
    tokio::time::sleep(AT_ONCE).await;
    stop.record_quiet(clock.now());
    tokio::time::sleep(SILENCE).await;
    let notice = async {
        tokio::time::sleep(AT_ONCE).await;
        stop.begin(PlannedStop::new(clock.now(), None));
    };
    let (waited, ()) = tokio::join!(waits(&stop, clock), notice);
    assert!(waited >= AT_ONCE && stop.has_begun(), "{waited:?}");
    assert!(waits(&stop, clock).await < AT_ONCE, "the stop is known");
}

#[tokio::test]
async fn a_request_after_a_suspension_waits_until_no_signal_is_pending() {
    let (stop, clock) = (StopState::default(), Clock::start());
    tokio::time::sleep(AT_ONCE).await;
    stop.record_quiet(clock.now());
    tokio::time::sleep(SILENCE).await;
    let tick = async {
        tokio::time::sleep(AT_ONCE).await;
        stop.record_quiet(clock.now());
    };
    let (waited, ()) = tokio::join!(waits(&stop, clock), tick);
    assert!(waited >= AT_ONCE && !stop.has_begun(), "{waited:?}");
}

/// Guards against holding requests while the thread that takes signals does not run.
#[tokio::test]
async fn the_wait_is_bounded() {
    let (stop, clock) = (StopState::default(), Clock::start());
    tokio::time::sleep(AT_ONCE).await;
    stop.record_quiet(clock.now());
    tokio::time::sleep(SILENCE).await;
    let waited = waits(&stop, clock).await;
    let bounds = Duration::from_millis(95)..Duration::from_millis(500);
    assert!(bounds.contains(&waited), "{waited:?}");
}

#[test]
fn a_stop_that_has_begun_keeps_its_times() {
    let (stop, clock) = (StopState::default(), Clock::start());
    let first = PlannedStop::new(clock.now(), Some(Duration::from_secs(5)));
    assert_eq!(stop.begin(first), first);
    assert_eq!(stop.begin(PlannedStop::new(clock.now(), None)), first);
    assert_eq!(stop.current(), Some(first));
}

/// Simulated time since boot, which a test advances.
static BOOT_MS: AtomicU64 = AtomicU64::new(0);

fn time_since_boot() -> Duration {
    Duration::from_millis(BOOT_MS.load(Ordering::Relaxed))
}

/// Guards against waiting on after a suspension of the machine, in which timers stand still.
#[tokio::test]
async fn waits_end_soon_after_a_suspension_of_the_machine() {
    let (stop, clock) = (StopState::default(), Clock::with_source(time_since_boot));
    stop.begin(PlannedStop::new(clock.now(), Some(Duration::from_secs(30))));
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        BOOT_MS.fetch_add(60_000, Ordering::Relaxed);
    };
    let ends = async {
        tokio::join!(
            stop.wait_unfinishable(None, clock),
            stop.wait_answer_by(clock.now(), clock),
            stop.wait_end(clock),
        )
    };
    let ends = tokio::time::timeout(Duration::from_secs(2), ends);
    let (ended, ()) = tokio::join!(ends, resume);
    assert!(ended.is_ok(), "the waits go on after the end of the stop");
}
