//! Sizes of the users' deployments, and one service of a region at full size.

use std::time::Duration;

/// One service and the boxes that route to it.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Name of the service.
    pub name: &'static str,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of services that share the report bandwidth of a box.
    pub services: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots per upstream: requests that it runs concurrently.
    pub slots: usize,
    /// Connection limit per upstream.
    pub connections: usize,
    /// Number of data halls.
    pub halls: usize,
    /// One-way latency between halls in microseconds.
    pub hall_latency_us: u64,
    /// Trade-off of the service, from 0 (fast detection) to 1 (few false ejections).
    pub lean: f64,
    /// Median service time in seconds.
    pub service_time: f64,
    /// Share of answers of a healthy upstream that are failures.
    pub failure_share: f64,
    /// Share of the upstreams that have failure episodes.
    pub flaky_share: f64,
    /// Deadline of a request, counted from its arrival.
    pub deadline: Duration,
}

impl Size {
    /// Returns the age at which an attempt is overdue: 2.4 times the median.
    #[must_use]
    pub fn overdue_age(&self) -> Duration {
        Duration::from_secs_f64(self.service_time * 2.4)
    }
}

/// Median service time, failure share, flaky share and deadline of a fast service.
const FAST_SERVICE: (f64, f64, f64, Duration) = (0.05, 0.001, 0.0, Duration::from_secs(2));

/// All sizes; Vakatoro prefers fast detection, Cwtch Bowl few false ejections.
pub const SIZES: [Size; 9] = [
    Size {
        name: "guestlist",
        boxes: 40,
        services: 3,
        upstreams: 16,
        slots: 3,
        connections: 220,
        halls: 3,
        hall_latency_us: 500,
        lean: 0.0,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    Size {
        name: "rsvp-commit",
        boxes: 40,
        services: 3,
        upstreams: 9,
        slots: 3,
        connections: 220,
        halls: 3,
        hall_latency_us: 500,
        lean: 0.0,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    Size {
        name: "media",
        boxes: 40,
        services: 3,
        upstreams: 6,
        slots: 3,
        connections: 220,
        halls: 3,
        hall_latency_us: 500,
        lean: 0.0,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    Size {
        name: "bowlplan",
        boxes: 40,
        services: 3,
        upstreams: 19,
        slots: 4,
        connections: 240,
        halls: 4,
        hall_latency_us: 1_500,
        lean: 1.0,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    Size {
        name: "tilldogs",
        boxes: 40,
        services: 3,
        upstreams: 9,
        slots: 4,
        connections: 240,
        halls: 4,
        hall_latency_us: 1_500,
        lean: 1.0,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    Size {
        name: "ledgerbag",
        boxes: 40,
        services: 3,
        upstreams: 8,
        slots: 4,
        connections: 240,
        halls: 4,
        hall_latency_us: 1_500,
        lean: 1.0,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    Size {
        name: "region",
        boxes: 657,
        services: 671,
        upstreams: 21,
        slots: 4,
        connections: 220,
        halls: 4,
        hall_latency_us: 500,
        lean: 0.5,
        service_time: FAST_SERVICE.0,
        failure_share: FAST_SERVICE.1,
        flaky_share: FAST_SERVICE.2,
        deadline: FAST_SERVICE.3,
    },
    // The deployments on the users' platform, according to their data sheets.
    Size {
        name: "rsvp-platform",
        boxes: 36,
        services: 3,
        upstreams: 16,
        slots: 3,
        connections: 330,
        halls: 3,
        hall_latency_us: 500,
        lean: 0.0,
        service_time: 0.2,
        failure_share: 0.012,
        flaky_share: 0.3,
        deadline: Duration::from_secs(5),
    },
    Size {
        name: "tilldogs-platform",
        boxes: 40,
        services: 3,
        upstreams: 19,
        slots: 4,
        connections: 360,
        halls: 4,
        hall_latency_us: 1_400,
        lean: 1.0,
        service_time: 0.27,
        failure_share: 0.012,
        flaky_share: 0.3,
        deadline: Duration::from_secs(5),
    },
];
