//! Readiness, status and metrics of a box on its admin port.

use crate::state::Mesh;
use honeypulley_daemon::admin::AdminView;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use honeypulley_proxy::suspects::RequestQuarantine;
use std::sync::atomic::Ordering;

impl Mesh {
    /// Returns the routes of unknown kind in the table in force, each with its kind.
    fn unknown_kinds(&self) -> Vec<String> {
        let table = self.in_force.load();
        let unknown = table.iter().flat_map(|t| &t.unknown_kinds);
        unknown.map(|u| format!("{}: {}", u.route, u.kind)).collect()
    }

    /// Returns the names of the services that this box can't reach.
    fn partitioned_services(&self) -> Vec<String> {
        let table = self.in_force.load();
        let directory = self.relay_directory();
        let is_partitioned = |name: &str| directory.is_partitioned(NameId::of(name));
        let names = table.iter().flat_map(|t| &t.services).map(|s| s.name.as_str());
        names.filter(|n| is_partitioned(n)).map(str::to_owned).collect()
    }

    /// Returns the time left in a planned stop, and how many requests it was too short for.
    fn stop_status(&self) -> Option<serde_json::Value> {
        let left = self.stop.current()?.left(self.now());
        Some(serde_json::json!({
            "left_ms": left.map(|l| l.as_millis() as u64),
            "refused": self.stop.rejected(),
        }))
    }
}

impl AdminView for Mesh {
    fn readiness(&self) -> Result<(), String> {
        if self.stop.has_begun() {
            return Err("a planned stop has begun".to_owned());
        }
        if self.in_force.load().is_none() {
            return Err("no routing table is in force yet".to_owned());
        }
        if !self.list_known.load(Ordering::Relaxed) {
            return Err("the list of upstreams is not known yet".to_owned());
        }
        if !self.knows_evacuations() {
            return Err("the evacuated data halls are not known yet".to_owned());
        }
        Ok(())
    }

    fn status(&self) -> Vec<u8> {
        let beacon = self.beacon();
        let status = serde_json::json!({
            "name": self.settings.name,
            "hall": self.settings.hall,
            "table": self.in_force.load().as_ref().map_or(0, |t| t.version),
            "list": beacon.list.number,
            "epoch": beacon.epoch,
            "restores": self.restores(),
            "list_age_ms": beacon.list_age.as_millis() as u64,
            "reader": beacon.reader,
            "read_age_ms": beacon.read_age.as_millis() as u64,
            "in_touch": self.readers().in_touch(self.now()),
            "boxes": self.address_book().count(),
            "partitioned": self.partitioned_services(),
            "retries_denied": self.retries_denied.load(Ordering::Relaxed),
            "held": self.quarantined_requests().len(),
            "outranked": self.outranked.load(Ordering::Relaxed),
            "evacuated": self.evacuated_halls(),
            "unknown_kinds": self.unknown_kinds(),
            "stop": self.stop_status(),
            "admission": self.admission.lock().to_json(self.now()),
            "not_ready": self.readiness().err(),
        });
        status.to_string().into_bytes()
    }

    fn metrics(&self) -> String {
        let beacon = self.beacon();
        let boxes = self.address_book().count();
        let upstreams = self.upstreams();
        let (load, (pages_sent, pages_rejected)) =
            (self.startup.list_load(), self.startup.page_requests());
        let (suspected, held) = (self.suspected_requests(), self.quarantined_requests().len());
        format!(
            "{}honeypulley_boxes {boxes}\nhoneypulley_upstreams {upstreams}\n\
             honeypulley_table_version {}\nhoneypulley_list_version {}\n\
             honeypulley_store_epoch {}\nhoneypulley_store_restores_total {}\n\
             honeypulley_list_age_ms {}\nhoneypulley_list_missed {}\n\
             honeypulley_reader {}\nhoneypulley_read_age_ms {}\n\
             honeypulley_news_dropped_total {}\n\
             honeypulley_requests_suspected {suspected}\nhoneypulley_requests_on_hold {held}\n\
             honeypulley_entries_foreign_total {}\n\
             honeypulley_routes_unknown_kind {}\n\
             honeypulley_halls_evacuated {}\n\
             honeypulley_services_partitioned {}\n\
             honeypulley_requests_outranked_total {}\n\
             honeypulley_startup_pages {}\n\
             honeypulley_startup_pulls_fruitless_total {}\n\
             honeypulley_startup_pulls_failed_total {}\n\
             honeypulley_startup_reads_total {}\n\
             honeypulley_startup_reads_failed_total {}\n\
             honeypulley_list_pages_sent_total {pages_sent}\n\
             honeypulley_list_pages_rejected_total {pages_rejected}\n",
            self.registry.text(),
            beacon.table,
            beacon.list.number,
            beacon.epoch,
            self.restores(),
            beacon.list_age.as_millis(),
            u8::from(self.catch_up().is_behind(beacon.list)),
            u8::from(beacon.reader),
            beacon.read_age.as_millis(),
            self.updates_in.dropped() + self.updates_out.dropped(),
            self.invalid_entries(),
            self.unknown_kinds().len(),
            self.evacuated_halls().len(),
            self.partitioned_services().len(),
            self.outranked.load(Ordering::Relaxed),
            load.pages,
            load.fruitless_pulls,
            load.failed_pulls,
            load.reads,
            load.failed_reads,
        )
    }

    fn suspects(&self) -> &dyn RequestQuarantine {
        self
    }

    fn now(&self) -> Time {
        self.clock.now()
    }
}
