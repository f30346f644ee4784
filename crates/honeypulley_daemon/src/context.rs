//! State shared by the duties of one box.

use crate::admin::AdminView;
use crate::settings::Settings;
use crate::status;
use bytes::Bytes;
use honeypulley_bundle::head::{Head, Version};
use honeypulley_bundle::keeper::{InForce, Keeper, OfferError};
use honeypulley_bundle::parts::{Digest, Manifest};
use honeypulley_platform::permits as permit_objects;
use honeypulley_platform::prelude::{Object, Roster};
use honeypulley_policy::collector::{NameId, Report, Verdict};
use honeypulley_policy::join::Join;
use honeypulley_policy::permits::PermitView;
use honeypulley_policy::placement::{self, RELAYS, Role};
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use honeypulley_proxy::shared::{BundleState, Members};
use honeypulley_proxy::suspects::RequestQuarantine;
use honeypulley_supervisor::ring::{OverflowPolicy, Ring};
use parking_lot::{Mutex, MutexGuard};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time without contact to platform and peers after which a box is not ready.
///
/// A change must be in force on every box within this time, so a box that is
/// isolated for longer may serve an outdated bundle.
pub const MAX_ISOLATION: Duration = Duration::from_secs(9);

/// A change to a permit, requested by a collector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Requested change.
    pub kind: RequestKind,
}

/// Kind of change that a collector requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Eject the upstream.
    Eject,
    /// Send only canary requests to the upstream.
    Canary,
    /// Return the upstream to regular traffic.
    Release,
}

/// Permits cached on this box.
#[derive(Clone, Debug, Default)]
pub struct CachedPermits {
    /// Store revision up to which the permits are complete.
    pub version: Revision,
    /// Permit records and the time of their last confirmation.
    pub view: PermitView,
}

/// State shared by the duties of one box.
#[derive(Debug)]
pub struct Context {
    /// Settings of this box.
    pub settings: Settings,
    /// Identifier of this box in peer messages.
    pub id: NameId,
    /// State of the serving thread.
    pub shared: Arc<BundleState>,
    /// Verdicts to broadcast to all boxes.
    pub verdicts_out: Ring<Verdict>,
    /// Reports received by this box as a collector.
    pub reports_in: Ring<Report>,
    /// Permit changes queued for the permit duty.
    pub requests: Ring<PermitRequest>,
    /// Bundle versions that this box accepted and has yet to announce.
    pub rumours: Ring<Version>,
    /// Datagram bytes sent to peers.
    pub sent_bytes: AtomicU64,
    keeper: Mutex<Keeper>,
    roster: Mutex<Option<(Arc<Roster>, Bytes)>>,
    permits: Mutex<CachedPermits>,
    last_contact: Mutex<Time>,
    join: Mutex<Join>,
}

impl Context {
    /// Creates the shared state of one box.
    #[must_use]
    pub fn new(settings: Settings, shared: Arc<BundleState>) -> Self {
        let keeper = Keeper::new(settings.signers.clone());
        Self {
            id: NameId::of(&settings.name),
            shared,
            verdicts_out: Ring::new(1_024, OverflowPolicy::DropOldest),
            reports_in: Ring::new(16_384, OverflowPolicy::DropNewest),
            requests: Ring::new(1_024, OverflowPolicy::DropOldest),
            rumours: Ring::new(4, OverflowPolicy::DropOldest),
            sent_bytes: AtomicU64::new(0),
            keeper: Mutex::new(keeper),
            roster: Mutex::new(None),
            permits: Mutex::new(CachedPermits::default()),
            last_contact: Mutex::new(Time::ZERO),
            join: Mutex::new(Join::default()),
            settings,
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.shared.now()
    }

    /// Locks the bundle keeper; callers must release the lock quickly.
    pub fn keeper(&self) -> MutexGuard<'_, Keeper> {
        self.keeper.lock()
    }

    /// Returns the newest bundle accepted on this box.
    ///
    /// It may not be in force yet, if the box has not joined.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<InForce>> {
        self.keeper.lock().in_force().cloned()
    }

    /// Validates and accepts a bundle received from the platform or a peer.
    ///
    /// # Errors
    /// See [`OfferError`]; on error the previous bundle stays in force.
    pub fn offer(
        &self,
        from: &str,
        head: Head,
        manifest: Manifest,
        fetched: &HashMap<Digest, Bytes>,
    ) -> Result<(), OfferError> {
        let f = self.keeper.lock().offer(head, manifest, fetched)?;
        let (version, moved) = (f.head.version, fetched.len());
        log::info!(
            bundle = version.0, from, moved;
            "bundle: {version} received from {from}, {moved} parts fetched"
        );
        self.rumours.push(f.head.version);
        if self.is_joined() {
            self.shared.feed.bundles.push(f);
        } else {
            self.try_join();
        }
        Ok(())
    }

    /// Returns the last roster received, if any.
    #[must_use]
    pub fn roster(&self) -> Option<Arc<Roster>> {
        self.roster.lock().as_ref().map(|(r, _)| Arc::clone(r))
    }

    /// Returns the encoded bytes of the last roster, empty if there is none.
    #[must_use]
    pub fn roster_json(&self) -> Bytes {
        self.roster.lock().as_ref().map_or_else(Bytes::new, |(_, b)| b.clone())
    }

    /// Applies an encoded roster; a malformed one is logged and ignored.
    pub fn set_roster(&self, json: Bytes) {
        let mut current = self.roster.lock();
        if current.as_ref().is_some_and(|(_, old)| *old == json) {
            return;
        }
        match Roster::from_json(&json) {
            Err(e) => log::warn!("platform: malformed roster, keeping the previous one: {e}"),
            Ok(r) => {
                let (boxes, upstreams) = (r.live_boxes().count(), r.upstreams.len());
                log::info!(boxes, upstreams; "platform: roster applied: {boxes} live boxes, {upstreams} upstreams");
                let members = Members { upstreams: r.upstreams.clone(), boxes };
                self.shared.feed.members.push(members);
                *current = Some((Arc::new(r), json));
            }
        }
    }

    /// Returns the cached permits.
    #[must_use]
    pub fn permits(&self) -> CachedPermits {
        self.permits.lock().clone()
    }

    /// Returns the revision and last confirmation of the cached permits.
    #[must_use]
    pub fn permits_revision(&self) -> (Revision, Option<Time>) {
        let cached = self.permits.lock();
        (cached.version, cached.view.confirmed)
    }

    /// Applies changed permit objects that are complete up to `version` as of `at`.
    pub fn merge_permits(&self, objects: &[Object], version: Revision, at: Time) {
        let mut cached = self.permits.lock();
        // A stale read must not overwrite newer permits.
        if version < cached.version {
            return;
        }
        let changed: Vec<_> = objects.iter().filter_map(permit_objects::decode).collect();
        let mut any = !changed.is_empty();
        if version.epoch > cached.version.epoch {
            // The store was restored from a backup: permits that it lost are void.
            any |= !cached.view.records.is_empty();
            cached.view.records.clear();
        }
        cached.view.records.extend(changed);
        self.confirm_permits(&mut cached, version, at, any);
    }

    /// Replaces all permits by a peer's, complete up to `version` as of `at`.
    pub fn replace_permits(&self, view: PermitView, version: Revision, at: Time) {
        let mut cached = self.permits.lock();
        if version < cached.version {
            return;
        }
        cached.view.records = view.records;
        self.confirm_permits(&mut cached, version, at, true);
    }

    fn confirm_permits(
        &self,
        cached: &mut CachedPermits,
        version: Revision,
        at: Time,
        changed: bool,
    ) {
        cached.version = version;
        cached.view.confirmed = Some(cached.view.confirmed.map_or(at, |old| old.max(at)));
        if changed {
            self.shared.feed.permits.push(cached.view.clone());
        } else {
            self.shared.feed.confirms.push(cached.view.confirmed.unwrap_or(at));
        }
    }

    /// Records contact with a peer or the platform.
    pub fn record_contact(&self) {
        *self.last_contact.lock() = self.now();
    }

    /// Returns the time since the last contact with the platform or a peer.
    #[must_use]
    pub fn since_contact(&self) -> Duration {
        self.now().since(*self.last_contact.lock())
    }

    /// Returns whether this box is a relay.
    ///
    /// Relays watch the platform on behalf of their data hall.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.relays().contains(&self.settings.name)
    }

    /// Returns the names of the relays of this data hall.
    #[must_use]
    pub fn relays(&self) -> Vec<String> {
        let Some(roster) = self.roster() else { return Vec::new() };
        let hall = &self.settings.hall;
        let names = roster.live_boxes().filter(|b| b.hall == *hall).map(|b| b.name.as_str());
        placement::highest_weighted(Role::Relay, hall, names, RELAYS)
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// Records the bundle version that the platform reported.
    pub fn record_platform_version(&self, v: Version) {
        self.record_contact();
        self.join.lock().record_platform_version(v.0);
        self.try_join();
    }

    /// Records the bundle version that a peer reported.
    pub fn record_peer_version(&self, peer: NameId, v: Version) {
        self.record_contact();
        self.join.lock().record_peer_version(peer, v.0);
        self.try_join();
    }

    /// Returns whether this box has joined and may serve its bundle.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.join.lock().has_joined()
    }

    /// Puts the accepted bundle in force once [`Join`] allows it.
    fn try_join(&self) {
        if self.is_joined() {
            return;
        }
        let Some(bundle) = self.bundle() else { return };
        let boxes = self.roster().map_or(0, |r| r.live_boxes().count());
        let version = bundle.head.version;
        let Some(by) = self.join.lock().try_join(version.0, boxes.saturating_sub(1)) else {
            return;
        };
        log::info!(bundle = version.0; "join: starting with {version}, confirmed by {by:?}");
        self.shared.feed.bundles.push(bundle);
    }

    /// Checks whether the box should receive new connections.
    ///
    /// # Errors
    /// Returns the reason why it is not ready.
    pub fn readiness(&self) -> Result<(), String> {
        if self.shared.gate.stop.has_begun() {
            return Err("leaving".to_owned());
        }
        if self.shared.in_force().is_none() {
            return Err("no bundle is in force yet".to_owned());
        }
        if !self.shared.has_upstreams.load(Ordering::Relaxed) {
            return Err("the list of upstreams is not known yet".to_owned());
        }
        let silence = self.since_contact();
        if silence > MAX_ISOLATION {
            return Err(format!(
                "alone: neither platform nor peers heard for {} s",
                silence.as_secs()
            ));
        }
        Ok(())
    }
}

impl AdminView for Context {
    fn readiness(&self) -> Result<(), String> {
        Self::readiness(self)
    }

    fn status(&self) -> Vec<u8> {
        serde_json::to_vec(&status::collect(self)).unwrap_or_default()
    }

    fn metrics(&self) -> String {
        // This daemon exports its metrics over StatsD.
        String::new()
    }

    fn suspects(&self) -> &dyn RequestQuarantine {
        &*self.shared.gate.suspects
    }

    fn now(&self) -> Time {
        self.shared.now()
    }
}
