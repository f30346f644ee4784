//! State that the duties of one box share.

use crate::admission::AdmissionView;
use crate::book::AddressBook;
use crate::catch_up::CatchUp;
use crate::cold_load::FleetView;
use crate::decoder::Decoder;
use crate::epoch::Epoch;
use crate::evacuations::Evacuations;
use crate::list_assembly::ListAssembly;
use crate::lists::Lists;
use crate::readers::{ReaderFleet, Readers};
use crate::relay_directory::RelayDirectory;
use crate::repair::ListRepair;
use crate::setup::Startup;
use crate::update_batch::ReceivedUpdate;
use crate::uplink::UplinkLimiter;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use honeypulley_observe::metrics::Registry;
use honeypulley_peer::codec::Beacon;
use honeypulley_peer::key::FleetKey;
use honeypulley_peer::list_page::{BoxAnswer, BoxPage, PAGE_ENTRIES};
use honeypulley_peer::listing::BoxAddress;
use honeypulley_peer::server::Versioned;
use honeypulley_platform::api::Object;
use honeypulley_policy::balance::{Balancer, FleetScope, Update};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::LimitScope;
use honeypulley_policy::quarantine::{Quarantine, RequestUpdate};
use honeypulley_policy::regions::RegionMap;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::routes::RouteTable;
use honeypulley_policy::time::Time;
use honeypulley_proxy::stop::StopState;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::ring::{OverflowPolicy, Ring};
use parking_lot::{Mutex, MutexGuard};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Link bandwidth in Mbit/s below which a box avoids the role of reader.
///
/// A reader broadcasts each change to its whole data hall at once.
const SLOW_LINK_MBPS: f64 = 50.0;

/// Capacity of the queues of belief requests and replies; beyond it the oldest is dropped.
const BELIEF_QUEUE_SIZE: usize = 64;

/// Number of boxes of a data hall that announce the totals of one subject to the other halls.
///
/// The second box covers for a failure of the first. A silent box counts as present for 5 s, so an
/// announcement is missed only if both boxes fail within that time.
const ANNOUNCERS: usize = 2;

/// Number of addresses named to a box to which the address book can't be sent.
const BOX_SAMPLE: usize = 8;

/// Age reported for a list that was never complete.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// Settings of one box of the mesh.
#[derive(Clone, Debug, bon::Builder)]
pub struct MeshSettings {
    /// Name of the box.
    #[builder(into)]
    pub name: String,
    /// Data hall of the box.
    #[builder(into)]
    pub hall: String,
    /// Address on which the box talks to its peers.
    pub peer: SocketAddr,
    /// Peer addresses of some boxes; they may be out of date.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Shared key of the fleet, which authenticates messages between boxes.
    pub key: FleetKey,
    /// Bandwidth of the box's link in Mbit/s, if known.
    pub link_mbps: Option<f64>,
    /// Port on which the box accepts relayed requests, if it does.
    pub relay_port: Option<u16>,
    /// Regions of the data halls.
    #[builder(default)]
    pub regions: RegionMap,
    /// Whether this is the first start of the whole fleet.
    #[builder(default)]
    pub first_start: bool,
    /// Whether this box is one of the seeds, or there are none.
    #[builder(default = true)]
    pub is_seed: bool,
}

impl MeshSettings {
    /// Returns whether the link is known to be fast enough to serve many boxes at a time.
    #[must_use]
    pub fn has_fast_link(&self) -> bool {
        self.link_mbps.is_some_and(|l| l >= SLOW_LINK_MBPS)
    }
}

/// The newest routing table that this box has received, in stored form.
#[derive(Clone, Debug, Default)]
struct HeldTable {
    /// Revision of the table's object in the store.
    revision: Revision,
    /// Number of the table, zero if none has been received.
    number: u64,
    /// Undecoded content of the object.
    raw: Bytes,
}

impl HeldTable {
    /// Handles a received table whose number is not higher than that of this one.
    ///
    /// The same table at a newer revision updates the revision; any other table is dropped.
    fn handle_not_newer(&mut self, number: u64, other: &Object, from: &str) {
        let (held, object) = (self.number, other.version);
        if number == held && other.value == self.raw {
            self.revision = self.revision.max(object);
        } else if number == held {
            log::warn!(
                version = held, object:display, from;
                "table: version {held} dropped, this box holds that version with other content"
            );
        } else if object > self.revision {
            log::info!(
                version = number, held, object:display, from;
                "table: version {number} dropped, version {held} is held"
            );
        }
    }
}

/// Shared state of one box, through which its duties communicate.
#[derive(Debug)]
pub struct Mesh {
    /// Settings of this box.
    pub settings: MeshSettings,
    /// Identifier of this box in messages.
    pub id: NameId,
    /// Clock of the process.
    pub clock: Clock,
    /// Decoder of the platform's objects.
    pub decoder: Arc<dyn Decoder>,
    /// Routing table in force; set by the serving thread.
    pub in_force: ArcSwapOption<RouteTable>,
    /// Requests refused in favour of more urgent ones of their organisations.
    pub outranked: AtomicU64,
    /// News of this box, to be sent to the other boxes.
    pub updates_out: Ring<Update>,
    /// News received from other boxes, for the serving thread.
    pub updates_in: Ring<ReceivedUpdate>,
    /// News of requests during which upstreams failed, to be sent to the other boxes.
    pub requests_out: Ring<RequestUpdate>,
    /// Boxes that have just started and request this box's beliefs about upstreams.
    pub belief_requests: Ring<SocketAddr>,
    /// Replies to those requests, each with the address of the requesting box.
    pub belief_replies: Ring<(SocketAddr, Vec<Update>)>,
    /// Wakes the serving thread after a change of the table or the list.
    pub serve_wakeup: Notify,
    /// Wakes the peer duty to broadcast updates.
    pub broadcast_wakeup: Notify,
    /// Wakes the peer duty to pull a missing routing table.
    pub pull_wakeup: Notify,
    /// Wakes the peer duty to request missing changes of the list.
    pub query_wakeup: Notify,
    /// Wakes the peer duty to pull the list of a reader, which differs from the local list.
    pub repair_wakeup: Notify,
    /// Wakes the store duty to reread the list, since no peer has sent the changes.
    pub reread_wakeup: Notify,
    /// Wakes the peer duty when other boxes were found in the store.
    pub hello_wakeup: Notify,
    /// Wakes the store duty when the number of boxes is known.
    pub fleet_wakeup: Notify,
    /// Wakes the store duty when this box becomes or ceases to be a reader.
    pub reader_changed: Notify,
    /// Wakes tasks that must reread the platform after a restore.
    pub restore_wakeup: Notify,
    /// Wakes tasks that wait for a newer routing table.
    pub table_received: Notify,
    /// Progress of this box's startup.
    pub startup: Startup,
    /// Set once the addresses of all boxes have been read from the platform or a peer.
    fleet_known: AtomicBool,
    /// When a peer last had the addresses of all boxes, but no capacity to send them.
    book_holder: Mutex<Option<Time>>,
    /// Set once the list of upstreams has been received.
    pub list_known: AtomicBool,
    /// Set while the other boxes may not know this box's address.
    pub unannounced: AtomicBool,
    /// State of a planned stop.
    pub stop: Arc<StopState>,
    /// Number of further attempts that the retry budget did not allow.
    pub(crate) retries_denied: AtomicU64,
    seeds: Mutex<Vec<SocketAddr>>,
    pub(crate) registry: Registry,
    pub(crate) admission: Mutex<AdmissionView>,
    book: Mutex<AddressBook>,
    pub(crate) lists: Mutex<Lists>,
    /// Pages of the list received while this box has none; locked after the list.
    pub(crate) assembly: Mutex<ListAssembly>,
    readers: Mutex<Readers>,
    table: Mutex<HeldTable>,
    next_table: Mutex<Option<Arc<RouteTable>>>,
    pending_table: Mutex<Option<PendingTable>>,
    catch_up: Mutex<CatchUp>,
    pub(crate) repair: Mutex<ListRepair>,
    pub(crate) uplink: Mutex<UplinkLimiter>,
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Number of entries read that describe no upstream.
    pub(crate) invalid_entries: AtomicU64,
    pub(crate) epoch: Epoch,
    pub(crate) evacuations: Mutex<Evacuations>,
    relays: Mutex<RelayDirectory>,
}

/// A routing table that was announced to this box and not received yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingTable {
    /// Number of the table.
    pub number: u64,
    /// Box whose beacon announced the table.
    pub origin: NameId,
    /// Address from which the beacon arrived, possibly that of a forwarder.
    pub announcer: SocketAddr,
}

impl Mesh {
    /// Builds the shared state of one box.
    #[must_use]
    pub fn new(
        settings: MeshSettings,
        clock: Clock,
        decoder: Arc<dyn Decoder>,
        stop: Arc<StopState>,
    ) -> Self {
        let id = NameId::of(&settings.name);
        let is_slow = settings.link_mbps.is_some_and(|l| l < SLOW_LINK_MBPS);
        Self {
            id,
            clock,
            decoder,
            in_force: ArcSwapOption::empty(),
            outranked: AtomicU64::new(0),
            updates_out: Ring::new(4_096, OverflowPolicy::DropOldest),
            updates_in: Ring::new(16_384, OverflowPolicy::DropOldest),
            requests_out: Ring::new(1_024, OverflowPolicy::DropOldest),
            belief_requests: Ring::new(BELIEF_QUEUE_SIZE, OverflowPolicy::DropOldest),
            belief_replies: Ring::new(BELIEF_QUEUE_SIZE, OverflowPolicy::DropOldest),
            serve_wakeup: Notify::new(),
            broadcast_wakeup: Notify::new(),
            pull_wakeup: Notify::new(),
            query_wakeup: Notify::new(),
            repair_wakeup: Notify::new(),
            reread_wakeup: Notify::new(),
            hello_wakeup: Notify::new(),
            fleet_wakeup: Notify::new(),
            reader_changed: Notify::new(),
            restore_wakeup: Notify::new(),
            table_received: Notify::new(),
            startup: Startup::default(),
            fleet_known: AtomicBool::new(false),
            book_holder: Mutex::default(),
            list_known: AtomicBool::new(false),
            unannounced: AtomicBool::new(settings.first_start),
            stop,
            retries_denied: AtomicU64::new(0),
            seeds: Mutex::new(settings.seeds.clone()),
            registry: Registry::default(),
            admission: Mutex::default(),
            book: Mutex::new(AddressBook::new(id, &settings.hall)),
            lists: Mutex::new(Lists::default()),
            assembly: Mutex::default(),
            catch_up: Mutex::new(CatchUp::new(settings.first_start)),
            repair: Mutex::default(),
            uplink: Mutex::new(UplinkLimiter::new(settings.link_mbps)),
            readers: Mutex::new(
                Readers::new(id)
                    .with_slow_link(is_slow)
                    .with_seeds_first(settings.first_start && !settings.is_seed),
            ),
            table: Mutex::new(HeldTable::default()),
            next_table: Mutex::new(None),
            pending_table: Mutex::new(None),
            quarantine: Mutex::default(),
            invalid_entries: AtomicU64::new(0),
            epoch: Epoch::default(),
            evacuations: Mutex::default(),
            relays: Mutex::default(),
            settings,
        }
    }

    /// Exposes the metrics of this registry beside the mesh's own.
    #[must_use]
    pub fn with_metrics(mut self, registry: Registry) -> Self {
        self.registry = registry;
        self
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the address book; the guard must be held only briefly.
    pub fn address_book(&self) -> MutexGuard<'_, AddressBook> {
        self.book.lock()
    }

    /// Locks the state of the readers; the guard must be held only briefly.
    pub fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock()
    }

    /// Locks the directory of relays; the guard must be held only briefly.
    pub fn relay_directory(&self) -> MutexGuard<'_, RelayDirectory> {
        self.relays.lock()
    }

    /// Returns peer addresses of some boxes; they may be out of date.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().clone()
    }

    /// Replaces the seed addresses after a reload of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
    }

    /// Records the address of a box; returns whether the box is new or its data hall was unknown.
    pub fn add_address(&self, b: BoxAddress) -> bool {
        self.book.lock().upsert(b)
    }

    /// Records that this box has the addresses of all boxes.
    pub fn record_fleet_known(&self) {
        self.fleet_known.store(true, Ordering::Release);
        self.fleet_wakeup.notify_one();
    }

    /// Returns whether this box has the addresses of all boxes, as far as the platform had them.
    #[must_use]
    pub fn is_fleet_known(&self) -> bool {
        self.fleet_known.load(Ordering::Acquire)
    }

    /// Records that a peer has the addresses of all boxes, but no capacity to send them.
    pub(crate) fn record_book_holder(&self) {
        *self.book_holder.lock() = Some(self.now());
    }

    /// Returns when a peer last had the addresses of all boxes without capacity to send them.
    pub(crate) fn book_holder(&self) -> Option<Time> {
        *self.book_holder.lock()
    }

    /// Returns a page of the address book for a peer that has none, or a few random addresses.
    pub(crate) fn box_page(&self, after: NameId, is_admitted: bool) -> BoxAnswer {
        let is_known = self.is_fleet_known();
        let (now, book) = (self.now(), self.book.lock());
        let (rest, has_more) = book.page(after, PAGE_ENTRIES);
        if !is_known || !self.admit_page(rest.len(), is_admitted, now) {
            let boxes = [self.own_address()].into_iter().chain(book.sample(BOX_SAMPLE)).collect();
            return BoxAnswer::Sample { is_known, boxes };
        }
        // The next page is requested by the last id, so that this box's own comes first.
        let own = (after == NameId(0)).then(|| self.own_address());
        BoxAnswer::Page(BoxPage { has_more, boxes: own.into_iter().chain(rest).collect() })
    }

    /// Returns this box's own address.
    #[must_use]
    pub fn own_address(&self) -> BoxAddress {
        let s = &self.settings;
        let (hall, relay_port) = (s.hall.clone(), s.relay_port);
        BoxAddress { id: self.id, addr: s.peer, hall, relay_port, fast_link: s.has_fast_link() }
    }

    /// Returns the number of boxes in the fleet, this one included, if it is known.
    ///
    /// In the first seconds of a fleet's first start, the platform has few records. A box then
    /// leaves reading to the seeds.
    #[must_use]
    pub fn fleet_size(&self) -> Option<usize> {
        let settings = &self.settings;
        let yields = settings.first_start && !settings.is_seed;
        if !self.is_fleet_known() || yields && self.readers().is_waiting_for_seeds(self.now()) {
            return None;
        }
        Some(self.address_book().count())
    }

    /// Returns the boxes among which readers are chosen.
    pub(crate) fn reader_fleet(&self) -> ReaderFleet {
        let live = self.readers().live(self.now());
        let book = self.address_book();
        let is_slow = |id: &NameId| book.has_slow_link(*id);
        ReaderFleet {
            boxes: book.count(),
            fast: book.fast_link_count(),
            slow_readers: live.into_iter().filter(is_slow).collect(),
        }
    }

    /// Returns what this box knows of the fleet while it has no list.
    pub(crate) fn fleet_view(&self) -> FleetView {
        let is_list_announced = !self.catch_up().newest_announced().is_zero();
        let boxes = self.fleet_size();
        let fast = self.address_book().fast_link_count();
        let has_fast_link = self.settings.has_fast_link();
        FleetView { boxes, fast, has_fast_link, is_list_announced }
    }

    /// Updates a balancer's view of the boxes that share its fleet-wide counts.
    pub fn update_fleet_scope(&self, balancer: &mut Balancer, now: Time) {
        let book = self.book.lock();
        balancer.set_fleet_scope(FleetScope {
            boxes: book.count(),
            in_touch: book.has_reachable_peer(now),
        });
        balancer.set_halls(book.hall_sizes(), book.is_isolated(now));
    }

    /// Returns the boxes and data halls that share the organisations' limits.
    #[must_use]
    pub fn limit_scope(&self, now: Time) -> LimitScope {
        let book = self.book.lock();
        LimitScope {
            boxes: book.count(),
            halls: book.hall_sizes().len(),
            isolated: book.is_isolated(now),
        }
    }

    /// Returns this box's rank among its hall's announcers of a subject, if it is an announcer.
    #[must_use]
    pub fn announcer_rank(&self, subject: NameId, now: Time) -> Option<usize> {
        let rank = self.book.lock().rank(subject, now);
        (rank < ANNOUNCERS).then_some(rank)
    }

    /// Returns the beacon that this box broadcasts.
    #[must_use]
    pub fn beacon(&self) -> Beacon {
        let now = self.now();
        let (list, summary) = (self.list_status(), self.list_summary());
        // The lock of the list is taken before that of the readers.
        let readers = self.readers.lock();
        Beacon {
            table: self.table.lock().number,
            list: list.version,
            epoch: self.epoch(),
            restored: readers.is_restored(now),
            reader: readers.is_reading(),
            read_age: readers.read_age(now),
            unable: readers.is_read_failing(),
            list_age: list.age.unwrap_or(UNKNOWN_AGE),
            summary: summary.filter(|_| readers.is_reading()),
        }
    }

    /// Decodes a stored routing table and applies it if its number is higher.
    ///
    /// A box never reverts to a table of a lower number. Store revisions are not compared, since
    /// an older table may be written again at a newer revision.
    pub fn apply_table(&self, o: &Object, from: &str) {
        {
            let held = self.table.lock();
            if o.version == held.revision && held.number > 0 {
                return;
            }
        }
        let table = match self.decoder.table(o) {
            Ok(t) => t,
            Err(e) => {
                log::warn!(from; "table: not taken, {e}");
                return;
            }
        };
        let mut held = self.table.lock();
        if table.version <= held.number {
            held.handle_not_newer(table.version, o, from);
            return;
        }
        let (number, routes) = (table.version, table.len());
        *held = HeldTable { revision: o.version, number, raw: o.value.clone() };
        drop(held);
        log::info!(version = number, object:display = o.version, routes, from; "table: version {number} received");
        for u in &table.unknown_kinds {
            let (route, kind) = (u.route.as_str(), u.kind.as_str());
            log::warn!(
                version = number, route, kind;
                "table: route {route} has the unknown kind '{kind}', its requests run at most once"
            );
        }
        *self.next_table.lock() = Some(Arc::new(table));
        self.table_received.notify_waiters();
        self.serve_wakeup.notify_one();
        self.broadcast_wakeup.notify_one();
    }

    /// Takes the routing table that the serving thread is to put in force.
    #[must_use]
    pub fn take_next_table(&self) -> Option<Arc<RouteTable>> {
        self.next_table.lock().take()
    }

    /// Processes a peer's beacon: its role as reader, and versions that this box lacks.
    pub fn apply_beacon(&self, id: NameId, via: SocketAddr, b: Beacon) {
        let now = self.now();
        let epoch = b.epoch.max(b.list.epoch);
        self.observe_epoch(epoch, "a peer");
        if epoch < self.epoch() {
            self.readers.lock().remove_reader(id);
        } else {
            self.readers.lock().record_beacon(id, &b, now);
        }
        if b.table > self.table.lock().number {
            *self.pending_table.lock() =
                Some(PendingTable { number: b.table, origin: id, announcer: via });
            self.pull_wakeup.notify_one();
        }
        self.check_stale_list(&b);
        self.lists.lock().list.confirm(b.list, now.before(b.list_age));
        self.record_list_version(b.list, id, via);
        self.compare_list(&b, id, via);
    }

    /// Returns the announced routing table that this box still lacks.
    #[must_use]
    pub fn pending_table(&self) -> Option<PendingTable> {
        let mut pending = self.pending_table.lock();
        let number = self.table.lock().number;
        *pending = pending.filter(|m| m.number > number);
        *pending
    }

    /// Returns whether a table of `number` is the newest one, as far as this box knows.
    ///
    /// It is not if the box is out of touch with the platform, or knows of a newer table that is not
    /// in force yet.
    #[must_use]
    pub fn is_table_current(&self, number: u64, now: Time) -> bool {
        let is_newest = self.table_version() <= number && self.pending_table().is_none();
        is_newest && self.readers().in_touch(now)
    }

    /// Locks the catch-up state; the guard must be held only briefly.
    pub fn catch_up(&self) -> MutexGuard<'_, CatchUp> {
        self.catch_up.lock()
    }

    /// Waits until this box holds a routing table of at least this number.
    pub async fn wait_for_table(&self, number: u64) {
        loop {
            let mut received = pin!(self.table_received.notified());
            // Registers before the check, so that a table received in between wakes this task.
            received.as_mut().enable();
            if self.table_version() >= number {
                return;
            }
            received.await;
        }
    }

    /// Returns the held routing table, to be sent to a peer.
    #[must_use]
    pub fn table_snapshot(&self) -> Versioned<Bytes> {
        let held = self.table.lock();
        Versioned { version: held.revision, value: held.raw.clone() }
    }

    /// Returns the number of the held routing table, or zero if there is none.
    #[must_use]
    pub fn table_version(&self) -> u64 {
        self.table.lock().number
    }
}
