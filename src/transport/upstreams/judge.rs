//! What the end of a send proves, and what is learnt from it of the server.

use std::time::Duration;

use hyper::StatusCode;

use crate::coordination::attempt::{
    Attempt, Dispatched, Fault, NotRunCode, Outcome, RawAnswer, UpstreamRefusal,
};
use crate::coordination::darkness::DomainHealth;
use crate::coordination::learned::RunReport;
use crate::coordination::scatter::SendResult;
use crate::protocol::wire::ResponseHead;
use crate::state::time::Tick;
use crate::transport::http::Reply;
use crate::transport::upstreams::send::{Answer, Landed, Sender};

impl Sender<'_> {
    /// Notes that the server's failure domain may be silent.
    pub(crate) fn note_silence(&self, now: Tick) {
        self.note_domain(|d| d.record_unanswered(now));
    }

    pub(crate) fn note_domain(&self, note: impl FnOnce(&mut DomainHealth)) {
        if let Some(server) = self.tier.view().server(self.key) {
            self.tier.domain(&server.report.domain, note);
        }
    }

    pub(crate) fn failed(&self, outcome: Outcome<Answer>) -> Landed {
        let now = self.tier.now();
        let fault = if let Outcome::Unknown(fault) = outcome { fault } else { Fault::Upstream };
        self.live(|l| l.learned.record_failure(now));
        if fault == Fault::Timeout {
            self.note_silence(now);
        }
        Landed::new(SendResult::Failed(fault))
    }

    /// Judges a whole answer.
    pub(crate) fn settle(
        &self,
        handed: Attempt<Dispatched>,
        reply: Reply,
        told: ResponseHead,
        took: Duration,
    ) -> Landed {
        let now = self.tier.now();
        self.hear(&told, now);
        if let Some(said) = told.refusal {
            return self.not_run(handed, said, now);
        }
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let came = reply.body.len();
        let answer =
            Answer { status, headers: reply.headers, body: reply.body, signature: told.signature };
        let raw = RawAnswer {
            label: told.label,
            stated_length: told.stated_length,
            received_length: came,
            answer,
        };
        match handed.complete(raw) {
            Outcome::Answer(answer) if told.is_answer => {
                let usual = self.asked.times.usual;
                let trip = self.live(|l| {
                    let trip = l.conns.trip.unwrap_or_default();
                    l.learned.record_answer(took.saturating_sub(trip), usual, now);
                    trip
                });
                let took = Some(took.saturating_sub(trip.unwrap_or_default()));
                Landed { answer: Some(answer), took, ..Landed::new(SendResult::Answered) }
            }
            Outcome::Answer(answer) => {
                let failed = self.failed(Outcome::Unknown(Fault::Upstream));
                Landed { answer: Some(answer), ..failed }
            }
            outcome => self.failed(outcome),
        }
    }

    /// Takes in what the head of an answer tells of the server.
    fn hear(&self, told: &ResponseHead, now: Tick) {
        let view = self.tier.view();
        let Some(server) = view.server(self.key) else { return };
        self.tier.domain(&server.report.domain, |d| d.record_answer());
        let cold_for = view.server_limits(server).cold_duration;
        let run = RunReport { boot_id: told.boot_id, held: told.held, draining: told.draining };
        self.live(|l| {
            if let Some((queue, slots)) = told.load {
                l.learned.record_load(queue, slots, now);
            }
            l.learned.record_run(run, cold_for, now);
        });
    }

    fn not_run(&self, handed: Attempt<Dispatched>, said: UpstreamRefusal, now: Tick) -> Landed {
        let outcome: Outcome<Answer> = handed.refused_by_upstream(said);
        let why = if let Outcome::NotRun(refusal) = &outcome {
            refusal.reason()
        } else {
            NotRunCode::Shed
        };
        self.live(|l| match why {
            NotRunCode::Replaced => l.learned.outlier.eject(now),
            NotRunCode::Shed => l.learned.record_shed(now),
            _ => l.learned.outlier.record_neutral(),
        });
        Landed::new(SendResult::NotRun(why))
    }
}
