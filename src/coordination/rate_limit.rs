//! The rate that a server in need names for all instances together, and the part of it that this instance uses.
//!
//! The load pattern: a server takes half of what it got until now and says so in its answers, while callers press on as
//! before. Tens or hundreds of instances send to it; each hears of the rate by an answer of its own, and a part of the rate
//! may be less than one request in the seconds over which the server counts. An instance therefore sends at the points of a
//! grid over the time of day, whose interval is that of its part. Instances that know of the same members have places that
//! are spread evenly over the interval; clocks and views that differ move single instances. A point that was not used ends
//! soon, so that what all may save up together is the same for any number of them.

use std::time::Duration;

use crate::state::time::Tick;

/// Highest rate that is told apart from no limit, in requests per second; servers name a few or a few thousand.
const MAX_RATE: f64 = 1e9;
/// Rate that is used of a lower one, in requests per second of all instances together: the end of a rate is heard only in
/// an answer, and the users' rule allows five requests in four seconds beside the rate.
const MIN_RATE: f64 = 0.25;
/// Part of the rate that is used, since the points of instances whose clocks or views differ may coincide.
const UTILISATION: f64 = 0.9;
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

/// This instance's place among those that share the limits of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitPart {
    /// Its share of a limit, above 0 and up to 1.
    pub share: f64,
    /// Its place among the instances with the same share, from 0 to 1, spread evenly.
    pub place: f64,
    /// The time of day, as the time since the Unix epoch.
    pub time_of_day: Duration,
}

/// What one answer says about the rate of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The rate that it names, if it names one, and this instance's part of it.
    pub named: Option<(RateLimit, LimitPart)>,
    /// When the request was sent.
    pub sent_at: Tick,
}

/// The limit that a server names, with the next point of the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Named {
    limit: RateLimit,
    interval: Duration,
    heard_at: Tick,
    next: Tick,
}

/// A request that may be sent to a server within its limit; the default one ends as soon as the server names a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
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
        let LimitReport { named, sent_at } = report;
        let before = self.limit();
        self.0 = match (self.0, named) {
            (None, named) => named.map(|(limit, part)| Named::new(limit, part, now)),
            (Some(known), Some((limit, part)))
                if sent_at >= known.heard_at || limit < known.limit =>
            {
                Some(known.changed_to(limit, part, now))
            }
            (Some(known), None) if sent_at >= known.heard_at => None,
            (Some(known), _) => Some(known),
        };
        self.limit() != before
    }

    /// Returns the limit that the server names.
    pub fn limit(&self) -> Option<RateLimit> {
        self.0.map(|named| named.limit)
    }

    /// Returns this instance's part of the limit, in requests per second.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.0.map(|named| named.interval.as_secs_f64().recip())
    }

    /// Returns the time from which the next request may be sent; `now` or earlier if it may be sent at once.
    pub fn next_at(&self, now: Tick) -> Tick {
        self.0.map_or(now, |named| named.next_at(now))
    }

    /// Reserves one request, if one may be sent now.
    pub fn reserve(&mut self, now: Tick) -> Option<Reservation> {
        let Some(named) = &mut self.0 else { return Some(Reservation::default()) };
        let at = named.next_at(now);
        if at > now {
            return None;
        }
        named.next = at + named.interval;
        Some(Reservation { usable_until: Some(now + RESERVATION_TIME), interval: named.interval })
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
    fn new(limit: RateLimit, part: LimitPart, now: Tick) -> Self {
        let interval = limit.interval(part.share);
        let next = now + time_to_point(interval, part);
        Self { limit, interval, heard_at: now, next }
    }

    /// Changes the limit or the share.
    ///
    /// The wait for the next point changes as the interval does, to the nearest point of the new grid: a limit that changes
    /// with each answer would otherwise give a new chance of an early point each time.
    fn changed_to(self, limit: RateLimit, part: LimitPart, now: Tick) -> Self {
        let interval = limit.interval(part.share);
        if interval == self.interval {
            return Self { limit, heard_at: now, ..self };
        }
        let ratio = interval.as_secs_f64() / self.interval.as_secs_f64();
        let wait = self.next.since(now).mul_f64(ratio).min(MAX_INTERVAL);
        let time_of_day = part.time_of_day + wait;
        let to_point = time_to_point(interval, LimitPart { time_of_day, ..part });
        let next = now + wait + to_point;
        let next = if to_point > interval / 2 { next - interval } else { next };
        Self { limit, interval, heard_at: now, next }
    }

    /// Returns the first point of the grid that may still be used.
    fn next_at(&self, now: Tick) -> Tick {
        let first_valid = now - self.limit.validity();
        if self.next >= first_valid {
            return self.next;
        }
        let interval = self.interval.as_micros().max(1) as u64;
        let missed = first_valid.since(self.next).as_micros() as u64;
        self.next + Duration::from_micros(missed.div_ceil(interval) * interval)
    }
}

/// Returns the time until the next point of the grid.
fn time_to_point(interval: Duration, part: LimitPart) -> Duration {
    let turns = part.time_of_day.as_secs_f64() / interval.as_secs_f64().max(1e-6);
    interval.mul_f64((part.place - turns).rem_euclid(1.0))
}
