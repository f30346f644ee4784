//! A worker with slots and a queue, and a requester.

use crate::record::Record;
use eyre::{Result, eyre};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;

/// Receive buffer of a worker's connections; links have small windows.
const RECEIVE_BUFFER: u32 = 64 * 1024;

/// The head of an HTTP message.
#[derive(Clone, Debug)]
pub struct Head {
    /// First line.
    pub first: String,
    /// Fields, by name in lower case.
    pub fields: BTreeMap<String, String>,
}

impl Head {
    /// Returns a field, or an empty text.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns the request target.
    #[must_use]
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the length of the body.
    #[must_use]
    pub fn length(&self) -> usize {
        self.field("content-length").parse().unwrap_or(0)
    }
}

/// Reads a head, one byte at a time, so that the body stays in the socket.
///
/// # Errors
/// Returns an error if the connection ends.
pub async fn read_head(s: &mut TcpStream) -> Result<Head> {
    let mut raw = Vec::new();
    while !raw.ends_with(b"\r\n\r\n") {
        raw.push(s.read_u8().await?);
    }
    let text = String::from_utf8_lossy(&raw).into_owned();
    let mut lines = text.lines();
    let first = lines.next().unwrap_or_default().to_owned();
    let field = |l: &str| {
        let (k, v) = l.split_once(':')?;
        Some((k.to_ascii_lowercase(), v.trim().to_owned()))
    };
    Ok(Head { first, fields: lines.filter_map(field).collect() })
}

/// A worker that takes the body of a request when one of its slots is free.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Id in the store.
    pub id: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    slots: Arc<Semaphore>,
    arrivals: Arc<Mutex<Vec<Head>>>,
    record: Record,
}

impl Worker {
    /// Starts a worker; the time for which it works is named in the path as `/work-MS/`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub fn start(id: &str, slots: usize, record: &Record) -> Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.bind("127.0.0.1:0".parse()?)?;
        let listener = socket.listen(512)?;
        let worker = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            slots: Arc::new(Semaphore::new(slots)),
            arrivals: Arc::default(),
            record: record.clone(),
        };
        let shared = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().serve(stream));
            }
        });
        Ok(worker)
    }

    /// Returns method and target of each request with this id that the worker got.
    #[must_use]
    pub fn arrived(&self, id: &str) -> Vec<(String, String)> {
        let all = self.arrivals.lock().expect("no thread panics");
        let same = all.iter().filter(|h| h.field("attempt-id") == id);
        same.map(|h| (h.method().to_owned(), h.target().to_owned())).collect()
    }

    /// Returns how many requests the worker got.
    #[must_use]
    pub fn count(&self) -> usize {
        self.arrivals.lock().expect("no thread panics").len()
    }

    async fn serve(self, mut s: TcpStream) {
        let Ok(head) = read_head(&mut s).await else { return };
        let request = head.field("attempt-id").to_owned();
        self.arrivals.lock().expect("no thread panics").push(head.clone());
        let note = |what: &str| self.record.add(&format!("worker {} {what}", self.id), &request);
        note(&format!(
            "gets: {} {}, body of {} bytes, Deadline-Ms {}",
            head.method(),
            head.target(),
            head.length(),
            head.field("deadline-ms")
        ));
        let Ok(_slot) = self.slots.acquire().await else { return };
        let mut body = vec![0; head.length()];
        if s.read_exact(&mut body).await.is_err() {
            note("drops the request unrun: its connection was closed while it waited for a slot");
            return;
        }
        note("runs it");
        tokio::time::sleep(work_time(head.target())).await;
        let text = format!("done {request}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nServer-Seal: {}-{request}\r\n\
             Content-Length: {}\r\n\r\n{text}",
            self.id,
            text.len()
        );
        let sent = s.write_all(answer.as_bytes()).await;
        note(if sent.is_ok() { "has answered 200" } else { "could not answer" });
    }
}

fn work_time(path: &str) -> Duration {
    let after = path.split("work-").nth(1).unwrap_or("0");
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    Duration::from_millis(digits.parse().unwrap_or(0))
}

/// What a requester got.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Status, or zero if the connection ended without an answer.
    pub status: u16,
    /// The worker's `Server-Seal`, or an empty text.
    pub seal: String,
    /// Whether the body was complete.
    pub whole: bool,
}

/// Sends a request on a new connection and reads the answer.
///
/// # Errors
/// Returns an error if the box accepts no connection.
pub async fn call(
    to: SocketAddr,
    host: &str,
    (method, target): (&str, &str),
    id: &str,
    body: &[u8],
    record: &Record,
) -> Result<Outcome> {
    let mut s = TcpStream::connect(to).await.map_err(|e| eyre!("connect to the box: {e}"))?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    s.write_all(head.as_bytes()).await?;
    s.write_all(body).await?;
    record.add(&format!("requester has sent all of {method} {target}, {} bytes", body.len()), id);
    let outcome = read_answer(&mut s).await;
    let seal = if outcome.seal.is_empty() { "none" } else { outcome.seal.as_str() };
    let what = match outcome.status {
        0 => "requester's connection ends without an answer".to_owned(),
        n => format!("requester gets {n}, Server-Seal {seal}, body whole: {}", outcome.whole),
    };
    record.add(&what, id);
    Ok(outcome)
}

/// Reads an answer; its status is zero if the connection ends without one.
pub async fn read_answer(s: &mut TcpStream) -> Outcome {
    let none = Outcome { status: 0, seal: String::new(), whole: false };
    let Ok(head) = read_head(s).await else { return none };
    let status = head.first.get(9..12).and_then(|t| t.parse().ok()).unwrap_or(0);
    let mut body = vec![0; head.length()];
    let whole = s.read_exact(&mut body).await.is_ok();
    Outcome { status, seal: head.field("server-seal").to_owned(), whole }
}
