//! One request on its way, over real connections.

mod ends;
mod foreign;
mod support;
mod suspended;
