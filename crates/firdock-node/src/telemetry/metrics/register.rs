//! Registration of metrics with their help texts.

use prometheus_client::registry::Registry;

use super::Metrics;
use crate::telemetry::log::lost_lines;
use crate::telemetry::panics::panics;

impl Metrics {
    /// Registers all metrics.
    pub(super) fn register(&self) {
        let Ok(mut r) = self.registry.lock() else {
            return;
        };
        r.register(
            "arrived",
            "Requests that arrived from callers",
            self.arrived.clone(),
        );
        r.register(
            "goodput",
            "Whole answers begun within the tier's target",
            self.good.clone(),
        );
        r.register("answered", "Whole answers", self.answered.clone());
        r.register("shed", "Requests given up for load", self.shed.clone());
        r.register("held", "Requests held now", self.held.clone());
        r.register(
            "wasted_prefill_tokens",
            "Prompt tokens computed in vain",
            self.wasted.clone(),
        );
        r.register(
            "verdicts",
            "Final answers of firdock's own",
            self.reasons.clone(),
        );
        r.register("outcomes", "Ended requests", self.outcomes.clone());
        r.register(
            "tries",
            "Ended tries of callers, first ones and those with which they come back",
            self.tries.clone(),
        );
        self.register_shares(&mut r);
        self.register_dispatches(&mut r);
        self.register_starts(&mut r);
        r.register(
            "version_in_force",
            "Version of the configuration",
            self.version.clone(),
        );
        r.register(
            "log_lag_millis",
            "Time since the log was read to its end",
            self.log_lag.clone(),
        );
        r.register(
            "first_seconds",
            "Time from arrival to the first token or byte, by rank",
            self.first.clone(),
        );
        r.register(
            "first_over_predicted",
            "Time from dispatch to the first token or byte over the predicted, by pool",
            self.first_over_predicted.clone(),
        );
        r.register(
            "paces_told",
            "Figures of their pace that endpoints told, by pool",
            self.paces.clone(),
        );
        r.register(
            "held_seconds",
            "Time from arrival to the last dispatch of answered requests",
            self.held_time.clone(),
        );
        r.register(
            "total_seconds",
            "Time from arrival to the end of whole answers",
            self.total.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the platform's store, by what they were for",
            self.store_calls.clone(),
        );
        r.register(
            "topic_age_millis",
            "Time since a topic of the store was last read, by this instance and by any",
            self.topic_ages.clone(),
        );
        self.register_suspensions(&mut r);
        register_process(&mut r);
        r.register(
            "reads_ahead",
            "Reads of the store that lie ahead of the clock of the instance that knows them",
            self.reads_ahead.clone(),
        );
        self.buffered_answers.register(&mut r);
        self.bodies.register(&mut r);
        r.register(
            "decision_seconds",
            "Time of one decision",
            self.decision.clone(),
        );
    }

    fn register_suspensions(&self, r: &mut Registry) {
        r.register(
            "suspensions",
            "Suspensions of the machine",
            self.suspensions.clone(),
        );
        r.register(
            "start_time_seconds",
            "Unix time of the start of the process",
            self.started.clone(),
        );
        r.register(
            "suspended_seconds",
            "Time for which the machine was suspended",
            self.suspended.clone(),
        );
    }

    /// Registers the metrics of dispatches and of failing endpoints.
    fn register_dispatches(&self, r: &mut Registry) {
        r.register(
            "dispatches",
            "Requests sent to endpoints",
            self.dispatches.clone(),
        );
        r.register(
            "broken",
            "Broken dispatches, by how they came to break",
            self.broken.clone(),
        );
        r.register(
            "unconnected",
            "Dispatches without a connection to their endpoint, by cause",
            self.unconnected.clone(),
        );
        r.register(
            "passed_on",
            "Dispatches whose connection went through a peer",
            self.passed_on.clone(),
        );
        r.register(
            "not_passed_on",
            "Dispatches that a peer did not pass on",
            self.not_passed_on.clone(),
        );
        r.register(
            "looks",
            "Looks at endpoints whose connections ended early, by what was found",
            self.looks.clone(),
        );
        r.register(
            "unproven_ends",
            "Ends of answers without a length or chunks, by what was known of their endpoint",
            self.unproven_ends.clone(),
        );
        r.register(
            "answer_ends",
            "Answers of endpoints, by how they were framed and how they ended",
            self.answer_ends.clone(),
        );
        r.register(
            "ends_blamed",
            "Ends of endpoints that were held against a request on board",
            self.blamed.clone(),
        );
        r.register(
            "suspects",
            "Requests under which endpoints ended, those in quarantine among them",
            self.suspected.clone(),
        );
        r.register(
            "quarantined",
            "Requests of which nothing is sent any more",
            self.quarantined.clone(),
        );
        r.register(
            "retries",
            "Second tries after a broken dispatch",
            self.retries.clone(),
        );
        r.register(
            "stale_news",
            "Late or crossed news dropped",
            self.stale.clone(),
        );
        r.register(
            "handed_over",
            "Requests handed to peers",
            self.handed.clone(),
        );
        r.register("ejections", "Endpoints ejected", self.ejections.clone());
        r.register(
            "leaving_told",
            "Starts of endpoints that said with an answer that they leave, by pool",
            self.leaving_told.clone(),
        );
        r.register(
            "backoffs_told",
            "Answers with which endpoints asked for a back-off, by pool",
            self.backoffs_told.clone(),
        );
        r.register(
            "limits_told",
            "Answers with which endpoints named a rate limit, by pool",
            self.limits_told.clone(),
        );
        r.register(
            "refusal_limits_told",
            "Answers with which endpoints named a limit of refusals, by pool",
            self.refusal_limits_told.clone(),
        );
    }

    /// Registers the metrics of endpoint restarts and of endpoint entries.
    fn register_starts(&self, r: &mut Registry) {
        r.register(
            "endpoint_restarts",
            "Endpoints that started again under their names",
            self.restarts.clone(),
        );
        r.register(
            "lost_by_restart",
            "Dispatches that ended with a start of their endpoint",
            self.lost_by_restart.clone(),
        );
        r.register(
            "unconfirmed_starts",
            "Starts of endpoints that could not be confirmed after a connection broke",
            self.unconfirmed_starts.clone(),
        );
        r.register(
            "streams_taken_up",
            "Requests that continue a stream of an earlier attempt, by who knew the stream",
            self.streams_taken_up.clone(),
        );
        r.register(
            "partial_listings",
            "Listings of a topic of the store that are only a part of it",
            self.partial_listings.clone(),
        );
        r.register(
            "configuration_parts_refused",
            "Parts of a configuration that were not taken as they stand",
            self.bad_parts.clone(),
        );
        r.register(
            "entries_refused",
            "Entries of endpoints that name none to use",
            self.entries_refused.clone(),
        );
    }

    /// Registers the metrics of accounts and their shares.
    fn register_shares(&self, r: &mut Registry) {
        r.register(
            "account_refusals",
            "Requests refused for load, by account and rank, over its share or within",
            self.refusals.clone(),
        );
        r.register(
            "account_asked_seconds",
            "Work that accounts asked for lately, as their coordinator sees it",
            self.asked.clone(),
        );
        r.register(
            "account_done_seconds",
            "Work that endpoints did lately for accounts, likewise",
            self.done.clone(),
        );
        r.register(
            "account_share_seconds",
            "Work that was the accounts' share of it, likewise",
            self.share.clone(),
        );
    }
}

/// Registers what is counted for the whole process.
fn register_process(r: &mut Registry) {
    r.register(
        "log_lines_lost",
        "Log lines that could not be written, by cause",
        lost_lines(),
    );
    r.register("panics", "Panics in any thread or task", panics());
}
