//! Acceptance under outages, lost answers and races of operators.

use bytes::Bytes;
use honeypulley_bundle::head::{Head, Version};
use honeypulley_bundle::model::Bundle;
use honeypulley_bundle::parts::Split;
use honeypulley_bundle::sign::Signer;
use honeypulley_platform::accept::{AcceptError, Accepted, HEAD, accept, read_head};
use honeypulley_platform::api::{Expect, Platform};
use honeypulley_platform::memory::{Faults, MemoryPlatform};
use rstest::rstest;
use std::sync::Arc;
use todc_utils::specifications::Specification;
use todc_utils::{Action, History, WGLChecker};

fn split(n: usize) -> Split {
    let routes: String = (0..=n).map(|i| format!("h{i}.example/ = a\n")).collect();
    let text = format!("[service a]\nfloor = 1\nrepeat = reads\ndeadline = 2s\n[routes]\n{routes}");
    Bundle::read("f.ini", &text).expect("fine").1
}

async fn roll_out(p: &dyn Platform, n: usize, id: &str) -> Result<Accepted, AcceptError> {
    let base = read_head(p).await?;
    let s = split(n);
    let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
    accept(p, base.as_ref(), Version(0), &s, signature, id).await
}

async fn head(p: &dyn Platform) -> Head {
    read_head(p).await.expect("answers").expect("there").head
}

#[tokio::test(start_paused = true)]
async fn an_answer_lost_after_the_write_is_resolved_by_the_rollouts_own_id() {
    let p = MemoryPlatform::default();
    roll_out(&p, 1, "first").await.expect("accepted");
    // Store the parts first, so that the lost answer is the head's.
    let base = read_head(&p).await.expect("answers");
    let s = split(2);
    let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
    for (d, b) in s.manifest.parts.iter().zip(&s.parts) {
        let key = honeypulley_platform::accept::part_key(d);
        let _ = p.put(&key, b.clone(), Expect::Absent).await;
    }
    let key = honeypulley_platform::accept::manifest_key(&s.manifest.digest());
    let _ = p.put(&key, s.manifest.to_bytes(), Expect::Absent).await;
    p.set_faults(Faults { lost: 1, ..Faults::default() });
    let done =
        accept(&p, base.as_ref(), Version(0), &s, signature, "second").await.expect("accepted");
    assert_eq!(done, Accepted { version: Version(2), resolved: true });
    let h = head(&p).await;
    assert_eq!((h.version, h.rollout.as_str()), (Version(2), "second"), "written once");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(start_paused = true)]
async fn writes_that_are_dropped_or_lost_anywhere_end_in_one_version(#[case] n: u32) {
    for faults in
        [Faults { lost: n, ..Faults::default() }, Faults { dropped: n, ..Faults::default() }]
    {
        let p = MemoryPlatform::default();
        p.set_faults(faults);
        let done = roll_out(&p, 1, "only").await.expect("accepted");
        assert_eq!((done.version, head(&p).await.version), (Version(1), Version(1)));
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_before_acceptance_changes_nothing_and_says_so() {
    let p = MemoryPlatform::default();
    roll_out(&p, 1, "first").await.expect("accepted");
    p.set_faults(Faults { outage: true, ..Faults::default() });
    assert!(matches!(roll_out(&p, 2, "second").await, Err(AcceptError::Nothing(_))));
    p.set_faults(Faults::default());
    assert_eq!(head(&p).await.rollout, "first");
}

#[tokio::test(start_paused = true)]
async fn an_outage_after_a_lost_answer_is_told_as_unknown() {
    let p = Arc::new(MemoryPlatform::default());
    roll_out(p.as_ref(), 1, "first").await.expect("accepted");
    let base = read_head(p.as_ref()).await.expect("answers");
    let s = split(1);
    let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
    // Parts stand already; three writes that lose their answer leave the head.
    p.set_faults(Faults { lost: 1, ..Faults::default() });
    let platform = Arc::clone(&p);
    tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        platform.set_faults(Faults { outage: true, ..Faults::default() });
    });
    let got = accept(p.as_ref(), base.as_ref(), Version(0), &s, signature, "second").await;
    match got {
        Err(AcceptError::Unknown { rollout, .. }) => assert_eq!(rollout, "second"),
        other => panic!("told {other:?}"),
    }
    p.set_faults(Faults::default());
    assert_eq!(
        head(p.as_ref()).await.version_of("second"),
        Some(Version(2)),
        "it had taken effect"
    );
}

#[tokio::test(start_paused = true)]
async fn a_resolved_rollout_is_known_even_after_another_followed() {
    let p = MemoryPlatform::default();
    roll_out(&p, 1, "first").await.expect("accepted");
    roll_out(&p, 2, "second").await.expect("accepted");
    assert_eq!(head(&p).await.version_of("first"), Some(Version(1)));
    assert_eq!(head(&p).await.version_of("never"), None);
}

/// Acceptances over a base as operations on one register of versions.
#[derive(Clone, Copy, Debug)]
enum HeadOp {
    /// Base version, and what came of it: `Some(true)` won, `Some(false)` lost.
    Accept(u64, Option<bool>),
    Read(Option<u64>),
}

struct HeadSpec;

impl Specification for HeadSpec {
    type State = u64;
    type Operation = HeadOp;

    fn init() -> u64 {
        0
    }

    fn apply(op: &HeadOp, state: &u64) -> (bool, u64) {
        match op {
            HeadOp::Accept(base, Some(true)) => (base == state, base + 1),
            HeadOp::Accept(base, Some(false)) => (base != state, *state),
            HeadOp::Read(Some(v)) => (v == state, *state),
            HeadOp::Accept(_, None) | HeadOp::Read(None) => (false, *state),
        }
    }
}

type Log = Arc<parking_lot::Mutex<Vec<(usize, Action<HeadOp>)>>>;

async fn operator(p: Arc<MemoryPlatform>, me: usize, log: Log) {
    for turn in 0..3 {
        log.lock().push((me, Action::Call(HeadOp::Read(None))));
        let base = read_head(p.as_ref()).await.expect("answers");
        let v = base.as_ref().map_or(0, |b| b.head.version.0);
        log.lock().push((me, Action::Response(HeadOp::Read(Some(v)))));
        let s = split(me * 10 + turn);
        let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
        log.lock().push((me, Action::Call(HeadOp::Accept(v, None))));
        let done =
            accept(p.as_ref(), base.as_ref(), Version(0), &s, signature, &format!("{me}.{turn}"))
                .await;
        let won = match done {
            Ok(a) => {
                assert_eq!(a.version.0, v + 1);
                true
            }
            Err(AcceptError::Lost { .. }) => false,
            Err(e) => panic!("{e}"),
        };
        log.lock().push((me, Action::Response(HeadOp::Accept(v, Some(won)))));
    }
}

#[rstest]
#[case(Faults::default())]
#[case(Faults { lost: 5, ..Faults::default() })]
#[case(Faults { dropped: 5, ..Faults::default() })]
#[tokio::test(start_paused = true)]
async fn racing_operators_leave_a_linearizable_head(#[case] faults: Faults) {
    let p = Arc::new(MemoryPlatform::default());
    p.set_faults(faults);
    let log = Log::default();
    let racers: Vec<_> =
        (0..3).map(|me| tokio::spawn(operator(Arc::clone(&p), me, Arc::clone(&log)))).collect();
    for r in racers {
        r.await.expect("no panic");
    }
    let actions = log.lock().clone();
    assert!(WGLChecker::<HeadSpec>::is_linearizable(History::from_actions(actions)));
}

#[test]
fn the_checker_refuses_a_history_in_which_both_operators_win() {
    let actions = vec![
        (0, Action::Call(HeadOp::Accept(0, None))),
        (1, Action::Call(HeadOp::Accept(0, None))),
        (0, Action::Response(HeadOp::Accept(0, Some(true)))),
        (1, Action::Response(HeadOp::Accept(0, Some(true)))),
    ];
    assert!(!WGLChecker::<HeadSpec>::is_linearizable(History::from_actions(actions)));
}

#[tokio::test]
async fn a_foreign_head_is_left_alone() {
    let p = MemoryPlatform::default();
    p.put(HEAD, Bytes::from_static(b"not ours"), Expect::Absent).await.expect("written");
    assert!(matches!(roll_out(&p, 1, "x").await, Err(AcceptError::Foreign { .. })));
}
