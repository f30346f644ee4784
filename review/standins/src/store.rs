//! The platform's metadata store: objects by kind and name, conditions, lists and watches.

use crate::Result;
use crate::http::{self, Message};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Most items of a list in one answer.
const PAGE: usize = 500;
/// Time of an answer, as in the small deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// An object's name with its kind, such as `servers/i-1`.
type Key = String;

#[derive(Clone, Debug)]
struct Stored {
    revision: u64,
    created: u64,
    /// `spec` as JSON, or the other top-level fields of an entry that a worker writes.
    spec: String,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    key: Key,
    object: Stored,
    deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, Stored>,
    history: Vec<Event>,
}

/// A store; clones share its contents.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// Why a conditional write was not done.
enum Refused {
    Conflict(Stored),
    Missing,
}

impl Store {
    /// Serves the store on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn serve(&self) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(addr)
    }

    /// Writes an object unconditionally, as the operator and the workers do; returns its revision.
    pub fn write(&self, key: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("no writer panics");
        let written = state.put(key, spec.to_owned());
        changed.notify_all();
        written.revision
    }

    fn serve_connection(&self, mut s: TcpStream) {
        let _ = s.set_nodelay(true);
        while let Ok(Some(request)) = http::read(&mut s, false) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.handle(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if http::answer(&mut s, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, r: &Message) -> (&'static str, String) {
        let (path, query) = r.target().split_once('?').unwrap_or((r.target(), ""));
        let Some(path) = path.strip_prefix("/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let body = String::from_utf8_lossy(&r.body);
        match (r.method(), path.contains('/')) {
            ("GET", true) => self.read(path),
            ("GET", false) if query.contains_key("watch") => self.watch(path, &query),
            ("GET", false) => self.list(path, query.get("after").copied()),
            ("POST", false) => {
                let name = text_field(&body, "name").unwrap_or_default();
                self.conditional(&format!("{path}/{name}"), &body, true)
            }
            ("PUT", true) => self.conditional(path, &body, false),
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        }
    }

    fn read(&self, key: &str) -> (&'static str, String) {
        let state = self.0.0.lock().expect("no writer panics");
        match state.objects.get(key) {
            Some(o) => ("200 OK", object(key, o)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn conditional(&self, key: &str, body: &str, must_be_new: bool) -> (&'static str, String) {
        let spec = spec_of(body);
        let wanted = number_field(body, "revision");
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("no writer panics");
        let refused = match (state.objects.get(key), must_be_new, wanted) {
            (Some(o), true, _) => Some(Refused::Conflict(o.clone())),
            (Some(o), false, Some(revision)) if o.revision != revision => {
                Some(Refused::Conflict(o.clone()))
            }
            (None, false, _) => Some(Refused::Missing),
            _ => None,
        };
        match refused {
            Some(Refused::Conflict(o)) => ("409 Conflict", object(key, &o)),
            Some(Refused::Missing) => ("404 Not Found", "{}".to_owned()),
            None => {
                let written = state.put(key, spec);
                changed.notify_all();
                ("200 OK", object(key, &written))
            }
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (&'static str, String) {
        let state = self.0.0.lock().expect("no writer panics");
        let prefix = format!("{kind}/");
        let after = after.map(|a| format!("{prefix}{a}"));
        let found = state.objects.iter().filter(|(k, _)| k.starts_with(&prefix));
        let rest: Vec<_> = found.filter(|(k, _)| after.as_ref().is_none_or(|a| *k > a)).collect();
        let items: Vec<String> = rest.iter().take(PAGE).map(|(k, o)| object(k, o)).collect();
        let (has_more, revision) = (rest.len() > PAGE, state.revision);
        let items = items.join(",");
        (
            "200 OK",
            format!(r#"{{"items":[{items}],"has-more":{has_more},"current-rev":{revision}}}"#),
        )
    }

    fn watch(&self, kind: &str, query: &HashMap<&str, &str>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (since, wait) = (number("watch"), Duration::from_millis(number("wait-ms")));
        let prefix = format!("{kind}/");
        let (state, changed) = &*self.0;
        let deadline = Instant::now() + wait;
        let mut state = state.lock().expect("no writer panics");
        loop {
            let new = state.history.iter().filter(|e| e.revision > since);
            let events: Vec<String> =
                new.filter(|e| e.key.starts_with(&prefix)).map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"current-rev":{revision}}}"#));
            }
            state = changed.wait_timeout(state, left).expect("no writer panics").0;
        }
    }
}

impl State {
    /// Writes an object; a write that changes nothing raises no revision.
    fn put(&mut self, key: &str, spec: String) -> Stored {
        let known = self.objects.get(key);
        if let Some(o) = known.filter(|o| o.spec == spec) {
            return o.clone();
        }
        let created = known.map_or(self.revision + 1, |o| o.created);
        self.revision += 1;
        let object = Stored { revision: self.revision, created, spec };
        let (revision, key) = (self.revision, key.to_owned());
        self.objects.insert(key.clone(), object.clone());
        self.history.push(Event { revision, key, object: object.clone(), deleted: false });
        object
    }
}

fn object(key: &str, o: &Stored) -> String {
    let name = key.split_once('/').map_or("", |(_, n)| n);
    let Stored { revision, created, spec } = o;
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{created},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

fn event(e: &Event) -> String {
    format!(r#"{{"deleted":{},"object":{}}}"#, e.deleted, object(&e.key, &e.object))
}

/// Returns the text of a field; good enough for the calls of the daemon, whose names are plain.
fn text_field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!(r#""{name}":""#))?;
    rest.split_once('"').map(|(value, _)| value.to_owned())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let metadata = json.split_once(r#""spec""#).map_or(json, |(m, _)| m);
    let (_, rest) = metadata.split_once(&format!(r#""{name}":"#))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the `spec` of a call, which is the last field of what the daemon sends.
fn spec_of(json: &str) -> String {
    let rest = json.split_once(r#""spec":"#).map_or("null", |(_, rest)| rest);
    let rest = rest.trim_end();
    rest.strip_suffix('}').unwrap_or(rest).to_owned()
}
