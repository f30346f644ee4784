//! Upstreams that join, change and leave with the list.

use super::{Balancer, HangRecord, MAX_ENDED, Upstream, UpstreamEntry};
use crate::belief::Belief;
use crate::collector::NameId;
use crate::router::{ServiceKey, UpstreamKey};
use crate::spec::MemberState;
use crate::time::Time;

impl Balancer {
    /// Adds or updates a list entry.
    pub fn set_upstream(&mut self, l: UpstreamEntry, now: Time) {
        let name = l.member.name.clone();
        let previous = self
            .listed
            .get(&name)
            .map(UpstreamEntry::incarnation)
            .filter(|&id| id != l.incarnation());
        if let Some(k) = previous.and_then(|id| self.by_id.get(&id).copied()) {
            self.end_incarnation(k);
        }
        if let Some(&k) = self.by_name.get(&l.member.service) {
            self.add_upstream(k, &l, now);
        }
        self.listed.insert(name, l);
    }

    /// Removes a list entry, so that its upstream gets no new requests.
    pub fn remove_upstream(&mut self, name: &str) {
        let Some(l) = self.listed.remove(name) else { return };
        let Some(k) = self.by_id.get(&l.incarnation()).copied() else { return };
        self.detach(k);
        self.discard(k);
    }

    /// Ends an incarnation after a restart; its attempts in flight are lost.
    fn end_incarnation(&mut self, k: UpstreamKey) {
        self.detach(k);
        if let Some(u) = self.upstreams.get(k) {
            self.limits.discard(u.id);
        }
        self.discard(k);
        self.restarted.push_back(k);
        if self.restarted.len() > MAX_ENDED {
            self.restarted.pop_front();
        }
    }

    fn detach(&mut self, k: UpstreamKey) {
        if let Some(u) = self.upstreams.get(k)
            && let Some(s) = self.services.get_mut(u.service)
        {
            s.upstreams.retain(|&x| x != k);
            if u.local {
                s.local_slots -= u.slots;
            }
        }
    }

    pub(super) fn add_upstream(&mut self, service: ServiceKey, l: &UpstreamEntry, now: Time) {
        let id = l.incarnation();
        let leaving = l.member.state == MemberState::Leaving;
        if !l.warm_up.is_zero() {
            self.limit_warm_up(service, id, now + l.warm_up, now);
        }
        if let Some(u) = self.by_id.get(&id).and_then(|&k| self.upstreams.get_mut(k)) {
            u.warm_up_until = u.warm_up_until.max(now + l.warm_up);
            u.leaving = leaving;
            u.addr.clone_from(&l.member.addr);
            let more = l.slots.max(1) as f64 - u.slots;
            u.slots += more;
            if u.local {
                self.services[service].local_slots += more;
            }
            return;
        }
        let up = Upstream {
            name: l.member.name.clone(),
            addr: l.member.addr.clone(),
            id,
            service,
            hall: NameId::of(&l.member.hall),
            region: self.regions.of_hall(&l.member.hall),
            local: l.member.hall == self.hall,
            leaving,
            declared: self.unlisted.take(id),
            slots: l.slots.max(1) as f64,
            warm_up_until: now + l.warm_up,
            in_flight: Vec::new(),
            peers: Vec::new(),
            remote: None,
            shared: Belief::new(now),
            path: Belief::for_path(now),
            observed: false,
            hangs: HangRecord::default(),
            connect_failures: Vec::new(),
            recovery_announced: true,
            added: now,
            last_sent: None,
            last_success: None,
            last_failure: None,
            streak: 0,
            broken: false,
        };
        if up.local {
            self.services[service].local_slots += up.slots;
        }
        let k = self.upstreams.insert(up);
        self.by_id.insert(id, k);
        self.services[service].upstreams.push(k);
    }

    pub(super) fn discard(&mut self, k: UpstreamKey) {
        if let Some(u) = self.upstreams.remove(k) {
            self.by_id.remove(&u.id);
            self.unlisted.store(u.id, u.declared);
        }
    }
}
