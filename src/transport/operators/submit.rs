//! Submission of a ticket: a conditional update of the platform's head object.

use std::sync::Arc;

use anyhow::{Result, anyhow};

use crate::coordination::once::{Expected, WriteOutcome};
use crate::coordination::tickets::{Accepted, Change, Head};
use crate::protocol::platform::{HEAD_KEY, encode_head, head_size, parse_head, ticket_key};
use crate::state::findings::Findings;
use crate::state::ticket::Ticket;
use crate::transport::node::Node;

/// Maximum number of attempts to submit a ticket when other submissions conflict with it.
const MAX_ATTEMPTS: usize = 5;

/// The result of a submission.
pub(crate) enum SubmitResult {
    /// The ticket was accepted as this version of the configuration.
    Accepted(u64),
    /// The ticket was refused for these reasons; nothing was changed.
    Refused(Findings),
    /// The platform could not be updated; nothing was changed.
    PlatformUnavailable(String),
    /// The platform's reply was lost and the head object could not be read back.
    OutcomeUnknown(String),
}

/// Submits a ticket and publishes the new configuration if it is accepted.
pub(crate) async fn submit(node: &Arc<Node>, ticket: Ticket) -> SubmitResult {
    let mut draft = Change::new(ticket);
    let token = node.next_id();
    for _ in 0..MAX_ATTEMPTS {
        let (head, version) = match read_head_in_force(node).await {
            Ok(read) => read,
            Err(e) => return SubmitResult::PlatformUnavailable(format!("{e:#}")),
        };
        let checked = match draft.check(&head, token, head_size) {
            Ok(checked) => checked,
            Err(findings) => return SubmitResult::Refused(findings),
        };
        let value = match encode_head(checked.head()) {
            Ok(value) => value,
            Err(e) => return SubmitResult::PlatformUnavailable(format!("{e:#}")),
        };
        match node.platform.put(HEAD_KEY, value, Expected::version(version)).await {
            Err(e) => return SubmitResult::PlatformUnavailable(e.to_string()),
            Ok((WriteOutcome::Applied, _)) => return publish(node, checked.accept()).await,
            Ok((WriteOutcome::Conflict, _)) => draft = checked.into_draft(),
            Ok((WriteOutcome::Unknown, _)) => match read_head(node).await {
                Err(e) => return SubmitResult::OutcomeUnknown(format!("{e:#}")),
                Ok((found, _)) => match checked.resolve_read_back(&found) {
                    Ok(change) => return publish(node, change).await,
                    Err(rejected_draft) => draft = *rejected_draft,
                },
            },
        }
    }
    SubmitResult::PlatformUnavailable("other tickets kept coming first".into())
}

async fn publish(node: &Arc<Node>, change: Change<Accepted>) -> SubmitResult {
    let version = change.head().fleet.version;
    log::info!("ticket {version} accepted");
    node.publish(change.head());
    if let Err(e) = store_ticket(node, change.ticket()).await {
        log::warn!("ticket {version} is in force, but its text could not be stored: {e:#}");
    }
    SubmitResult::Accepted(version)
}

async fn store_ticket(node: &Node, ticket: &Ticket) -> Result<()> {
    let text = serde_json::to_string(ticket)?;
    node.tier.metrics.platform_calls.with_label_values(&["ticket"]).inc();
    node.platform.put(&ticket_key(ticket.number), text, Expected::version(0)).await?;
    Ok(())
}

/// Reads the head object and its version from the platform, and writes the one in force again if the platform has lost it.
async fn read_head_in_force(node: &Node) -> Result<(Head, u64)> {
    let (found, version) = read_head(node).await?;
    let Some(lost) = node.lost_head(&found) else { return Ok((found, version)) };
    match node.write_lost_head(&lost, version).await? {
        Some(version) => Ok((lost, version)),
        None => Err(anyhow!("the head object was changed while a lost one was written again")),
    }
}

/// Reads the head object and its version from the platform.
async fn read_head(node: &Node) -> Result<(Head, u64)> {
    if node.peers.faults.is_platform_cut() {
        return Err(anyhow!("the platform is cut off"));
    }
    node.tier.metrics.platform_calls.with_label_values(&["head"]).inc();
    let found = node.platform.get(HEAD_KEY).await?;
    found.map_or(Ok((Head::default(), 0)), |object| parse_head(&object))
}
