//! Restart of the duty that serves callers, during a stop.

use cadence::{NopMetricSink, StatsdClient};
use honeypulley_daemon::serve::{ServeDuty, ServeLimits, WAIT_LOG};
use honeypulley_policy::router::Router;
use honeypulley_policy::shutdown::PlannedStop;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::shared::{BundleState, ServingQueues};
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::tree::{Duty, Shutdown};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// Creates the duty after its port was closed.
fn duty() -> ServeDuty {
    let metrics = Arc::new(StatsdClient::from_sink("test", NopMetricSink));
    let (router, queues) = (Router::new("box0", "hall0", 1), ServingQueues::default());
    let fingerprints = Fingerprinter::new([7; 32]);
    let state = BundleState::new(router, queues, Clock::start(), metrics, None, fingerprints);
    let state = Arc::new(state.expect("the client is valid"));
    ServeDuty {
        gate: Arc::clone(&state.gate),
        feeder: state,
        limits: ServeLimits {
            head_time: Duration::from_secs(1),
            max_callers: 10,
            leave_wait: Duration::ZERO,
            grace: None,
            wait_log: WAIT_LOG,
            write_stall: None,
        },
        listener: Mutex::new(None),
        relay_listener: Mutex::new(None),
    }
}

/// Guards against a process that never ends, since its connections ended with the duty.
#[test]
fn a_stop_is_complete_if_the_duty_dies_after_the_close_of_its_port() {
    let (duty, shutdown) = (duty(), Shutdown::default());
    duty.gate.stop.begin(PlannedStop::new(duty.gate.now(), None));
    shutdown.drain.cancel();
    duty.run(&shutdown).expect("the stop is complete");
    assert!(shutdown.stop.is_cancelled());
}

#[test]
fn a_closed_port_is_an_error_unless_the_box_stops() {
    let (duty, shutdown) = (duty(), Shutdown::default());
    assert!(duty.run(&shutdown).is_err());
    assert!(!shutdown.stop.is_cancelled());
}
