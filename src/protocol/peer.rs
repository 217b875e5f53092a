//! The protocol between instances: the handshake and the remote procedure calls.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::protocol::encoded::Encoded;
use crate::protocol::gather::{GatherRequest, GatherResult};
use crate::state::docs::{Doc, DocDelta};
use crate::state::members::{InstanceId, Member};
use crate::state::time::Tick;

/// Version of the protocol between instances; links between different versions are refused.
pub const PROTOCOL_VERSION: u32 = 7;

/// The first message on a link, sent by the instance that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Name of the deployment.
    pub deployment: String,
    /// Protocol version of the sender.
    pub version: u32,
    /// Identity of the sender.
    pub from: InstanceId,
    /// Failure domain of the sender.
    pub domain: String,
}

/// The reply to a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HelloReply {
    /// The link is accepted.
    #[serde(rename = "yes")]
    Accepted {
        /// The instance that accepts it.
        by: InstanceId,
        /// Its current time.
        now: Tick,
    },
    /// The link is refused for this reason.
    #[serde(rename = "no")]
    Refused(String),
}

impl Hello {
    /// Returns the reply of instance `me` of `deployment` at its time `now`.
    pub fn reply(&self, deployment: &str, me: &InstanceId, now: Tick) -> HelloReply {
        if self.deployment != deployment {
            HelloReply::Refused(format!(
                "this is deployment `{deployment}`, not `{}`",
                self.deployment
            ))
        } else if self.version != PROTOCOL_VERSION {
            HelloReply::Refused(format!(
                "protocol version {PROTOCOL_VERSION} is spoken here, not {}",
                self.version
            ))
        } else if self.from.0.is_empty() || self.domain.is_empty() {
            HelloReply::Refused("the hello names no instance or no failure domain".into())
        } else {
            HelloReply::Accepted { by: me.clone(), now }
        }
    }
}

/// A heartbeat; the reply has the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// The sender can watch the platform, as far as it knows.
    pub follows: bool,
    /// Version of each document that the sender holds.
    pub versions: IndexMap<String, u64>,
    /// Members that the sender knows; filled only in replies to an instance that knows none.
    pub members: Vec<Member>,
}

/// Changes of documents by topic.
pub type DocDeltas = IndexMap<String, DocDelta>;

/// Documents that an instance holds and another one lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewerDocs {
    /// Documents by topic.
    pub docs: IndexMap<String, Encoded<Doc>>,
    /// What is left of the sender's grace period for entries that they lack.
    pub grace: Duration,
}

/// Remote procedure calls between instances.
#[tarpc::service]
pub trait Peer {
    /// Checks that the link is alive, and returns the current time of the instance.
    async fn ping() -> Tick;
    /// Exchanges heartbeats.
    async fn beat(beat: Heartbeat) -> Heartbeat;
    /// Returns the documents that are newer than the versions in `have`.
    async fn docs(have: IndexMap<String, u64>) -> NewerDocs;
    /// Applies deltas of documents held by the instance whose peer listener is `from`; `grace` is what is left of its
    /// grace period for entries that they remove.
    async fn push(from: SocketAddr, changes: Encoded<DocDeltas>, grace: Duration);
    /// Announces that an instance is leaving.
    async fn left(name: String);
    /// Runs a sharded request and returns the merged answer.
    async fn gather(query: GatherRequest) -> GatherResult;
}
