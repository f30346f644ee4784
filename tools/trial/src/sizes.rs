//! The users' sizes, and one service of a region at full size.

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
}

/// Vakatoro leans to detection, Cwtch Bowl to few false ejections.
pub const SIZES: [Size; 7] = [
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
    },
];
