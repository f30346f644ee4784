//! What the kernel says of a process.

use eyre::{Result, eyre};

/// Clock ticks in a second, as Linux fixes them for `/proc`.
const TICKS: f64 = 100.0;
/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Returns processor seconds used so far.
///
/// # Errors
/// Returns an error if the process is gone.
pub fn cpu(pid: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = stat.rsplit_once(") ").ok_or_else(|| eyre!("/proc/{pid}/stat: malformed"))?.1;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS)
}

/// Returns resident bytes.
///
/// # Errors
/// Returns an error if the process is gone.
pub fn memory(pid: u32) -> Result<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = statm.split(' ').nth(1).ok_or_else(|| eyre!("/proc/{pid}/statm: malformed"))?;
    Ok(pages.parse::<u64>()? * PAGE)
}
