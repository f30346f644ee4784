//! Requests and upstreams are explained from log lines alone.

use honeypulley_observe::explain;
use rstest::rstest;

const LINES: &str = r#"
   4.0001 box-a timestamp=2026-12-02T10:00:00.100Z level=INFO module=x position=y:1 message="route: first sent to i-7" request=r1 service=s upstream=i-7 sick=0.02 box=a
   4.2001 box-a timestamp=2026-12-02T10:00:00.300Z level=WARN message="attempt: i-7 failed, outcome unknown: exchange: reset" request=r1 service=s upstream=i-7 box=a
   4.2002 box-a timestamp=2026-12-02T10:00:00.301Z level=WARN message="route: own answer, exchange: \"reset\"" request=r1 status=502 outcome=Unknown retry_after_ms=1000 box=a
timestamp=2026-12-02T10:00:00.302Z level=INFO message="news: i-7 is in doubt" upstream=i-7 what=Failure from=9 before=0.02 sick=0.6 box=b
timestamp=2026-12-02T10:00:00.400Z level=WARN message="route: own answer, no live upstream" request=r2 status=503 outcome=NotRun retry_after_ms=600 box=b
timestamp=2026-12-02T09:59:59.000Z level=INFO message="list: i-7 is Live" upstream=i-7 state=Live from=platform box=b
timestamp=2026-12-02T10:00:01.000Z level=INFO message="route: first sent to i-8" request=r3 upstream=i-8 box=a
timestamp=2026-12-02T10:00:01.200Z level=WARN message="attempt: i-8 answered with a failure" request=r3 upstream=i-8 status=500 box=a
timestamp=2026-12-02T10:00:01.201Z level=INFO message="route: retry sent to i-9" request=r3 upstream=i-9 box=a
timestamp=2026-12-02T10:00:01.500Z level=INFO message="route: answered" request=r3 service=s status=200 took_ms=500 box=a
timestamp=2026-12-02T10:00:02.000Z level=INFO message="route: first sent to i-9" request=r4 upstream=i-9 box=a
timestamp=2026-12-02T10:00:03.000Z level=INFO message="route: first relayed through 10.0.0.2:7001, connections from this box fail" request=r5 service=s peer=10.0.0.2:7001 box=a
timestamp=2026-12-02T10:00:03.002Z level=INFO message="route: first sent to i-9" request=r5 upstream=i-9 box=b
timestamp=2026-12-02T10:00:03.300Z level=INFO message="route: answered" request=r5 service=s status=200 took_ms=298 box=b
timestamp=2026-12-02T10:00:03.301Z level=INFO message="route: answered" request=r5 service=s status=200 took_ms=301 box=a
timestamp=2026-12-02T10:00:04.000Z level=INFO message="route: refused, the box stops before the request's time limit ends" request=r6 left_ms=2580 limit_ms=3000 box=a
timestamp=2026-12-02T10:00:04.001Z level=WARN message="route: own answer, the box stops before the request's time limit ends" request=r6 status=503 outcome=NotRun retry_after_ms=100 box=a
timestamp=2026-12-02T10:00:04.100Z level=INFO message="route: refused, the box stops before the request's time limit ends" request=r7 left_ms=2480 box=a
timestamp=2026-12-02T10:00:04.101Z level=WARN message="route: own answer, the box stops before the request's time limit ends" request=r7 status=503 outcome=NotRun retry_after_ms=100 box=a
timestamp=2026-12-02T10:00:04.000Z level=INFO message="route: first not sent, more urgent requests wait for slots" request=r8 service=s priority=2 admission_level=13500 pressure=1.4 level_age_ms=12 box=a
timestamp=2026-12-02T10:00:04.001Z level=WARN message="route: own answer, more urgent requests wait for slots" request=r8 status=503 outcome=NotRun retry_after_ms=700 box=a
timestamp=2026-12-02T10:00:04.000Z level=INFO message="route: first sent to i-9" request=r9 upstream=i-9 box=a
timestamp=2026-12-02T10:00:04.003Z level=INFO message="route: not sent again, the retry budget is spent" request=r9 service=s why=Failed priority=2 left_ms=1497 box=a
timestamp=2026-12-02T10:00:04.004Z level=WARN message="route: own answer, the upstream sheds load" request=r9 status=503 outcome=NotRun retry_after_ms=200 box=a
timestamp=2026-12-02T10:00:04.000Z level=INFO message="route: refused, its organisation is over its limit, and more urgent requests go first" request=r10 organisation=acme rate=192 level=14.5 priority=2 reserved=17.1 wait_ms=40 box=a
timestamp=2026-12-02T10:00:04.001Z level=WARN message="route: own answer, acme sends more than its limit allows, urgent requests first" request=r10 status=429 outcome=NotRun retry_after_ms=60 box=a
timestamp=2026-12-02T10:00:04.002Z level=INFO message="route: refused, its organisation is over its limit" request=r11 organisation=acme rate=192 level=-1 wait_ms=40 box=a
timestamp=2026-12-02T10:00:04.003Z level=WARN message="route: own answer, acme sends more than its limit allows" request=r11 status=429 outcome=NotRun retry_after_ms=60 box=a
timestamp=2026-12-02T10:00:05.000Z level=INFO message="route: first sent to i-9" request=r13 upstream=i-9 box=a
timestamp=2026-12-02T10:00:05.300Z level=INFO message="route: not sent again, the retry budget is spent" request=r13 service=s why="Overdue { stuck: 0.2 }" priority=2 left_ms=900 box=a
timestamp=2026-12-02T10:00:05.400Z level=INFO message="route: retry sent to i-8" request=r13 upstream=i-8 box=a
timestamp=2026-12-02T10:00:05.500Z level=WARN message="route: own answer, the upstream sheds load" request=r13 status=503 outcome=NotRun retry_after_ms=200 box=a
timestamp=2026-12-02T10:00:06.000Z level=INFO message="route: first sent to i-9" request=r14 upstream=i-9 box=a
timestamp=2026-12-02T10:00:06.300Z level=INFO message="route: hedge not sent, more urgent requests wait for slots" request=r14 service=s priority=2 admission_level=13500 pressure=1.4 level_age_ms=12 box=a
timestamp=2026-12-02T10:00:07.200Z level=WARN message="route: own answer, the time limit has passed" request=r14 status=504 outcome=Unknown box=a
timestamp=2026-12-02T10:00:08.000Z level=INFO message="route: first sent to i-9" request=r15 upstream=i-9 box=a
timestamp=2026-12-02T10:00:08.100Z level=INFO message="route: not sent again, the retry budget is spent" request=r15 service=s why=Failed priority=2 left_ms=900 box=a
timestamp=2026-12-02T10:00:08.101Z level=WARN message="attempt: not sent to i-9: connect: refused" request=r15 upstream=i-9 box=a
timestamp=2026-12-02T10:00:08.102Z level=WARN message="route: own answer, connect: refused" request=r15 status=503 outcome=NotRun retry_after_ms=200 box=a
timestamp=2026-12-02T10:00:09.000Z level=INFO message="route: refused, the box stops before the request's time limit ends" request=r16 left_ms=2480 limit_ms=<none> box=a
timestamp=2026-12-02T10:00:09.001Z level=INFO message="route: first not sent, no live upstream" request=r16 service=s aim_ms=<none> priority=<none> admission_level=<none> pressure=<none> level_age_ms=<none> box=a
timestamp=2026-12-02T10:00:09.002Z level=WARN message="route: own answer, no live upstream" request=r16 status=503 outcome=NotRun retry_after_ms=<none> box=a
timestamp=2026-12-02T10:00:10.000Z level=INFO message="route: first sent to i-9" request=r17 upstream=i-9 box=a
timestamp=2026-12-02T10:00:13.000Z level=WARN message="route: given up since the box stops" request=r17 service=s attempts=1 timeout_ms=<none> late_ms=<none> age_ms=3000 accepted_ms=2998 after_stop_ms=<none> upstream=i-9 peer=<none> sent_ms=2997 box=a
timestamp=2026-12-02T10:00:13.001Z level=WARN message="route: own answer, the box stopped with 1 attempt(s) open" request=r17 status=504 outcome=Unknown retry_after_ms=1000 box=a
timestamp=2026-12-02T10:00:13.000Z level=WARN message="route: given up at its deadline" request=r18 service=s attempts=1 timeout_ms=300 late_ms=1 age_ms=301 accepted_ms=300 after_stop_ms=<none> upstream=<none> peer=10.0.0.2:7001 sent_ms=299 box=a
timestamp=2026-12-02T10:00:13.001Z level=WARN message="route: own answer, the deadline passed with 0 attempt(s) open" request=r18 status=504 outcome=Unknown retry_after_ms=1000 box=a
timestamp=2026-12-02T10:00:14.000Z level=WARN message="stop: request open at the end of the process" request=r19 service=s age_ms=1500 accepted_ms=1400 after_stop_ms=2900 sent_ms=1399 upstream=i-9 peer=<none> attempts=1 answering=false stopping=true box=a
timestamp=2026-12-02T10:00:13.000Z level=INFO message="route: answered" request=r20 service=s status=200 took_ms=40 box=a
timestamp=2026-12-02T10:00:14.000Z level=WARN message="stop: request open at the end of the process" request=r20 service=s age_ms=5600 accepted_ms=5600 after_stop_ms=<none> sent_ms=5599 upstream=i-9 peer=<none> attempts=1 answering=true stopping=true box=a
timestamp=2026-12-02T10:00:14.000Z level=WARN message="stop: request open at the end of the process" request=r21 service=s age_ms=900 accepted_ms=<none> after_stop_ms=<none> sent_ms=<none> upstream=<none> peer=<none> attempts=0 answering=false stopping=true box=a
timestamp=2026-12-02T10:00:15.000Z level=INFO message="route: connection closed before the answer" request=r22 service=s age_ms=700 accepted_ms=699 after_stop_ms=<none> sent_ms=698 upstream=i-9 peer=<none> attempts=1 answering=false stopping=false box=a
timestamp=2026-12-02T10:00:15.000Z level=INFO message="route: connection closed before the answer" request=r23 service=s age_ms=700 accepted_ms=699 after_stop_ms=<none> sent_ms=698 upstream=i-9 peer=<none> attempts=1 answering=false stopping=true box=a
timestamp=2026-12-02T10:00:16.000Z level=INFO message="route: answered" request=r24 service=s status=200 took_ms=40 box=a
timestamp=2026-12-02T10:00:16.100Z level=INFO message="route: connection closed within the answer" request=r24 service=s age_ms=140 accepted_ms=139 after_stop_ms=<none> sent_ms=138 upstream=i-9 peer=<none> attempts=1 answering=true stopping=false box=a
timestamp=2026-12-02T10:00:16.000Z level=INFO message="route: answered" request=r25 service=s status=200 took_ms=40 box=a
timestamp=2026-12-02T10:00:16.100Z level=WARN message="route: answer broke off before its end, Connection reset by peer (os error 104)" request=r25 service=s age_ms=140 accepted_ms=139 after_stop_ms=<none> sent_ms=138 upstream=<none> peer=10.0.0.2:7001 attempts=1 answering=true stopping=false box=a
timestamp=2026-12-02T10:00:17.000Z level=INFO message="route: first relayed through 10.0.0.2:7001, connections from this box fail" request=r26 service=s peer=10.0.0.2:7001 box=a
timestamp=2026-12-02T10:00:17.300Z level=WARN message="route: own answer, exchange: reset" request=r26 status=502 outcome=Unknown retry_after_ms=1000 box=a
timestamp=2026-12-02T10:00:17.301Z level=INFO message="route: connection closed before the answer" request=r26 service=s age_ms=299 accepted_ms=298 after_stop_ms=<none> sent_ms=297 upstream=i-9 peer=<none> attempts=1 answering=false stopping=false box=b
"#;

#[rstest]
#[case(
    "r1",
    "answered 502 by the box: exchange: \"reset\" (attempt: i-7 failed, outcome unknown: exchange: reset); it may have been run, and is not sent again; the caller was told to come back after 1000 ms"
)]
#[case(
    "r2",
    "answered 503 by the box: no live upstream; it was not run; the caller was told to come back after 600 ms"
)]
#[case("r3", "i-9 answered with 200 after 500 ms, after another attempt failed")]
#[case(
    "r4",
    "sent 1 times, last to i-9; no end is on record: the caller left, the box ended, or the line was left out"
)]
#[case(
    "r5",
    "i-9 answered with 200 after 301 ms, through the box at 10.0.0.2:7001, since connections from a failed"
)]
#[case(
    "r6",
    "answered 503 by the box: the box stops before the request's time limit ends (it was to end within 2580 ms, and the request might have taken 3000 ms); it was not run; the caller was told to come back after 100 ms"
)]
#[case(
    "r7",
    "answered 503 by the box: the box stops before the request's time limit ends (it was to end within 2480 ms, and the request had no time limit); it was not run; the caller was told to come back after 100 ms"
)]
#[case(
    "r8",
    "answered 503 by the box: more urgent requests wait for slots (its priority is 2, the admission level was 13500 thousandths as of 12 ms before, and the wait was 1.4 times what requests of lower priority may meet); it was not run; the caller was told to come back after 700 ms"
)]
#[case(
    "r9",
    "answered 503 by the box: the upstream sheds load; it was not run; the retry budget allowed no further attempt at priority 2; the caller was told to come back after 200 ms"
)]
#[case(
    "r10",
    "answered 429 by the box: acme sends more than its limit allows, urgent requests first, as 17.1 requests of the limit were reserved for priorities above its own (2); it was not run; the caller was told to come back after 60 ms"
)]
#[case(
    "r11",
    "answered 429 by the box: acme sends more than its limit allows; it was not run; the caller was told to come back after 60 ms"
)]
#[case::sent_again_after_a_denied_hedge(
    "r13",
    "answered 503 by the box: the upstream sheds load; it was not run; the caller was told to come back after 200 ms"
)]
#[case::hedge_outranked(
    "r14",
    "answered 504 by the box: the time limit has passed; it may have been run, and is not sent again"
)]
#[case::denied_before_an_attempt_ended(
    "r15",
    "answered 503 by the box: connect: refused (attempt: not sent to i-9: connect: refused); it was not run; the retry budget allowed no further attempt at priority 2; the caller was told to come back after 200 ms"
)]
// Guards against verdicts from fields that have no value, which the log writes as `<none>`.
#[case::fields_without_a_value(
    "r16",
    "answered 503 by the box: no live upstream (it was to end within 2480 ms, and the request had no time limit); it was not run"
)]
#[case::given_up_at_a_stop(
    "r17",
    "answered 504 by the box: the box stopped with 1 attempt(s) open (received 3000 ms before, accepted before the stop began, sent to i-9 2997 ms before); it may have been run, and is not sent again; the caller was told to come back after 1000 ms"
)]
#[case::given_up_at_its_deadline(
    "r18",
    "answered 504 by the box: the deadline passed with 0 attempt(s) open (received 301 ms before, sent to the box at 10.0.0.2:7001 299 ms before); it may have been run, and is not sent again; the caller was told to come back after 1000 ms"
)]
#[case::open_at_the_end(
    "r19",
    "the process ended while i-9 had the request (received 1500 ms before, accepted 2900 ms after the stop began, sent to i-9 1399 ms before)"
)]
#[case::open_answer_at_the_end(
    "r20",
    "the process ended within the answer of i-9 (received 5600 ms before, accepted before the stop began, sent to i-9 5599 ms before)"
)]
#[case::not_accepted_at_the_end(
    "r21",
    "the process ended before the request was sent (received 900 ms before, not accepted by then)"
)]
#[case::closed(
    "r22",
    "the connection was closed before an answer (received 700 ms before, sent to i-9 698 ms before)"
)]
#[case::closed_during_a_stop(
    "r23",
    "the connection was closed before an answer (received 700 ms before, accepted before the stop began, sent to i-9 698 ms before)"
)]
#[case::closed_within_the_answer(
    "r24",
    "the connection was closed within the answer of i-9 (received 140 ms before, sent to i-9 138 ms before)"
)]
#[case::answer_cut(
    "r25",
    "the answer of the box at 10.0.0.2:7001 broke off before its end: Connection reset by peer (os error 104) (received 140 ms before, sent to the box at 10.0.0.2:7001 138 ms before)"
)]
// Guards against the end at the box that a request was relayed to, which comes later.
#[case::closed_by_the_relaying_box(
    "r26",
    "answered 502 by the box: exchange: reset; it may have been run, and is not sent again; the caller was told to come back after 1000 ms"
)]
fn a_request_is_explained_in_a_sentence(#[case] id: &str, #[case] expected: &str) {
    let found = explain::request(id, LINES.lines()).expect("the log names it");
    assert_eq!(found.verdict, expected);
}

#[test]
fn lines_of_many_boxes_are_sorted_by_time() {
    let found = explain::upstream("i-7", LINES.lines()).expect("the log names it");
    let order: Vec<(&str, &str)> =
        found.lines.iter().map(|l| (l.origin.as_str(), l.message.as_str())).collect();
    assert_eq!(
        order,
        [
            ("b", "list: i-7 is Live"),
            ("a", "attempt: i-7 failed, outcome unknown: exchange: reset"),
            ("b", "news: i-7 is in doubt"),
        ]
    );
    assert!(found.verdict.contains("last listed as Live; 1 attempts failed"), "{}", found.verdict);
}

#[test]
fn unknown_names_are_not_explained() {
    assert_eq!(explain::request("r", LINES.lines()), None, "an id must match in full");
    assert_eq!(explain::upstream("i-99", LINES.lines()), None);
}
