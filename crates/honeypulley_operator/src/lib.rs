//! The operators' command: check, sign, roll out, status, why.

pub mod cli;
pub mod fleet;
pub mod keys;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod why;
