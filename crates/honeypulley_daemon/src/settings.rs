//! Settings of a box, read from an INI file.

use honeypulley_bundle::sign::Trust;
use honeypulley_ini::{Doc, IniError, Section, parse};
use honeypulley_peer::key::FleetKey;
use honeypulley_policy::shutdown::{PlannedStop, usable_grace};
use honeypulley_policy::time::Time;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Validated settings of one box.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box, as in the platform's roster.
    pub name: String,
    /// Data hall of the box.
    pub hall: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which peers and operators connect, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address of the readiness and liveness endpoints.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peers that supply the roster if the platform is unreachable at start.
    pub seeds: Vec<SocketAddr>,
    /// Shared key of the fleet.
    pub key: FleetKey,
    /// Signers trusted until a bundle replaces them.
    pub signers: Trust,
    /// Source address of connections to upstreams, if not the default one.
    pub source: Option<IpAddr>,
    /// Address of the `StatsD` server, if metrics are exported.
    pub metrics: Option<SocketAddr>,
    /// Time between reporting not ready and closing the callers' port.
    pub leave_wait: Duration,
    /// Time after SIGTERM in which the process is killed, if there is such a bound.
    pub grace: Option<Duration>,
    /// Maximum number of concurrent caller connections.
    pub max_callers: usize,
    /// Maximum time to receive a request's header.
    pub head_time: Duration,
    /// Minimum severity of logged lines.
    pub log: log::LevelFilter,
}

const BOX_KEYS: &[&str] = &[
    "name",
    "hall",
    "listen",
    "peer",
    "admin",
    "platform",
    "seeds",
    "fleet-key",
    "metrics",
    "leave-wait",
    "grace",
    "source",
    "max-callers",
    "head-time",
    "log",
];

impl Settings {
    /// Parses and validates settings; errors refer to the text as `file`.
    ///
    /// # Errors
    /// Returns the first error, with its file, line and key.
    pub fn read(file: &str, text: &str) -> Result<Self, IniError> {
        let doc = Doc::read(file, text)?;
        if let Some(s) = doc.sections().find(|s| !matches!(s.name(), "box" | "signers")) {
            return Err(s.error_here("unknown section; known: box, signers"));
        }
        let s = doc.section("box")?;
        s.only(BOX_KEYS)?;
        let addr = parse::any::<SocketAddr>("an IP number and port, such as 10.0.0.7:8080");
        let settings = Self {
            name: s.required("name", parse::text)?,
            hall: s.required("hall", parse::text)?,
            listen: s.required("listen", &addr)?,
            peer: s.required("peer", &addr)?,
            admin: s.required("admin", &addr)?,
            platform: s.required("platform", &addr)?,
            seeds: s.optional("seeds", seeds)?.unwrap_or_default(),
            key: s.required("fleet-key", fleet_key)?,
            signers: signers(&doc.section("signers")?)?,
            source: s.optional("source", parse::any("an IP number"))?,
            metrics: s.optional("metrics", &addr)?,
            leave_wait: s
                .optional("leave-wait", parse::duration)?
                .unwrap_or(Duration::from_secs(5)),
            grace: s.optional("grace", parse::duration)?,
            max_callers: s.optional("max-callers", parse::any("a number"))?.unwrap_or(20_000),
            head_time: s.optional("head-time", parse::duration)?.unwrap_or(Duration::from_secs(10)),
            log: s
                .optional("log", parse::any("error, warn, info, debug or trace"))?
                .unwrap_or(log::LevelFilter::Info),
        };
        if settings.listen == settings.admin {
            return Err(s.error("admin", "the operators' port must not be the callers' port"));
        }
        settings.check_leave_wait(&s)?;
        Ok(settings)
    }

    /// Checks that the callers' port is closed before the box rejects requests.
    fn check_leave_wait(&self, s: &Section<'_>) -> Result<(), IniError> {
        let Some(grace) = self.grace.map(usable_grace) else { return Ok(()) };
        let strict = PlannedStop::new(Time::ZERO, Some(grace)).strict_from().unwrap_or_default();
        let most = Duration::from_millis(strict.since(Time::ZERO).as_millis() as u64);
        if self.leave_wait < most {
            return Ok(());
        }
        let key = if s.iter().any(|(k, _)| k == "leave-wait") { "leave-wait" } else { "grace" };
        let wait = self.leave_wait;
        Err(s.error(key, format!("leave-wait, {wait:?}, must be shorter than {most:?}, when the box begins to reject requests")))
    }
}

fn seeds(s: &str) -> Result<Vec<SocketAddr>, String> {
    s.split(',').map(|a| parse::any("IP numbers and ports with commas between")(a.trim())).collect()
}

fn fleet_key(s: &str) -> Result<FleetKey, String> {
    if s.len() < 16 {
        return Err("expected at least 16 characters, the same on every box".to_owned());
    }
    Ok(FleetKey::derive(s))
}

fn signers(s: &Section<'_>) -> Result<Trust, IniError> {
    let mut trust = Trust::default();
    for (name, key) in s.iter() {
        trust.add(name, key.trim()).map_err(|e| s.error(name, e.to_string()))?;
    }
    if trust.is_empty() {
        return Err(s.error_here("name at least one signer: NAME = public key"));
    }
    Ok(trust)
}
