//! Starting a box: settings, ports, duties.

use crate::admin::AdminDuty;
use crate::collect::CollectDuty;
use crate::context::Context;
use crate::peer::PeerDuty;
use crate::permit::PermitDuty;
use crate::platform::PlatformDuty;
use crate::serve::{ServeDuty, ServeLimits};
use crate::settings::Settings;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use eyre::{Result, WrapErr};
use honeypulley_observe::logs::{self, LogGuard};
use honeypulley_platform::http::HttpPlatform;
use honeypulley_policy::router::Router;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::shared::{Feed, Shared};
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::tree::{Duty, Shutdown, Supervisor, block_on};
use logforth::record::LevelFilter;
use parking_lot::Mutex;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Prefix of every metric.
const METRICS_PREFIX: &str = "honeypulley";

/// Reads and checks the settings at `path`.
///
/// # Errors
/// Returns an error with file, line and key.
pub fn check(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("{file}: read settings"))?;
    Ok(Settings::read(&file, &text)?)
}

/// Runs a box until a planned stop has ended.
///
/// # Errors
/// Returns an error if a port is in use or a thread can't be started.
pub fn run(settings: Settings) -> Result<()> {
    let _logs = start_logs(&settings.name, settings.log)?;
    let (listen, admin, peer) = (settings.listen, settings.admin, settings.peer);
    let callers = bind(listen, "listen")?;
    let operators = bind(admin, "admin")?;
    let peers = bind(peer, "peer")?;
    let datagrams =
        UdpSocket::bind(peer).wrap_err_with(|| format!("[box] peer: bind UDP {peer}"))?;
    datagrams.set_nonblocking(true)?;
    let platform = Arc::new(HttpPlatform::new(&settings.platform.to_string())?);
    let router = Router::new(&settings.name, &settings.hall, fastrand::u64(..));
    let metrics = Arc::new(metrics(settings.metrics)?);
    let (source, clock) = (settings.source, Clock::start());
    let fingerprints = Fingerprinter::new(settings.key.subkey("request fingerprints"));
    let shared = Shared::new(router, Feed::default(), clock, metrics, source, fingerprints)?;
    let shared = Arc::new(shared);
    let (name, hall) = (settings.name.as_str(), settings.hall.as_str());
    log::info!(
        name, hall;
        "start: {name} in {hall}, callers at {listen}, peers at {peer}, readiness at {admin}"
    );
    let limits = ServeLimits {
        head_time: settings.head_time,
        max_callers: settings.max_callers,
        leave_wait: settings.leave_wait,
        grace: None,
    };
    let serve = ServeDuty {
        gate: Arc::clone(&shared.gate),
        feeder: Arc::<Shared>::clone(&shared),
        limits,
        listener: Mutex::new(Some(callers)),
    };
    let ctx = Arc::new(Context::new(settings, shared));
    Supervisor::new(Shutdown::default())
        .duty(SignalDuty::default())
        .duty(AdminDuty { view: Arc::<Context>::clone(&ctx), listener: operators })
        .duty(PlatformDuty { ctx: Arc::clone(&ctx), platform: platform.clone() })
        .duty(PermitDuty { ctx: Arc::clone(&ctx), platform })
        .duty(CollectDuty { ctx: Arc::clone(&ctx) })
        .duty(PeerDuty { ctx: Arc::clone(&ctx), socket: datagrams, listener: peers })
        .duty(serve)
        .run()
}

/// Binds a TCP port, calling it `key` in errors.
///
/// # Errors
/// Returns an error if the port is in use.
pub fn bind(addr: SocketAddr, key: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).wrap_err_with(|| format!("[box] {key}: bind {addr}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Sends log lines of at least `level` to standard output, through a ring.
///
/// The guard writes what is left when it is dropped. A second call in one process
/// changes nothing.
///
/// # Errors
/// Returns an error if the writer's thread can't be started.
pub fn start_logs(name: &str, level: log::LevelFilter) -> Result<LogGuard> {
    let least = match level {
        log::LevelFilter::Off => LevelFilter::Off,
        log::LevelFilter::Error => LevelFilter::MoreSevereEqual(logforth::record::Level::Error),
        log::LevelFilter::Warn => LevelFilter::MoreSevereEqual(logforth::record::Level::Warn),
        log::LevelFilter::Info => LevelFilter::MoreSevereEqual(logforth::record::Level::Info),
        log::LevelFilter::Debug => LevelFilter::MoreSevereEqual(logforth::record::Level::Debug),
        log::LevelFilter::Trace => LevelFilter::All,
    };
    let (append, guard) = logs::ring(name, std::io::stdout()).wrap_err("start the log's thread")?;
    logforth::starter_log::builder().dispatch(|d| d.filter(least).append(append)).apply();
    Ok(guard)
}

fn metrics(to: Option<SocketAddr>) -> Result<StatsdClient> {
    let Some(to) = to else { return Ok(StatsdClient::from_sink(METRICS_PREFIX, NopMetricSink)) };
    let socket = UdpSocket::bind("0.0.0.0:0").wrap_err("metrics: open a socket")?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(to, socket).wrap_err("metrics: set up")?;
    Ok(StatsdClient::from_sink(METRICS_PREFIX, QueuingMetricSink::from(sink)))
}

/// Turns SIGTERM and SIGINT into a planned stop, and SIGHUP into a reload.
#[derive(Debug, Default)]
pub struct SignalDuty {
    /// Called on SIGHUP; without one, the signal is logged and changes nothing.
    pub reload: Option<Reload>,
}

/// What is done on SIGHUP.
#[derive(Clone)]
pub struct Reload(pub Arc<dyn Fn() -> Result<()> + Send + Sync>);

impl std::fmt::Debug for Reload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Reload(..)")
    }
}

impl SignalDuty {
    fn hung_up(&self) {
        let Some(Reload(reload)) = &self.reload else {
            log::info!("reload: SIGHUP came, and nothing can be reloaded");
            return;
        };
        match reload() {
            Ok(()) => log::info!("reload: the settings were read again"),
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
            let mut term = signal(SignalKind::terminate()).wrap_err("signal: listen")?;
            let mut int = signal(SignalKind::interrupt()).wrap_err("signal: listen")?;
            let mut hup = signal(SignalKind::hangup()).wrap_err("signal: listen")?;
            loop {
                tokio::select! {
                    _ = term.recv() => shutdown.drain.cancel(),
                    _ = int.recv() => shutdown.drain.cancel(),
                    _ = hup.recv() => self.hung_up(),
                    () = shutdown.stop.cancelled() => return Ok(()),
                }
            }
        })
    }
}
