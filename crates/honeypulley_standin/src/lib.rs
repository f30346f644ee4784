//! Stand-in platform and stand-in upstreams with faults that can be injected.
//!
//! Both implement the published protocols. Tests, the demo and the measuring
//! tools use them; no shipped program depends on them.

pub mod platform;
pub mod upstream;
pub mod work;
