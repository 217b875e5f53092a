//! Determines the outcome of a send and updates the statistics of its server and failure domain.

use std::fmt::Display;
use std::time::Duration;

use hyper::StatusCode;

use crate::coordination::attempt::{
    Attempt, Fault, NotRunCode, Outcome, RawAnswer, Replied, UpstreamRefusal,
};
use crate::coordination::domain_health::DomainHealth;
use crate::coordination::rate_limit::RateLimit;
use crate::coordination::scatter::SendResult;
use crate::coordination::server_notices::{Availability, ServerNotices};
use crate::protocol::codec::ResponseHead;
use crate::state::time::Tick;
use crate::state::topology::Server;
use crate::transport::http::Reply;
use crate::transport::segments::SegmentedBody;
use crate::transport::upstreams::send::{Answer, SendOutcome, Sender};
use crate::transport::upstreams::tier::ServerRun;

impl Sender<'_> {
    /// Records an unanswered request in the health of the server's failure domain.
    pub(crate) fn record_unanswered(&self, now: Tick) {
        self.update_domain(|d| d.record_unanswered(now));
    }

    /// Updates the health of the server's failure domain.
    pub(crate) fn update_domain(&self, update: impl FnOnce(&mut DomainHealth)) {
        if let Some(server) = self.tier.view().server(self.key) {
            self.tier.with_domain(&server.report.domain, update);
        }
    }

    /// Records a failed send and returns its outcome.
    pub(crate) fn record_failure(&self, outcome: Outcome<Answer>) -> SendOutcome {
        let now = self.tier.now();
        let fault = if let Outcome::Unknown(fault) = outcome { fault } else { Fault::Upstream };
        self.update_server(|s| s.stats.record_failure(now));
        if fault == Fault::Timeout {
            self.record_unanswered(now);
        }
        SendOutcome::new(SendResult::Failed(fault))
    }

    /// Determines the outcome of a completely received reply to this attempt.
    pub(crate) fn evaluate_reply(
        &self,
        attempt: Attempt<Replied>,
        run: ServerRun<'_>,
        (head, reply): (ResponseHead, Reply<SegmentedBody>),
        took: Duration,
    ) -> SendOutcome {
        let now = self.tier.now();
        self.update_domain(|d| {
            d.record_answer();
        });
        // what another server at the address reports is not this server's
        if head.refusal != Some(UpstreamRefusal::Replaced) {
            self.record_head(run, &head, now);
        }
        if let Some(refusal) = head.refusal {
            return self.record_refusal(attempt, refusal, now);
        }
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let received_length = reply.body.len();
        let answer =
            Answer { status, headers: reply.headers, body: reply.body, signature: head.signature };
        let raw = RawAnswer { stated_length: head.stated_length, received_length, answer };
        match attempt.complete(raw) {
            Outcome::Answer(answer) if head.is_answer => {
                let usual = self.request.times.usual;
                let round_trip = self.update_server(|s| {
                    let round_trip = s.connections.round_trip.unwrap_or_default();
                    s.stats.record_answer(took.saturating_sub(round_trip), usual, now);
                    round_trip
                });
                let latency = Some(took.saturating_sub(round_trip.unwrap_or_default()));
                SendOutcome {
                    answer: Some(answer),
                    latency,
                    ..SendOutcome::new(SendResult::Answered)
                }
            }
            Outcome::Answer(answer) => {
                let failed = self.record_failure(Outcome::Unknown(Fault::Upstream));
                SendOutcome { answer: Some(answer), ..failed }
            }
            outcome => self.record_failure(outcome),
        }
    }

    /// Records what the head of an answer reports about the server, as it was listed when the request was sent.
    fn record_head(&self, run: ServerRun<'_>, head: &ResponseHead, now: Tick) {
        let server = run.server;
        if let Some((queue, slots)) = head.load {
            self.update_server(|s| s.stats.record_load(queue, slots, now));
        }
        if let Some(change) = self.tier.record_run(self.key, run, head, now) {
            if change.asked {
                self.log_notices(run, change.notices, now);
            }
            if let Some(previous) = change.previous_limit {
                self.log_limit(run, previous, change.notices.rate().limit());
            }
        }
        if let Some(e) = &head.invalid_backoff {
            self.log_invalid_header(server, e);
        }
        if let Some(e) = &head.invalid_rate_limit {
            self.log_invalid_header(server, e);
        }
    }

    /// Logs the first invalid header of a server.
    fn log_invalid_header(&self, server: &Server, e: &impl Display) {
        let is_first =
            self.update_server(|s| !std::mem::replace(&mut s.logged_invalid_header, true));
        if is_first == Some(true) {
            let (id, server) = (self.request.id.as_str(), server.report.id.as_str());
            log::warn!(request = id, server; "server's reply has an invalid header, which is ignored: {e}");
        }
    }

    /// Logs what a run of the server asked for in its reply to this request.
    fn log_notices(&self, run: ServerRun<'_>, notices: ServerNotices, now: Tick) {
        let (id, report) = (self.request.id.as_str(), &run.server.report);
        let (server, started_at_ms) =
            (report.id.as_str(), report.started_at_ms.unwrap_or_default());
        let unlisted = run.listener.is_unlisted();
        match notices.availability_beside_limit(now) {
            Availability::Now => {}
            Availability::From(at) => {
                let backoff_ms = at.since(now).as_millis() as u64;
                log::info!(request = id, server, started_at_ms, unlisted, backoff_ms; "server asked for a time without requests");
            }
            Availability::Never => {
                log::info!(request = id, server, started_at_ms, unlisted; "server announced that it leaves");
            }
        }
    }

    /// Logs the change of the limit that a run of the server names.
    fn log_limit(&self, run: ServerRun<'_>, previous: Option<RateLimit>, limit: Option<RateLimit>) {
        let (id, server) = (self.request.id.as_str(), run.server.report.id.as_str());
        let before_per_s = previous.map(RateLimit::per_s);
        match limit.map(RateLimit::per_s) {
            Some(per_s) if before_per_s.is_some() => {
                log::debug!(request = id, server, per_s, before_per_s; "server changed the rate that it takes");
            }
            Some(per_s) => {
                let instances = self.tier.instances();
                let share = self.tier.limit_part(&self.tier.view(), run.server).share;
                log::info!(request = id, server, per_s, instances, share; "server named a rate that it takes from all instances");
            }
            None => log::info!(request = id, server, before_per_s; "server no longer names a rate"),
        }
    }

    /// Records that the server refused the request and returns the outcome.
    fn record_refusal(
        &self,
        attempt: Attempt<Replied>,
        refusal: UpstreamRefusal,
        now: Tick,
    ) -> SendOutcome {
        let outcome: Outcome<Answer> = attempt.refused_by_upstream(refusal);
        let why = if let Outcome::NotRun(not_run) = &outcome {
            not_run.reason()
        } else {
            NotRunCode::Shed
        };
        self.update_server(|s| match why {
            NotRunCode::Replaced => s.stats.outlier.eject(now),
            NotRunCode::Shed => s.stats.record_shed(now),
            _ => s.stats.outlier.record_neutral(),
        });
        SendOutcome::new(SendResult::NotRun(why))
    }
}
