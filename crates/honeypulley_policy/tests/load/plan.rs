//! What a simulated data hall is, and what troubles it.

/// Who chooses where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The boxes' own beliefs.
    Ours,
    /// The less busy of two drawn at random, which knows nothing of failures.
    Naive,
    /// The least busy one, told of each spell as it begins.
    Oracle,
}

/// From which ms to which all upstreams turn a share of requests away at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sheds {
    pub from: u64,
    pub to: u64,
    pub share: f64,
}

/// The first boxes of a hall, which do not reach the first upstreams of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cut {
    pub boxes: usize,
    pub upstreams: usize,
}

/// The first upstreams of a hall, which name a limit in their answers from a moment on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    pub upstreams: usize,
    /// Requests a second that each of them takes from all boxes together.
    pub rate: f64,
    /// From when, in ms.
    pub from: u64,
}

impl Need {
    /// Returns the limit that the answer of an upstream names.
    pub fn limit(&self, upstream: usize, now: u64) -> Option<f64> {
        (upstream < self.upstreams && now >= self.from).then_some(self.rate)
    }
}

/// What a hall is and what troubles it.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub policy: Policy,
    pub boxes: usize,
    pub upstreams: usize,
    pub slots: usize,
    /// Requests a second that may not be repeated, and that may.
    pub orders: f64,
    pub reads: f64,
    /// Middle of the time that work takes, in ms.
    pub work_ms: f64,
    /// Share of requests that fail after their work, whatever the upstream.
    pub base: f64,
    /// Seconds from the end of a spell to the next one of an upstream, on average.
    pub gap_s: f64,
    /// Seconds that a spell lasts, on average.
    pub spell_s: f64,
    /// Share of requests that fail at once in a spell.
    pub fails: f64,
    /// Time after which those end, in ms: at once, or hanging until their time is up.
    pub fails_ms: u64,
    pub sheds: Sheds,
    /// Backoff that each rejection asks for, in ms; zero for none.
    pub backoff_ms: u64,
    pub cut: Cut,
    pub need: Need,
    pub seed: u64,
}
