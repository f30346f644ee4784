//! The record of a run, `record.txt`.

use crate::Result;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines with the time since the start of the run; clones share the file.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    ///
    /// # Errors
    /// Returns an error if the file can't be created.
    pub fn create() -> Result<Self> {
        Self::to(&std::env::var("RECORD").map_err(|_| "RECORD names no file")?)
    }

    /// Creates the file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file can't be created.
    pub fn to(path: &str) -> Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { began: Instant::now(), file })
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let secs = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{secs:8.3} {text}");
        let _ = file.flush();
    }

    /// Writes a line, also to standard output.
    pub fn note(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
