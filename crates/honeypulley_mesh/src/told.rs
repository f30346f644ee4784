//! Which fragments of broadcast changes have arrived.
//!
//! A change sent in several datagrams is complete with the last of them to
//! arrive, whichever that is. One that was lost leaves the change incomplete, so that
//! the box knows that it misses something.

use honeypulley_peer::codec::{MAX_TOLD_PARTS, Told};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::collections::VecDeque;

/// Changes of which some parts are awaited, before the oldest is given up.
///
/// Three readers tell a change at most, and a change is whole within milliseconds.
const MAX_OPEN: usize = 16;

/// One telling of changes by one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Telling {
    sender: NameId,
    since: Revision,
    upto: Revision,
    parts: u16,
}

/// Parts that have come, of the tellings that are not complete yet.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// A bit for each part that has come.
    open: VecDeque<(Telling, u64)>,
}

impl Parts {
    /// Adds a fragment; returns whether its message is complete.
    pub fn is_complete(&mut self, sender: NameId, t: &Told) -> bool {
        if t.parts == 0 || t.part >= t.parts || usize::from(t.parts) > MAX_TOLD_PARTS {
            return false;
        }
        let all = (1_u64 << t.parts) - 1;
        let telling = Telling { sender, since: t.since, upto: t.upto, parts: t.parts };
        let mut came = 1_u64 << t.part;
        if let Some(i) = self.open.iter().position(|(x, _)| *x == telling) {
            came |= self.open.remove(i).map_or(0, |(_, bits)| bits);
        }
        if came == all {
            return true;
        }
        self.open.push_back((telling, came));
        if self.open.len() > MAX_OPEN {
            self.open.pop_front();
        }
        false
    }
}
