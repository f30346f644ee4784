//! Stand-ins for the platform, the workers and the requesters, for the scripts of the review.
//!
//! They follow the users' pages: [`store`] is the platform's metadata store, [`worker`] a worker,
//! [`client`] a requester and [`fleet`] the part of the platform that starts and stops the
//! project's daemon with the command of `deploy/system.toml`. [`record`] writes `record.txt`.

pub mod client;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;
pub mod worker;

/// Result with an error that is only reported.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if it couldn't run.
pub fn main(case: fn() -> Result<Verdict>) -> ! {
    let code = match case() {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            2
        }
    };
    std::process::exit(code);
}

/// Returns whether the case brings its disruption about; `TROUBLE=0` leaves it out.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
