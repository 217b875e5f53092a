//! What the end of a send proves, and what is learnt from it of the server.

use std::time::Duration;

use hyper::StatusCode;

use crate::coordination::attempt::{Attempt, Fault, Handed, Outcome, RawAnswer, Said, Why};
use crate::coordination::darkness::Darkness;
use crate::coordination::learned::RunTold;
use crate::coordination::scatter::End;
use crate::protocol::wire::HeadTold;
use crate::state::time::Tick;
use crate::transport::http::Reply;
use crate::transport::upstreams::send::{Answer, Landed, Sender};

impl Sender<'_> {
    /// Notes that the server's failure domain may be silent.
    pub(crate) fn note_silence(&self, now: Tick) {
        self.note_domain(|d| d.silent(now));
    }

    pub(crate) fn note_domain(&self, note: impl FnOnce(&mut Darkness)) {
        if let Some(server) = self.tier.view().server(self.key) {
            self.tier.domain(&server.report.domain, note);
        }
    }

    pub(crate) fn failed(&self, outcome: Outcome<Answer>) -> Landed {
        let now = self.tier.now();
        let fault = if let Outcome::Unknown(fault) = outcome { fault } else { Fault::Upstream };
        self.live(|l| l.learned.failed(now));
        if fault == Fault::Timeout {
            self.note_silence(now);
        }
        Landed::new(End::Failed(fault))
    }

    /// Judges a whole answer.
    pub(crate) fn settle(
        &self,
        handed: Attempt<Handed>,
        reply: Reply,
        told: HeadTold,
        took: Duration,
    ) -> Landed {
        let now = self.tier.now();
        self.hear(&told, now);
        if let Some(said) = told.said {
            return self.not_run(handed, said, now);
        }
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let came = reply.body.len();
        let answer =
            Answer { status, headers: reply.headers, body: reply.body, signature: told.signature };
        let raw = RawAnswer { label: told.label, length: told.length, came, answer };
        match handed.answer(raw) {
            Outcome::Answer(answer) if told.counts => {
                let usual = self.asked.times.usual;
                let trip = self.live(|l| {
                    let trip = l.conns.trip.unwrap_or_default();
                    l.learned.answered(took.saturating_sub(trip), usual, now);
                    trip
                });
                let took = Some(took.saturating_sub(trip.unwrap_or_default()));
                Landed { answer: Some(answer), took, ..Landed::new(End::Answered) }
            }
            Outcome::Answer(answer) => {
                let failed = self.failed(Outcome::Unknown(Fault::Upstream));
                Landed { answer: Some(answer), ..failed }
            }
            outcome => self.failed(outcome),
        }
    }

    /// Takes in what the head of an answer tells of the server.
    fn hear(&self, told: &HeadTold, now: Tick) {
        let view = self.tier.view();
        let Some(server) = view.server(self.key) else { return };
        self.tier.domain(&server.report.domain, |d| d.answered());
        let cold_for = view.server_limits(server).cold_duration;
        let run = RunTold { boot: told.boot, held: told.held, draining: told.draining };
        self.live(|l| {
            if let Some((queue, slots)) = told.load {
                l.learned.told(queue, slots, now);
            }
            l.learned.told_run(run, cold_for, now);
        });
    }

    fn not_run(&self, handed: Attempt<Handed>, said: Said, now: Tick) -> Landed {
        let outcome: Outcome<Answer> = handed.said(said);
        let why = if let Outcome::NotRun(refusal) = &outcome { refusal.why() } else { Why::Shed };
        self.live(|l| match why {
            Why::Replaced => l.learned.outlier.eject(now),
            Why::Shed => l.learned.shed(now),
            _ => l.learned.outlier.neither(),
        });
        Landed::new(End::NotRun(why))
    }
}
