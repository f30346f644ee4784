//! Resource usage of a process from `/proc`.

use eyre::{Result, eyre};

/// Clock ticks per second in `/proc`, a fixed value on Linux (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE_SIZE: u64 = 4_096;

/// Returns the processor time used so far, in seconds.
///
/// # Errors
/// Returns an error if the process no longer exists.
pub fn cpu_seconds(pid: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = stat.rsplit_once(") ").ok_or_else(|| eyre!("/proc/{pid}/stat: malformed"))?.1;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory in bytes.
///
/// # Errors
/// Returns an error if the process no longer exists.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = statm.split(' ').nth(1).ok_or_else(|| eyre!("/proc/{pid}/statm: malformed"))?;
    Ok(pages.parse::<u64>()? * PAGE_SIZE)
}
