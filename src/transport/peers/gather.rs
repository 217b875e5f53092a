//! Requests over shards that are handed to another instance, which gathers their parts.
//!
//! Links to gatherers are opened and tried in the background: a request takes only one that is up. A
//! gatherer that lost a request is left out until it answers a ping.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

use futures::future::{BoxFuture, join_all};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tarpc::client::RpcError;
use tarpc::context;

use crate::coordination::gatherers::GatherRefusal;
use crate::protocol::gather::{Query, QueryEnd};
use crate::state::members::Member;
use crate::state::time::Tick;
use crate::transport::peers::Peers;
use crate::transport::peers::links::Link;

/// Time between two rounds of opening and trying links to gatherers.
const ROUND: Duration = Duration::from_millis(500);
/// Time after its last use from which a gatherer's link is no longer kept up.
const UNUSED: Duration = Duration::from_secs(20);
/// Time beyond the answer's due time after which the gatherer is asked whether it is there.
const OVERDUE: Duration = Duration::from_millis(15);
/// Longest time for a gatherer's answer to a ping, beside the round trip.
const PING: Duration = Duration::from_millis(100);
/// Delay of a message beyond the least on its link from which on it is too old to act on.
const STALE: Duration = Duration::from_millis(500);

/// What gathers requests for peers.
pub trait GatherHandler: Send + Sync + 'static {
    /// Gathers a request that came `age` after it was sent, beyond the link's least delay.
    fn gather(self: Arc<Self>, query: Query, age: Duration) -> BoxFuture<'static, QueryEnd>;
}

/// Why a request that was handed on has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// The link broke; the request may be at work.
    Broken,
    /// The gatherer is silent; the request may be at work.
    Silent,
}

/// Whether a gatherer is left out.
#[derive(Clone, Copy, Debug)]
enum Left {
    No,
    Until(Tick),
    UntilPing,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    used: Tick,
    left: Left,
}

/// The gatherers that this instance uses.
#[derive(Debug, Default)]
pub(crate) struct Gatherers(Mutex<IndexMap<SocketAddr, Wanted>>);

impl Gatherers {
    /// Notes that a gatherer is wanted; says whether it may be used.
    fn want(&self, addr: SocketAddr, now: Tick) -> bool {
        let mut all = self.0.lock();
        let wanted = all.entry(addr).or_insert(Wanted { used: now, left: Left::No });
        wanted.used = now;
        match wanted.left {
            Left::No => true,
            Left::Until(end) => now >= end,
            Left::UntilPing => false,
        }
    }

    fn leave_out(&self, addr: SocketAddr, left: Left) {
        if let Some(wanted) = self.0.lock().get_mut(&addr) {
            wanted.left = left;
        }
    }

    fn is_back(&self, addr: SocketAddr) -> bool {
        let mut all = self.0.lock();
        let left = all.get_mut(&addr).map(|w| std::mem::replace(&mut w.left, Left::No));
        matches!(left, Some(Left::UntilPing))
    }

    /// Returns the gatherers in use and whether each is to be pinged.
    fn in_use(&self, now: Tick) -> Vec<(SocketAddr, bool)> {
        let mut all = self.0.lock();
        all.retain(|_, w| now.since(w.used) < UNUSED);
        all.iter().map(|(addr, w)| (*addr, matches!(w.left, Left::UntilPing))).collect()
    }
}

/// A gatherer with a link that is up.
pub(crate) struct Gatherer {
    peers: Arc<Peers>,
    link: Arc<Link>,
    member: Member,
}

impl Peers {
    /// Sets what gathers requests for peers.
    pub fn set_gather_handler(&self, gather: Arc<dyn GatherHandler>) {
        if self.gather_handler.set(gather).is_err() {
            log::error!("requests of peers are gathered already");
        }
    }

    /// Draws one of `members` whose link is up and that is not left out.
    pub(crate) fn gatherer(self: &Arc<Self>, members: &[&Member]) -> Option<Gatherer> {
        let now = self.now();
        let up = |m: &&Member| {
            let usable = self.gatherers.want(m.addr, now) && !self.faults.cuts_peer(m.addr);
            let link = usable.then(|| self.links.up(m.addr)).flatten()?;
            Some(Gatherer { peers: self.clone(), link, member: (*m).clone() })
        };
        let mut usable: Vec<Gatherer> = members.iter().filter_map(up).collect();
        let places: Vec<usize> = (0..usable.len()).collect();
        let place = places.choose(&mut rand::rng())?;
        Some(usable.swap_remove(*place))
    }

    /// Gathers a request for the peer at the other end of a link with these delays.
    pub(crate) async fn gather_for(&self, query: Query, delays: &Delays) -> QueryEnd {
        let age = delays.age(query.sent, self.now());
        match self.gather_handler.get() {
            Some(_) if age >= STALE => QueryEnd::NotTaken(GatherRefusal::Late),
            Some(gather) => gather.clone().gather(query, age).await,
            None => QueryEnd::NotTaken(GatherRefusal::Unfit),
        }
    }
}

impl Gatherer {
    /// Returns its name, for logs.
    pub(crate) fn name(&self) -> &str {
        self.member.id.name()
    }

    /// Returns the time now by the clock of links.
    pub(crate) fn now(&self) -> Tick {
        self.peers.now()
    }

    /// Returns the time that a message takes there and its answer back.
    pub(crate) fn trip(&self) -> Duration {
        self.link.rtt()
    }

    /// Hands a request on; its answer is due at the end of `query.soft`.
    ///
    /// When the caller of this function is dropped, the gatherer stops too.
    pub(crate) async fn hand(&self, query: Query) -> Result<QueryEnd, Lost> {
        let due = query.soft + self.trip() + OVERDUE;
        let mut cx = context::current();
        cx.deadline = Instant::now() + query.hard + self.trip() + OVERDUE;
        let call = self.link.client.gather(cx, query);
        let mut call = std::pin::pin!(call);
        if let Ok(ended) = tokio::time::timeout(due, call.as_mut()).await {
            return self.note(ended);
        }
        tokio::select! {
            ended = call.as_mut() => self.note(ended),
            there = ping(&self.link) => {
                if there {
                    return self.note(call.await);
                }
                self.lost(Lost::Silent)
            }
        }
    }

    fn note(&self, ended: Result<QueryEnd, RpcError>) -> Result<QueryEnd, Lost> {
        match ended {
            Ok(end) => {
                self.link.heard(None);
                if let QueryEnd::NotTaken(why) = &end {
                    self.not_taken(*why);
                }
                Ok(end)
            }
            Err(RpcError::DeadlineExceeded) => self.lost(Lost::Silent),
            Err(_) => self.lost(Lost::Broken),
        }
    }

    fn not_taken(&self, why: GatherRefusal) {
        let until = self.peers.now() + why.exclusion_time();
        self.peers.gatherers.leave_out(self.member.addr, Left::Until(until));
        if why.invalidates_link_delay() {
            self.peers.links.close(&[self.member.addr]);
        }
    }

    fn lost(&self, lost: Lost) -> Result<QueryEnd, Lost> {
        self.peers.gatherers.leave_out(self.member.addr, Left::UntilPing);
        self.peers.links.close(&[self.member.addr]);
        let (gatherer, domain) = (self.name(), self.member.domain.as_str());
        log::warn!(gatherer, domain, lost:? = lost; "gatherer left out");
        Err(lost)
    }
}

async fn ping(link: &Link) -> bool {
    let mut cx = context::current();
    let (started, limit) = (Instant::now(), PING + link.rtt());
    cx.deadline = started + limit;
    let there = tokio::time::timeout(limit, link.client.ping(cx)).await;
    let there = there.is_ok_and(|answer| answer.is_ok());
    if there {
        link.heard(Some(started.elapsed()));
    }
    there
}

/// Keeps links to the gatherers in use up, and tries those that are left out.
pub async fn maintain_links(peers: Arc<Peers>) {
    loop {
        tokio::time::sleep(ROUND).await;
        let all = peers.gatherers.in_use(peers.now());
        join_all(all.into_iter().map(|(addr, tried)| try_link(&peers, addr, tried))).await;
    }
}

async fn try_link(peers: &Arc<Peers>, addr: SocketAddr, tried: bool) {
    let Ok(link) = peers.link(addr).await else { return };
    let unknown = link.rtt().is_zero();
    if (tried || unknown) && ping(&link).await && peers.gatherers.is_back(addr) {
        let gatherer = addr.to_string();
        log::info!(gatherer = gatherer.as_str(); "gatherer answers again");
    }
}

/// The least delay of the messages of one link, by the clocks of its two ends.
#[derive(Debug)]
pub(crate) struct Delays(AtomicI64);

impl Default for Delays {
    fn default() -> Self {
        Self(AtomicI64::new(i64::MAX))
    }
}

impl Delays {
    /// Returns how much longer than the fastest one a message took.
    fn age(&self, sent: Tick, came: Tick) -> Duration {
        let delay = came.0 as i64 - sent.0 as i64;
        let least = self.0.fetch_min(delay, Ordering::Relaxed).min(delay);
        Duration::from_micros((delay - least) as u64)
    }
}
