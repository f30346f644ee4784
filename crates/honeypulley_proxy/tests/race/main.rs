//! Tests the attempts of single requests over real connections.

mod budget;
mod ends;
mod foreign;
mod open;
mod partition;
mod priorities;
mod relayed;
mod stops;
mod support;
mod suspended;
