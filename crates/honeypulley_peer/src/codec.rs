//! Encoding and authentication of datagrams.

use crate::key::FleetKey;
use crate::listing::{
    BoxAddress, Entry, ListSummary, MAX_ENTRIES, read_boxes, read_entries, read_updates,
    write_boxes, write_entries, write_updates,
};
use crate::peer_capnp::datagram as wire;
use crate::requests::{read_requests, write_requests};
use bytes::Bytes;
use honeypulley_bundle::head::Version;
use honeypulley_policy::balance::Update;
use honeypulley_policy::collector::{Judgement, NameId, Report, ReportItem, Verdict};
use honeypulley_policy::quarantine::RequestUpdate;
use honeypulley_policy::revision::Revision;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum size of a datagram in bytes, below the usual path MTU.
pub const MAX_DATAGRAM: usize = 1_400;
/// Maximum size of the entries or names in a datagram in bytes; the rest is for its own fields.
const MAX_TEXT: usize = 1_150;
/// Maximum number of items in a datagram.
pub const MAX_ITEMS: usize = 64;
/// Maximum number of fragments for changes of the list of upstreams.
///
/// This allows 96 entries, more than a release of a service changes at once. For a box that lacks
/// more changes, fetching the full list over a connection is cheaper than datagrams.
pub const MAX_FRAGMENTS: usize = 16;

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Requests a [`Body::Tell`].
    Ask {
        /// Number echoed in the answer.
        nonce: u64,
    },
    /// Reports the versions that a box has.
    Tell {
        /// Number of the request.
        nonce: u64,
        /// Version of the newest accepted bundle, zero if there is none.
        bundle: Version,
        /// Revision of the cached permits.
        permits: Revision,
        /// Time since the permits were last confirmed, if they ever were.
        age: Option<Duration>,
    },
    /// Announces that the sender has accepted a bundle.
    Rumour {
        /// Version of the bundle.
        bundle: Version,
    },
    /// Reports request outcomes to a collector.
    Report {
        /// Service that the outcomes belong to.
        service: NameId,
        /// Number of outcomes by upstream.
        items: Vec<ReportItem>,
    },
    /// Announces a collector's verdict.
    Verdict(Verdict),
    /// Introduces the sender; the answer is a [`Body::Book`].
    ///
    /// Sent by a box that has just started or does not know the receiver.
    Hello {
        /// Data hall of the sender.
        hall: String,
        /// Port on which the sender accepts relayed requests, if it does.
        relay_port: Option<u16>,
        /// Whether the sender's link is known to be fast enough to serve many boxes at a time.
        fast_link: bool,
        /// Whether to return all boxes that the receiver knows, or the receiver alone.
        wants_book: bool,
        /// Whether to return the health probabilities of upstreams, as needed after a start.
        wants_beliefs: bool,
    },
    /// Lists the boxes that the sender knows.
    Book(Vec<BoxAddress>),
    /// Periodically reports what the sender has cached and whether it is a reader.
    Beacon(Beacon),
    /// Updates on upstreams, retries and limits, from the sender's evidence.
    News {
        /// Sequence number of the sender, as an update may arrive by several paths.
        seq: u32,
        /// Items of the update.
        items: Vec<Update>,
    },
    /// Data halls whose upstreams get no new requests.
    Evacuations {
        /// Revision of the platform as of which the set is complete.
        upto: Revision,
        /// Names of the data halls.
        halls: Vec<String>,
    },
    /// A sealed datagram to be forwarded unchanged within the receiver's data hall.
    Forward(Bytes),
    /// Changes of the list of upstreams, or a fragment of them.
    Changes(ListUpdate),
    /// Requests the changes after a revision; the answer is [`Body::Changes`].
    Want {
        /// Revision up to which the list of the requesting box is complete.
        after: Revision,
    },
    /// Updates about requests during which upstreams crashed.
    Requests {
        /// Sequence number of the sender, shared with [`Body::News`].
        seq: u32,
        /// Items of the update.
        items: Vec<RequestUpdate>,
    },
}

/// A fragment of changes of the list of upstreams.
///
/// The receiver applies the entries of each fragment at once, but counts its list as complete up
/// to `upto` only after all fragments, since a lost one may contain further changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Revision after which the changes begin.
    pub since: Revision,
    /// Revision up to which all fragments together are complete.
    pub upto: Revision,
    /// Index of this fragment, starting at zero.
    pub part: u16,
    /// Number of fragments.
    pub parts: u16,
    /// Time since the sender's list was last known to be up to date.
    pub age: Duration,
    /// Changed entries in this fragment.
    pub entries: Vec<Entry>,
}

impl ListUpdate {
    /// Splits changes into fragments of one datagram each.
    ///
    /// Returns `None` if there are more than [`MAX_FRAGMENTS`] fragments, or if an entry is too
    /// long for a datagram.
    #[must_use]
    pub fn split(
        since: Revision,
        upto: Revision,
        age: Duration,
        entries: &[Entry],
    ) -> Option<Vec<Self>> {
        let mut chunks = vec![Vec::new()];
        let mut bytes = 0;
        for e in entries {
            let size = e.encoded_size();
            if size > MAX_TEXT {
                return None;
            }
            let is_full = chunks.last().is_some_and(|c| c.len() == MAX_ENTRIES);
            if is_full || bytes + size > MAX_TEXT {
                chunks.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            chunks.last_mut().expect("there is always a chunk").push(e.clone());
        }
        let count = chunks.len();
        if count > MAX_FRAGMENTS {
            return None;
        }
        let fragment = |(i, entries): (usize, Vec<Entry>)| Self {
            since,
            upto,
            part: i as u16,
            parts: count as u16,
            age,
            entries,
        };
        Some(chunks.into_iter().enumerate().map(fragment).collect())
    }
}

/// Periodic report of a box on its view of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beacon {
    /// Number of the newest routing table that the box has received, zero if there is none.
    pub table: u64,
    /// Revision up to which the box's list of upstreams is complete.
    pub list: Revision,
    /// Newest known epoch of the platform.
    pub epoch: u64,
    /// Whether the box detected a restore of the platform within the last 15 s.
    pub restored: bool,
    /// Whether the box is a reader, which watches the platform itself.
    pub reader: bool,
    /// Time since the platform last answered the box.
    pub read_age: Duration,
    /// Whether the box's calls to the platform fail; false for a new reader that has made none.
    pub unable: bool,
    /// Time since the box's list was last known to be up to date.
    pub list_age: Duration,
    /// Summary of a reader's list, unless it holds changes that the reader has not read itself.
    pub summary: Option<ListSummary>,
}

/// A message between boxes.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Id of the sending box.
    pub sender: NameId,
    /// Payload of the datagram.
    pub body: Body,
}

impl Datagram {
    /// Encodes the datagram and appends its authentication tag.
    #[must_use]
    pub fn seal(&self, key: &FleetKey) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        let mut root = message.init_root::<wire::Builder<'_>>();
        root.set_sender(self.sender.0);
        self.body.write(root);
        let mut bytes = Vec::with_capacity(160);
        capnp::serialize_packed::write_message(&mut bytes, &message)
            .expect("writing to a `Vec` does not fail");
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed or fails authentication.
    #[must_use]
    pub fn open(bytes: &[u8], key: &FleetKey) -> Option<Self> {
        if bytes.len() > MAX_DATAGRAM {
            return None;
        }
        let message = key.open(bytes)?;
        Self::decode(message).ok()?
    }

    fn decode(mut bytes: &[u8]) -> Result<Option<Self>, capnp::Error> {
        let mut options = capnp::message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_DATAGRAM * 4));
        let message = capnp::serialize_packed::read_message(&mut bytes, options)?;
        let root = message.get_root::<wire::Reader<'_>>()?;
        let sender = NameId(root.get_sender());
        Ok(Body::read(root)?.map(|body| Self { sender, body }))
    }
}

impl Body {
    /// Creates the body with the evacuated data halls, as many as fit into a datagram.
    ///
    /// The names come from the platform, where other writers may store longer ones than those of
    /// data halls. The shortest come first.
    #[must_use]
    pub fn evacuations(upto: Revision, halls: &BTreeSet<String>) -> Self {
        let mut halls: Vec<String> = halls.iter().cloned().collect();
        halls.sort_by_key(String::len);
        let mut bytes = 0;
        halls.retain(|h| {
            // A pointer, and padding to whole words.
            bytes += h.len() + 16;
            bytes <= MAX_TEXT
        });
        Self::Evacuations { upto, halls }
    }

    fn write(&self, root: wire::Builder<'_>) {
        match self {
            Self::Ask { nonce } => root.init_ask().set_nonce(*nonce),
            Self::Tell { nonce, bundle, permits, age } => {
                let mut b = root.init_tell();
                b.set_tell_nonce(*nonce);
                b.set_bundle(bundle.0);
                b.set_permits(permits.number);
                b.set_permits_epoch(permits.epoch);
                b.set_confirmed(age.is_some());
                b.set_age_ms(age.map_or(0, millis));
            }
            Self::Rumour { bundle } => root.init_rumour().set_rumour_bundle(bundle.0),
            Self::Report { service, items } => write_report(root, *service, items),
            Self::Verdict(v) => write_verdict(root, v),
            Self::Hello { hall, relay_port, fast_link, wants_book, wants_beliefs } => {
                let mut b = root.init_hello();
                b.set_hello_relay_port(relay_port.unwrap_or(0));
                b.set_hello_fast_link(*fast_link);
                b.set_wants_beliefs(*wants_beliefs);
                b.set_hello_hall(hall.as_str());
                b.set_wants_book(*wants_book);
            }
            Self::Book(boxes) => {
                write_boxes(root.init_book().init_boxes(boxes.len() as u32), boxes);
            }
            Self::Beacon(beacon) => {
                let mut b = root.init_beacon();
                b.set_table_version(beacon.table);
                b.set_list_version(beacon.list.number);
                b.set_list_epoch(beacon.list.epoch);
                b.set_epoch(beacon.epoch);
                b.set_restored(beacon.restored);
                b.set_reader(beacon.reader);
                b.set_read_age_ms(millis(beacon.read_age));
                b.set_unable(beacon.unable);
                b.set_list_age_ms(millis(beacon.list_age));
                if let Some(s) = beacon.summary {
                    b.set_read_upto(s.upto.number);
                    b.set_list_digest(s.digest);
                }
            }
            Self::News { seq, items } => {
                let mut b = root.init_news();
                b.set_seq(*seq);
                write_updates(b.init_seen(items.len() as u32), items);
            }
            Self::Evacuations { upto, halls } => {
                let mut b = root.init_evacuations();
                b.set_evacuated_upto(upto.number);
                b.set_evacuated_epoch(upto.epoch);
                let mut list = b.init_evacuated_halls(halls.len() as u32);
                halls.iter().enumerate().for_each(|(i, hall)| list.set(i as u32, hall.as_str()));
            }
            Self::Forward(sealed) => {
                let mut root = root;
                root.set_forward(sealed);
            }
            Self::Changes(t) => {
                let mut b = root.init_changes();
                b.set_since(t.since.number);
                b.set_since_epoch(t.since.epoch);
                b.set_upto(t.upto.number);
                b.set_upto_epoch(t.upto.epoch);
                b.set_part(t.part);
                b.set_parts(t.parts);
                b.set_told_age_ms(millis(t.age));
                write_entries(b.init_entries(t.entries.len() as u32), &t.entries);
            }
            Self::Want { after } => {
                let mut b = root.init_want();
                b.set_after(after.number);
                b.set_after_epoch(after.epoch);
            }
            Self::Requests { seq, items } => {
                let mut b = root.init_requests();
                b.set_requests_seq(*seq);
                write_requests(b.init_request_items(items.len() as u32), items);
            }
        }
    }

    fn read(root: wire::Reader<'_>) -> Result<Option<Self>, capnp::Error> {
        let body = match root.which() {
            Err(_) => return Ok(None),
            Ok(wire::Ask(r)) => Self::Ask { nonce: r.get_nonce() },
            Ok(wire::Tell(r)) => Self::Tell {
                nonce: r.get_tell_nonce(),
                bundle: Version(r.get_bundle()),
                permits: Revision::new(r.get_permits_epoch(), r.get_permits()),
                age: r.get_confirmed().then(|| Duration::from_millis(r.get_age_ms().into())),
            },
            Ok(wire::Rumour(r)) => Self::Rumour { bundle: Version(r.get_rumour_bundle()) },
            Ok(wire::Report(r)) => {
                let items = r.get_items()?.iter().take(MAX_ITEMS).map(|i| ReportItem {
                    upstream: NameId(i.get_upstream()),
                    successes: i.get_good(),
                    failures: i.get_bad(),
                });
                Self::Report { service: NameId(r.get_report_service()), items: items.collect() }
            }
            Ok(wire::Verdict(r)) => Self::Verdict(Verdict {
                service: NameId(r.get_verdict_service()),
                upstream: NameId(r.get_upstream()),
                judgement: read_judgement(r.get_judgement()?),
                hold: Duration::from_millis(r.get_hold_ms().into()),
                witnesses: r.get_witnesses(),
            }),
            Ok(wire::Hello(r)) => Self::Hello {
                hall: r.get_hello_hall()?.to_string()?,
                relay_port: Some(r.get_hello_relay_port()).filter(|p| *p > 0),
                fast_link: r.get_hello_fast_link(),
                wants_book: r.get_wants_book(),
                wants_beliefs: r.get_wants_beliefs(),
            },
            Ok(wire::Book(r)) => Self::Book(read_boxes(r.get_boxes()?)?),
            Ok(wire::Beacon(r)) => Self::Beacon(Beacon {
                table: r.get_table_version(),
                list: Revision::new(r.get_list_epoch(), r.get_list_version()),
                epoch: r.get_epoch(),
                restored: r.get_restored(),
                reader: r.get_reader(),
                read_age: Duration::from_millis(r.get_read_age_ms().into()),
                unable: r.get_unable(),
                list_age: Duration::from_millis(r.get_list_age_ms().into()),
                summary: (r.get_read_upto() > 0).then(|| ListSummary {
                    upto: Revision::new(r.get_list_epoch(), r.get_read_upto()),
                    digest: r.get_list_digest(),
                }),
            }),
            Ok(wire::News(r)) => {
                Self::News { seq: r.get_seq(), items: read_updates(r.get_seen()?)? }
            }
            Ok(wire::Evacuations(r)) => Self::Evacuations {
                upto: Revision::new(r.get_evacuated_epoch(), r.get_evacuated_upto()),
                halls: read_halls(r.get_evacuated_halls()?)?,
            },
            Ok(wire::Forward(r)) => Self::Forward(Bytes::copy_from_slice(r?)),
            Ok(wire::Changes(r)) => Self::Changes(ListUpdate {
                since: Revision::new(r.get_since_epoch(), r.get_since()),
                upto: Revision::new(r.get_upto_epoch(), r.get_upto()),
                part: r.get_part(),
                parts: r.get_parts(),
                age: Duration::from_millis(r.get_told_age_ms().into()),
                entries: read_entries(r.get_entries()?)?,
            }),
            Ok(wire::Want(r)) => {
                Self::Want { after: Revision::new(r.get_after_epoch(), r.get_after()) }
            }
            Ok(wire::Requests(r)) => Self::Requests {
                seq: r.get_requests_seq(),
                items: read_requests(r.get_request_items()?)?,
            },
        };
        Ok(Some(body))
    }
}

fn read_halls(list: capnp::text_list::Reader<'_>) -> Result<Vec<String>, capnp::Error> {
    let read = |t: capnp::Result<capnp::text::Reader<'_>>| Ok(t?.to_string()?);
    list.iter().map(read).collect()
}

/// Splits a report into datagram bodies.
pub fn report_bodies(report: &Report) -> impl Iterator<Item = Body> + '_ {
    let body =
        |items: &[ReportItem]| Body::Report { service: report.service, items: items.to_vec() };
    report.items.chunks(MAX_ITEMS).map(body)
}

fn write_report(root: wire::Builder<'_>, service: NameId, items: &[ReportItem]) {
    let mut b = root.init_report();
    b.set_report_service(service.0);
    let mut list = b.init_items(items.len() as u32);
    for (i, item) in items.iter().enumerate() {
        let mut row = list.reborrow().get(i as u32);
        row.set_upstream(item.upstream.0);
        row.set_good(item.successes);
        row.set_bad(item.failures);
    }
}

fn write_verdict(root: wire::Builder<'_>, v: &Verdict) {
    let mut b = root.init_verdict();
    b.set_verdict_service(v.service.0);
    b.set_upstream(v.upstream.0);
    b.set_judgement(match v.judgement {
        Judgement::Suspect => wire::Judgement::Suspect,
        Judgement::Probation => wire::Judgement::Probation,
        Judgement::Clear => wire::Judgement::Clear,
    });
    b.set_hold_ms(millis(v.hold));
    b.set_witnesses(v.witnesses);
}

const fn read_judgement(j: wire::Judgement) -> Judgement {
    match j {
        wire::Judgement::Suspect => Judgement::Suspect,
        wire::Judgement::Probation => Judgement::Probation,
        wire::Judgement::Clear => Judgement::Clear,
    }
}

/// Converts to milliseconds, rounded up so that an age is never understated.
pub(crate) fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
