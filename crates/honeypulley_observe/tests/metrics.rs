//! Metrics of a cadence client appear in the text of the registry.

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};
use honeypulley_observe::metrics::Registry;

#[test]
fn counters_gauges_and_histograms_are_formatted() {
    let registry = Registry::default();
    let client = StatsdClient::from_sink("honeypulley", registry.clone());
    client.incr("requests").expect("the registry accepts every metric");
    client.count("requests", 2).expect("the registry accepts every metric");
    client.count_with_tags("attempts", 1).with_tag("service", "a").with_tag("kind", "first").send();
    client.gauge("open", 7).expect("the registry accepts every metric");
    client.time("duration_ms", 30).expect("the registry accepts every metric");
    client.time("duration_ms", 700).expect("the registry accepts every metric");
    let text = registry.text();
    for line in [
        "honeypulley_requests_total 3",
        "honeypulley_attempts_total{service=\"a\",kind=\"first\"} 1",
        "honeypulley_open 7",
        "honeypulley_duration_ms_bucket{le=\"25\"} 0",
        "honeypulley_duration_ms_bucket{le=\"50\"} 1",
        "honeypulley_duration_ms_bucket{le=\"+Inf\"} 2",
        "honeypulley_duration_ms_sum 730",
        "honeypulley_duration_ms_count 2",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn the_number_of_series_is_bounded() {
    let registry = Registry::default();
    let client = StatsdClient::from_sink("h", registry.clone());
    for i in 0..5_000 {
        client.count_with_tags("x", 1).with_tag("service", &format!("s{i}")).send();
    }
    let text = registry.text();
    assert!(text.lines().count() <= 2_001, "{}", text.lines().count());
    assert!(
        text.contains("honeypulley_metrics_overflow_total 3000"),
        "series beyond the limit are counted"
    );
}
