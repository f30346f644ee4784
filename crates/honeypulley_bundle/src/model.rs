//! The validated model of a bundle.
//!
//! A [`Bundle`] shares its unchanged parts with the previous version, so a change
//! costs only the parsing of the changed parts and a copy of the pointers.

use crate::parts::{Manifest, Split, bucket, split};
use crate::sign::Trust;
use honeypulley_ini::{Doc, IniError, Section, parse};
use honeypulley_policy::spec::{Floor, Lean, RepeatPolicy, ServiceSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Wildcard that matches every caller that is not listed.
pub const ANY_CALLER: &str = "*";

/// Validated entries of one part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    services: Vec<ServiceSpec>,
    /// Host and path prefix with the service, sorted.
    routes: Vec<(Box<str>, Box<str>)>,
    /// Hash of the caller's name with the hash of its limit's name, sorted.
    callers: Vec<(u64, u64)>,
    /// Hash of the limit's name with its rate.
    limits: Vec<(u64, f64)>,
    signers: Trust,
}

/// A complete, validated bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    parts: Vec<Arc<Part>>,
    signers: Trust,
    /// Rates by the hash of the limit's name.
    limits: BTreeMap<u64, f64>,
}

impl Part {
    /// Parses and validates one part or a complete file, named `file` in errors.
    ///
    /// # Errors
    /// Returns the first error with file, line and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniError> {
        let doc = Doc::read(file, text)?;
        let mut part = Self::default();
        for s in doc.sections() {
            match s.name() {
                "routes" => part.add_routes(&s)?,
                "callers" => part.callers.extend(s.iter().map(|(k, v)| (hash(k), hash(v)))),
                "limits" => part.add_limits(&s)?,
                "signers" => part.add_signers(&s)?,
                name => match name.strip_prefix("service ") {
                    Some(service) => part.services.push(service_spec(service.trim(), &s)?),
                    None => return Err(s.error_here(
                        "unknown section; known: service NAME, routes, callers, limits, signers",
                    )),
                },
            }
        }
        part.routes.sort_unstable();
        part.callers.sort_unstable();
        // A bundle has up to thousands of parts, which stay in memory as long as it is active.
        part.services.shrink_to_fit();
        part.routes.shrink_to_fit();
        part.callers.shrink_to_fit();
        Ok(part)
    }

    fn add_routes(&mut self, s: &Section<'_>) -> Result<(), IniError> {
        let mut seen = BTreeSet::new();
        for (key, service) in s.iter() {
            if !key.contains('/') || key.contains(char::is_whitespace) {
                return Err(s.error(key, "expected host/path, such as guest.example/rsvp"));
            }
            let prefix: Box<str> = key.trim_end_matches('/').into();
            if !seen.insert(prefix.clone()) {
                return Err(s.error(
                    key,
                    "duplicate route: it is listed with and without a trailing slash",
                ));
            }
            self.routes.push((prefix, service.into()));
        }
        Ok(())
    }

    fn add_limits(&mut self, s: &Section<'_>) -> Result<(), IniError> {
        for (key, _) in s.iter() {
            self.limits.push((hash(key), s.required(key, parse::rate)?));
        }
        Ok(())
    }

    fn add_signers(&mut self, s: &Section<'_>) -> Result<(), IniError> {
        for (key, value) in s.iter() {
            self.signers.add(key, value).map_err(|e| s.error(key, e.to_string()))?;
        }
        Ok(())
    }
}

impl Bundle {
    /// Parses, validates and partitions an operator's file.
    ///
    /// # Errors
    /// Returns the first error with file, line and key.
    pub fn read(file: &str, text: &str) -> Result<(Self, Split), IniError> {
        check_references(file, text)?;
        let stored = split(file, text)?;
        let bundle = Self::compose(None, &stored.manifest, |i| stored.parts.get(i).cloned())?;
        Ok((bundle, stored))
    }

    /// Builds a bundle from `manifest`, sharing unchanged parts with `before`.
    ///
    /// `before` is the active bundle with its manifest. `fetch` returns the text of the
    /// part of a bucket and is called for changed parts only.
    ///
    /// # Errors
    /// Returns the first error in a part, or an error that names a missing part.
    pub fn compose(
        before: Option<(&Self, &Manifest)>,
        manifest: &Manifest,
        fetch: impl Fn(usize) -> Option<bytes::Bytes>,
    ) -> Result<Self, IniError> {
        let shared = |i: usize| {
            let (bundle, old) = before?;
            let same = old.parts.len() == manifest.parts.len() && old.parts[i] == manifest.parts[i];
            same.then(|| Arc::clone(&bundle.parts[i]))
        };
        let load = |i: usize| {
            let file = format!("part {i}");
            let error = |what: &str| IniError {
                file: file.clone(),
                line: 1,
                place: String::new(),
                what: what.to_owned(),
            };
            let bytes = fetch(i).ok_or_else(|| error("this part is missing"))?;
            let text =
                std::str::from_utf8(&bytes).map_err(|_| error("this part is not valid UTF-8"))?;
            Part::parse(&file, text).map(Arc::new)
        };
        let parts: Vec<Arc<Part>> = (0..manifest.parts.len())
            .map(|i| shared(i).map_or_else(|| load(i), Ok))
            .collect::<Result<_, _>>()?;
        let signers = parts.iter().fold(Trust::default(), |t, p| t.with(&p.signers));
        let limits = parts.iter().flat_map(|p| p.limits.iter().copied()).collect();
        Ok(Self { parts, signers, limits })
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.parts.iter().flat_map(|p| p.services.iter())
    }

    /// Returns the signers that the bundle lists.
    #[must_use]
    pub const fn signers(&self) -> &Trust {
        &self.signers
    }

    /// Returns the service of a request by longest-prefix match.
    ///
    /// Prefixes match whole path segments: `a/b` matches `a/b/c` but not `a/bc`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&str> {
        let url = format!("{host}{path}");
        let mut key = url.trim_end_matches('/');
        loop {
            if let Some(service) = self.route_exact(key) {
                return Some(service);
            }
            key = &key[..key.rfind('/')?];
        }
    }

    fn route_exact(&self, key: &str) -> Option<&str> {
        // Buckets are chosen by the key as written in the file: a route of a whole host is
        // written as `host/`, and other routes may have a trailing slash.
        let canonical = if key.contains('/') { key.to_owned() } else { format!("{key}/") };
        let trailing = format!("{key}/");
        [canonical, trailing].iter().find_map(|w| {
            let routes = &self.parts[bucket("routes", w, self.parts.len())].routes;
            let i = routes.binary_search_by(|(k, _)| (**k).cmp(key)).ok()?;
            Some(&*routes[i].1)
        })
    }

    /// Returns the rate limit of a caller, in requests per second.
    #[must_use]
    pub fn caller_rate(&self, caller: &str) -> Option<f64> {
        let class = self.caller_class(caller).or_else(|| self.caller_class(ANY_CALLER))?;
        self.limits.get(&class).copied()
    }

    fn caller_class(&self, caller: &str) -> Option<u64> {
        let callers = &self.parts[bucket("callers", caller, self.parts.len())].callers;
        let i = callers.binary_search_by_key(&hash(caller), |(h, _)| *h).ok()?;
        Some(callers[i].1)
    }
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Checks that every referenced service and limit is defined in the file.
fn check_references(file: &str, text: &str) -> Result<(), IniError> {
    Part::parse(file, text)?;
    let doc = Doc::read(file, text)?;
    let services: BTreeSet<String> = doc
        .sections()
        .filter_map(|s| s.name().strip_prefix("service ").map(|n| n.trim().to_owned()))
        .collect();
    if services.is_empty() {
        doc.section("service NAME")?;
    }
    let routes = doc.section("routes")?;
    if let Some((k, v)) = routes.iter().find(|(_, v)| !services.contains(*v)) {
        return Err(routes.error(k, format!("there is no [service {v}]")));
    }
    let Some(callers) = doc.optional("callers") else { return Ok(()) };
    let limits = doc.section("limits")?;
    let defined: BTreeSet<&str> = limits.iter().map(|(k, _)| k).collect();
    match callers.iter().find(|(_, v)| !defined.contains(v)) {
        Some((k, v)) => Err(callers.error(k, format!("[limits] has no '{v}'"))),
        None => Ok(()),
    }
}

const SERVICE_KEYS: &[&str] =
    &["floor", "repeat", "deadline", "retries", "lean", "connections", "rate"];

fn service_spec(name: &str, s: &Section<'_>) -> Result<ServiceSpec, IniError> {
    s.only(SERVICE_KEYS)?;
    let floor = s.required("floor", floor)?;
    let repeat = s.required("repeat", repeat)?;
    let deadline = s.required("deadline", parse::duration)?;
    let connections = parse::any::<std::num::NonZeroUsize>("a number of connections, one or more");
    Ok(ServiceSpec::builder()
        .name(name)
        .floor(floor)
        .repeat(repeat)
        .deadline(deadline)
        .maybe_retries(s.optional("retries", parse::share)?)
        .maybe_lean(s.optional("lean", lean)?)
        .maybe_connections(s.optional("connections", connections)?.map(usize::from))
        .maybe_rate(s.optional("rate", parse::rate)?)
        .build())
}

fn floor(s: &str) -> Result<Floor, String> {
    if s.ends_with('%') {
        return parse::share(s).map(Floor::Share);
    }
    let n: usize = s
        .parse()
        .map_err(|_| format!("expected a share such as 70% or a number of upstreams, not '{s}'"))?;
    if n == 0 {
        Err("a floor of zero has no effect; expected 1 or more".to_owned())
    } else {
        Ok(Floor::Count(n))
    }
}

fn repeat(s: &str) -> Result<RepeatPolicy, String> {
    match s {
        "always" => Ok(RepeatPolicy::Always),
        "reads" => Ok(RepeatPolicy::Reads),
        "never" => Ok(RepeatPolicy::Never),
        _ => Err(format!("expected always, reads or never, not '{s}'")),
    }
}

fn lean(s: &str) -> Result<Lean, String> {
    let invalid = || format!("expected detection, exactness, balance or 0.0 to 1.0, not '{s}'");
    match s {
        "detection" => Ok(Lean::DETECTION),
        "exactness" => Ok(Lean::EXACTNESS),
        "balance" => Ok(Lean::default()),
        _ => s.parse().ok().and_then(Lean::new).ok_or_else(invalid),
    }
}
