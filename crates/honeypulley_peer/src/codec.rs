//! Datagrams as bytes.

use crate::key::FleetKey;
use crate::listing::{
    BoxAddress, Entry, MAX_ENTRIES, read_boxes, read_entries, read_news, write_boxes,
    write_entries, write_news,
};
use crate::peer_capnp::datagram as wire;
use crate::requests::{read_requests, write_requests};
use bytes::Bytes;
use honeypulley_bundle::head::Version;
use honeypulley_policy::balance::Update;
use honeypulley_policy::collector::{Judgement, NameId, Report, ReportItem, Verdict};
use honeypulley_policy::quarantine::RequestUpdate;
use honeypulley_policy::revision::Revision;
use std::time::Duration;

/// Largest datagram sent or taken, under the usual path MTU.
pub const MAX_DATAGRAM: usize = 1_400;
/// Items that fit one datagram.
pub const MAX_ITEMS: usize = 64;
/// Most fragments in which changes of the list are sent.
///
/// 96 entries, more than a release of a service brings at once; beyond that a
/// connection that carries the whole list is cheaper than the datagrams.
pub const MAX_FRAGMENTS: usize = 16;

/// What one datagram says.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Asks for [`Body::Tell`].
    Ask {
        /// Echoed in the answer.
        nonce: u64,
    },
    /// Versions that a box has.
    Tell {
        /// The asker's number.
        nonce: u64,
        /// Bundle in force, zero if there is none.
        bundle: Version,
        /// Version of the permits held.
        permits: Revision,
        /// Age of their last confirmation, if there was one.
        age: Option<Duration>,
    },
    /// A bundle came in force.
    Rumour {
        /// Its version.
        bundle: Version,
    },
    /// Evidence for a collector.
    Report {
        /// Service judged.
        service: NameId,
        /// Outcomes by upstream.
        items: Vec<ReportItem>,
    },
    /// A collector's verdict.
    Verdict(Verdict),
    /// The sender is new, or does not know the receiver; the answer is a [`Body::Book`].
    Hello {
        /// The sender's data hall.
        hall: String,
        /// Whether it asks for all boxes that the receiver knows; else for the receiver alone.
        wants_book: bool,
        /// Whether it has just started and asks what others believe of upstreams.
        wants_beliefs: bool,
    },
    /// Boxes that the sender knows.
    Book(Vec<BoxAddress>),
    /// What the sender has, and whether it reads the platform itself.
    Beacon(Beacon),
    /// What the sender saw of upstreams.
    News {
        /// Number of this news at its sender, since it may come by several ways.
        seq: u32,
        /// What was seen.
        items: Vec<Update>,
    },
    /// A sealed datagram to be sent on to the receiver's data hall, as it is.
    Forward(Bytes),
    /// Changes of the list of upstreams, or a part of them.
    Changes(ListUpdate),
    /// Asks for the changes after a version; the answer is [`Body::Changes`].
    Want {
        /// Position up to which the asker's list is complete.
        after: Revision,
    },
    /// What the sender knows of requests under which upstreams ended.
    Requests {
        /// Number of this news at its sender, of the same row as those of [`Body::News`].
        seq: u32,
        /// What is known.
        items: Vec<RequestUpdate>,
    },
}

/// Changes of the list of upstreams, or one part of them.
///
/// They are complete only with every part: a part that is lost must not be taken for
/// one that was empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Position after which they begin.
    pub since: Revision,
    /// Position up to which all parts together are complete.
    pub upto: Revision,
    /// Which part this is, from zero.
    pub part: u16,
    /// How many parts there are.
    pub parts: u16,
    /// Time since the sender's list was last known to be complete.
    pub age: Duration,
    /// The changes of this part.
    pub entries: Vec<Entry>,
}

impl ListUpdate {
    /// Cuts changes into parts that fit a datagram each; `None` if they are too many
    /// to be sent so.
    #[must_use]
    pub fn cut(
        since: Revision,
        upto: Revision,
        age: Duration,
        entries: &[Entry],
    ) -> Option<Vec<Self>> {
        let parts = entries.len().div_ceil(MAX_ENTRIES).max(1);
        if parts > MAX_FRAGMENTS {
            return None;
        }
        let part = |i: usize| {
            let entries = entries.iter().skip(i * MAX_ENTRIES).take(MAX_ENTRIES).cloned();
            let entries = entries.collect();
            Self { since, upto, part: i as u16, parts: parts as u16, age, entries }
        };
        Some((0..parts).map(part).collect())
    }
}

/// What a box has of the platform's objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beacon {
    /// Version of the routing table in force, zero if there is none.
    pub table: u64,
    /// Position up to which its list of upstreams is complete.
    pub list: Revision,
    /// Newest epoch of the platform that it knows of.
    pub epoch: u64,
    /// Whether it noticed a restore of the platform in the last seconds.
    pub restored: bool,
    /// Whether it reads the platform itself.
    pub reader: bool,
    /// Time since the platform last answered it.
    pub read_age: Duration,
    /// Whether its calls fail; one that has just begun to read has made none.
    pub unable: bool,
    /// Time since its list was last known to be complete.
    pub list_age: Duration,
}

/// A datagram with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Box that sent it.
    pub sender: NameId,
    /// What it says.
    pub body: Body,
}

impl Datagram {
    /// Returns the bytes with their tag.
    #[must_use]
    pub fn seal(&self, key: &FleetKey) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        let mut root = message.init_root::<wire::Builder<'_>>();
        root.set_sender(self.sender.0);
        self.body.write(root);
        let mut bytes = Vec::with_capacity(160);
        capnp::serialize_packed::write_message(&mut bytes, &message)
            .expect("writing to memory can't fail");
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Reads a datagram; `None` if it is malformed or its tag does not fit.
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
            Self::Hello { hall, wants_book, wants_beliefs } => {
                let mut b = root.init_hello();
                b.set_wants_beliefs(*wants_beliefs);
                b.set_hello_hall(hall.as_str());
                b.set_wants_book(*wants_book);
            }
            Self::Book(boxes) => {
                write_boxes(root.init_book().init_boxes(boxes.len() as u32), boxes);
            }
            Self::Beacon(x) => {
                let mut b = root.init_beacon();
                b.set_table_version(x.table);
                b.set_list_version(x.list.number);
                b.set_list_epoch(x.list.epoch);
                b.set_epoch(x.epoch);
                b.set_restored(x.restored);
                b.set_reader(x.reader);
                b.set_read_age_ms(millis(x.read_age));
                b.set_unable(x.unable);
                b.set_list_age_ms(millis(x.list_age));
            }
            Self::News { seq, items } => {
                let mut b = root.init_news();
                b.set_seq(*seq);
                write_news(b.init_seen(items.len() as u32), items);
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
                    good: i.get_good(),
                    bad: i.get_bad(),
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
            }),
            Ok(wire::News(r)) => Self::News { seq: r.get_seq(), items: read_news(r.get_seen()?)? },
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

/// Cuts a report into datagram bodies that fit.
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
        row.set_good(item.good);
        row.set_bad(item.bad);
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

/// Rounds up, so that an age is never reported too young.
pub(crate) fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
