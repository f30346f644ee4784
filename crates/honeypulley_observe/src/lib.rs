//! Non-blocking logs, metrics in the Prometheus text format, and log analysis.
//!
//! [`logs`] queues log lines in a bounded ring that a separate thread writes out.
//! [`metrics`] collects the metrics of a cadence client and formats them as text.
//! [`explain`] parses the log lines of many boxes and explains what decided a request
//! or the state of an upstream. [`losses`] counts the requests that were not served, by
//! class, and [`departures`] shows when each box learned that an upstream left.

pub mod departures;
pub mod explain;
pub mod logs;
pub mod losses;
pub mod metrics;
