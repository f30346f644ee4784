//! Control messages between boxes, and measurement of their decisions.

use super::{
    COLLECTORS, DETECTED_SHARE, Event, FAULT_AT, FLOOR_SHARE, Floor, FloorContext, Judgement,
    NameId, PermitView, Policy, SHARE_WINDOW, Simulation, TICK_INTERVAL, Verdict, upstream_index,
    upstream_name,
};
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn tick(&mut self, b: usize) {
        self.schedule(TICK_INTERVAL, Event::Tick { b });
        if matches!(self.scenario.policy, Policy::Naive | Policy::Belief | Policy::Oracle) {
            return;
        }
        let reports = self.routers[b].tick(self.now);
        if self.scenario.policy != Policy::Shared {
            return;
        }
        for report in reports {
            for c in 0..COLLECTORS {
                self.run.control_bytes += 60 + 12 * report.items.len() as u64;
                let report = report.clone();
                self.schedule(Duration::from_millis(1), Event::Report { c, report });
            }
        }
    }

    pub(super) fn publish(&mut self, verdicts: &[Verdict]) {
        for v in verdicts {
            for b in 0..self.scenario.size.boxes {
                self.run.control_bytes += 70;
                self.schedule(Duration::from_millis(1), Event::Verdict { b, v: *v });
            }
            let up = (0..self.scenario.size.upstreams)
                .find(|&i| NameId::of(&upstream_name(i)) == v.upstream);
            let Some(up) = up else { continue };
            let is_new = self.last_judgements.insert(up, v.judgement) != Some(v.judgement);
            if is_new && v.judgement == Judgement::Suspect && !self.is_faulty(up) {
                self.run.false_verdicts += 1;
                let (at, w, hold) = (self.now.as_secs(), v.witnesses, v.hold);
                let queues: Vec<usize> = self.upstreams.iter().map(|u| u.queue.len()).collect();
                let note = format!("{at:.2} s: u{up} by {w} boxes for {hold:?}; queues {queues:?}");
                self.run.notes.push(note);
            }
            self.change_permit(up, v.judgement);
        }
    }

    fn change_permit(&mut self, up: usize, j: Judgement) {
        let n = self.scenario.size.upstreams;
        let ctx = FloorContext { live: n, floor: Floor::Share(FLOOR_SHARE).count(n) };
        let next = match j {
            Judgement::Suspect => self.record.eject(&upstream_name(up), ctx),
            Judgement::Probation => self.record.start_canary(&upstream_name(up)),
            Judgement::Clear => self.record.release(&upstream_name(up)),
        };
        let Ok(next) = next else { return };
        self.record = next;
        for b in 0..self.scenario.size.boxes {
            let d = Duration::from_micros(self.rng.u64(5_000..1_400_000));
            self.schedule(d, Event::Permits { b });
        }
    }

    pub(super) fn apply_permits(&mut self, b: usize) {
        self.applied_permits[b] = self.record.clone();
        let records = [("s".to_owned(), self.record.clone())].into();
        // A run is too short for the lease to expire, so it is always confirmed.
        let view = PermitView { records, confirmed: Some(self.now + Duration::from_secs(60)) };
        self.routers[b].set_permits(&view);
        let n = self.scenario.size.upstreams;
        let ejected_count = (0..n)
            .filter(|&i| self.applied_permits.iter().any(|r| r.hold(&upstream_name(i)).is_some()))
            .count();
        if n - ejected_count < Floor::Share(FLOOR_SHARE).count(n) {
            self.run.floor_violations += 1;
        }
    }

    /// Samples the exclusions on all boxes and the share of the faulty upstream.
    pub(super) fn observe(&mut self) {
        const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
        self.schedule(SAMPLE_INTERVAL, Event::Observe);
        let now = self.now;
        for b in 0..self.scenario.size.boxes {
            let excluded = self.excluded_upstreams(b);
            for (up, is_excluded) in excluded.into_iter().enumerate() {
                let healthy = !self.is_faulty(up);
                if is_excluded && healthy {
                    self.run.exclusion_secs += SAMPLE_INTERVAL.as_secs_f64();
                    self.run.false_exclusions += u64::from(!self.excluded[b][up]);
                }
                self.excluded[b][up] = is_excluded;
            }
        }
        while self.recent_sends.front().is_some_and(|(at, _)| now.since(*at) > SHARE_WINDOW) {
            self.recent_sends.pop_front();
        }
        let since = now.since(FAULT_AT);
        if now < FAULT_AT + SHARE_WINDOW / 5
            || self.run.detection_secs.is_some()
            || self.recent_sends.is_empty()
        {
            return;
        }
        let latest_sends =
            self.recent_sends.iter().filter(|(at, _)| now.since(*at) < SHARE_WINDOW / 5);
        let (all, faulty) =
            latest_sends.fold((0u32, 0u32), |(a, s), (_, x)| (a + 1, s + u32::from(*x)));
        let fair = f64::from(all) / self.scenario.size.upstreams as f64;
        if f64::from(faulty) <= fair * DETECTED_SHARE && fair > 0.0 {
            // The share must be low over the whole window too.
            let window_faulty = self.recent_sends.iter().filter(|(_, x)| *x).count() as f64;
            let window_fair = self.recent_sends.len() as f64 / self.scenario.size.upstreams as f64;
            if window_faulty <= window_fair * DETECTED_SHARE {
                self.run.detection_secs =
                    Some((since.as_secs_f64() - SHARE_WINDOW.as_secs_f64()).max(0.0));
            }
        }
    }

    fn excluded_upstreams(&self, b: usize) -> Vec<bool> {
        let n = self.scenario.size.upstreams;
        if self.scenario.policy == Policy::Naive {
            return (0..n).map(|i| self.naive[b].is_aside(i, self.now)).collect();
        }
        let mut excluded = vec![false; n];
        if self.scenario.policy == Policy::Oracle {
            return excluded;
        }
        if self.scenario.policy == Policy::Belief {
            // This policy ejects nothing; a probability above 0.5 counts as excluded.
            for row in self.balancers[b].status(self.now) {
                excluded[upstream_index(&row.upstream)] = row.sick > 0.5;
            }
            return excluded;
        }
        for row in self.routers[b].status(self.now) {
            excluded[upstream_index(&row.upstream)] =
                matches!(row.state, "avoided" | "suspect" | "ejected");
        }
        excluded
    }
}
