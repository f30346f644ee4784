//! Starts a box: reads the settings, binds the ports and runs the duties.

use crate::admin::AdminDuty;
use crate::collect::CollectDuty;
use crate::context::Context;
use crate::peer::PeerDuty;
use crate::permit::PermitDuty;
use crate::platform::PlatformDuty;
use crate::serve::{ServeDuty, ServeLimits, WAIT_LOG};
use crate::settings::Settings;
use crate::ticks::{TICK, Ticks};
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use eyre::{Result, WrapErr};
use honeypulley_observe::logs::{self, LogGuard};
use honeypulley_platform::http::HttpPlatform;
use honeypulley_policy::router::Router;
use honeypulley_policy::shutdown::{PlannedStop, usable_grace};
use honeypulley_policy::time::Time;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::shared::{BundleState, ServingQueues};
use honeypulley_proxy::stop::StopState;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::tree::{Duty, Shutdown, Supervisor, block_on};
use logforth::record::LevelFilter;
use parking_lot::Mutex;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior};

/// Prefix of every metric.
const METRICS_PREFIX: &str = "honeypulley";
/// Time from a late tick to the next one, in which handlers of signals run.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// Reads and checks the settings at `path`.
///
/// # Errors
/// Returns an error that names the file, and the line and key of an invalid entry.
pub fn check(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("{file}: read settings"))?;
    Ok(Settings::read(&file, &text)?)
}

/// Runs a box until its graceful shutdown is complete.
///
/// # Errors
/// Returns an error if a port is in use or a thread can't be started.
pub fn run(settings: Settings) -> Result<()> {
    let _logs = start_logs(&settings.name, settings.log)?;
    let (listen, admin, peer) = (settings.listen, settings.admin, settings.peer);
    let caller_listener = bind(listen, "listen")?;
    let admin_listener = bind(admin, "admin")?;
    let peer_listener = bind(peer, "peer")?;
    let peer_socket =
        UdpSocket::bind(peer).wrap_err_with(|| format!("[box] peer: bind UDP {peer}"))?;
    peer_socket.set_nonblocking(true)?;
    let platform = Arc::new(HttpPlatform::new(&settings.platform.to_string())?);
    let router = Router::new(&settings.name, &settings.hall, fastrand::u64(..));
    let metrics = Arc::new(statsd_client(settings.metrics)?);
    let (source, clock) = (settings.source, Clock::start());
    let fingerprints = Fingerprinter::new(settings.key.subkey("request fingerprints"));
    let shared =
        BundleState::new(router, ServingQueues::default(), clock, metrics, source, fingerprints)?;
    let shared = Arc::new(shared);
    let (name, hall) = (settings.name.as_str(), settings.hall.as_str());
    log::info!(
        name, hall, grace_ms = settings.grace.map(|g| g.as_millis() as u64);
        "start: {name} in {hall}, listening for callers on {listen}, peers on {peer}, admin on {admin}"
    );
    let limits = ServeLimits {
        head_time: settings.head_time,
        max_callers: settings.max_callers,
        leave_wait: settings.leave_wait,
        grace: settings.grace.map(usable_grace),
        wait_log: WAIT_LOG,
        write_stall: None,
    };
    let stop = StopOnSignal {
        state: Arc::clone(&shared.gate.stop),
        clock: shared.gate.clock,
        grace: limits.grace,
    };
    let serve = ServeDuty {
        gate: Arc::clone(&shared.gate),
        feeder: Arc::<BundleState>::clone(&shared),
        limits,
        listener: Mutex::new(Some(caller_listener)),
        relay_listener: Mutex::new(None),
    };
    let ctx = Arc::new(Context::new(settings, shared));
    Supervisor::new(Shutdown::default())
        .duty(SignalDuty { stop: Some(stop), reload: None })
        .duty(AdminDuty { view: Arc::<Context>::clone(&ctx), listener: admin_listener })
        .duty(PlatformDuty { ctx: Arc::clone(&ctx), platform: platform.clone() })
        .duty(PermitDuty { ctx: Arc::clone(&ctx), platform })
        .duty(CollectDuty { ctx: Arc::clone(&ctx) })
        .duty(PeerDuty { ctx: Arc::clone(&ctx), socket: peer_socket, listener: peer_listener })
        .duty(serve)
        .run()
}

/// Binds a TCP listener; errors name the settings key `key`.
///
/// # Errors
/// Returns an error if the port is in use.
pub fn bind(addr: SocketAddr, key: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).wrap_err_with(|| format!("[box] {key}: bind {addr}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Logs lines of at least `level` to standard output through a bounded ring.
///
/// Dropping the guard flushes the remaining lines. A second call within a process
/// has no effect.
///
/// # Errors
/// Returns an error if the writer thread can't be started.
pub fn start_logs(name: &str, level: log::LevelFilter) -> Result<LogGuard> {
    let filter = match level {
        log::LevelFilter::Off => LevelFilter::Off,
        log::LevelFilter::Error => LevelFilter::MoreSevereEqual(logforth::record::Level::Error),
        log::LevelFilter::Warn => LevelFilter::MoreSevereEqual(logforth::record::Level::Warn),
        log::LevelFilter::Info => LevelFilter::MoreSevereEqual(logforth::record::Level::Info),
        log::LevelFilter::Debug => LevelFilter::MoreSevereEqual(logforth::record::Level::Debug),
        log::LevelFilter::Trace => LevelFilter::All,
    };
    let (append, guard) =
        logs::ring(name, std::io::stdout()).wrap_err("start the log writer thread")?;
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(append)).apply();
    Ok(guard)
}

fn statsd_client(to: Option<SocketAddr>) -> Result<StatsdClient> {
    let Some(to) = to else { return Ok(StatsdClient::from_sink(METRICS_PREFIX, NopMetricSink)) };
    let socket = UdpSocket::bind("0.0.0.0:0").wrap_err("metrics: open a UDP socket")?;
    socket.set_nonblocking(true)?;
    let sink =
        BufferedUdpMetricSink::from(to, socket).wrap_err("metrics: create the StatsD sink")?;
    Ok(StatsdClient::from_sink(METRICS_PREFIX, QueuingMetricSink::from(sink)))
}

/// Starts a graceful shutdown on SIGTERM or SIGINT, and a reload on SIGHUP.
#[derive(Debug, Default)]
pub struct SignalDuty {
    /// State of the stop; without it, the duty that serves callers begins the stop.
    pub stop: Option<StopOnSignal>,
    /// Reload action of SIGHUP; without one, the signal is only logged.
    pub reload: Option<Reload>,
}

/// State of the planned stop that a signal begins.
#[derive(Clone, Debug)]
pub struct StopOnSignal {
    /// State that the duties share.
    pub state: Arc<StopState>,
    /// Clock of the process.
    pub clock: Clock,
    /// Maximum duration of a planned stop, if it is bounded.
    pub grace: Option<Duration>,
}

impl StopOnSignal {
    /// Begins the stop, whose signal was sent since `earliest`.
    fn begin(&self, earliest: Time) {
        let stop = PlannedStop::new(self.clock.now(), self.grace).with_earliest(earliest);
        self.state.begin(stop);
    }
}

/// Action that reloads the settings.
#[derive(Clone)]
pub struct Reload(pub Arc<dyn Fn() -> Result<()> + Send + Sync>);

impl std::fmt::Debug for Reload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Reload(..)")
    }
}

impl SignalDuty {
    /// Returns the current time, which is needed only for a stop.
    fn now(&self) -> Time {
        self.stop.as_ref().map_or(Time::ZERO, |s| s.clock.now())
    }

    fn on_stop(&self, ticks: Ticks, shutdown: &Shutdown) {
        if let Some(stop) = &self.stop {
            stop.begin(ticks.earliest());
        }
        shutdown.drain.cancel();
    }

    /// Records a tick; after a late one, another follows soon.
    fn on_tick(&self, ticks: &mut Ticks, timer: &mut Interval) {
        let now = self.now();
        if ticks.is_late(now) {
            timer.reset_after(SETTLE_TIME);
        } else if let Some(stop) = &self.stop {
            stop.state.record_quiet(now);
        }
        ticks.record(now);
    }

    fn on_hangup(&self) {
        let Some(Reload(reload)) = &self.reload else {
            log::info!("reload: SIGHUP ignored, this daemon can't reload its settings");
            return;
        };
        match reload() {
            Ok(()) => log::info!("reload: settings reloaded"),
            Err(e) => log::warn!("reload: the settings stay as they were: {e:#}"),
        }
    }
}

impl Duty for SignalDuty {
    fn name(&self) -> &'static str {
        "signal"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            let mut ticks = Ticks::new(self.now());
            let mut timer = tokio::time::interval(TICK);
            // Ticks that follow a suspension at once would hide it.
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut term = signal(SignalKind::terminate()).wrap_err("signal: listen")?;
            let mut int = signal(SignalKind::interrupt()).wrap_err("signal: listen")?;
            let mut hup = signal(SignalKind::hangup()).wrap_err("signal: listen")?;
            loop {
                tokio::select! {
                    // A tick says that no signal was pending.
                    biased;
                    _ = term.recv() => self.on_stop(ticks, shutdown),
                    _ = int.recv() => self.on_stop(ticks, shutdown),
                    _ = hup.recv() => self.on_hangup(),
                    () = shutdown.stop.cancelled() => return Ok(()),
                    _ = timer.tick() => self.on_tick(&mut ticks, &mut timer),
                }
            }
        })
    }
}
