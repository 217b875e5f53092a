//! Messages between instances, and the calls that carry them.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::protocol::gather::{GatherRequest, GatherResult};
use crate::state::docs::{Doc, DocDelta};
use crate::state::members::{InstanceId, Member};

/// Version of the protocol between instances.
pub const PROTOCOL_VERSION: u32 = 3;

/// The first message on a link, from the one who opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Name of the deployment.
    pub deployment: String,
    /// Version of the protocol.
    pub version: u32,
    /// Who opens the link.
    pub from: InstanceId,
    /// Its failure domain.
    pub domain: String,
}

/// The answer to a hello.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HelloReply {
    /// The link is open; who answers.
    Yes(InstanceId),
    /// The link is refused, and why.
    No(String),
}

impl Hello {
    /// Returns the answer of instance `me` of `deployment`.
    pub fn welcome(&self, deployment: &str, me: &InstanceId) -> HelloReply {
        if self.deployment != deployment {
            HelloReply::No(format!("this is deployment `{deployment}`, not `{}`", self.deployment))
        } else if self.version != PROTOCOL_VERSION {
            HelloReply::No(format!(
                "protocol version {PROTOCOL_VERSION} is spoken here, not {}",
                self.version
            ))
        } else if self.from.0.is_empty() || self.domain.is_empty() {
            HelloReply::No("the hello names no instance or no failure domain".into())
        } else {
            HelloReply::Yes(me.clone())
        }
    }
}

/// A heartbeat; the answer to it has the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Who sends it.
    pub from: Member,
    /// It can follow the platform, as far as it knows.
    pub follows: bool,
    /// The version that it holds of each document.
    pub versions: IndexMap<String, u64>,
    /// The members that it knows; only in answers to those who know none.
    pub members: Vec<Member>,
}

/// Calls between instances.
#[tarpc::service]
pub trait Peer {
    /// Says that the link is alive.
    async fn ping();
    /// Exchanges heartbeats.
    async fn beat(beat: Heartbeat) -> Heartbeat;
    /// Returns the documents that are newer than those held.
    async fn docs(have: IndexMap<String, u64>) -> IndexMap<String, Arc<Doc>>;
    /// Takes in changes of documents that the instance with this listener holds.
    async fn push(from: SocketAddr, changes: IndexMap<String, DocDelta>);
    /// Notes that an instance leaves.
    async fn left(name: String);
    /// Gathers the parts of a request over shards.
    async fn gather(query: GatherRequest) -> GatherResult;
}
