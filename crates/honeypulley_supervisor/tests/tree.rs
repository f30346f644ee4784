//! Restarts of dead duties, and what full rings drop.

use eyre::{Result, bail};
use honeypulley_supervisor::ring::{Full, Ring};
use honeypulley_supervisor::tree::{Duty, Stop, Tree, block_on};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Dies in one way at its first runs, then works until halt.
#[derive(Debug)]
struct Dying {
    runs: Arc<AtomicU32>,
    how: fn() -> Result<()>,
    ring: Ring<u32>,
}

impl Duty for Dying {
    fn name(&self) -> &'static str {
        "dying"
    }

    fn run(&self, stop: &Stop) -> Result<()> {
        let n = self.runs.fetch_add(1, Ordering::SeqCst);
        self.ring.push(n);
        if n < 2 {
            return (self.how)();
        }
        // The third run has what the first two left in the ring.
        while self.ring.pop().is_some() {}
        stop.halt.cancel();
        Ok(())
    }
}

/// Works until halt, whatever becomes of its neighbour.
#[derive(Debug)]
struct Steady(Arc<AtomicU32>);

impl Duty for Steady {
    fn name(&self) -> &'static str {
        "steady"
    }

    fn run(&self, stop: &Stop) -> Result<()> {
        self.0.fetch_add(1, Ordering::SeqCst);
        block_on(async {
            stop.halt.cancelled().await;
            Ok(())
        })
    }
}

#[rstest]
#[case(|| bail!("an error"))]
#[case(|| panic!("a panic"))]
#[case(|| Ok(()))]
fn a_dead_duty_is_started_again_while_others_go_on(#[case] how: fn() -> Result<()>) {
    let (runs, steady) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let ring = Ring::new(8, Full::DropOldest);
    let dying = Dying { runs: Arc::clone(&runs), how, ring };
    Tree::new(Stop::default()).duty(dying).duty(Steady(Arc::clone(&steady))).run().expect("runs");
    assert_eq!((runs.load(Ordering::SeqCst), steady.load(Ordering::SeqCst)), (3, 1));
}

#[rstest]
#[case(Full::DropOldest, [3, 4, 5])]
#[case(Full::DropNewest, [1, 2, 3])]
fn a_full_ring_drops_by_its_rule_and_counts(#[case] rule: Full, #[case] left: [u32; 3]) {
    let ring = Ring::new(3, rule);
    (1..=5).for_each(|i| ring.push(i));
    assert_eq!(std::iter::from_fn(|| ring.pop()).collect::<Vec<_>>(), left);
    assert_eq!(ring.dropped(), 2);
}

#[tokio::test]
async fn a_waiting_reader_is_woken() {
    let ring = Ring::new(1, Full::DropOldest);
    let other = ring.clone();
    let (got, ()) = tokio::join!(ring.next(), async { other.push(7) });
    assert_eq!(got, 7);
}
