//! Encoding of the list of upstreams, box addresses and updates.

use crate::peer_capnp::datagram as wire;
use honeypulley_policy::balance::{Update, UpstreamEntry};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::HallCount;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Maximum number of entries in a datagram; each takes up to 150 bytes.
pub const MAX_ENTRIES: usize = 6;
/// Maximum size of an entry without its texts, in bytes.
const ENTRY_FIELDS: usize = 70;
/// Maximum number of addresses in a datagram; each takes up to 40 bytes.
pub const MAX_BOXES: usize = 30;

/// An entry of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the upstream.
    pub name: String,
    /// Revision of its last write or deletion.
    pub version: Revision,
    /// Whether the upstream is listed, with its data.
    pub state: EntryState,
}

/// State of an upstream in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The upstream is listed.
    Present(UpstreamEntry),
    /// The entry was deleted; the upstream counts as gone after the hold.
    Gone {
        /// Time to wait for the entry to return.
        hold: Duration,
    },
}

/// Summary of a list that equals the platform's list at a revision.
///
/// Two boxes with equal digests list the same entries at the same revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    /// Revision of the platform, in the epoch of the list.
    pub upto: Revision,
    /// Digest of the listed entries.
    pub digest: u64,
}

/// Address of a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoxAddress {
    /// Id of the box in the protocol.
    pub id: NameId,
    /// Address of its peer port.
    pub addr: SocketAddr,
    /// Its data hall, empty if unknown.
    pub hall: String,
    /// Port on which it accepts relayed requests, if it does and is known to.
    pub relay_port: Option<u16>,
    /// Whether its link is known to be fast enough to serve many boxes at a time.
    pub fast_link: bool,
}

impl BoxAddress {
    /// Returns the address at which the box accepts relayed requests.
    #[must_use]
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.relay_port.map(|port| SocketAddr::new(self.addr.ip(), port))
    }
}

impl Entry {
    /// Returns an upper bound of the size in a datagram, in bytes.
    pub(crate) fn encoded_size(&self) -> usize {
        let texts = match &self.state {
            EntryState::Gone { .. } => 0,
            EntryState::Present(l) => {
                l.member.service.len() + l.member.addr.len() + l.member.hall.len()
            }
        };
        ENTRY_FIELDS + self.name.len() + texts
    }
}

pub(crate) fn write_entries(
    mut list: capnp::struct_list::Builder<'_, wire::entry::Owned>,
    entries: &[Entry],
) {
    for (i, e) in entries.iter().enumerate() {
        let mut row = list.reborrow().get(i as u32);
        row.set_name(e.name.as_str());
        row.set_version(e.version.number);
        row.set_epoch(e.version.epoch);
        match &e.state {
            EntryState::Gone { hold } => {
                row.set_gone(true);
                row.set_hold_ms(hold.as_millis() as u32);
            }
            EntryState::Present(l) => {
                row.set_service(l.member.service.as_str());
                row.set_addr(l.member.addr.as_str());
                row.set_hall(l.member.hall.as_str());
                row.set_leaving(l.member.state == MemberState::Leaving);
                row.set_slots(u16::try_from(l.slots).unwrap_or(u16::MAX));
                row.set_cold_ms(l.warm_up.as_millis() as u32);
                row.set_born(l.started.unwrap_or(0));
            }
        }
    }
}

pub(crate) fn read_entries(
    list: capnp::struct_list::Reader<'_, wire::entry::Owned>,
) -> Result<Vec<Entry>, capnp::Error> {
    list.iter().map(read_entry).collect()
}

fn read_entry(r: wire::entry::Reader<'_>) -> Result<Entry, capnp::Error> {
    let name = r.get_name()?.to_string()?;
    let state = if r.get_gone() {
        EntryState::Gone { hold: Duration::from_millis(r.get_hold_ms().into()) }
    } else {
        EntryState::Present(UpstreamEntry {
            member: Member {
                name: name.clone(),
                service: r.get_service()?.to_string()?,
                addr: r.get_addr()?.to_string()?,
                hall: r.get_hall()?.to_string()?,
                state: if r.get_leaving() { MemberState::Leaving } else { MemberState::Live },
            },
            slots: r.get_slots().into(),
            warm_up: Duration::from_millis(r.get_cold_ms().into()),
            started: Some(r.get_born()).filter(|&ms| ms > 0),
        })
    };
    Ok(Entry { name, version: Revision::new(r.get_epoch(), r.get_version()), state })
}

pub(crate) fn write_boxes(
    mut list: capnp::struct_list::Builder<'_, wire::box_address::Owned>,
    boxes: &[BoxAddress],
) {
    for (i, b) in boxes.iter().enumerate() {
        let mut row = list.reborrow().get(i as u32);
        row.set_id(b.id.0);
        // The platform supports IPv4 only.
        if let SocketAddr::V4(a) = b.addr {
            row.set_ip((*a.ip()).into());
            row.set_port(a.port());
        }
        row.set_hall(b.hall.as_str());
        row.set_relay_port(b.relay_port.unwrap_or(0));
        row.set_fast_link(b.fast_link);
    }
}

pub(crate) fn read_boxes(
    list: capnp::struct_list::Reader<'_, wire::box_address::Owned>,
) -> Result<Vec<BoxAddress>, capnp::Error> {
    let read = |r: wire::box_address::Reader<'_>| {
        let addr = SocketAddrV4::new(Ipv4Addr::from(r.get_ip()), r.get_port());
        let hall = r.get_hall()?.to_string()?;
        let relay_port = Some(r.get_relay_port()).filter(|p| *p > 0);
        let (id, fast_link) = (NameId(r.get_id()), r.get_fast_link());
        Ok(BoxAddress { id, addr: addr.into(), hall, relay_port, fast_link })
    };
    list.iter().map(read).collect()
}

pub(crate) fn write_updates(
    mut list: capnp::struct_list::Builder<'_, wire::news_item::Owned>,
    updates: &[Update],
) {
    for (i, update) in updates.iter().enumerate() {
        let mut row = list.reborrow().get(i as u32);
        let (subject, kind, count) = match *update {
            Update::Seen { upstream, observation: what } => (upstream, observation_kind(what), 0),
            Update::Open { upstream, count } => (upstream, wire::NewsKind::Open, count),
            Update::Ended { upstream, count, served, remote: far, age: ago } => {
                row.set_served(served);
                row.set_far(far.map_or(0, |n| n.saturating_add(1)));
                row.set_ago_ms(u16::try_from(ago.as_millis()).unwrap_or(u16::MAX));
                (upstream, wire::NewsKind::Ended, count)
            }
            Update::Recovered { upstream } => (upstream, wire::NewsKind::Well, 0),
            Update::Retry { service, requests: seen, retries: spent } => {
                row.set_far(spent);
                (service, wire::NewsKind::Retry, seen)
            }
            Update::RetrySum { service, sum } => (service, wire::NewsKind::Spent, sum),
            Update::Denied { service, requests: seen, retries: spent } => {
                row.set_far(spent);
                (service, wire::NewsKind::Denied, seen)
            }
            Update::Belief { upstream, phases } => {
                (upstream, wire::NewsKind::Belief, u16::from_be_bytes(phases.map(quantize)))
            }
            Update::Limit { upstream, rate } => {
                row.set_rate(rate.unwrap_or(0.0));
                (upstream, wire::NewsKind::Limit, 0)
            }
            Update::Leaving { upstream } => (upstream, wire::NewsKind::Leaving, 0),
            Update::Replaced { upstream } => (upstream, wire::NewsKind::Replaced, 0),
            Update::Partitioned { service, is_partitioned } => {
                (service, wire::NewsKind::Partitioned, u16::from(is_partitioned))
            }
            Update::Admitted { subject, sum } => (subject, wire::NewsKind::Admitted, sum),
            Update::Pressure { service, level } => (service, wire::NewsKind::Pressure, level),
            Update::Hazard { upstream, episodes, busy_s } => {
                row.set_far(episodes);
                (upstream, wire::NewsKind::Hazard, busy_s)
            }
            Update::HallAdmitted { subject, count } => {
                row.set_hall(count.hall.0);
                row.set_latest(count.recent);
                row.set_level(count.tokens);
                (subject, wire::NewsKind::HallAdmitted, count.sum)
            }
        };
        row.set_subject(subject.0);
        row.set_kind(kind);
        row.set_count(count);
    }
}

pub(crate) fn read_updates(
    list: capnp::struct_list::Reader<'_, wire::news_item::Owned>,
) -> Result<Vec<Update>, capnp::Error> {
    let read = |r: wire::news_item::Reader<'_>| {
        let id = NameId(r.get_subject());
        let observed = |what| Update::Seen { upstream: id, observation: what };
        Ok(match r.get_kind()? {
            wire::NewsKind::Success => observed(Observation::Success),
            wire::NewsKind::Failure => observed(Observation::Failure),
            wire::NewsKind::FailedWork => observed(Observation::FailedWork),
            wire::NewsKind::Refused => observed(Observation::Refused),
            wire::NewsKind::Unreachable => observed(Observation::Unreachable),
            wire::NewsKind::Overdue => observed(Observation::Overdue),
            wire::NewsKind::Shed => observed(Observation::Shed),
            wire::NewsKind::Hung => observed(Observation::Hung),
            wire::NewsKind::Open => Update::Open { upstream: id, count: r.get_count() },
            wire::NewsKind::Ended => Update::Ended {
                upstream: id,
                count: r.get_count(),
                served: r.get_served(),
                remote: r.get_far().checked_sub(1),
                age: Duration::from_millis(r.get_ago_ms().into()),
            },
            wire::NewsKind::Well => Update::Recovered { upstream: id },
            wire::NewsKind::Retry => {
                Update::Retry { service: id, requests: r.get_count(), retries: r.get_far() }
            }
            wire::NewsKind::Spent => Update::RetrySum { service: id, sum: r.get_count() },
            wire::NewsKind::Denied => {
                Update::Denied { service: id, requests: r.get_count(), retries: r.get_far() }
            }
            wire::NewsKind::Belief => {
                Update::Belief { upstream: id, phases: r.get_count().to_be_bytes().map(dequantize) }
            }
            wire::NewsKind::Limit => {
                let rate = Some(r.get_rate()).filter(|r| r.is_finite() && *r > 0.0);
                Update::Limit { upstream: id, rate }
            }
            wire::NewsKind::Leaving => Update::Leaving { upstream: id },
            wire::NewsKind::Replaced => Update::Replaced { upstream: id },
            wire::NewsKind::Partitioned => {
                Update::Partitioned { service: id, is_partitioned: r.get_count() > 0 }
            }
            wire::NewsKind::Admitted => Update::Admitted { subject: id, sum: r.get_count() },
            wire::NewsKind::Pressure => Update::Pressure { service: id, level: r.get_count() },
            wire::NewsKind::Hazard => {
                Update::Hazard { upstream: id, episodes: r.get_far(), busy_s: r.get_count() }
            }
            wire::NewsKind::HallAdmitted => {
                let hall = NameId(r.get_hall());
                let count = HallCount {
                    hall,
                    sum: r.get_count(),
                    recent: r.get_latest(),
                    tokens: r.get_level(),
                };
                Update::HallAdmitted { subject: id, count }
            }
        })
    };
    list.iter().map(read).collect()
}

/// Encodes a probability in steps of 1/255.
fn quantize(probability: f64) -> u8 {
    (probability.clamp(0.0, 1.0) * 255.0).round() as u8
}

fn dequantize(steps: u8) -> f64 {
    f64::from(steps) / 255.0
}

const fn observation_kind(o: Observation) -> wire::NewsKind {
    match o {
        Observation::Success => wire::NewsKind::Success,
        Observation::Failure => wire::NewsKind::Failure,
        Observation::FailedWork => wire::NewsKind::FailedWork,
        Observation::Refused => wire::NewsKind::Refused,
        Observation::Unreachable => wire::NewsKind::Unreachable,
        Observation::Overdue => wire::NewsKind::Overdue,
        Observation::Shed => wire::NewsKind::Shed,
        Observation::Hung => wire::NewsKind::Hung,
    }
}
