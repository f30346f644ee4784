//! Log lines of a stop that waits for open requests and sessions.

use cadence::{NopMetricSink, StatsdClient};
use honeypulley_daemon::serve::{ServeDuty, ServeLimits};
use honeypulley_policy::router::Router;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::open::OpenGuard;
use honeypulley_proxy::shared::{BundleState, ServingQueues};
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::tree::{Duty, Shutdown};
use log::{LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two lines in this test.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time in which lines are awaited.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Logger that keeps the lines.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().push(record.args().to_string());
    }

    fn flush(&self) {}
}

impl Lines {
    fn count(&self, text: &str) -> usize {
        self.0.lock().iter().filter(|l| l.as_str() == text).count()
    }
}

fn state() -> Arc<BundleState> {
    let metrics = Arc::new(StatsdClient::from_sink("test", NopMetricSink));
    let (router, queues) = (Router::new("box0", "hall0", 1), ServingQueues::default());
    let fingerprints = Fingerprinter::new([7; 32]);
    let state = BundleState::new(router, queues, Clock::start(), metrics, None, fingerprints);
    Arc::new(state.expect("the client is valid"))
}

/// Guards against a stop that waits without saying for what.
#[test]
fn a_stop_says_what_it_waits_for() {
    log::set_logger(&LINES).expect("there is no other logger");
    log::set_max_level(LevelFilter::Info);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let state = state();
    let duty = ServeDuty {
        gate: Arc::clone(&state.gate),
        feeder: Arc::<BundleState>::clone(&state),
        limits: ServeLimits {
            head_time: Duration::from_secs(1),
            max_callers: 10,
            leave_wait: Duration::ZERO,
            grace: None,
            wait_log: INTERVAL,
            write_stall: None,
        },
        listener: Mutex::new(Some(listener)),
        relay_listener: Mutex::new(None),
    };
    let (shutdown, open) = (Shutdown::default(), OpenGuard::new(&state.gate, "r-1".into()));
    let began = Instant::now();
    shutdown.drain.cancel();
    let runner = thread::spawn({
        let shutdown = shutdown.clone();
        move || duty.run(&shutdown)
    });
    while LINES.count("stop: waiting for 1 requests and sessions") < 2 {
        assert!(began.elapsed() < TIMEOUT, "{:?}", LINES.0.lock());
        thread::sleep(Duration::from_millis(5));
    }
    assert!(began.elapsed() >= 2 * INTERVAL, "{:?}", began.elapsed());
    drop(open);
    runner.join().expect("no panic").expect("the stop is complete");
    assert_eq!(LINES.count("stop: complete, 0 requests and sessions open"), 1);
}
