//! What was sent, answered and run, in the order in which it was seen.

use eyre::Result;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all parts of a case share.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    is_silent: bool,
}

impl Default for Record {
    fn default() -> Self {
        Self { began: Instant::now(), lines: Arc::default(), is_silent: false }
    }
}

impl Record {
    /// Creates a record that keeps nothing.
    #[must_use]
    pub fn silent() -> Self {
        Self { is_silent: true, ..Self::default() }
    }

    /// Adds a line about a request, or about none if `request` is empty.
    pub fn add(&self, what: &str, request: &str) {
        if self.is_silent {
            return;
        }
        let at = self.began.elapsed().as_secs_f64();
        let of = if request.is_empty() { String::new() } else { format!(" [{request}]") };
        self.lines.lock().expect("no thread panics").push(format!("{at:8.3} s{of} {what}"));
    }

    /// Writes the record to a file.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn write(&self, to: &Path) -> Result<()> {
        let lines = self.lines.lock().expect("no thread panics");
        std::fs::write(to, lines.join("\n") + "\n")?;
        Ok(())
    }
}

/// Whether the case is to have its disruption: unless `TROUBLE` is 0.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// Ends a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn finish(result: Result<bool>, record: &Record, to: &Path) -> ! {
    let code = match &result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    let end = match result {
        Ok(true) => "the rule was broken".to_owned(),
        Ok(false) => "the rule held".to_owned(),
        Err(e) => format!("the case could not run: {e:#}"),
    };
    record.add(&end, "");
    println!("{end}");
    if let Err(e) = record.write(to) {
        println!("the record could not be written: {e:#}");
        std::process::exit(2);
    }
    std::process::exit(code)
}
