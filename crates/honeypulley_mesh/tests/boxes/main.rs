//! Tests of several boxes on the loopback interface: what each learns, and over which path.

mod departures;
mod foreign;
mod join;
mod limits;
mod model;
mod power_loss;
mod pulls;
mod received;
mod restore;
mod routes;
mod support;
