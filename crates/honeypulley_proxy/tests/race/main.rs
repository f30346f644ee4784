//! One request on its way, over real connections.

mod ends;
mod support;
mod suspended;
