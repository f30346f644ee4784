//! The users' sizes, and one service of a region at full size.

use std::time::Duration;

/// One service with the boxes before it.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Name of the service.
    pub name: &'static str,
    /// Boxes before it.
    pub boxes: usize,
    /// Services that share a box's allowance for reports.
    pub services: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: usize,
    /// Connections of each upstream.
    pub connections: usize,
    /// Data halls.
    pub halls: usize,
    /// One way between halls, in microseconds.
    pub hall_us: u64,
    /// Lean of the service: 0 detection, 1 exactness.
    pub lean: f64,
    /// Middle of the service time, in seconds.
    pub work: f64,
    /// Failure answers of a healthy upstream.
    pub background: f64,
    /// Share of the upstreams that have spells of failing.
    pub prone: f64,
    /// Longest time of a request.
    pub deadline: Duration,
}

impl Size {
    /// Returns the age at which an attempt is overdue: 2.4 times the middle.
    #[must_use]
    pub fn work_limit(&self) -> Duration {
        Duration::from_secs_f64(self.work * 2.4)
    }
}

/// Service times and failures of a service whose work is short.
const SHORT: (f64, f64, f64, Duration) = (0.05, 0.001, 0.0, Duration::from_secs(2));

/// Vakatoro leans to detection, Cwtch Bowl to few false ejections.
pub const SIZES: [Size; 9] = [
    Size {
        name: "guestlist",
        boxes: 40,
        services: 3,
        upstreams: 16,
        slots: 3,
        connections: 220,
        halls: 3,
        hall_us: 500,
        lean: 0.0,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    Size {
        name: "rsvp-commit",
        boxes: 40,
        services: 3,
        upstreams: 9,
        slots: 3,
        connections: 220,
        halls: 3,
        hall_us: 500,
        lean: 0.0,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    Size {
        name: "media",
        boxes: 40,
        services: 3,
        upstreams: 6,
        slots: 3,
        connections: 220,
        halls: 3,
        hall_us: 500,
        lean: 0.0,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    Size {
        name: "bowlplan",
        boxes: 40,
        services: 3,
        upstreams: 19,
        slots: 4,
        connections: 240,
        halls: 4,
        hall_us: 1_500,
        lean: 1.0,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    Size {
        name: "tilldogs",
        boxes: 40,
        services: 3,
        upstreams: 9,
        slots: 4,
        connections: 240,
        halls: 4,
        hall_us: 1_500,
        lean: 1.0,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    Size {
        name: "ledgerbag",
        boxes: 40,
        services: 3,
        upstreams: 8,
        slots: 4,
        connections: 240,
        halls: 4,
        hall_us: 1_500,
        lean: 1.0,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    Size {
        name: "region",
        boxes: 657,
        services: 671,
        upstreams: 21,
        slots: 4,
        connections: 220,
        halls: 4,
        hall_us: 500,
        lean: 0.5,
        work: SHORT.0,
        background: SHORT.1,
        prone: SHORT.2,
        deadline: SHORT.3,
    },
    // The deployments on the users' platform, by their sheets.
    Size {
        name: "rsvp-platform",
        boxes: 36,
        services: 3,
        upstreams: 16,
        slots: 3,
        connections: 330,
        halls: 3,
        hall_us: 500,
        lean: 0.0,
        work: 0.2,
        background: 0.012,
        prone: 0.3,
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
        hall_us: 1_400,
        lean: 1.0,
        work: 0.27,
        background: 0.012,
        prone: 0.3,
        deadline: Duration::from_secs(5),
    },
];
