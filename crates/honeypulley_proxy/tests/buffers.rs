//! Bounds on the memory for buffered answers and request bodies.

use bytes::Bytes;
use honeypulley_proxy::buffers::{AnswerBuffers, BodyBudget, BodyShare, BudgetExhausted};

const MB: usize = 1_024 * 1_024;

#[test]
fn an_answer_over_a_megabyte_is_not_buffered_and_counts_for_nothing() {
    let buffers = AnswerBuffers::default();
    assert!(!buffers.begin().add(MB + 1));
    assert!(!buffers.begin().add(usize::MAX));
    let all: Vec<_> = (0..32).map(|_| buffers.begin()).collect();
    assert!(all.into_iter().all(|mut held| held.add(MB)));
}

/// Guards against callers that read nothing, whose answers fill the memory of a small box.
#[test]
fn no_more_than_32_megabytes_are_buffered_at_once() {
    let buffers = AnswerBuffers::default();
    let mut all = Vec::new();
    for n in 0..40 {
        let mut held = buffers.begin();
        assert_eq!(held.add(MB), n < 32);
        all.push(held);
    }
    drop(all);
    assert!(buffers.begin().add(MB));
}

#[test]
fn an_answer_counts_until_its_bytes_are_dropped() {
    let buffers = AnswerBuffers::default();
    let sent: Vec<Bytes> = (0..32)
        .map(|_| {
            let mut held = buffers.begin();
            assert!(held.add(MB));
            held.attach(Bytes::from_static(b"answer"))
        })
        .collect();
    let part = sent[0].slice(..3);
    assert!(!buffers.begin().add(MB));
    drop(sent);
    assert_eq!(part, "ans");
    let mut others: Vec<_> = (0..31).map(|_| buffers.begin()).collect();
    assert!(others.iter_mut().all(|held| held.add(MB)));
    assert!(!buffers.begin().add(1), "a slice keeps its answer's count");
}

/// Guards against bodies of many requests that take the memory of a box together.
#[test]
fn all_request_bodies_together_are_bounded() {
    let budget = BodyBudget::default();
    let shares: Vec<BodyShare> = (0..32)
        .map(|_| {
            let mut share = budget.begin();
            share.add(MB).expect("there is memory");
            share
        })
        .collect();
    let mut late = budget.begin();
    assert_eq!(late.add(1), Err(BudgetExhausted));
    drop(shares);
    assert_eq!((budget.held(), late.add(1)), (0, Ok(())));
    let bytes = late.attach(Bytes::from_static(b"x"));
    assert_eq!((&bytes[..], budget.held()), (&b"x"[..], 1));
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!(budget.held(), 1, "a copy is still there");
    drop(copy);
    assert_eq!(budget.held(), 0);
}
