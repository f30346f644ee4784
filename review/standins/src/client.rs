//! A requester.

use crate::Result;
use crate::http::{self, Message};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time that a new connection gets.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Value of `Attempt-Id`.
    pub id: &'a str,
    /// Time budget.
    pub budget: Duration,
    /// Body.
    pub body: &'a str,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// With an answer.
    Answer(Message),
    /// Without a connection.
    NoConnection,
    /// With a connection that ended, or stayed silent, before the answer was whole.
    Broken(String),
}

impl Ended {
    /// Returns the status, or zero without an answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        if let Self::Answer(m) = self { m.status() } else { 0 }
    }
}

/// Sends a request on a new connection, waits for its end and records both.
pub fn send(record: &Record, to: SocketAddr, r: &Request<'_>) -> Ended {
    record.line(&format!("send     {} to {to}: {} {} ({})", r.id, r.method, r.target, r.host));
    let ended = match TcpStream::connect_timeout(&to, CONNECT_TIME) {
        Ok(s) => exchange(s, r).unwrap_or_else(|e| Ended::Broken(e.to_string())),
        Err(_) => Ended::NoConnection,
    };
    let text = match &ended {
        Ended::Answer(m) => m.start.clone(),
        Ended::NoConnection => "no connection".to_owned(),
        Ended::Broken(why) => format!("no answer, {why}"),
    };
    record.line(&format!("ended    {} from {to}: {text}", r.id));
    ended
}

fn exchange(mut s: TcpStream, r: &Request<'_>) -> Result<Ended> {
    s.set_nodelay(true)?;
    s.set_read_timeout(Some(r.budget))?;
    let Request { method, host, target, id, body, .. } = r;
    let (budget, length) = (r.budget.as_millis(), body.len());
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {budget}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    s.write_all(text.as_bytes())?;
    Ok(match http::read(&mut s, true)? {
        Some(m) if m.is_whole => Ended::Answer(m),
        Some(_) => Ended::Broken("the answer was cut".to_owned()),
        None => Ended::Broken("the connection was closed".to_owned()),
    })
}
