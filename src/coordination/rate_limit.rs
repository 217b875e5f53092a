//! The rate that a server in need names for all instances together, and the part of it that this instance uses.
//!
//! The load pattern: a server takes half of what it got until now and says so in its answers, while callers press on as
//! before. Tens or hundreds of instances send to it; each hears of the rate by an answer of its own, and a part of the rate
//! may be less than one request in the seconds over which the server counts. An instance therefore sends at the points of a
//! grid, whose interval is that of its part and whose phase is drawn, and a point that was not used ends soon: the
//! points of all instances are spread evenly, and what they may save up together is the same for any number of them.

use std::time::Duration;

use crate::state::time::Tick;

/// Highest rate that is told apart from no limit, in requests per second; servers name a few or a few thousand.
const MAX_RATE: f64 = 1e9;
/// Rate that is used of a lower one, in requests per second of all instances together: the end of a rate is heard only in
/// an answer, and the users' rule allows five requests in four seconds beside the rate.
const MIN_RATE: f64 = 0.25;
/// Part of the rate that is used, since the phases of instances coincide now and then.
const UTILISATION: f64 = 0.8;
/// What all instances together may save up: this time at the named rate, and [`SAVED_REQUESTS`].
const SAVED_TIME: Duration = Duration::from_secs(1);
/// Requests that all instances together may save up beside those of [`SAVED_TIME`].
const SAVED_REQUESTS: f64 = 1.0;
/// Maximum interval of the grid; a longer one is as good as none, and would exceed the range of a time.
const MAX_INTERVAL: Duration = Duration::from_secs(86_400);
/// Time for which a reserved request may wait for its connection; beyond that, requests that waited would arrive together.
const RESERVATION_TIME: Duration = Duration::from_millis(500);

/// A rate that a server takes from all instances together, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

// it is never NaN
impl Eq for RateLimit {}

impl RateLimit {
    /// Returns the limit of `per_s` requests per second; `None` if that is negative or not a number.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s >= 0.0).then_some(Self(per_s.min(MAX_RATE)))
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }

    /// Returns the rate that all instances together use.
    fn used(self) -> f64 {
        self.0.max(MIN_RATE) * UTILISATION
    }

    /// Returns the interval at which an instance with this share of the limit sends.
    fn interval(self, share: f64) -> Duration {
        let interval = Duration::try_from_secs_f64((self.used() * share).recip());
        interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
    }

    /// Returns how long a point of the grid may be used.
    fn validity(self) -> Duration {
        let saved = self.0.max(MIN_RATE) * SAVED_TIME.as_secs_f64() + SAVED_REQUESTS;
        Duration::from_secs_f64(saved / self.used())
    }
}

/// What one answer says about the rate of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// The rate that it names, if it names one.
    pub named: Option<RateLimit>,
    /// When the request was sent.
    pub sent_at: Tick,
    /// This instance's share of the limit, above 0 and up to 1.
    pub share: f64,
    /// Phase of the grid, drawn evenly from 0 to 1 for each report.
    pub phase: f64,
}

/// The limit that a server names, with the next point of the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Named {
    limit: RateLimit,
    heard_at: Tick,
    next: Tick,
}

/// A request that may be sent to a server within its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Reservation {
    /// Time by which it must be dispatched; `None` if the server named no limit when it was made.
    usable_until: Option<Tick>,
    /// What giving it back puts the grid back by.
    interval: Duration,
}

/// This instance's use of the limit of one run of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitedRate(Option<Named>);

impl LimitedRate {
    /// Records what an answer says and returns whether that changed the limit.
    ///
    /// Answers may be read in another order than they were given: one to a request that was sent before the limit was last
    /// heard may lower it, but neither raises nor ends it.
    pub fn record(&mut self, report: LimitReport, now: Tick) -> bool {
        let LimitReport { named, sent_at, share, phase } = report;
        let before = self.limit();
        self.0 = match (self.0, named) {
            (None, None) => None,
            (None, Some(limit)) => {
                let next = now + limit.interval(share).mul_f64(phase.clamp(0.0, 1.0));
                Some(Named { limit, heard_at: now, next })
            }
            (Some(known), named) if sent_at < known.heard_at => {
                let is_lower = |limit: &RateLimit| *limit < known.limit;
                Some(named.filter(is_lower).map_or(known, |limit| known.changed_to(limit, now)))
            }
            (Some(known), Some(limit)) => Some(known.changed_to(limit, now)),
            (Some(_), None) => None,
        };
        self.limit() != before
    }

    /// Returns the limit that the server names.
    pub fn limit(&self) -> Option<RateLimit> {
        self.0.map(|named| named.limit)
    }

    /// Returns the time from which an instance with this share of the limit may send the next request; `now` or earlier if
    /// it may do so at once.
    pub fn next_at(&self, share: f64, now: Tick) -> Tick {
        self.0.map_or(now, |named| named.next_at(share, now))
    }

    /// Reserves one request, if an instance with this share may send it now.
    pub fn reserve(&mut self, share: f64, now: Tick) -> Option<Reservation> {
        let Some(named) = &mut self.0 else {
            return Some(Reservation { usable_until: None, interval: Duration::ZERO });
        };
        let at = named.next_at(share, now);
        if at > now {
            return None;
        }
        let interval = named.limit.interval(share);
        named.next = at + interval;
        Some(Reservation { usable_until: Some(now + RESERVATION_TIME), interval })
    }

    /// Gives back a reservation whose request was not sent.
    pub fn give_back(&mut self, reservation: Reservation) {
        if let Some(named) = &mut self.0 {
            named.next = named.next - reservation.interval;
        }
    }

    /// Returns whether a reserved request is within the limit: it has not waited for too long, and was not reserved before
    /// the server named a limit.
    pub fn allows(&self, reservation: &Reservation, now: Tick) -> bool {
        self.0.is_none() || reservation.usable_until.is_some_and(|until| now <= until)
    }
}

impl Named {
    /// Changes the limit; the time to the next point becomes longer or shorter with the interval.
    fn changed_to(self, limit: RateLimit, now: Tick) -> Self {
        let left = self.next.since(now).mul_f64(self.limit.used() / limit.used());
        let next = if self.next > now { now + left.min(MAX_INTERVAL) } else { self.next };
        Self { limit, heard_at: now, next }
    }

    /// Returns the first point of the grid that may still be used.
    fn next_at(&self, share: f64, now: Tick) -> Tick {
        let first_valid = now - self.limit.validity();
        if self.next >= first_valid {
            return self.next;
        }
        let interval = self.limit.interval(share).max(Duration::from_micros(1)).as_micros() as u64;
        let missed = first_valid.since(self.next).as_micros() as u64;
        self.next + Duration::from_micros(missed.div_ceil(interval) * interval)
    }
}
