//! Settings of the operators' tool, read from an INI file.

use eyre::{Result, WrapErr};
use honeypulley_ini::{Doc, IniError, parse};
use honeypulley_peer::key::FleetKey;
use std::net::SocketAddr;
use std::path::Path;

/// Addresses and key of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Shared key of the fleet.
    pub key: FleetKey,
    /// Boxes that supply the roster if the platform is unreachable.
    pub seeds: Vec<SocketAddr>,
}

impl Settings {
    /// Reads and validates the settings at `path`.
    ///
    /// # Errors
    /// Returns an error that names the file, and the line and key of an invalid entry.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).wrap_err_with(|| format!("{file}: read settings"))?;
        Ok(Self::read(&file, &text)?)
    }

    /// Parses and validates settings; errors refer to the text as `file`.
    ///
    /// # Errors
    /// Returns the first error, with its file, line and key.
    pub fn read(file: &str, text: &str) -> Result<Self, IniError> {
        let doc = Doc::read(file, text)?;
        let s = doc.section("operator")?;
        s.only(&["platform", "fleet-key", "seeds"])?;
        let addr = parse::any::<SocketAddr>("an IP number and port, such as 10.0.0.7:8080");
        let seeds = |t: &str| t.split(',').map(|a| addr(a.trim())).collect::<Result<Vec<_>, _>>();
        Ok(Self {
            platform: s.required("platform", &addr)?,
            key: FleetKey::derive(&s.required("fleet-key", parse::text)?),
            seeds: s.optional("seeds", seeds)?.unwrap_or_default(),
        })
    }
}
