//! A worker of one service.

use crate::Result;
use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that a worker works on at the same time.
const SLOTS: usize = 3;
/// Requests that a worker holds in its queue.
const QUEUE: usize = 12;
/// Pieces in which a download is sent; its length is a multiple of them.
const PIECES: usize = 20;

/// A request that a worker began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time since the start of the script.
    pub at: Duration,
    /// Value of `Attempt-Id`.
    pub id: String,
    /// Request line.
    pub start: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Returns the value of `Server-Load` for an answer, given the true one and the answer's number.
pub type LoadReport = dyn Fn(&str, usize) -> String + Send + Sync;

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker {
    /// Id, under which it keeps itself in the store.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub addr: SocketAddr,
    work: Duration,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    busy: Arc<AtomicUsize>,
    answers: Arc<AtomicUsize>,
    load: Arc<Mutex<Option<Box<LoadReport>>>>,
    /// Length of answers, if they are downloads.
    download: Option<usize>,
    is_dark: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker that takes `work` for a request, and registers it as ready.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        work: Duration,
    ) -> Result<Self> {
        Self::start_with(store, record, id, service, work, None)
    }

    /// Starts a worker whose answers are downloads of `download` bytes, if that is given.
    ///
    /// It sends a download in equal pieces over the time of its work.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start_with(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        work: Duration,
        download: Option<usize>,
    ) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            work,
            record: record.clone(),
            runs: Arc::default(),
            busy: Arc::default(),
            answers: Arc::default(),
            load: Arc::default(),
            download,
            is_dark: Arc::default(),
        };
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let entry = format!(
            r#"{{"address":"{addr}","born":1700000000000,"info":{{"service":"{service}","version":"v1","zone":"suva-a","slots":{SLOTS}}},"status":{{"state":"ready","seq":1,"cold-left":"0ms"}}}}"#
        );
        store.write(&format!("servers/{id}"), &entry);
        Ok(worker)
    }

    /// Returns the requests that the worker has run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no writer panics").clone()
    }

    /// Sets or clears a function that replaces the load report of answers.
    pub fn set_load_report(&self, report: Option<Box<LoadReport>>) {
        *self.load.lock().expect("no writer panics") = report;
    }

    /// Makes the worker silent, or brings it back.
    ///
    /// What it was doing when it became silent is lost: its connections of that time stay silent.
    pub fn set_dark(&self, is_dark: bool) {
        self.is_dark.store(is_dark, Ordering::SeqCst);
    }

    /// Says nothing more on a connection if the worker is dark.
    fn check_dark(&self, id: &str) {
        if self.is_dark.load(Ordering::SeqCst) {
            self.record.line(&format!("dark     {id} at {}", self.id));
            // The slot belongs to the lifetime that has ended.
            self.busy.fetch_sub(1, Ordering::SeqCst);
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        }
    }

    /// Sends a download in pieces.
    fn send_download(&self, s: &mut TcpStream, id: &str, own: &str, length: usize) -> Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Server-Seal: {}.{id}\r\nServer-Load: 1,0,{SLOTS}\r\nContent-Length: {length}\r\n\r\n",
            self.id
        );
        s.write_all(head.as_bytes())?;
        let piece = vec![b'x'; length / PIECES];
        for _ in 0..PIECES {
            self.check_dark(id);
            s.write_all(&piece)?;
            thread::sleep(self.work / PIECES as u32);
        }
        Ok(())
    }

    fn serve(&self, mut s: TcpStream) {
        let _ = s.set_nodelay(true);
        while let Ok(Some(request)) = http::read(&mut s, false) {
            if !request.is_whole || self.handle(&mut s, &request).is_err() {
                return;
            }
        }
    }

    fn handle(&self, s: &mut TcpStream, r: &Message) -> Result<()> {
        let id = r.header("attempt-id").unwrap_or_default();
        let own = format!("Attempt-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
        if r.target() == "/health" {
            let load = format!("{},0,{SLOTS}", self.busy.load(Ordering::SeqCst).min(SLOTS));
            return http::answer(s, "200 OK", &format!("{own}Server-Load: {load}\r\n"), b"");
        }
        if r.header("expect-instance").is_some_and(|i| i != self.id) {
            return http::answer(s, "421 Misdirected Request", &own, b"");
        }
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        if busy > SLOTS + QUEUE {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            let headers = format!("{own}Not-Executed: 1\r\n");
            return http::answer(s, "503 Service Unavailable", &headers, b"");
        }
        let run = Run {
            at: self.record.now(),
            id: id.to_owned(),
            start: r.start.clone(),
            body: r.body.clone(),
        };
        self.record.line(&format!("run      {id} at {} ({}): {}", self.id, self.service, r.start));
        self.runs.lock().expect("no writer panics").push(run);
        self.check_dark(id);
        if let Some(length) = self.download {
            let sent = self.send_download(s, id, &own, length);
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return sent;
        }
        thread::sleep(self.work);
        let left = self.busy.fetch_sub(1, Ordering::SeqCst) - 1;
        let (running, waiting) = (left.min(SLOTS), left.saturating_sub(SLOTS));
        let n = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let report = format!("{running},{waiting},{SLOTS}");
        let sent = match &*self.load.lock().expect("no writer panics") {
            Some(replace) => replace(&report, n),
            None => report.clone(),
        };
        if sent != report {
            self.record.line(&format!("spoiled  {id} at {}: Server-Load: {sent}", self.id));
        }
        let headers = format!("{own}Server-Seal: {}.{id}\r\nServer-Load: {sent}\r\n", self.id);
        http::answer(s, "200 OK", &headers, format!("done by {}", self.service).as_bytes())
    }
}
