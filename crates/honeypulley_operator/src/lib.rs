//! The operators' tool: validates, signs and rolls out bundles, and inspects the fleet.

pub mod cli;
pub mod fleet;
pub mod keys;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod why;
