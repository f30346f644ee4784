//! What the boxes announce to each other, and what is observed of them.

use super::{
    COLLECTORS, Event, FAULT_AT, FLOOR, Floor, FloorContext, Judgement, NameId, PermitView, Policy,
    RELIEVED, TICK, Verdict, WINDOW, World, name, number,
};
use std::time::Duration;

impl World<'_> {
    pub(super) fn tick(&mut self, b: usize) {
        self.plan(TICK, Event::Tick { b });
        if matches!(self.s.policy, Policy::Naive | Policy::Belief | Policy::Oracle) {
            return;
        }
        let reports = self.routers[b].tick(self.now);
        if self.s.policy != Policy::Shared {
            return;
        }
        for report in reports {
            for c in 0..COLLECTORS {
                self.run.bytes += 60 + 12 * report.items.len() as u64;
                let report = report.clone();
                self.plan(Duration::from_millis(1), Event::Report { c, report });
            }
        }
    }

    pub(super) fn publish(&mut self, verdicts: &[Verdict]) {
        for v in verdicts {
            for b in 0..self.s.size.boxes {
                self.run.bytes += 70;
                self.plan(Duration::from_millis(1), Event::Verdict { b, v: *v });
            }
            let up = (0..self.s.size.upstreams).find(|&i| NameId::of(&name(i)) == v.upstream);
            let Some(up) = up else { continue };
            let news = self.standing.insert(up, v.judgement) != Some(v.judgement);
            if news && v.judgement == Judgement::Suspect && !self.is_sick(up) {
                self.run.false_verdicts += 1;
                let (at, w, hold) = (self.now.as_secs(), v.witnesses, v.hold);
                let queues: Vec<usize> = self.ups.iter().map(|u| u.queue.len()).collect();
                let note = format!("{at:.2} s: u{up} by {w} boxes for {hold:?}; queues {queues:?}");
                self.run.notes.push(note);
            }
            self.change_permit(up, v.judgement);
        }
    }

    fn change_permit(&mut self, up: usize, j: Judgement) {
        let n = self.s.size.upstreams;
        let ctx = FloorContext { live: n, floor: Floor::Share(FLOOR).count(n) };
        let next = match j {
            Judgement::Suspect => self.record.eject(&name(up), ctx),
            Judgement::Probation => self.record.start_canary(&name(up)),
            Judgement::Clear => self.record.release(&name(up)),
        };
        let Ok(next) = next else { return };
        self.record = next;
        for b in 0..self.s.size.boxes {
            let d = Duration::from_micros(self.rng.u64(5_000..1_400_000));
            self.plan(d, Event::Permits { b });
        }
    }

    pub(super) fn see_permits(&mut self, b: usize) {
        self.permits_seen[b] = self.record.clone();
        let records = [("s".to_owned(), self.record.clone())].into();
        // A run is shorter than what the lease's confirmations need to matter.
        let view = PermitView { records, confirmed: Some(self.now + Duration::from_secs(60)) };
        self.routers[b].set_permits(&view);
        let n = self.s.size.upstreams;
        let union = (0..n)
            .filter(|&i| self.permits_seen.iter().any(|r| r.hold(&name(i)).is_some()))
            .count();
        if n - union < Floor::Share(FLOOR).count(n) {
            self.run.broken += 1;
        }
    }

    /// Looks at who is set aside where, and at the sick upstream's share.
    pub(super) fn observe(&mut self) {
        const STEP: Duration = Duration::from_millis(50);
        self.plan(STEP, Event::Observe);
        let now = self.now;
        for b in 0..self.s.size.boxes {
            let aside = self.set_aside(b);
            for (up, is) in aside.into_iter().enumerate() {
                let healthy = !self.is_sick(up);
                if is && healthy {
                    self.run.aside_secs += STEP.as_secs_f64();
                    self.run.false_asides += u64::from(!self.aside[b][up]);
                }
                self.aside[b][up] = is;
            }
        }
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.recent.pop_front();
        }
        let since = now.since(FAULT_AT);
        if now < FAULT_AT + WINDOW / 5 || self.run.detect.is_some() || self.recent.is_empty() {
            return;
        }
        let fresh = self.recent.iter().filter(|(at, _)| now.since(*at) < WINDOW / 5);
        let (all, sick) = fresh.fold((0u32, 0u32), |(a, s), (_, x)| (a + 1, s + u32::from(*x)));
        let fair = f64::from(all) / self.s.size.upstreams as f64;
        if f64::from(sick) <= fair * RELIEVED && fair > 0.0 {
            // The share must stay down for the rest of the window.
            let whole = self.recent.iter().filter(|(_, x)| *x).count() as f64;
            let window = self.recent.len() as f64 / self.s.size.upstreams as f64;
            if whole <= window * RELIEVED {
                self.run.detect = Some((since.as_secs_f64() - WINDOW.as_secs_f64()).max(0.0));
            }
        }
    }

    fn set_aside(&self, b: usize) -> Vec<bool> {
        let n = self.s.size.upstreams;
        if self.s.policy == Policy::Naive {
            return (0..n).map(|i| self.naive[b].is_aside(i, self.now)).collect();
        }
        let mut aside = vec![false; n];
        if self.s.policy == Policy::Oracle {
            return aside;
        }
        if self.s.policy == Policy::Belief {
            // Nothing is ejected; one that is more likely sick than not is avoided.
            for row in self.balancers[b].status(self.now) {
                aside[number(&row.upstream)] = row.sick > 0.5;
            }
            return aside;
        }
        for row in self.routers[b].status(self.now) {
            aside[number(&row.upstream)] = matches!(row.state, "avoided" | "suspect" | "ejected");
        }
        aside
    }
}
