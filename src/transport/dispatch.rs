//! The way of a sub-request to the steward of its upstream, here or at a peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tarpc::client::RpcError;
use tarpc::context;

use crate::coordination::attempt::{Attempt, Fault, Label, Outcome, Why};
use crate::protocol::peer::{Work, WorkReply};
use crate::state::arena::UpstreamKey;
use crate::state::news::Heard;
use crate::state::roster::Member;
use crate::transport::node::{Node, Owner};
use crate::transport::settings::Mode;
use crate::transport::steward;

/// Most instances that are asked whether they are steward.
const MOST_HOPS: usize = 3;
/// Time that a peer gets beyond the deadline to say how an attempt ended.
const REPLY_GRACE: Duration = Duration::from_millis(3);

/// A sub-request.
#[derive(Clone)]
pub(crate) struct Sub {
    pub(crate) label: Label,
    pub(crate) upstream: UpstreamKey,
    pub(crate) idempotent: bool,
    pub(crate) deadline: crate::state::time::Tick,
    pub(crate) body: Bytes,
}

/// Counts a sub-request as under way at an upstream until dropped.
struct Mine<'a>(&'a Node, UpstreamKey);

impl<'a> Mine<'a> {
    fn new(node: &'a Node, key: UpstreamKey) -> Self {
        node.news.with_or(key, Heard::default, |heard| heard.mine += 1);
        Self(node, key)
    }
}

impl Drop for Mine<'_> {
    fn drop(&mut self) {
        self.0.news.with(self.1, |heard| heard.mine -= 1);
    }
}

/// Sends a sub-request to the steward of its upstream and returns how it ended.
pub(crate) async fn send(node: &Arc<Node>, sub: Sub) -> Outcome {
    let _mine = Mine::new(node, sub.upstream);
    let key = sub.upstream;
    let Some(name) = node.catalog().upstream(key).map(|u| u.name.clone()) else {
        return Attempt::new(sub.label).refuse(Why::NoReplica);
    };
    let reply = if node.cfg.mode == Mode::Baseline {
        straight(node, &sub, name).await
    } else {
        ask_steward(node, &sub, name).await
    };
    if let Some(news) = reply.news {
        node.hear(key, news);
    }
    reply.outcome
}

/// Sends a sub-request straight to its upstream, as the baseline does.
async fn straight(node: &Arc<Node>, sub: &Sub, name: String) -> WorkReply {
    let domain =
        node.catalog().upstream(sub.upstream).map(|u| u.domain.clone()).unwrap_or_default();
    node.travel(&domain).await;
    let reply = steward::run(node, work(node, sub, name)).await;
    node.travel(&domain).await;
    reply
}

fn work(node: &Node, sub: &Sub, upstream: String) -> Work {
    Work {
        label: sub.label.clone(),
        upstream,
        idempotent: sub.idempotent,
        left_us: sub.deadline.since(node.now()).as_micros() as u64,
        body: sub.body.clone(),
    }
}

/// Asks those who may be steward, in turn, until one has taken the sub-request on.
async fn ask_steward(node: &Arc<Node>, sub: &Sub, name: String) -> WorkReply {
    let refuse = |why| WorkReply {
        outcome: Attempt::new(sub.label.clone()).refuse(why),
        news: None,
        holder: None,
    };
    let Some(owner) = node.owner(sub.upstream) else { return refuse(Why::NoSteward) };
    let mut asked: Vec<Member> = Vec::new();
    let mut last = refuse(Why::NoSteward);
    while asked.len() < MOST_HOPS {
        let Some(member) = next_member(node, &owner, &last, &asked) else { break };
        asked.push(member.clone());
        last = ask(node, sub, name.clone(), &member).await;
        match &last.outcome {
            Outcome::NotRun(r) if matches!(r.why(), Why::NotSteward | Why::PeerUnreachable) => {
                note_holder(node, &owner, &member, &last);
            }
            _ => {
                if asked.len() > 1 {
                    node.holders.lock().insert(owner.place(), member.id);
                }
                return last;
            }
        }
    }
    last
}

/// Chooses whom to ask next: the named holder, the holder known, the owner, then the deputies.
fn next_member(node: &Node, owner: &Owner, last: &WorkReply, asked: &[Member]) -> Option<Member> {
    let rosters = node.rosters();
    let roster = rosters.get(&owner.member.domain)?;
    let known = node.holders.lock().get(&owner.place()).cloned();
    let named = [last.holder.clone(), known].into_iter().flatten();
    let named = named.filter_map(|id| roster.entry_of(&id));
    let order = named.chain(roster.owners(owner.bucket));
    let fresh = |m: &&Member| !asked.iter().any(|a| a.id == m.id);
    order.map(|e| &e.member).find(fresh).cloned()
}

fn note_holder(node: &Node, owner: &Owner, asked: &Member, reply: &WorkReply) {
    let mut holders = node.holders.lock();
    match &reply.holder {
        Some(holder) => {
            holders.insert(owner.place(), holder.clone());
        }
        None if holders.get(&owner.place()) == Some(&asked.id) => {
            holders.shift_remove(&owner.place());
        }
        None => {}
    }
}

async fn ask(node: &Arc<Node>, sub: &Sub, name: String, member: &Member) -> WorkReply {
    if member.id == node.me.id {
        return steward::run(node, work(node, sub, name)).await;
    }
    let attempt = Attempt::new(sub.label.clone());
    let Ok(link) = node.link(member.addr).await else {
        return WorkReply {
            outcome: attempt.refuse(Why::PeerUnreachable),
            news: None,
            holder: None,
        };
    };
    node.travel(&member.domain).await;
    let work = work(node, sub, name);
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_micros(work.left_us) + REPLY_GRACE;
    let handed = attempt.hand();
    let reply = link.client.run(cx, work).await;
    node.travel(&member.domain).await;
    let lost = |fault| WorkReply { outcome: Outcome::Unknown(fault), news: None, holder: None };
    match reply {
        Ok(reply) => {
            link.heard(None);
            WorkReply { outcome: handed.relayed(reply.outcome), ..reply }
        }
        Err(RpcError::DeadlineExceeded) => lost(Fault::Timeout),
        Err(_) => lost(Fault::PeerLost),
    }
}
