//! What a box broadcasts: changes of the list, beacons, and its observations.

use super::Node;
use super::outbox::{Parcel, Urgency};
use crate::pace::Pacer;
use crate::readers::BEACON_GAP;
use bytes::Bytes;
use honeypulley_peer::codec::{Body, Datagram, MAX_ITEMS, Told};
use honeypulley_peer::requests::MAX_REQUESTS;
use honeypulley_policy::balance::News;
use honeypulley_policy::quarantine::{Hold, RequestNews};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a reader leaves to one of a lower id to tell changes first.
const TELL_STEP: Duration = Duration::from_millis(60);
/// Time from a broadcast change to the beacon that reveals its loss.
///
/// The next one in turn may be half a second away, a quarter of the smallest bound on a
/// departure; a release brings thirty changes a second, which one beacon sums up.
const FOLLOW_GAP: Duration = Duration::from_millis(150);
/// Boxes of each other data hall that forward what concerns tables and lists.
///
/// More than one, since some may have left unnoticed.
pub(super) const NEWS_OF_LISTS: usize = 3;
/// Boxes of each other data hall that send on what was seen of upstreams.
const NEWS_OF_UPSTREAMS: usize = 2;
/// Age of the platform's last answer above which a box says that it can't read.
///
/// Far above a fresh one, and below the value that stands for none.
const ABLE_AGE: Duration = Duration::from_secs(60);

impl Node {
    /// Broadcasts what this box has, while it is a reader.
    pub(super) async fn beacon_on(&self) {
        let (mut was_reader, mut was_able) = (false, false);
        let (mut number, mut epoch) = (0, 0);
        loop {
            self.tell_changes().await;
            let b = self.mesh.beacon();
            if b.reader || was_reader {
                was_reader = b.reader;
                was_able = b.read_age < ABLE_AGE;
                (number, epoch) = (b.table, b.epoch);
                self.spread(Body::Beacon(b), NEWS_OF_LISTS);
                self.tell_held();
            }
            let mut until = tokio::time::Instant::now() + BEACON_GAP;
            // A new table or a change is broadcast at once, other wakes wait.
            loop {
                let woken = tokio::time::timeout_at(until, self.mesh.telling.notified()).await;
                let b = self.mesh.beacon();
                let able = b.read_age < ABLE_AGE;
                let is_changed = b.table > number || b.epoch > epoch || able != was_able;
                let news = b.reader != was_reader || (b.reader && is_changed);
                if woken.is_err() || news {
                    break;
                }
                if self.tell_changes().await {
                    until = until.min(tokio::time::Instant::now() + FOLLOW_GAP);
                }
            }
        }
    }

    /// Broadcasts what this box watched at the platform; returns whether it did.
    ///
    /// The reader with the lowest id does so at once, the others only if they
    /// have not received all of it from another by then.
    async fn tell_changes(&self) -> bool {
        let untold = self.mesh.take_untold();
        if untold.is_empty() {
            return false;
        }
        let rank = self.mesh.readers().rank(self.mesh.now()) as u32;
        if rank > 0 {
            tokio::time::sleep(TELL_STEP * rank).await;
        }
        let mut has_told = false;
        for u in untold {
            if rank > 0 && self.mesh.told_by_others() >= u.upto {
                continue;
            }
            has_told = true;
            let age = self.mesh.list_now().age.unwrap_or(Duration::MAX);
            match Told::cut(u.since, u.upto, age, &u.entries) {
                Some(parts) => {
                    parts.into_iter().for_each(|t| self.spread(Body::Changes(t), NEWS_OF_LISTS));
                }
                None => log::info!(
                    since:display = u.since, upto:display = u.upto, entries = u.entries.len();
                    "list: too many changes to tell, the others pull them"
                ),
            }
        }
        has_told
    }

    /// Broadcasts what this box observes of upstreams, as it happens.
    pub(super) async fn send_news(&self) {
        let news = &self.mesh.news_out;
        let mut pacer = Pacer::default();
        loop {
            let mut batch: Vec<News> = self.next_news(&pacer).await.into_iter().collect();
            while batch.len() < MAX_ITEMS
                && let Some(n) = news.pop()
            {
                batch.push(n);
            }
            let now = self.mesh.now();
            let (near, all): (Vec<News>, Vec<News>) =
                batch.into_iter().partition(News::is_for_hall);
            if !all.is_empty() {
                let body = self.number(all);
                self.spread(body, NEWS_OF_UPSTREAMS);
            }
            near.into_iter().for_each(|n| pacer.add(n, now));
            let to: Vec<SocketAddr> = self.mesh.book().near().collect();
            if pacer.due(to.len()).is_some_and(|at| at <= now) {
                let body = self.number(pacer.take(now));
                self.send_each(&to, body);
            }
        }
    }

    /// Broadcasts at once what this box learns of requests that crash upstreams.
    pub(super) async fn send_requests(&self) {
        let news = &self.mesh.requests_out;
        loop {
            let mut items = vec![news.next().await];
            items.extend(std::iter::from_fn(|| news.pop()).take(MAX_REQUESTS - 1));
            self.spread_requests(items);
        }
    }

    /// Broadcasts the held requests, if this reader is the first.
    ///
    /// A box that has just started, was isolated or paused, or lost the update, learns of them so.
    fn tell_held(&self) {
        let now = self.mesh.now();
        if self.mesh.readers().rank(now) > 0 {
            return;
        }
        let held = self.mesh.held_requests();
        if held.is_empty() {
            return;
        }
        let first = self.next_held.get() % held.len();
        let told = held.iter().cycle().skip(first).take(held.len().min(MAX_REQUESTS));
        self.next_held.set(first + MAX_REQUESTS);
        self.spread_requests(told.map(Hold::news).collect());
    }

    fn spread_requests(&self, items: Vec<RequestNews>) {
        let seq = self.numbers.borrow_mut().next();
        self.spread(Body::Requests { seq, items }, NEWS_OF_LISTS);
    }

    /// Waits for news, or until what waits for more is to be sent.
    async fn next_news(&self, pacer: &Pacer) -> Option<News> {
        let next = self.mesh.news_out.next();
        let Some(due) = pacer.due(self.mesh.book().near().count()) else {
            return Some(next.await);
        };
        let left = due.since(self.mesh.now());
        tokio::time::timeout(left, next).await.ok()
    }

    pub(super) fn number(&self, items: Vec<News>) -> Body {
        Body::News { seq: self.numbers.borrow_mut().next(), items }
    }

    /// Sends to every box: to this data hall itself, and to each other one through
    /// `delegates` of its boxes, which send it on.
    ///
    /// So a box sends to as many as its own data hall has, whatever the fleet's
    /// size, and each other data hall is reached by few datagrams.
    pub(super) fn spread(&self, body: Body, delegates: usize) {
        let urgency = Urgency::of(&body);
        let bytes = self.seal(body);
        let (near, far) = {
            let book = self.mesh.book();
            let near: Vec<SocketAddr> = book.near().collect();
            let mut rng = fastrand::Rng::new();
            (near, book.delegates(delegates, self.mesh.now(), &mut rng))
        };
        let forward = self.seal(Body::Forward(bytes.clone()));
        // The other data halls first: one datagram there serves a whole hall.
        self.outbox.post(Parcel::new(far, forward, urgency));
        self.outbox.post(Parcel::new(near, bytes, urgency));
    }

    pub(super) fn send_each(&self, to: &[SocketAddr], body: Body) {
        let urgency = Urgency::of(&body);
        self.outbox.post(Parcel::new(to.to_vec(), self.seal(body), urgency));
    }

    fn seal(&self, body: Body) -> Bytes {
        let d = Datagram { sender: self.mesh.id, body };
        d.seal(&self.mesh.settings.key).into()
    }
}
