//! Rollouts under outages, lost answers and concurrent operators.

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
    Bundle::read("f.ini", &text).expect("the bundle is valid").1
}

async fn roll_out(p: &dyn Platform, n: usize, id: &str) -> Result<Accepted, AcceptError> {
    let base = read_head(p).await?;
    let s = split(n);
    let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
    accept(p, base.as_ref(), Version(0), &s, signature, id).await
}

async fn head(p: &dyn Platform) -> Head {
    read_head(p).await.expect("the head is readable").expect("a head is stored").head
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_by_the_rollout_id() {
    let p = MemoryPlatform::default();
    roll_out(&p, 1, "first").await.expect("accepted");
    // The parts and the manifest are stored first, so that the lost answer is that of the head.
    let base = read_head(&p).await.expect("the head is readable");
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
    assert_eq!((h.version, h.rollout.as_str()), (Version(2), "second"), "the head is written once");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(start_paused = true)]
async fn lost_and_dropped_writes_result_in_a_single_version(#[case] n: u32) {
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
async fn an_outage_before_the_head_is_written_reports_no_effect() {
    let p = MemoryPlatform::default();
    roll_out(&p, 1, "first").await.expect("accepted");
    p.set_faults(Faults { outage: true, ..Faults::default() });
    assert!(matches!(roll_out(&p, 2, "second").await, Err(AcceptError::Nothing(_))));
    p.set_faults(Faults::default());
    assert_eq!(head(&p).await.rollout, "first");
}

#[tokio::test(start_paused = true)]
async fn an_outage_after_a_lost_answer_reports_an_unknown_outcome() {
    let p = Arc::new(MemoryPlatform::default());
    roll_out(p.as_ref(), 1, "first").await.expect("accepted");
    let base = read_head(p.as_ref()).await.expect("the head is readable");
    let s = split(1);
    let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
    // Parts and manifest already exist, so the lost answer is that of the head. The outage
    // begins before the first retry.
    p.set_faults(Faults { lost: 1, ..Faults::default() });
    let platform = Arc::clone(&p);
    tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        platform.set_faults(Faults { outage: true, ..Faults::default() });
    });
    let got = accept(p.as_ref(), base.as_ref(), Version(0), &s, signature, "second").await;
    match got {
        Err(AcceptError::Unknown { rollout, .. }) => assert_eq!(rollout, "second"),
        other => panic!("expected an unknown outcome, got {other:?}"),
    }
    p.set_faults(Faults::default());
    assert_eq!(
        head(p.as_ref()).await.version_of("second"),
        Some(Version(2)),
        "the write had taken effect"
    );
}

#[tokio::test(start_paused = true)]
async fn an_earlier_rollout_is_found_in_a_later_head() {
    let p = MemoryPlatform::default();
    roll_out(&p, 1, "first").await.expect("accepted");
    roll_out(&p, 2, "second").await.expect("accepted");
    assert_eq!(head(&p).await.version_of("first"), Some(Version(1)));
    assert_eq!(head(&p).await.version_of("never"), None);
}

/// Rollouts and reads as operations on a register that holds the version.
#[derive(Clone, Copy, Debug)]
enum HeadOp {
    /// Base version and outcome: `Some(true)` if accepted, `Some(false)` on a conflict.
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

async fn operator(p: Arc<MemoryPlatform>, id: usize, log: Log) {
    for round in 0..3 {
        log.lock().push((id, Action::Call(HeadOp::Read(None))));
        let base = read_head(p.as_ref()).await.expect("the head is readable");
        let v = base.as_ref().map_or(0, |b| b.head.version.0);
        log.lock().push((id, Action::Response(HeadOp::Read(Some(v)))));
        let s = split(id * 10 + round);
        let signature = Signer::from_secret("alice", &[1; 32]).sign(&s.manifest.digest());
        log.lock().push((id, Action::Call(HeadOp::Accept(v, None))));
        let done =
            accept(p.as_ref(), base.as_ref(), Version(0), &s, signature, &format!("{id}.{round}"))
                .await;
        let accepted = match done {
            Ok(a) => {
                assert_eq!(a.version.0, v + 1);
                true
            }
            Err(AcceptError::Lost { .. }) => false,
            Err(e) => panic!("{e}"),
        };
        log.lock().push((id, Action::Response(HeadOp::Accept(v, Some(accepted)))));
    }
}

#[rstest]
#[case(Faults::default())]
#[case(Faults { lost: 5, ..Faults::default() })]
#[case(Faults { dropped: 5, ..Faults::default() })]
#[tokio::test(start_paused = true)]
async fn concurrent_rollouts_are_linearizable(#[case] faults: Faults) {
    let p = Arc::new(MemoryPlatform::default());
    p.set_faults(faults);
    let log = Log::default();
    let operators: Vec<_> =
        (0..3).map(|id| tokio::spawn(operator(Arc::clone(&p), id, Arc::clone(&log)))).collect();
    for o in operators {
        o.await.expect("no panic");
    }
    let actions = log.lock().clone();
    assert!(WGLChecker::<HeadSpec>::is_linearizable(History::from_actions(actions)));
}

#[test]
fn the_checker_rejects_a_history_in_which_two_rollouts_of_one_base_succeed() {
    let actions = vec![
        (0, Action::Call(HeadOp::Accept(0, None))),
        (1, Action::Call(HeadOp::Accept(0, None))),
        (0, Action::Response(HeadOp::Accept(0, Some(true)))),
        (1, Action::Response(HeadOp::Accept(0, Some(true)))),
    ];
    assert!(!WGLChecker::<HeadSpec>::is_linearizable(History::from_actions(actions)));
}

#[tokio::test]
async fn a_malformed_head_is_not_overwritten() {
    let p = MemoryPlatform::default();
    p.put(HEAD, Bytes::from_static(b"not ours"), Expect::Absent).await.expect("written");
    assert!(matches!(roll_out(&p, 1, "x").await, Err(AcceptError::Foreign { .. })));
}
