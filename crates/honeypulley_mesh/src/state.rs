//! What the duties of one box share.

use crate::book::Book;
use crate::catch_up::CatchUp;
use crate::decoder::Decoder;
use crate::epoch::Epoch;
use crate::lists::Lists;
use crate::readers::Readers;
use crate::setup::Setup;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use honeypulley_observe::metrics::Registry;
use honeypulley_peer::codec::Beacon;
use honeypulley_peer::key::FleetKey;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_peer::server::Held;
use honeypulley_platform::api::Object;
use honeypulley_policy::balance::{Balancer, News, Reach};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::Scope;
use honeypulley_policy::quarantine::{Quarantine, RequestNews};
use honeypulley_policy::revision::Revision;
use honeypulley_policy::routes::RouteTable;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::ring::{Full, Ring};
use parking_lot::{Mutex, MutexGuard};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;
use tokio::sync::Notify;

/// Link below which a box leaves reading to others, in megabits a second.
///
/// A reader broadcasts each change to its whole data hall at once.
const NARROW_MBPS: f64 = 50.0;

/// Boxes that ask for beliefs at one time, above those that one box is asked by.
const ASKED: usize = 64;

/// Boxes of a data hall that may announce one subject.
///
/// The second one stands in where the first is unreachable; both are lost for the 5 s in which
/// a silent box counts as there only if both were lost within them.
const TELLERS: usize = 2;

/// Age reported of a list that was never complete.
const NEVER: Duration = Duration::from_secs(3_600);

/// Settings of one box of the mesh.
#[derive(Clone, Debug, bon::Builder)]
pub struct MeshSettings {
    /// Name of the box.
    #[builder(into)]
    pub name: String,
    /// Its data hall.
    #[builder(into)]
    pub hall: String,
    /// Address of its peers' port.
    pub peer: SocketAddr,
    /// Peers' ports of some boxes, perhaps stale.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// The fleet's shared key.
    pub key: FleetKey,
    /// Megabits a second of the box's link, if known.
    pub link_mbps: Option<f64>,
    /// Whether the whole fleet starts for the first time.
    #[builder(default)]
    pub first_start: bool,
}

/// The routing table as this box holds it.
#[derive(Clone, Debug, Default)]
struct HeldTable {
    object: Revision,
    number: u64,
    raw: Bytes,
}

impl HeldTable {
    /// Keeps this table in place of one of the same number or an older one.
    fn keep(&mut self, number: u64, other: &Object, from: &str) {
        let (held, object) = (self.number, other.version);
        if number == held && other.value == self.raw {
            self.object = self.object.max(object);
        } else if number == held {
            log::warn!(
                version = held, object:display, from;
                "table: version {held} dropped, its number is held with other content"
            );
        } else if object > self.object {
            log::info!(
                version = number, held, object:display, from;
                "table: version {number} dropped, version {held} is held"
            );
        }
    }
}

/// State that the duties of one box share.
#[derive(Debug)]
pub struct Mesh {
    /// Settings.
    pub settings: MeshSettings,
    /// This box on the wire.
    pub id: NameId,
    /// The process's clock.
    pub clock: Clock,
    /// Reader of the platform's objects.
    pub decoder: Arc<dyn Decoder>,
    /// Routing table in force, set by the serving thread.
    pub in_force: ArcSwapOption<RouteTable>,
    /// What this box saw, for the other boxes.
    pub news_out: Ring<News>,
    /// What other boxes saw, for the serving thread.
    pub news_in: Ring<(NameId, News)>,
    /// What this box knows of requests under which upstreams ended, for the other boxes.
    pub requests_out: Ring<RequestNews>,
    /// Boxes that have just started and ask what this one believes of upstreams.
    pub asked: Ring<SocketAddr>,
    /// What this box believes, and which box asked for it.
    pub beliefs: Ring<(SocketAddr, Vec<News>)>,
    /// Wakes the serving thread for a table or changes of the list.
    pub serving: Notify,
    /// Wakes the peers' duty to tell what is new.
    pub telling: Notify,
    /// Wakes the peers' duty to pull a table that this box misses.
    pub pulling: Notify,
    /// Wakes the peers' duty to ask for changes of the list that this box misses.
    pub asking: Notify,
    /// Wakes the store's duty to read the list, since no peer has sent it.
    pub rereading: Notify,
    /// Wakes the peers' duty when the store has named other boxes.
    pub greeting: Notify,
    /// Wakes the store's duty when this box begins to read.
    pub reading: Notify,
    /// Wakes tasks that must reread the platform after a restore.
    pub restored: Notify,
    /// Wakes whoever waits for a newer table of this box.
    pub table_taken: Notify,
    /// What a box that has just started waits for.
    pub setup: Setup,
    /// Set when the list was taken once.
    pub listed: AtomicBool,
    /// Set while the other boxes may not know this one's address.
    pub unknown: AtomicBool,
    /// Set during a planned stop.
    pub leaving: Arc<AtomicBool>,
    seeds: Mutex<Vec<SocketAddr>>,
    pub(crate) registry: Registry,
    book: Mutex<Book>,
    pub(crate) lists: Mutex<Lists>,
    readers: Mutex<Readers>,
    table: Mutex<HeldTable>,
    next_table: Mutex<Option<Arc<RouteTable>>>,
    missed: Mutex<Option<MissedTable>>,
    catch_up: Mutex<CatchUp>,
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Entries read that name no upstream.
    pub(crate) foreign: AtomicU64,
    pub(crate) epoch: Epoch,
}

/// A routing table that was announced to this box and that it does not have.
#[derive(Clone, Copy, Debug)]
pub struct MissedTable {
    /// Its number.
    pub number: u64,
    /// The reader that announced it.
    pub origin: NameId,
    /// The box whose datagram announced it, possibly a forwarder.
    pub via: SocketAddr,
}

impl Mesh {
    /// Builds the shared state of one box.
    #[must_use]
    pub fn new(
        settings: MeshSettings,
        clock: Clock,
        decoder: Arc<dyn Decoder>,
        leaving: Arc<AtomicBool>,
    ) -> Self {
        let id = NameId::of(&settings.name);
        let narrow = settings.link_mbps.is_some_and(|l| l < NARROW_MBPS);
        Self {
            id,
            clock,
            decoder,
            in_force: ArcSwapOption::empty(),
            news_out: Ring::new(4_096, Full::DropOldest),
            news_in: Ring::new(16_384, Full::DropOldest),
            requests_out: Ring::new(1_024, Full::DropOldest),
            asked: Ring::new(ASKED, Full::DropOldest),
            beliefs: Ring::new(ASKED, Full::DropOldest),
            serving: Notify::new(),
            telling: Notify::new(),
            pulling: Notify::new(),
            asking: Notify::new(),
            rereading: Notify::new(),
            greeting: Notify::new(),
            reading: Notify::new(),
            restored: Notify::new(),
            table_taken: Notify::new(),
            setup: Setup::default(),
            listed: AtomicBool::new(false),
            unknown: AtomicBool::new(settings.first_start),
            leaving,
            seeds: Mutex::new(settings.seeds.clone()),
            registry: Registry::default(),
            book: Mutex::new(Book::new(id, &settings.hall)),
            lists: Mutex::new(Lists::default()),
            catch_up: Mutex::new(CatchUp::new(settings.first_start)),
            readers: Mutex::new(Readers::new(id).reluctant(narrow)),
            table: Mutex::new(HeldTable::default()),
            next_table: Mutex::new(None),
            missed: Mutex::new(None),
            quarantine: Mutex::default(),
            foreign: AtomicU64::new(0),
            epoch: Epoch::default(),
            settings,
        }
    }

    /// Shows these metrics beside its own.
    #[must_use]
    pub fn with_metrics(mut self, registry: Registry) -> Self {
        self.registry = registry;
        self
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the addresses of boxes; hold it briefly.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock()
    }

    /// Locks what is known of the readers; hold it briefly.
    pub fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock()
    }

    /// Returns peers' ports of some boxes, perhaps stale.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().clone()
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
    }

    /// Records an address; returns whether it was new.
    pub fn learn(&self, b: BoxAddress) -> bool {
        self.book.lock().learn(b)
    }

    /// Tells a balancer with which boxes this one shares what is counted over the whole fleet.
    pub fn share(&self, balancer: &mut Balancer, now: Time) {
        let book = self.book.lock();
        balancer.set_reach(Reach { boxes: book.count(), in_touch: book.hears_others(now) });
        balancer.set_halls(book.halls(), book.is_alone(now));
    }

    /// Returns with which boxes this one shares the organisations' limits.
    #[must_use]
    pub fn limit_scope(&self, now: Time) -> Scope {
        let book = self.book.lock();
        Scope { boxes: book.count(), halls: book.halls().len(), alone: book.is_alone(now) }
    }

    /// Returns this box's turn in telling other data halls of a subject, if it has one.
    #[must_use]
    pub fn teller_rank(&self, subject: NameId, now: Time) -> Option<usize> {
        let rank = self.book.lock().rank(subject, now);
        (rank < TELLERS).then_some(rank)
    }

    /// Returns what this box has, to be broadcast.
    #[must_use]
    pub fn beacon(&self) -> Beacon {
        let now = self.now();
        let list = self.list_now();
        let readers = self.readers.lock();
        Beacon {
            table: self.table.lock().number,
            list: list.version,
            epoch: self.epoch(),
            restored: readers.is_restored(now),
            reader: readers.is_reading(),
            read_age: readers.read_age(now),
            unable: readers.is_unable(),
            list_age: list.age.unwrap_or(NEVER),
        }
    }

    /// Applies the routing table as stored.
    ///
    /// An older one, by its number, is dropped: a box never goes back. Positions in the store
    /// are no measure of that.
    pub fn take_table(&self, o: &Object, from: &str) {
        {
            let held = self.table.lock();
            if o.version == held.object && held.number > 0 {
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
            held.keep(table.version, o, from);
            return;
        }
        let (number, routes) = (table.version, table.len());
        *held = HeldTable { object: o.version, number, raw: o.value.clone() };
        drop(held);
        log::info!(version = number, object:display = o.version, routes, from; "table: version {number} taken");
        *self.next_table.lock() = Some(Arc::new(table));
        self.table_taken.notify_waiters();
        self.serving.notify_one();
        self.telling.notify_one();
    }

    /// Returns the routing table that the serving thread is to put in force.
    #[must_use]
    pub fn next_table(&self) -> Option<Arc<RouteTable>> {
        self.next_table.lock().take()
    }

    /// Records a beacon: who reads, and what there is that this box misses.
    pub fn take_beacon(&self, id: NameId, via: SocketAddr, b: Beacon) {
        let now = self.now();
        let epoch = b.epoch.max(b.list.epoch);
        self.learn_epoch(epoch, "a peer");
        if epoch < self.epoch() {
            self.readers.lock().fall_behind(id);
        } else {
            self.readers.lock().heard(id, &b, now);
        }
        if b.table > self.table.lock().number {
            *self.missed.lock() = Some(MissedTable { number: b.table, origin: id, via });
            self.pulling.notify_one();
        }
        self.check_stale_list(&b);
        self.lists.lock().list.confirm(b.list, now.before(b.list_age));
        self.heard_of_list(b.list, id, via);
    }

    /// Returns the routing table that this box still misses.
    #[must_use]
    pub fn missed_table(&self) -> Option<MissedTable> {
        let mut missed = self.missed.lock();
        let number = self.table.lock().number;
        *missed = missed.filter(|m| m.number > number);
        *missed
    }

    /// Locks what this box does about changes that it misses; hold it briefly.
    pub fn catch_up(&self) -> MutexGuard<'_, CatchUp> {
        self.catch_up.lock()
    }

    /// Ends once this box holds a table of at least this number.
    pub async fn table_reached(&self, number: u64) {
        loop {
            let mut taken = pin!(self.table_taken.notified());
            // A table that comes between the look and the wait must not be missed.
            taken.as_mut().enable();
            if self.table_number() >= number {
                return;
            }
            taken.await;
        }
    }

    /// Returns the routing table for a box that asks.
    #[must_use]
    pub fn held_table(&self) -> Held<Bytes> {
        let held = self.table.lock();
        Held { version: held.object, value: held.raw.clone() }
    }

    /// Returns the number of the table held, zero if there is none.
    #[must_use]
    pub fn table_number(&self) -> u64 {
        self.table.lock().number
    }
}
