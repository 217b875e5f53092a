//! Heartbeats between instances: leases renewed, versions compared, changes pushed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::RngExt;
use rand::seq::IndexedRandom;
use tarpc::context;

use crate::coordination::leases::{Ask, Verdict};
use crate::coordination::tickets::Head;
use crate::protocol::peer::{Beat, BeatReply, PeerClient, Ramped, Release};
use crate::state::members::Rosters;
use crate::state::roster::{Bucket, Member};
use crate::transport::node::{Node, Phase};
use crate::transport::steward;

/// Time between heartbeats.
pub(crate) const BEAT: Duration = Duration::from_millis(400);
/// Longest time for a heartbeat.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time to fetch or push a configuration.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an instance that waits to become a member is remembered.
const WAITS: Duration = Duration::from_secs(5);
/// Peers of one other failure domain that a change is pushed to.
const PUSH_FAR: usize = 2;

/// Sends heartbeats until the process ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let started = Instant::now();
        round(&node).await;
        give_back(&node).await;
        align_gates(&node);
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(BEAT.mul_f64(jitter).saturating_sub(started.elapsed())).await;
    }
}

async fn round(node: &Arc<Node>) {
    let asks = node.leases.lock().asks(node.now());
    grant_own(node, &asks);
    let near = near_members(node).into_iter().map(|m| (m, asks.clone()));
    let far = far_members(node).into_iter().map(|m| (m, Vec::new()));
    // a slow peer must not delay the next round's leases
    let beats = near.chain(far).map(|(m, asks)| tokio::spawn(beat(node.clone(), m.addr, asks)));
    let all = join_all(beats);
    let _ = tokio::time::timeout(BEAT, all).await;
}

fn grant_own(node: &Node, asks: &[Ask]) {
    let now = node.now();
    let mut leases = node.leases.lock();
    for ask in asks {
        let verdict = leases.grant(ask, now);
        leases.answered(&node.me.id, ask, &verdict, now);
    }
}

fn near_members(node: &Node) -> Vec<Member> {
    let rosters = node.rosters();
    let mut members: Vec<_> = rosters
        .get(&node.cfg.domain)
        .into_iter()
        .flat_map(|r| &r.entries)
        .map(|e| e.member.clone())
        .collect();
    members.retain(|m| m.id != node.me.id);
    members
}

/// Picks one instance of each other failure domain, and a seed when nobody is known.
fn far_members(node: &Node) -> Vec<Member> {
    let rosters = node.rosters();
    let listed = node.listed.lock().clone();
    let known: Vec<Member> =
        rosters.members().cloned().chain(listed).filter(|m| m.id != node.me.id).collect();
    let mut domains: Vec<&String> = known.iter().map(|m| &m.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let mut rng = rand::rng();
    let mut picked: Vec<Member> = domains
        .into_iter()
        .filter(|d| **d != node.cfg.domain || !rosters.0.contains_key(*d))
        .filter_map(|d| {
            let there: Vec<_> = known.iter().filter(|m| m.domain == *d).collect();
            there.choose(&mut rng).map(|m| (*m).clone())
        })
        .collect();
    if known.is_empty()
        && let Some(addr) = node.cfg.seeds.choose(&mut rng)
    {
        picked.push(Member { id: Default::default(), domain: String::new(), addr: *addr });
    }
    picked
}

fn context_for(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + limit;
    cx
}

async fn beat(node: Arc<Node>, addr: SocketAddr, asks: Vec<Ask>) {
    let Ok(link) = node.link(addr).await else { return };
    let rosters = node.rosters().stamps();
    let (stamp, member) = {
        let leases = node.leases.lock();
        (leases.roster().stamp(), leases.roster().has(&node.me.id))
    };
    let waiting = !member && *node.phase.read() != Phase::Leaving;
    let beat = Beat {
        from: node.me.clone(),
        asks: asks.iter().map(|ask| ask.bucket).collect(),
        stamp,
        at: asks.first().map_or(node.now(), |ask| ask.at),
        config: node.catalog().version(),
        waiting,
        rosters,
    };
    node.metrics.control_calls.with_label_values(&["beat"]).inc();
    let asked = node.now();
    let reply = link.client.beat(context_for(TIMEOUT), beat).await;
    if let Ok(reply) = reply {
        link.heard(Some(node.now().since(asked)));
        take_reply(&node, &link.client, &asks, reply).await;
    }
}

async fn take_reply(node: &Arc<Node>, peer: &PeerClient, asks: &[Ask], reply: BeatReply) {
    let now = node.now();
    node.seen.lock().heard(&reply.from, now);
    {
        let mut leases = node.leases.lock();
        leases.heard(&reply.from, reply.stamp, now);
        for (ask, verdict) in asks.iter().zip(&reply.verdicts) {
            leases.answered(&reply.from, ask, verdict, now);
        }
    }
    node.take_rosters(&reply.rosters);
    if reply.config > node.catalog().version() {
        let have = node.catalog().version();
        node.metrics.control_calls.with_label_values(&["head"]).inc();
        if let Ok(Some(head)) = peer.head(context_for(HEAD_TIMEOUT), have).await {
            adopt_and_push(node, head);
        }
    }
}

/// Answers a heartbeat.
pub(crate) fn take_beat(node: &Arc<Node>, beat: Beat) -> BeatReply {
    let now = node.now();
    node.seen.lock().heard(&beat.from.id, now);
    if beat.waiting {
        let mut waiting = node.waiting.lock();
        waiting.retain(|_, (_, at)| now.since(*at) < WAITS);
        waiting.insert(beat.from.id.clone(), (beat.from.clone(), now));
    }
    let (verdicts, stamp) = grant_all(node, &beat);
    if beat.config > node.catalog().version() {
        tokio::spawn(fetch_from(node.clone(), beat.from.addr));
    }
    BeatReply {
        from: node.me.id.clone(),
        verdicts,
        stamp,
        config: node.catalog().version(),
        rosters: node.rosters().other_than(&beat.rosters),
    }
}

fn grant_all(node: &Node, beat: &Beat) -> (Vec<Verdict>, u64) {
    let now = node.now();
    let mut leases = node.leases.lock();
    if beat.from.domain == node.cfg.domain {
        leases.heard(&beat.from.id, beat.stamp, now);
    }
    let ask = |bucket: &Bucket| Ask {
        bucket: *bucket,
        holder: beat.from.id.clone(),
        stamp: beat.stamp,
        at: beat.at,
    };
    let verdicts = beat.asks.iter().map(|b| leases.grant(&ask(b), now)).collect();
    (verdicts, leases.roster().stamp())
}

async fn fetch_from(node: Arc<Node>, addr: SocketAddr) {
    let Some(peer) = node.peer(addr).await else { return };
    let have = node.catalog().version();
    if let Ok(Some(head)) = peer.head(context_for(HEAD_TIMEOUT), have).await {
        adopt_and_push(&node, head);
    }
}

/// Puts a configuration in force and, if it is new here, pushes it on.
pub(crate) fn adopt_and_push(node: &Arc<Node>, head: Head) {
    if node.adopt(head.clone()) {
        pump_all(node);
        tokio::spawn(push(node.clone(), head));
    }
}

fn pump_all(node: &Arc<Node>) {
    let mut keys = Vec::new();
    node.gates.for_each(|key, _| keys.push(key));
    keys.into_iter().for_each(|key| steward::pump(node, key));
}

async fn push(node: Arc<Node>, head: Head) {
    let mut targets = near_members(&node);
    let rosters = node.rosters();
    for (domain, roster) in &rosters.0 {
        if *domain != node.cfg.domain {
            let far: Vec<_> = roster.entries.iter().map(|e| e.member.clone()).collect();
            targets.extend(far.sample(&mut rand::rng(), PUSH_FAR).cloned());
        }
    }
    let send = async |m: Member| {
        if let Some(peer) = node.peer(m.addr).await {
            node.metrics.control_calls.with_label_values(&["push"]).inc();
            let _ = peer.push(context_for(HEAD_TIMEOUT), head.clone()).await;
        }
    };
    join_all(targets.into_iter().map(send)).await;
}

/// Brings every gate in line with the lease of its bucket, and lets waiting requests go or fail.
pub(crate) fn align_gates(node: &Arc<Node>) {
    let catalog = node.catalog();
    let mut keys = Vec::new();
    node.gates.for_each(|key, _| keys.push(key));
    for key in keys {
        let Some(up) = catalog.upstream(key) else { continue };
        let (lease, now) = (node.lease(key), node.now());
        node.gates.with(key, |gate| node.align(gate, &up.name, lease, now));
        steward::pump(node, key);
    }
}

/// Gives back the buckets that this instance should no longer hold, once nothing runs there.
pub(crate) async fn give_back(node: &Arc<Node>) {
    let buckets = node.leases.lock().to_release();
    let mut releases = Vec::new();
    for bucket in buckets {
        if let Some(ramps) = ramps_of(node, bucket) {
            let at = node.now();
            node.leases.lock().release(bucket, at);
            releases.push(Release { bucket, holder: node.me.id.clone(), at, ramps });
        }
    }
    if releases.is_empty() {
        return;
    }
    let tell = async |m: Member| {
        if let Some(peer) = node.peer(m.addr).await {
            let _ = peer.release(context_for(TIMEOUT), releases.clone()).await;
        }
    };
    join_all(near_members(node).into_iter().map(tell)).await;
}

/// Returns the ramps of a bucket's upstreams, or nothing while a request runs at one of them.
fn ramps_of(node: &Node, bucket: Bucket) -> Option<Vec<Ramped>> {
    let catalog = node.catalog();
    let mut ramps = Vec::new();
    for (key, _) in node
        .owners()
        .iter()
        .filter(|(_, o)| o.bucket == bucket && o.member.domain == node.cfg.domain)
    {
        let Some(up) = catalog.upstream(*key) else { continue };
        let state = node.gates.with(*key, |gate| (gate.running(), gate.handover()));
        if let Some((running, (answered, boot))) = state {
            if running > 0 {
                return None;
            }
            ramps.push(Ramped { upstream: up.name.clone(), answered, boot });
        }
    }
    Some(ramps)
}

/// Takes in that buckets were given back, and asks for them at once where this instance may.
pub(crate) fn take_release(node: &Arc<Node>, releases: Vec<Release>) {
    let now = node.now();
    for release in releases {
        node.leases.lock().released(release.bucket, &release.holder, release.at);
        node.holders.lock().shift_remove(&(node.cfg.domain.clone(), release.bucket));
        let mut ramps = node.ramps.lock();
        for ramp in release.ramps {
            ramps.insert(ramp.upstream.clone(), (ramp, now));
        }
    }
    let node = node.clone();
    tokio::spawn(async move { round(&node).await });
}

/// Tells the members of this failure domain of changed rosters.
pub(crate) async fn tell_rosters(node: &Arc<Node>, rosters: Rosters) {
    let tell = async |m: Member| {
        if let Some(peer) = node.peer(m.addr).await {
            let _ = peer.rosters(context_for(TIMEOUT), rosters.clone()).await;
        }
    };
    join_all(near_members(node).into_iter().map(tell)).await;
}
