//! What a fleet consists of.

use std::fmt::Write as _;
use std::time::Duration;

/// The shared key of fleets on loopback.
pub const FLEET_KEY: &str = "loopback-fleet-key-0001";

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Services with their number of upstreams.
    pub services: Vec<(String, usize)>,
    /// Boxes.
    pub boxes: usize,
    /// Data halls.
    pub halls: usize,
    /// Lag of the platform's list.
    pub list_lag: Duration,
    /// Time between readiness off and the close of the callers' port.
    pub leave_wait: Duration,
    /// More arguments of each upstream.
    pub upstream_args: Vec<String>,
    /// More lines of each box's settings.
    pub box_lines: String,
    /// Lines of each service in the bundle, by name; see [`Shape::bundle`].
    pub service_lines: Vec<(String, String)>,
}

impl Default for Shape {
    /// Two boxes before three upstreams of `guestlist`.
    fn default() -> Self {
        Self {
            services: vec![("guestlist".to_owned(), 3)],
            boxes: 2,
            halls: 2,
            list_lag: Duration::from_millis(100),
            leave_wait: Duration::from_millis(200),
            upstream_args: Vec::new(),
            box_lines: String::new(),
            service_lines: Vec::new(),
        }
    }
}

impl Shape {
    /// Returns the text of a bundle for this fleet.
    ///
    /// Each service is routed from `SERVICE.example/`.
    #[must_use]
    pub fn bundle(&self) -> String {
        let mut text = String::new();
        for (name, _) in &self.services {
            let own = self.service_lines.iter().find(|(n, _)| n == name).map(|(_, l)| l.as_str());
            let usual = "floor = 60%\nrepeat = reads\ndeadline = 2s\nlean = detection\n";
            let _ = writeln!(text, "[service {name}]\n{}", own.unwrap_or(usual));
        }
        text.push_str("[routes]\n");
        for (name, _) in &self.services {
            let _ = writeln!(text, "{name}.example/ = {name}");
        }
        text
    }
}
