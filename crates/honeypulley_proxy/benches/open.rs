//! Measures what the record of open requests costs a request that is served normally.
//!
//! Prints the median of several rounds in nanoseconds; run it with `cargo bench -p
//! honeypulley_proxy --bench open`.

use honeypulley_policy::time::Time;
use honeypulley_proxy::open::{OpenRequests, Recipient, SentAttempt};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

const ROUNDS: usize = 21;
const CALLS: u32 = 2_000;
/// Number of other open requests.
const OTHERS: usize = 2_500;

fn serve(open: &OpenRequests, id: &Arc<str>, name: &Arc<str>) {
    let now = Time::from_millis(1);
    let sent = SentAttempt { to: Recipient::Upstream(Arc::clone(name)), at: now };
    let key = open.insert(Arc::clone(id), now);
    open.record_service(key, Arc::clone(name));
    open.record_accepted(key, now);
    open.record_sent(key, sent.clone());
    open.record_answer(key, sent);
    black_box(open.remove(key));
}

fn main() {
    let open = OpenRequests::default();
    let (id, name): (Arc<str>, Arc<str>) = ("0123456789abcdef".into(), "i-1".into());
    for _ in 0..OTHERS {
        open.insert(Arc::clone(&id), Time::ZERO);
    }
    let round = |_| {
        let began = Instant::now();
        (0..CALLS).for_each(|_| serve(&open, &id, &name));
        (began.elapsed() / CALLS).as_nanos()
    };
    let mut took: Vec<u128> = (0..ROUNDS).map(round).collect();
    took.sort_unstable();
    println!("record of a request: {} ns beside {OTHERS} others", took[ROUNDS / 2]);
}
