//! What servers ask of the instances that send to them: no request for some time, or none any more.
//!
//! The load pattern: servers in trouble turn requests away and say for how long, or say that they leave, while callers
//! press on. Each refused request goes to another server, and hedges add to it. If those that asked for time are
//! chosen again meanwhile, they never recover, and requests to one that leaves are cut off when it ends.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::coordination::attempt::NotRunCode;
use crate::coordination::rate_limit::{LimitReport, LimitedRate, Reservation};
use crate::state::time::Tick;
use crate::state::topology::ServerReport;

/// Maximum time for which one reply keeps requests from a server; outages of an hour are expected now and then.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Maximum number of runs whose notices are remembered: all servers of a fleet of 4,500, and as many replaced ones.
const MAX_RUNS: usize = 9_000;
/// Time for which a run that drains or named a limit is remembered, well beyond the age of an entry that a restarted
/// instance or a peer may bring back.
const RUN_MEMORY: Duration = Duration::from_secs(600);

/// Time for which a run that drained before it was listed is sent nothing; servers drain for some seconds.
const UNLISTED_DRAINING_TIME: Duration = Duration::from_secs(60);

/// What the head of one reply asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The server is draining; it is to get no more requests.
    pub draining: bool,
    /// The server is to get no requests for this time.
    pub backoff: Option<Duration>,
}

/// When a server may be sent a request, by what it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// Now.
    Now,
    /// From this time on.
    From(Tick),
    /// Never again in this run.
    Never,
}

/// A permit to send one request to a server, which its notices gave; dispatching an attempt takes it.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit(());

/// What one run of a server has asked for so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotices {
    is_draining: bool,
    not_before: Tick,
    rate: LimitedRate,
}

impl ServerNotices {
    /// Records what a reply asks for and returns whether that changed anything.
    ///
    /// Replies may be read in another order than they were sent: the longest time counts, and a run that drains does not
    /// return.
    pub fn record(&mut self, notice: Notice, now: Tick) -> bool {
        let before = *self;
        self.is_draining |= notice.draining;
        if let Some(backoff) = notice.backoff {
            self.not_before = self.not_before.max(now + backoff.min(MAX_BACKOFF));
        }
        before != *self
    }

    /// Records what an answer says about the rate that the server takes, and returns whether that changed the limit.
    pub fn record_limit(&mut self, report: LimitReport, now: Tick) -> bool {
        self.rate.record(report, now)
    }

    /// Returns the rate that the server takes, and this instance's use of it.
    pub fn rate(&self) -> &LimitedRate {
        &self.rate
    }

    /// Reserves one request within the limit of the server, if it may be sent now.
    pub fn reserve(&mut self, now: Tick) -> Option<Reservation> {
        self.rate.reserve(now)
    }

    /// Replaces a reservation that has ended, or that was made before the server named a limit, if another can be made.
    pub fn renew(&mut self, reservation: &mut Reservation, now: Tick) {
        if !self.rate.allows(reservation, now) {
            self.rate.give_back(*reservation);
            *reservation = self.rate.reserve(now).unwrap_or_default();
        }
    }

    /// Gives back a reservation whose request was not sent.
    pub fn give_back(&mut self, reservation: Reservation) {
        self.rate.give_back(reservation);
    }

    /// Permits the dispatch of a reserved request now.
    ///
    /// # Errors
    /// [`NotRunCode::Leaving`] or [`NotRunCode::BackingOff`], by what the server asked for; [`NotRunCode::RateLimited`] if the
    /// reservation has ended, or was made before the server named a limit.
    pub fn permit(&self, reservation: &Reservation, now: Tick) -> Result<SendPermit, NotRunCode> {
        match self.refusal(now) {
            Some(why) => Err(why),
            None if self.rate.allows(reservation, now) => Ok(SendPermit(())),
            None => Err(NotRunCode::RateLimited),
        }
    }

    /// Returns why the server is sent nothing now, by what it asked for apart from its limit; `None` if it may be sent a request.
    pub fn refusal(&self, now: Tick) -> Option<NotRunCode> {
        match self.availability_beside_limit(now) {
            Availability::Now => None,
            Availability::From(_) => Some(NotRunCode::BackingOff),
            Availability::Never => Some(NotRunCode::Leaving),
        }
    }

    /// Returns when the server may be sent a request, by all that it asked for.
    pub fn availability(&self, now: Tick) -> Availability {
        let next_at = self.rate.next_at(now);
        let by_limit = if next_at > now { Availability::From(next_at) } else { Availability::Now };
        self.availability_beside_limit(now).max(by_limit)
    }

    /// Returns when the server may be sent a request, by what it asked for apart from its limit.
    pub fn availability_beside_limit(&self, now: Tick) -> Availability {
        if self.is_draining {
            Availability::Never
        } else if now < self.not_before {
            Availability::From(self.not_before)
        } else {
            Availability::Now
        }
    }

    /// Returns what counts of these notices for a run that was not listed yet when they were heard.
    ///
    /// The network may refuse a connection in place of the server, so that they are of the former run after all; a run
    /// that drains is therefore avoided for some time, in which it ends or states it again elsewhere.
    #[must_use]
    pub fn once_listed(self, now: Tick) -> Self {
        let drained_at = if self.is_draining { now + UNLISTED_DRAINING_TIME } else { now };
        Self {
            is_draining: false,
            not_before: self.not_before.max(drained_at),
            rate: LimitedRate::default(),
        }
    }

    /// Returns whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }
}

/// The listener of a server to which a connection was opened, by its number since the run was listed.
///
/// A run that accepted connections and then refuses one has closed its listener. What accepts connections at the same
/// address later is another run, which may not be listed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerNumber(u32);

impl ListenerNumber {
    /// Returns whether the listener is that of a run after the listed one.
    pub fn is_unlisted(self) -> bool {
        self > Self::default()
    }
}

/// Tells the listeners of a server apart by the results of opening connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Listeners {
    current: ListenerNumber,
    has_accepted: bool,
    has_closed: bool,
}

impl Listeners {
    /// Records an accepted connection and returns the listener that accepted it.
    pub(crate) fn record_accepted(&mut self) -> ListenerNumber {
        if std::mem::take(&mut self.has_closed) {
            self.current.0 += 1;
        }
        self.has_accepted = true;
        self.current
    }

    /// Records that the address has no listener.
    pub(crate) fn record_refused(&mut self) {
        self.has_closed |= self.has_accepted;
    }

    /// Returns the last listener that accepted a connection.
    pub(crate) fn current(&self) -> ListenerNumber {
        self.current
    }
}

/// Identifies one run of a server, whether or not it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunId {
    id: String,
    started_at_ms: u64,
    addr: SocketAddr,
}

impl RunId {
    /// Returns the identity of the reported run; `None` if its start is not reported, since a new run would have the same.
    pub fn of(report: &ServerReport) -> Option<Self> {
        let started_at_ms = report.started_at_ms?;
        Some(Self { id: report.id.clone(), started_at_ms, addr: report.addr })
    }

    /// Returns the identity of the server.
    pub fn server_id(&self) -> &str {
        &self.id
    }

    /// Returns whether this is a later run of the same server at the same address.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.id == other.id && self.addr == other.addr && self.started_at_ms > other.started_at_ms
    }
}

/// The notices of runs beyond their entries: one that is listed again, by an old list or a peer, has asked for the same.
#[derive(Clone, Debug, Default)]
pub struct NoticeMemory {
    runs: IndexMap<RunId, (ServerNotices, Tick)>,
}

impl NoticeMemory {
    /// Remembers the notices of a run.
    pub fn record(&mut self, run: RunId, notices: ServerNotices, now: Tick) {
        if self.runs.len() >= MAX_RUNS && !self.runs.contains_key(&run) {
            self.forget(now);
        }
        self.runs.insert(run, (notices, now));
    }

    /// Returns what a run asked for.
    pub fn get(&self, run: &RunId) -> Option<ServerNotices> {
        self.runs.get(run).map(|(notices, _)| *notices)
    }

    /// Returns whether any run has asked for anything.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Drops what no longer counts, and the oldest half of what is left if there is still no space.
    pub fn forget(&mut self, now: Tick) {
        self.runs.retain(|_, (notices, at)| match notices.availability_beside_limit(now) {
            Availability::Now => notices.rate.limit().is_some() && now.since(*at) < RUN_MEMORY,
            Availability::From(_) => true,
            Availability::Never => now.since(*at) < RUN_MEMORY,
        });
        if self.runs.len() >= MAX_RUNS {
            self.runs.drain(..MAX_RUNS / 2);
        }
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }
}
