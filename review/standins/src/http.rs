//! HTTP/1.1 messages over blocking sockets.

use crate::Result;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// Longest head that is read.
const MAX_HEAD: usize = 64 * 1_024;

/// A message: its start line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header lines.
    pub headers: Vec<(String, String)>,
    /// Body, without any transfer coding.
    pub body: Vec<u8>,
    /// Whether the body was received up to its end.
    pub is_whole: bool,
}

impl Message {
    /// Returns the first value of a header; its name is case-insensitive.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    #[must_use]
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; returns `None` if the connection ends before its first byte.
///
/// # Errors
/// Returns an error if the head is malformed or the connection fails within it.
pub fn read(s: &mut TcpStream, is_answer: bool) -> Result<Option<Message>> {
    let Some(head) = read_head(s)? else { return Ok(None) };
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let mut m = Message { start, headers, body: Vec::new(), is_whole: false };
    let length = m.header("content-length").and_then(|v| v.parse::<usize>().ok());
    let is_chunked =
        m.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    (m.body, m.is_whole) = match length {
        _ if is_chunked => read_chunks(s),
        Some(n) => read_exactly(s, n),
        None if is_answer => read_to_end(s),
        None => (Vec::new(), true),
    };
    Ok(Some(m))
}

fn read_head(s: &mut TcpStream) -> Result<Option<String>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match s.read(&mut byte) {
            Ok(0) if head.is_empty() => return Ok(None),
            Ok(0) => return Err("the connection ended within a head".into()),
            Ok(_) => head.push(byte[0]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
        if head.len() > MAX_HEAD {
            return Err("the head is too long".into());
        }
    }
    head.truncate(head.len() - 4);
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

fn read_exactly(s: &mut TcpStream, n: usize) -> (Vec<u8>, bool) {
    let mut body = vec![0; n];
    let is_whole = s.read_exact(&mut body).is_ok();
    (body, is_whole)
}

fn read_to_end(s: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let is_whole = s.read_to_end(&mut body).is_ok();
    (body, is_whole)
}

fn read_chunks(s: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            if !matches!(s.read(&mut byte), Ok(1)) {
                return (body, false);
            }
            line.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&line).trim().to_owned();
        let Ok(n) = usize::from_str_radix(&text, 16) else { return (body, false) };
        let mut chunk = vec![0; n + 2];
        if s.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        chunk.truncate(n);
        body.extend(chunk);
        if n == 0 {
            return (body, true);
        }
    }
}

/// Writes an answer with a body and its length.
///
/// # Errors
/// Returns an error if the connection fails.
pub fn answer(s: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> Result<()> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend(body);
    s.write_all(&bytes)?;
    Ok(())
}
