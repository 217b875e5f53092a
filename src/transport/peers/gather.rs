//! Forwarding of sharded requests to another instance, the gatherer, which gathers their parts.
//!
//! Links to gatherers are opened and probed in the background; a request only uses a link that is
//! already open. A gatherer that failed a request is excluded until it answers a ping.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{BoxFuture, join_all};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tarpc::client::RpcError;
use tarpc::context;

use crate::coordination::gatherers::GatherRefusal;
use crate::protocol::gather::{GatherRequest, GatherResult};
use crate::state::members::Member;
use crate::state::time::Tick;
use crate::transport::peers::Peers;
use crate::transport::peers::links::Link;

/// Interval at which links to gatherers are opened and probed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time since its last use after which a gatherer's link is no longer maintained.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time past the expected answer after which the gatherer is pinged.
const ANSWER_GRACE: Duration = Duration::from_millis(15);
/// Timeout of a ping to a gatherer, on top of the round trip.
const PING_TIMEOUT: Duration = Duration::from_millis(100);
/// Age of a message from which it is refused as too old.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(500);
/// Error of the estimate of a gatherer's clock from which it is pinged to improve it.
const CLOCK_ERROR_TOLERANCE: Duration = Duration::from_millis(10);

/// A handler that gathers requests for peers.
pub trait GatherHandler: Send + Sync + 'static {
    /// Gathers a request that was sent `age` ago.
    fn gather(
        self: Arc<Self>,
        request: GatherRequest,
        age: Duration,
    ) -> BoxFuture<'static, GatherResult>;
}

/// Why a forwarded request has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GatherFailure {
    /// The link broke; the request may still be running.
    Broken,
    /// The gatherer does not respond; the request may still be running.
    Silent,
}

/// Whether and for how long a gatherer is excluded from selection.
#[derive(Clone, Copy, Debug)]
enum Exclusion {
    No,
    Until(Tick),
    UntilPing,
}

#[derive(Clone, Copy, Debug)]
struct GathererRecord {
    last_used: Tick,
    exclusion: Exclusion,
}

/// The gatherers in use by this instance, by address.
#[derive(Debug, Default)]
pub(crate) struct Gatherers(Mutex<IndexMap<SocketAddr, GathererRecord>>);

impl Gatherers {
    /// Records the use of a gatherer and returns whether it is not excluded.
    fn record_use(&self, addr: SocketAddr, now: Tick) -> bool {
        let mut all = self.0.lock();
        let record =
            all.entry(addr).or_insert(GathererRecord { last_used: now, exclusion: Exclusion::No });
        record.last_used = now;
        match record.exclusion {
            Exclusion::No => true,
            Exclusion::Until(end) => now >= end,
            Exclusion::UntilPing => false,
        }
    }

    fn exclude(&self, addr: SocketAddr, exclusion: Exclusion) {
        if let Some(record) = self.0.lock().get_mut(&addr) {
            record.exclusion = exclusion;
        }
    }

    /// Ends the exclusion of a gatherer; returns whether it was waiting for a ping.
    fn readmit(&self, addr: SocketAddr) -> bool {
        let mut all = self.0.lock();
        let previous =
            all.get_mut(&addr).map(|r| std::mem::replace(&mut r.exclusion, Exclusion::No));
        matches!(previous, Some(Exclusion::UntilPing))
    }

    /// Returns the gatherers in use, each with whether it is excluded until a ping; drops unused ones.
    fn in_use(&self, now: Tick) -> Vec<(SocketAddr, bool)> {
        let mut all = self.0.lock();
        all.retain(|_, r| now.since(r.last_used) < LINK_IDLE_TIMEOUT);
        all.iter().map(|(addr, r)| (*addr, matches!(r.exclusion, Exclusion::UntilPing))).collect()
    }
}

/// A gatherer with an open link.
pub(crate) struct Gatherer {
    peers: Arc<Peers>,
    link: Arc<Link>,
    member: Member,
}

impl Peers {
    /// Sets the handler that gathers requests for peers; it can be set once.
    pub fn set_gather_handler(&self, handler: Arc<dyn GatherHandler>) {
        if self.gather_handler.set(handler).is_err() {
            log::error!("the gather handler is already set; ignoring another one");
        }
    }

    /// Picks a random member among the first `width` of `members` that are not excluded or in `refused` and have an open
    /// link; `None` if that is this instance.
    pub(crate) fn pick_gatherer(
        self: &Arc<Self>,
        members: &[&Member],
        width: usize,
        refused: &[SocketAddr],
    ) -> Option<Gatherer> {
        let usable = members.iter().filter_map(|m| self.usable_gatherer(m, refused));
        let mut usable: Vec<Option<Gatherer>> = usable.collect();
        usable.truncate(width);
        let indices: Vec<usize> = (0..usable.len()).collect();
        let index = indices.choose(&mut rand::rng())?;
        usable.swap_remove(*index)
    }

    /// Returns the first of `members` that is not excluded or in `refused` and has an open link; the inner `None` is this
    /// instance. The links to all of them are kept open.
    pub(crate) fn first_gatherer<'a>(
        self: &Arc<Self>,
        members: impl Iterator<Item = &'a Member>,
        refused: &[SocketAddr],
    ) -> Option<Option<Gatherer>> {
        members.fold(None, |first, member| {
            let usable = self.usable_gatherer(member, refused);
            first.or(usable)
        })
    }

    /// Records the use of a gatherer, and returns it if it can be used now; the inner `None` is this instance.
    fn usable_gatherer(
        self: &Arc<Self>,
        member: &Member,
        refused: &[SocketAddr],
    ) -> Option<Option<Gatherer>> {
        if member.addr == self.opts.me.addr {
            return Some(None);
        }
        let is_usable = self.gatherers.record_use(member.addr, self.now())
            && !self.faults.is_peer_cut(member.addr)
            && !refused.contains(&member.addr);
        let link = is_usable.then(|| self.links.get_open(member.addr)).flatten()?;
        Some(Some(Gatherer { peers: self.clone(), link, member: member.clone() }))
    }

    /// Gathers a request from a peer; refuses it if it was sent too long ago.
    pub(crate) async fn gather_for_peer(&self, request: GatherRequest) -> GatherResult {
        let age = self.now().since(request.sent);
        match self.gather_handler.get() {
            Some(_) if age >= MAX_MESSAGE_AGE => GatherResult::NotTaken(GatherRefusal::Late),
            Some(handler) => handler.clone().gather(request, age).await,
            None => GatherResult::NotTaken(GatherRefusal::Unfit),
        }
    }
}

impl Gatherer {
    /// Returns the name of the instance.
    pub(crate) fn name(&self) -> &str {
        self.member.id.name()
    }

    /// Returns the failure domain of the instance.
    pub(crate) fn domain(&self) -> &str {
        &self.member.domain
    }

    /// Returns the address of its peer listener.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.member.addr
    }

    /// Returns the gatherer's current time, as this instance estimates it.
    pub(crate) fn time(&self) -> Tick {
        self.link.peer_time()
    }

    /// Returns the round-trip time of the link.
    pub(crate) fn round_trip(&self) -> Duration {
        self.link.round_trip()
    }

    /// Forwards a request; its answer is expected at the end of `request.soft`.
    ///
    /// If the answer is overdue, the gatherer is pinged, and the request fails if the ping fails. Dropping
    /// the returned future cancels the request at the gatherer.
    pub(crate) async fn forward(
        &self,
        request: GatherRequest,
    ) -> Result<GatherResult, GatherFailure> {
        let answer_timeout = request.soft + self.round_trip() + ANSWER_GRACE;
        let mut cx = context::current();
        cx.deadline = Instant::now() + request.hard + self.round_trip() + ANSWER_GRACE;
        let call = self.link.client.gather(cx, request);
        let mut call = std::pin::pin!(call);
        if let Ok(result) = tokio::time::timeout(answer_timeout, call.as_mut()).await {
            return self.record_result(result);
        }
        tokio::select! {
            result = call.as_mut() => self.record_result(result),
            alive = ping(&self.link) => {
                if alive {
                    return self.record_result(call.await);
                }
                self.record_failure(GatherFailure::Silent)
            }
        }
    }

    fn record_result(
        &self,
        result: Result<GatherResult, RpcError>,
    ) -> Result<GatherResult, GatherFailure> {
        match result {
            Ok(end) => {
                self.link.record_response(None);
                if let GatherResult::NotTaken(refusal) = &end {
                    self.record_refusal(*refusal);
                }
                Ok(end)
            }
            Err(RpcError::DeadlineExceeded) => self.record_failure(GatherFailure::Silent),
            Err(_) => self.record_failure(GatherFailure::Broken),
        }
    }

    fn record_refusal(&self, refusal: GatherRefusal) {
        let end = self.peers.now() + refusal.exclusion_time();
        self.peers.gatherers.exclude(self.member.addr, Exclusion::Until(end));
        if refusal.invalidates_clock() {
            self.peers.links.close(&[self.member.addr]);
        }
    }

    fn record_failure(&self, failure: GatherFailure) -> Result<GatherResult, GatherFailure> {
        self.peers.gatherers.exclude(self.member.addr, Exclusion::UntilPing);
        self.peers.links.close(&[self.member.addr]);
        let (gatherer, domain) = (self.name(), self.member.domain.as_str());
        log::warn!(gatherer, domain, lost:? = failure; "gatherer excluded until it answers a ping");
        Err(failure)
    }
}

async fn ping(link: &Link) -> bool {
    link.ping(PING_TIMEOUT + link.round_trip()).await
}

/// Keeps the links to the gatherers in use open, and pings the excluded ones.
pub async fn maintain_links(peers: Arc<Peers>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let in_use = peers.gatherers.in_use(peers.now());
        join_all(
            in_use.into_iter().map(|(addr, is_excluded)| maintain_link(&peers, addr, is_excluded)),
        )
        .await;
    }
}

async fn maintain_link(peers: &Arc<Peers>, addr: SocketAddr, is_excluded: bool) {
    let Ok(link) = peers.link(addr).await else { return };
    let is_clock_inaccurate = link.peer_time_error() > CLOCK_ERROR_TOLERANCE;
    if (is_excluded || is_clock_inaccurate) && ping(&link).await && peers.gatherers.readmit(addr) {
        let gatherer = addr.to_string();
        log::info!(gatherer = gatherer.as_str(); "gatherer answers pings again; exclusion ended");
    }
}
