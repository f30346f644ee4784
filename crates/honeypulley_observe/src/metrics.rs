//! Counters, gauges and latency histograms in the text format of Prometheus.
//!
//! [`Registry`] is a sink for a cadence client, so that the same instrumentation serves
//! both a `StatsD` server and a Prometheus endpoint.

use cadence::MetricSink;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of series; further ones are counted in a single overflow counter.
///
/// The limit allows for ten names with 200 services each; a box handles only a subset
/// of the services.
const MAX_SERIES: usize = 2_000;
/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS: [u64; 11] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];
/// Name of the counter for metrics beyond [`MAX_SERIES`].
const OVERFLOW: &str = "honeypulley_metrics_overflow_total";

#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKETS.len()],
    count: u64,
    sum: u64,
}

#[derive(Clone, Debug)]
enum Series {
    Counter(i64),
    Gauge(f64),
    Timer(Box<Histogram>),
}

/// Collects the metrics of one process.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    series: Arc<Mutex<BTreeMap<(String, String), Series>>>,
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        metric.lines().for_each(|line| self.record(line));
        Ok(metric.len())
    }
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(String, String), Series>> {
        // Poisoning is ignored: no update can leave the map inconsistent.
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a metric in the `StatsD` format `NAME:VALUE|TYPE|#TAGS`.
    fn record(&self, line: &str) {
        let Some((name, rest)) = line.split_once(':') else { return };
        let mut parts = rest.split('|');
        let (Some(value), Some(kind)) = (parts.next(), parts.next()) else { return };
        let labels = parts.find_map(|p| p.strip_prefix('#')).map(labels).unwrap_or_default();
        let name = name.replace(['.', '-'], "_");
        let mut series = self.lock();
        let key = (name, labels);
        if series.len() >= MAX_SERIES && !series.contains_key(&key) {
            let over = (OVERFLOW.to_owned(), String::new());
            add_count(series.entry(over).or_insert(Series::Counter(0)), 1);
            return;
        }
        match kind {
            "c" => {
                let n = value.parse().unwrap_or(0);
                add_count(series.entry(key).or_insert(Series::Counter(0)), n);
            }
            "g" => {
                let v = value.parse().unwrap_or(f64::NAN);
                series.insert(key, Series::Gauge(v));
            }
            "ms" => {
                let ms = value.parse().unwrap_or(0);
                let s = series.entry(key).or_insert_with(|| Series::Timer(Box::default()));
                if let Series::Timer(h) = s {
                    h.add(ms);
                }
            }
            _ => {}
        }
    }

    /// Formats all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let series = self.lock().clone();
        let mut out = String::new();
        for ((name, labels), s) in &series {
            // Writing to a `String` never fails.
            let _ = match s {
                Series::Counter(n) if name.ends_with("_total") => {
                    writeln!(out, "{name}{} {n}", label_set(labels, ""))
                }
                Series::Counter(n) => writeln!(out, "{name}_total{} {n}", label_set(labels, "")),
                Series::Gauge(v) => writeln!(out, "{name}{} {v}", label_set(labels, "")),
                Series::Timer(h) => h.write(name, labels, &mut out),
            };
        }
        out
    }
}

impl Histogram {
    fn add(&mut self, ms: u64) {
        self.count += 1;
        self.sum += ms;
        for (n, bound) in self.buckets.iter_mut().zip(BUCKETS) {
            *n += u64::from(ms <= bound);
        }
    }

    fn write(&self, name: &str, labels: &str, out: &mut String) -> std::fmt::Result {
        for (n, bound) in self.buckets.iter().zip(BUCKETS) {
            let le = format!("le=\"{bound}\"");
            writeln!(out, "{name}_bucket{} {n}", label_set(labels, &le))?;
        }
        writeln!(out, "{name}_bucket{} {}", label_set(labels, "le=\"+Inf\""), self.count)?;
        writeln!(out, "{name}_sum{} {}", label_set(labels, ""), self.sum)?;
        writeln!(out, "{name}_count{} {}", label_set(labels, ""), self.count)
    }
}

fn add_count(s: &mut Series, n: i64) {
    if let Series::Counter(c) = s {
        *c += n;
    }
}

/// Converts tags `a:b,c:d` to labels `a="b",c="d"`.
fn labels(tags: &str) -> String {
    let label = |t: &str| {
        let (k, v) = t.split_once(':').unwrap_or((t, ""));
        format!("{k}=\"{}\"", v.replace(['"', '\\', '\n'], "_"))
    };
    tags.split(',').map(label).collect::<Vec<_>>().join(",")
}

fn label_set(labels: &str, more: &str) -> String {
    match (labels.is_empty(), more.is_empty()) {
        (true, true) => String::new(),
        (true, false) => format!("{{{more}}}"),
        (false, true) => format!("{{{labels}}}"),
        (false, false) => format!("{{{labels},{more}}}"),
    }
}
