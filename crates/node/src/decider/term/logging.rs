//! What a term tells of the fleet in the log, once for each change.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::callers::Evidence;
use cottoncrank_fleet::catalog::Service;
use cottoncrank_fleet::census::Census;
use cottoncrank_fleet::waits::{Takeover, Waits};

use super::Term;
use crate::telemetry;

/// The minimum time between two census lines in the log for one service.
const CENSUS_LOG_INTERVAL: Millis = Millis(500);

/// The minimum time between two lines in the log on what retired groups of a service wait for.
const WAITS_LOG_INTERVAL: Millis = Millis(250);

impl Term {
    /// Logs whether callers count as served, and why, at the begin of the term and when it changes.
    pub(super) fn log_serving(&mut self, evidence: Option<Evidence>) {
        let serving = evidence.is_some();
        if self.logged_serving.replace(serving) == Some(serving) {
            return;
        }
        match evidence {
            Some(evidence) => log::info!("decider: loads count as slow, {evidence}"),
            None => log::info!("decider: loads count as fast, nothing shows a request of a caller yet"),
        }
    }

    /// Logs how many runners of a service are in which state, if that has changed.
    pub(super) fn log_census(&mut self, service: &id::Service, census: Census) {
        let now = self.node.now();
        let last = self.logged_census.get(service);
        if last.is_some_and(|(last, at)| *last == census || now < *at + CENSUS_LOG_INTERVAL) {
            return;
        }
        log::info!("decider: {service}: {census}");
        self.logged_census.insert(service.clone(), (census, now));
    }

    /// Logs what this term begins with.
    pub(super) fn log_takeover(&self) {
        let documents = self.plans.list_documents();
        let takeover = Takeover::count(&documents, &self.node.stalls.lock(), self.node.now());
        log::info!("decider: {takeover}");
        let (asked, silent) = self.probes.lock().count_silent();
        log::info!("decider: {asked} members were probed before the term, {silent} are silent");
    }

    /// Logs what the retired groups of a service wait for, if that has changed.
    pub(super) fn log_waits(&mut self, service: &id::Service, waits: Waits) {
        telemetry::set_groups_held(service, &waits);
        let now = self.node.now();
        let (last, at) = self.logged_waits.get(service).cloned().unwrap_or_default();
        if last.is_same(&waits) || now < at + WAITS_LOG_INTERVAL {
            return;
        }
        log::info!("decider: {service}: {waits}");
        self.logged_waits.insert(service.clone(), (waits, now));
    }

    /// Logs which share of the runners each model is to have, if that has changed.
    pub(super) fn log_shares(&mut self, service: &Service) {
        let shares = self.memory.lock().list_shares(service);
        let logged = self.logged_shares.entry(service.id.clone()).or_default();
        let same = logged.len() == shares.len()
            && !shares.iter().zip(&*logged).any(|(share, logged)| share.differs(logged));
        if same {
            return;
        }
        for share in &shares {
            log::info!("decider: {}: {share}", service.id);
        }
        *logged = shares;
    }
}
