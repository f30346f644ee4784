//! Logs that never block, metrics as text, and what a request's lines say.
//!
//! [`logs`] takes lines into a bounded ring that one thread writes out. [`metrics`]
//! collects what cadence sends and shows it as text. [`explain`] reads log lines of
//! many boxes and says in a sentence what decided a request or a belief; [`losses`]
//! counts what was not served by what decided it, and [`departures`] which box learned
//! when that an upstream left.

pub mod departures;
pub mod explain;
pub mod logs;
pub mod losses;
pub mod metrics;
