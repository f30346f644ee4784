//! Requests that were not served are grouped by the decision on their first attempt.

use honeypulley_observe::losses::{self, End};

const LINES: &str = r#"
level=INFO message="route: first sent to i-7" request=r1 service=s upstream=i-7 reason=LeastLoss attempts=2 repeatable=true sick=0.02 busy=1
level=INFO message="route: not sent again, the retry budget is spent" request=r1 service=s
level=WARN message="route: own answer, the deadline passed with 1 attempt(s) open" request=r1 status=504 outcome=Unknown
level=INFO message="route: first sent to i-8" request=r2 service=s upstream=i-8 reason=Canary attempts=2 repeatable=false sick=0.7 busy=2
level=WARN message="route: answered" request=r2 service=s status=500 took_ms=12
level=INFO message="route: first sent to i-8" request=r3 service=s upstream=i-8 reason=LeastLoss attempts=2 repeatable=true sick=0.1 busy=0
level=INFO message="route: hedge sent to i-9" request=r3 service=s upstream=i-9 reason=LeastLoss attempts=2 repeatable=true sick=0.1 busy=0
level=INFO message="route: answered" request=r3 service=s status=200 took_ms=400
level=INFO message="route: first sent to i-8" request=r4 service=s upstream=i-8 reason=LeastLoss attempts=1 repeatable=true sick=0.1 busy=0
"#;

#[test]
fn each_request_is_counted_in_one_class() {
    let rows = losses::count(LINES.lines());
    assert_eq!(rows.iter().map(|r| r.requests).sum::<usize>(), 4);
    let find =
        |end: End| rows.iter().find(|r| r.class.end == end).expect("a class with this outcome");
    let unknown = find(End::Unknown);
    assert!(unknown.class.denied && unknown.class.resendable);
    let failed = find(End::Failed);
    assert_eq!((failed.class.reason.as_str(), failed.sick, failed.took_ms), ("Canary", 0.7, 12));
    assert_eq!(find(End::Served).class.sends, 2);
    assert!(!find(End::None).class.resendable, "its route allows one attempt");
}

#[test]
fn the_page_omits_served_requests() {
    let page = losses::page(&losses::count(LINES.lines()));
    assert!(page.starts_with("4 requests, 3 not served\n"), "{page}");
    assert_eq!(page.lines().count(), 5, "{page}");
}
