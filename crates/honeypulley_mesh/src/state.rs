//! What the duties of one box share.

use crate::book::Book;
use crate::decoder::Decoder;
use crate::list::{ListChange, UpstreamList};
use crate::readers::Readers;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use honeypulley_daemon::admin::AdminView;
use honeypulley_observe::metrics::Registry;
use honeypulley_peer::codec::Beacon;
use honeypulley_peer::key::FleetKey;
use honeypulley_peer::listing::{BoxAddress, Entry, EntryState};
use honeypulley_peer::server::Held;
use honeypulley_platform::api::{Changes, Object};
use honeypulley_policy::balance::News;
use honeypulley_policy::chooser::ListNow;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::routes::RouteTable;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::ring::{Full, Ring};
use parking_lot::{Mutex, MutexGuard};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Link below which a box leaves reading to others, in megabits a second.
///
/// A reader tells a change to its whole data hall at once; at 10 Mbit/s that held
/// the link for a quarter of a second before 88 boxes, and datagrams were lost.
const NARROW_MBPS: f64 = 50.0;

/// Boxes that ask for beliefs at one time, above those that one box is asked by.
const ASKED: usize = 64;

/// Age told of a list that was never complete.
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
}

/// The routing table as this box holds it.
#[derive(Clone, Debug, Default)]
struct HeldTable {
    object: u64,
    number: u64,
    raw: Bytes,
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
    /// Boxes that have just started and ask what this one believes of upstreams.
    pub asked: Ring<SocketAddr>,
    /// What this box believes, and which box asked for it.
    pub beliefs: Ring<(SocketAddr, Vec<News>)>,
    /// Wakes the serving thread for a table or changes of the list.
    pub serving: Notify,
    /// Wakes the peers' duty to tell what is new.
    pub telling: Notify,
    /// Wakes the peers' duty to pull what this box misses.
    pub pulling: Notify,
    /// Wakes the peers' duty when the store has named other boxes.
    pub greeting: Notify,
    /// Wakes the store's duty when this box begins to read.
    pub reading: Notify,
    /// Set when the list was taken once.
    pub listed: AtomicBool,
    /// Set during a planned stop.
    pub leaving: Arc<AtomicBool>,
    seeds: Mutex<Vec<SocketAddr>>,
    registry: Registry,
    book: Mutex<Book>,
    list: Mutex<UpstreamList>,
    readers: Mutex<Readers>,
    table: Mutex<HeldTable>,
    next_table: Mutex<Option<Arc<RouteTable>>>,
    next_list: Mutex<BTreeMap<String, ListChange>>,
    untold: Mutex<Vec<(u64, u64, Vec<Entry>)>>,
    missed: Mutex<Missed>,
}

/// What this box has heard of and does not have.
#[derive(Clone, Copy, Debug, Default)]
pub struct Missed {
    /// Number of a newer routing table, and who has it.
    pub table: Option<(u64, SocketAddr)>,
    /// Version of a newer list, and who has it.
    pub list: Option<(u64, SocketAddr)>,
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
            asked: Ring::new(ASKED, Full::DropOldest),
            beliefs: Ring::new(ASKED, Full::DropOldest),
            serving: Notify::new(),
            telling: Notify::new(),
            pulling: Notify::new(),
            greeting: Notify::new(),
            reading: Notify::new(),
            listed: AtomicBool::new(false),
            leaving,
            seeds: Mutex::new(settings.seeds.clone()),
            registry: Registry::default(),
            book: Mutex::new(Book::new(id, &settings.hall)),
            list: Mutex::new(UpstreamList::default()),
            readers: Mutex::new(Readers::new(id).reluctant(narrow)),
            table: Mutex::new(HeldTable::default()),
            next_table: Mutex::new(None),
            next_list: Mutex::new(BTreeMap::new()),
            untold: Mutex::new(Vec::new()),
            missed: Mutex::new(Missed::default()),
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

    /// Takes other seeds, from settings that changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
    }

    /// Takes an address; returns whether it was new.
    pub fn learn(&self, b: BoxAddress) -> bool {
        self.book.lock().learn(b)
    }

    /// Returns what this box has, to be told to others.
    #[must_use]
    pub fn beacon(&self) -> Beacon {
        let now = self.now();
        let list = self.list_now();
        let readers = self.readers.lock();
        Beacon {
            table: self.table.lock().number,
            list: list.version,
            reader: readers.is_reading(),
            read_age: readers.read_age(now),
            list_age: list.age.unwrap_or(NEVER),
        }
    }

    /// Returns which version of the list this box holds, and how old that is.
    #[must_use]
    pub fn list_now(&self) -> ListNow {
        let now = self.now();
        let list = self.list.lock();
        ListNow { version: list.version(), age: list.as_of().map(|at| now.since(at)) }
    }

    /// Takes that the platform has told this box all changes up to now.
    pub fn confirm_list(&self) {
        let now = self.now();
        let mut list = self.list.lock();
        let version = list.version();
        list.confirm(version, now);
    }

    /// Takes the routing table as the platform keeps it.
    ///
    /// An older one, by its number, is left out: a box never goes back.
    pub fn take_table(&self, o: &Object, from: &str) {
        {
            let held = self.table.lock();
            if o.version <= held.object && held.number > 0 {
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
            held.object = held.object.max(o.version);
            return;
        }
        let (number, routes) = (table.version, table.len());
        *held = HeldTable { object: o.version, number, raw: o.value.clone() };
        drop(held);
        log::info!(version = number, object = o.version, routes, from; "table: version {number} taken");
        *self.next_table.lock() = Some(Arc::new(table));
        self.serving.notify_one();
        self.telling.notify_one();
    }

    /// Returns the routing table that the serving thread is to put in force.
    #[must_use]
    pub fn next_table(&self) -> Option<Arc<RouteTable>> {
        self.next_table.lock().take()
    }

    /// Returns the changes of the list that the serving thread is to take.
    #[must_use]
    pub fn next_list(&self) -> Vec<ListChange> {
        std::mem::take(&mut *self.next_list.lock()).into_values().collect()
    }

    /// Takes changes that the platform told this box, which is complete before them.
    pub fn take_changes(&self, c: &Changes, from: &str) {
        let hold = self.readers.lock().hold(self.now());
        let entries = self.entries(c, hold);
        let Some(upto) = entries.iter().map(|e| e.version).max() else { return };
        let since = self.list.lock().version();
        self.apply(since, upto, entries.clone(), from);
        self.untold.lock().push((since, upto, entries));
        self.telling.notify_one();
    }

    /// Takes changes that another box told.
    pub fn apply(&self, since: u64, upto: u64, entries: Vec<Entry>, from: &str) {
        let mut list = self.list.lock();
        let before = list.version();
        let changes = list.apply(since, upto, entries, self.now());
        let gap = since > before;
        drop(list);
        self.hand_on(changes, from);
        if gap {
            log::info!(from, since, version = before; "list: changes after {before} are missing");
        }
    }

    /// Takes the whole list as the platform showed it.
    pub fn take_list(&self, c: &Changes, from: &str) {
        let hold = self.readers.lock().hold(self.now());
        let entries = self.entries(c, hold);
        self.replace(c.version, entries, hold, from);
    }

    /// Takes the whole list.
    pub fn replace(&self, version: u64, entries: Vec<Entry>, hold: Duration, from: &str) {
        let n = entries.len();
        let changes = self.list.lock().replace(version, entries, hold, self.now());
        log::info!(from, version, entries = n, hold_ms = hold.as_millis() as u64; "list: taken whole");
        self.hand_on(changes, from);
        if !self.listed.swap(true, Ordering::Relaxed) {
            self.greeting.notify_one();
        }
        self.telling.notify_one();
    }

    fn entries(&self, c: &Changes, hold: Duration) -> Vec<Entry> {
        let prefix = &self.decoder.keys().upstreams;
        let name = |key: &str| key.strip_prefix(prefix.as_str()).unwrap_or(key).to_owned();
        let present = c.objects.iter().filter_map(|o| match self.decoder.upstream(o) {
            Ok(l) => Some(Entry {
                name: name(&o.key),
                version: o.version,
                state: EntryState::Present(l),
            }),
            Err(e) => {
                log::warn!("list: entry left out, {e}");
                None
            }
        });
        let gone = c.removed.iter().map(|r| Entry {
            name: name(&r.key),
            version: r.version,
            state: EntryState::Gone { hold },
        });
        present.chain(gone).collect()
    }

    /// Takes entries that did not come back in time; tells whether some may still.
    pub fn expire_list(&self) -> bool {
        let mut list = self.list.lock();
        let changes = list.expire(self.now());
        let more = list.has_missing();
        drop(list);
        self.hand_on(changes, "its hold ran out");
        more
    }

    fn hand_on(&self, changes: Vec<ListChange>, from: &str) {
        if changes.is_empty() {
            return;
        }
        let list = self.list.lock().version();
        let mut next = self.next_list.lock();
        for c in changes {
            let (name, state) = match &c {
                ListChange::Set(l) => (l.member.name.clone(), format!("{:?}", l.member.state)),
                ListChange::Gone(n) => (n.clone(), "Gone".to_owned()),
            };
            log::info!(upstream = name.as_str(), state = state.as_str(), list, from; "list: {name} is {state}");
            next.insert(name, c);
        }
        drop(next);
        self.serving.notify_one();
    }

    /// Returns what this box learnt from the platform and has not told yet.
    #[must_use]
    pub fn take_untold(&self) -> Vec<(u64, u64, Vec<Entry>)> {
        std::mem::take(&mut *self.untold.lock())
    }

    /// Takes a beacon: who reads, and what there is that this box misses.
    pub fn take_beacon(&self, id: NameId, from: SocketAddr, b: Beacon) {
        self.readers.lock().heard(id, b.reader, b.read_age, self.now());
        let mut missed = self.missed.lock();
        if b.table > self.table.lock().number {
            missed.table = Some((b.table, from));
        }
        let mut list = self.list.lock();
        list.confirm(b.list, self.now().before(b.list_age));
        if b.list > list.version() {
            if missed.list.is_none() {
                let (version, held) = (b.list, list.version());
                log::info!(peer:display = from, version, held; "list: version {version} is missed, by a beacon");
            }
            missed.list = Some((b.list, from));
        }
        drop(list);
        if missed.table.is_some() || missed.list.is_some() {
            self.pulling.notify_one();
        }
    }

    /// Returns what this box still misses.
    #[must_use]
    pub fn missed(&self) -> Missed {
        let mut missed = self.missed.lock();
        let (table, list) = (self.table.lock().number, self.list.lock().version());
        missed.table = missed.table.filter(|(n, _)| *n > table);
        missed.list = missed.list.filter(|(v, _)| *v > list);
        *missed
    }

    /// Returns the routing table for a box that asks.
    #[must_use]
    pub fn held_table(&self) -> Held<Bytes> {
        let held = self.table.lock();
        Held { version: held.object, value: held.raw.clone() }
    }

    /// Returns the list for a box that asks.
    #[must_use]
    pub fn held_list(&self) -> Held<Vec<Entry>> {
        let list = self.list.lock();
        Held { version: list.version(), value: list.entries(self.now()) }
    }

    /// Tells whether the whole list was taken once.
    #[must_use]
    pub fn knows_list(&self) -> bool {
        self.list.lock().is_known()
    }

    /// Returns the version of the platform's object that holds the table.
    #[must_use]
    pub fn table_object(&self) -> u64 {
        self.table.lock().object
    }

    /// Returns the number of the table held, zero if there is none.
    #[must_use]
    pub fn table_number(&self) -> u64 {
        self.table.lock().number
    }
}

impl AdminView for Mesh {
    fn readiness(&self) -> Result<(), String> {
        if self.leaving.load(Ordering::Relaxed) {
            return Err("a planned stop has begun".to_owned());
        }
        if self.in_force.load().is_none() {
            return Err("no routing table is in force yet".to_owned());
        }
        if !self.listed.load(Ordering::Relaxed) {
            return Err("the list of upstreams is not known yet".to_owned());
        }
        Ok(())
    }

    fn status(&self) -> Vec<u8> {
        let b = self.beacon();
        let status = serde_json::json!({
            "name": self.settings.name,
            "hall": self.settings.hall,
            "table": self.in_force.load().as_ref().map_or(0, |t| t.version),
            "list": b.list,
            "list_age_ms": b.list_age.as_millis() as u64,
            "reader": b.reader,
            "read_age_ms": b.read_age.as_millis() as u64,
            "boxes": self.book().count(),
            "not_ready": self.readiness().err(),
        });
        status.to_string().into_bytes()
    }

    fn metrics(&self) -> String {
        let b = self.beacon();
        let boxes = self.book().count();
        let upstreams = self.list.lock().present().count();
        format!(
            "{}honeypulley_boxes {boxes}\nhoneypulley_upstreams {upstreams}\n\
             honeypulley_table_version {}\nhoneypulley_list_version {}\n\
             honeypulley_list_age_ms {}\nhoneypulley_list_missed {}\n\
             honeypulley_reader {}\nhoneypulley_read_age_ms {}\n\
             honeypulley_news_dropped_total {}\n",
            self.registry.text(),
            b.table,
            b.list,
            b.list_age.as_millis(),
            u8::from(self.missed().list.is_some()),
            u8::from(b.reader),
            b.read_age.as_millis(),
            self.news_in.dropped() + self.news_out.dropped(),
        )
    }
}
