//! Configuration of a test fleet.

use std::fmt::Write as _;
use std::time::Duration;

/// Fleet key of all test fleets.
pub const FLEET_KEY: &str = "loopback-fleet-key-0001";

/// Configuration of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name and number of upstreams of each service.
    pub services: Vec<(String, usize)>,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of data halls; boxes and upstreams are assigned to them in turn.
    pub halls: usize,
    /// Delay until the platform shows a changed list.
    pub list_lag: Duration,
    /// Time between the loss of readiness and the close of the callers' port.
    pub leave_wait: Duration,
    /// Additional arguments of each upstream process.
    pub upstream_args: Vec<String>,
    /// Additional lines in the `[box]` section of each box's settings.
    pub box_settings: String,
    /// Bundle settings by service name; services without an entry use the defaults.
    pub service_settings: Vec<(String, String)>,
}

impl Default for FleetConfig {
    /// Returns two boxes and three upstreams of the service `guestlist`.
    fn default() -> Self {
        Self {
            services: vec![("guestlist".to_owned(), 3)],
            boxes: 2,
            halls: 2,
            list_lag: Duration::from_millis(100),
            leave_wait: Duration::from_millis(200),
            upstream_args: Vec::new(),
            box_settings: String::new(),
            service_settings: Vec::new(),
        }
    }
}

impl FleetConfig {
    /// Returns the text of a bundle for this fleet.
    ///
    /// Requests for the host `SERVICE.example` are routed to `SERVICE`.
    #[must_use]
    pub fn bundle_text(&self) -> String {
        let mut text = String::new();
        for (name, _) in &self.services {
            let custom =
                self.service_settings.iter().find(|(n, _)| n == name).map(|(_, l)| l.as_str());
            let default = "floor = 60%\nrepeat = reads\ndeadline = 2s\nlean = detection\n";
            let _ = writeln!(text, "[service {name}]\n{}", custom.unwrap_or(default));
        }
        text.push_str("[routes]\n");
        for (name, _) in &self.services {
            let _ = writeln!(text, "{name}.example/ = {name}");
        }
        text
    }
}
