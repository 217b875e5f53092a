//! Heartbeats between instances: who is there, who follows the platform, whose documents are newer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use indexmap::IndexMap;
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use tarpc::context;

use crate::protocol::peer::Beat;
use crate::state::docs::DocDelta;
use crate::state::members::Member;
use crate::transport::peers::Peers;

/// Time between two rounds of heartbeats.
const BEAT: Duration = Duration::from_millis(400);
/// Rounds between two heartbeats to another failure domain; links between domains are costly.
const FAR_ROUNDS: u64 = 5;
/// Longest time for a heartbeat.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time to fetch or push documents.
const DOCS_TIMEOUT: Duration = Duration::from_secs(3);
/// Members of the own failure domain that get a heartbeat: those first in line to follow the
/// platform, so that the next one learns of the end of the first, and one at random.
const NEAR: usize = 2;

/// Sends heartbeats for as long as the process runs.
pub async fn run(peers: Arc<Peers>) {
    let mut round = 0;
    loop {
        let started = Instant::now();
        for addr in targets(&peers, round) {
            // a slow peer must not delay the next round
            tokio::spawn(beat(peers.clone(), addr));
        }
        round += 1;
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(BEAT.mul_f64(jitter).saturating_sub(started.elapsed())).await;
    }
}

fn targets(peers: &Peers, round: u64) -> Vec<SocketAddr> {
    let me = &peers.opts.me;
    let members = peers.members();
    let others = || members.iter().filter(|m| m.id.name() != me.id.name());
    let mut near: Vec<&Member> = others().filter(|m| m.domain == me.domain).collect();
    near.sort_by_key(|m| std::cmp::Reverse(m.watch_rank()));
    let mut picked: Vec<SocketAddr> = near.iter().take(NEAR).map(|m| m.addr).collect();
    let mut rng = rand::rng();
    picked.extend(near.iter().skip(NEAR).choose(&mut rng).map(|m| m.addr));
    if round.is_multiple_of(FAR_ROUNDS) || near.is_empty() || !peers.can_watch() {
        picked.extend(far(&members, &me.domain).choose(&mut rng).map(|m| m.addr));
    }
    if picked.is_empty() {
        picked.extend(peers.opts.seeds.iter().filter(|s| **s != me.addr).choose(&mut rng));
    }
    picked
}

fn far<'a>(members: &'a [Member], domain: &str) -> Vec<&'a Member> {
    members.iter().filter(|m| m.domain != domain).collect()
}

fn context_for(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + limit;
    cx
}

async fn beat(peers: Arc<Peers>, addr: SocketAddr) {
    let Ok(link) = peers.link(addr).await else { return };
    let asked = Instant::now();
    if let Ok(reply) = link.client.beat(context_for(TIMEOUT), peers.beat(Vec::new())).await {
        link.heard(Some(asked.elapsed()));
        peers.heard(&reply);
        if peers.behind(&reply.versions) {
            fetch(&peers, addr).await;
        }
    }
}

/// Answers a peer's heartbeat; one who holds nothing is told the members.
pub(crate) fn take_beat(peers: &Arc<Peers>, beat: &Beat) -> Beat {
    peers.heard(beat);
    if peers.behind(&beat.versions) {
        let (peers, addr) = (peers.clone(), beat.from.addr);
        tokio::spawn(async move { fetch(&peers, addr).await });
    }
    let new = peers.versions().keys().any(|topic| !beat.versions.contains_key(topic));
    peers.beat(if new { peers.members() } else { Vec::new() })
}

async fn fetch(peers: &Arc<Peers>, addr: SocketAddr) {
    let Ok(link) = peers.link(addr).await else { return };
    if let Ok(docs) = link.client.docs(context_for(DOCS_TIMEOUT), peers.versions()).await {
        let changes = peers.take(docs);
        let far =
            !peers.members().iter().any(|m| m.addr == addr && m.domain == peers.opts.me.domain);
        if far && !changes.is_empty() {
            push_near(peers, changes).await;
        }
    }
}

/// Takes in changes that a peer has pushed; where one does not fit, its documents are fetched whole.
pub(crate) fn take_push(
    peers: &Arc<Peers>,
    from: SocketAddr,
    changes: &IndexMap<String, DocDelta>,
) {
    let fit = changes.iter().fold(true, |fit, (topic, change)| peers.apply(topic, change) && fit);
    if !fit {
        let peers = peers.clone();
        tokio::spawn(async move { fetch(&peers, from).await });
    }
}

/// Pushes changes to the own failure domain, and to a few members of each other one.
pub(crate) async fn push(peers: Arc<Peers>, changes: IndexMap<String, DocDelta>) {
    let members = peers.members();
    let far = far(&members, &peers.opts.me.domain);
    let mut domains: Vec<&str> = far.iter().map(|m| m.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let sample = |domain: &str| -> Vec<SocketAddr> {
        let there: Vec<_> = far.iter().filter(|m| m.domain == domain).collect();
        there.sample(&mut rand::rng(), peers.opts.remote_push_fanout).map(|m| m.addr).collect()
    };
    let far: Vec<SocketAddr> = domains.into_iter().flat_map(sample).collect();
    tokio::join!(push_near(&peers, changes.clone()), push_to(&peers, far, &changes));
}

async fn push_near(peers: &Arc<Peers>, changes: IndexMap<String, DocDelta>) {
    let me = &peers.opts.me;
    let near = |m: &Member| m.domain == me.domain && m.id.name() != me.id.name();
    let addrs = peers.members().into_iter().filter(near).map(|m| m.addr).collect();
    push_to(peers, addrs, &changes).await;
}

async fn push_to(peers: &Arc<Peers>, addrs: Vec<SocketAddr>, changes: &IndexMap<String, DocDelta>) {
    let send = async |addr| {
        let Ok(link) = peers.link(addr).await else { return };
        let me = peers.opts.me.addr;
        if let Err(e) = link.client.push(context_for(DOCS_TIMEOUT), me, changes.clone()).await {
            log::debug!("push to {addr}: {e}"); // heartbeats compare versions later
        }
    };
    join_all(addrs.into_iter().map(send)).await;
}

/// Tells the own failure domain that this instance leaves.
pub async fn announce_departure(peers: &Arc<Peers>) {
    let me = peers.opts.me.clone();
    let send = async |m: Member| {
        if let Ok(link) = peers.link(m.addr).await {
            let told = link.client.left(context_for(TIMEOUT), me.id.name().to_owned()).await;
            if let Err(e) = told {
                log::debug!("telling {}: {e}", m.addr); // its silence tells as much
            }
        }
    };
    let others = peers.members().into_iter().filter(|m| m.id.name() != me.id.name());
    join_all(others.map(send)).await;
}
