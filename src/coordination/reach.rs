//! Whether a route can be answered from the servers that can be reached.

use crate::state::arena::PoolKey;
use crate::state::picture::{Server, View};
use crate::state::routes::{Route, Target};

/// Says whether a route lacks the servers for any answer because those that it has are not `lit`.
///
/// A service without any server does not count: no other instance could do better.
pub fn is_unreachable(route: &Route, view: &View, lit: impl Fn(&Server) -> bool) -> bool {
    let cut = |pool: &PoolKey| {
        let mut servers = view.open(*pool).map(|(_, s)| s).peekable();
        servers.peek().is_some() && !servers.any(&lit)
    };
    match &route.target {
        Target::Split(parts) => !parts.is_empty() && parts.iter().all(|(pool, _)| cut(pool)),
        Target::Gather(gathering) => {
            let all = gathering.shards.len() as f64;
            let lost = gathering.shards.iter().filter(|pool| cut(pool)).count() as f64;
            lost > 0.0 && (all - lost) / all < gathering.least
        }
    }
}
