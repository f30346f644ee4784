//! Tests what log lines say of a request's priorities.

use crate::support::{race, rejecting_upstream, test_gate};
use honeypulley_policy::balance::RetryReason;
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::ranks::RequestPriority;
use honeypulley_supervisor::clock::Clock;
use log::kv::{Key, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;

type Line = BTreeMap<String, String>;

/// Keys and values of the lines that were logged.
#[derive(Debug, Default)]
struct Lines(Mutex<Vec<Line>>);

/// Collects the keys and values of one line.
struct Collector(Line);

impl<'kvs> VisitSource<'kvs> for Collector {
    fn visit_pair(&mut self, k: Key<'kvs>, v: log::kv::Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(k.to_string(), v.to_string());
        Ok(())
    }
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let message = ("message".to_owned(), record.args().to_string());
        let mut collector = Collector(Line::from([message]));
        record.key_values().visit(&mut collector).expect("values can be collected");
        self.0.lock().push(collector.0);
    }

    fn flush(&self) {}
}

/// Returns the priorities in the line of a request whose retry was denied.
async fn logged(lines: &Lines, organisation: Option<u8>, route: u8) -> [Option<String>; 2] {
    let addrs = [rejecting_upstream().await, rejecting_upstream().await];
    let test = test_gate(&addrs, Clock::start());
    let now = test.gate.now();
    while test.balancer.lock().spend_retry(test.service, RetryReason::Failed, now) {}
    let mut race = race(&test, Duration::from_secs(5));
    race.id = format!("r-{organisation:?}-{route}").into();
    race.decision.priority = RequestPriority::new(organisation, route);
    let id = race.id.clone();
    race.run().await.expect_err("no upstream accepts the request");
    let lines = lines.0.lock();
    let is_denied = |l: &&Line| {
        l["message"].starts_with("route: not sent again")
            && l.get("request") == Some(&id.to_string())
    };
    let line = lines.iter().find(is_denied).expect("the retry is denied");
    let value = |key: &str| line.get(key).filter(|v| v.parse::<u8>().is_ok()).cloned();
    ["priority", "route_priority"].map(value)
}

/// Guards against lines that show the organisation's priority alone.
#[tokio::test]
async fn a_line_shows_the_route_s_priority_where_it_differs() {
    let lines: &Lines = Box::leak(Box::default());
    log::set_logger(lines).expect("no other test sets a logger");
    log::set_max_level(LevelFilter::Info);
    let text = |n: &str| Some(n.to_owned());
    assert_eq!(logged(lines, None, 2).await, [text("2"), None]);
    assert_eq!(logged(lines, Some(2), 2).await, [text("2"), None]);
    assert_eq!(logged(lines, Some(1), 2).await, [text("1"), text("2")]);
}
