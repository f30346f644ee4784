//! Tests of the restarts of failed duties and of the overflow policies of rings.

use eyre::{Result, bail};
use honeypulley_supervisor::ring::{OverflowPolicy, Ring};
use honeypulley_supervisor::tree::{Duty, Shutdown, Supervisor, block_on};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A duty that fails in its first two runs and sets `stop` in the third.
#[derive(Debug)]
struct Failing {
    runs: Arc<AtomicU32>,
    fail: fn() -> Result<()>,
    ring: Ring<u32>,
}

impl Duty for Failing {
    fn name(&self) -> &'static str {
        "failing"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        let n = self.runs.fetch_add(1, Ordering::SeqCst);
        self.ring.push(n);
        if n < 2 {
            return (self.fail)();
        }
        // The ring keeps the items of the first two runs across the restarts.
        while self.ring.pop().is_some() {}
        shutdown.stop.cancel();
        Ok(())
    }
}

/// A duty that runs until `stop` and isn't affected by the failing one.
#[derive(Debug)]
struct Steady(Arc<AtomicU32>);

impl Duty for Steady {
    fn name(&self) -> &'static str {
        "steady"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        self.0.fetch_add(1, Ordering::SeqCst);
        block_on(async {
            shutdown.stop.cancelled().await;
            Ok(())
        })
    }
}

#[rstest]
#[case(|| bail!("an error"))]
#[case(|| panic!("a panic"))]
#[case(|| Ok(()))]
fn a_failed_duty_is_restarted_while_others_continue(#[case] fail: fn() -> Result<()>) {
    let (runs, steady) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let ring = Ring::new(8, OverflowPolicy::DropOldest);
    let failing = Failing { runs: Arc::clone(&runs), fail, ring };
    Supervisor::new(Shutdown::default())
        .duty(failing)
        .duty(Steady(Arc::clone(&steady)))
        .run()
        .expect("the supervisor runs");
    assert_eq!((runs.load(Ordering::SeqCst), steady.load(Ordering::SeqCst)), (3, 1));
}

#[rstest]
#[case(OverflowPolicy::DropOldest, [3, 4, 5])]
#[case(OverflowPolicy::DropNewest, [1, 2, 3])]
fn a_full_ring_drops_and_counts_by_its_policy(
    #[case] policy: OverflowPolicy,
    #[case] kept: [u32; 3],
) {
    let ring = Ring::new(3, policy);
    (1..=5).for_each(|i| ring.push(i));
    assert_eq!(std::iter::from_fn(|| ring.pop()).collect::<Vec<_>>(), kept);
    assert_eq!(ring.dropped(), 2);
}

#[tokio::test]
async fn a_push_wakes_a_waiting_reader() {
    let ring = Ring::new(1, OverflowPolicy::DropOldest);
    let other = ring.clone();
    let (got, ()) = tokio::join!(ring.recv(), async { other.push(7) });
    assert_eq!(got, 7);
}
