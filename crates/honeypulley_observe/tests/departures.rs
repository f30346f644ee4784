//! The report on departures shows which boxes learned late, or never.

use honeypulley_observe::departures;

const LINES: &str = r#"
timestamp=2026-03-04T16:24:45.000000+00:00 level=INFO message="list: i-1 is Live" upstream=i-1 state=Live list=3 from=platform box=a
timestamp=2026-03-04T16:24:45.010000+00:00 level=INFO message="list: i-1 is Live" upstream=i-1 state=Live list=3 from=10.0.0.1:7 box=b
timestamp=2026-03-04T16:24:45.010000+00:00 level=INFO message="list: i-1 is Live" upstream=i-1 state=Live list=3 from=10.0.0.1:7 box=c
timestamp=2026-03-04T16:24:45.010000+00:00 level=INFO message="list: i-2 is Live" upstream=i-2 state=Live list=3 from=10.0.0.1:7 box=c
timestamp=2026-03-04T16:24:46.000000+00:00 level=INFO message="list: i-1 is Leaving" upstream=i-1 state=Leaving list=9 from=platform box=a
timestamp=2026-03-04T16:24:47.200000+00:00 level=INFO message="list: i-1 is Leaving" upstream=i-1 state=Leaving list=9 from=10.0.0.9:7 box=b
timestamp=2026-03-04T16:24:48.000000+00:00 level=INFO message="list: i-1 is Gone" upstream=i-1 state=Gone list=11 from=platform box=a
timestamp=2026-03-04T16:24:48.100000+00:00 level=INFO message="list: version 11 is missed" version=11 held=3 peer=10.0.0.9:7 box=c
timestamp=2026-03-04T16:24:48.200000+00:00 level=INFO message="list: i-2 is Live" upstream=i-2
"#;

#[test]
fn delays_count_from_the_first_box_that_learned() {
    let found = departures::read(LINES.lines());
    let [d] = &found[..] else { panic!("exactly one departure: {found:?}") };
    assert_eq!((d.upstream.as_str(), d.heard, d.last_ms), ("i-1", 2, 1_200));
    assert_eq!(d.last, ("b".to_owned(), "10.0.0.9:7".to_owned()));
    assert_eq!(d.never, ["c"]);
}

#[test]
fn the_page_starts_with_the_longest_delay() {
    let page = departures::page(&departures::read(LINES.lines()));
    let first = "1 departures, the slowest to the last box after 1200 ms; 1 not heard by every box";
    assert!(page.starts_with(first), "{page}");
    assert!(page.trim_end().ends_with("b from 10.0.0.9:7 c"), "{page}");
}
