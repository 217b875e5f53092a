//! The life of a `tamarackd` process: start, serve, leave, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::protocol::platform::{InstanceState, Listed, Platform};
use crate::state::members::{InstanceId, Member};
use crate::transport::callers::api::ApiHandler;
use crate::transport::callers::frontend;
use crate::transport::http;
use crate::transport::node::Node;
use crate::transport::operators::listener;
use crate::transport::peers::{beats, server};
use crate::transport::settings::Settings;
use crate::transport::store::http::HttpPlatform;
use crate::transport::store::memory::MemoryPlatform;
use crate::transport::store::watches;
use crate::transport::upstreams::probe;

/// Time that listeners get to end once the instance has stopped.
const END: Duration = Duration::from_secs(1);

async fn bind(what: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("--{what}: cannot listen at {addr}"))
}

fn platform(cfg: &Settings, me: &Member) -> Arc<dyn Platform> {
    match cfg.platform {
        Some(addr) => Arc::new(HttpPlatform::new(addr)),
        None => {
            let memory = MemoryPlatform::default();
            memory.list(vec![Listed {
                name: cfg.instance.clone(),
                domain: cfg.domain.clone(),
                addr: me.addr.to_string(),
                state: InstanceState::Live,
            }]);
            Arc::new(memory)
        }
    }
}

/// Runs an instance until it is asked to stop, by `SIGTERM` or `SIGINT`.
///
/// # Errors
/// When a listener cannot be opened.
pub async fn run(cfg: Settings) -> Result<()> {
    if cfg.test_faults {
        stop_on_panic();
    }
    let callers = bind("callers", cfg.callers).await?;
    let peers = bind("peers", cfg.peers).await?;
    let operators = bind("operators", cfg.operators).await?;
    let addr = cfg.advertise.unwrap_or(peers.local_addr()?);
    let id = InstanceId::new(&cfg.instance, rand::random());
    let me = Member { id, domain: cfg.domain.clone(), addr, power: 0 };
    let node = Arc::new(Node::new(cfg.clone(), me.clone(), platform(&cfg, &me)));
    log::info!(
        "{} started: callers at {}, peers at {addr}, operators at {}",
        me.id.0,
        callers.local_addr()?,
        operators.local_addr()?
    );
    let (stop, stop_rest) = (CancellationToken::new(), CancellationToken::new());
    let serving = [
        tokio::spawn(serve_operators(node.clone(), operators, stop_rest.clone())),
        tokio::spawn(server::serve(node.peers.clone(), peers, stop_rest.clone())),
    ];
    let loops = [
        tokio::spawn(beats::run(node.peers.clone())),
        tokio::spawn(watches::follow_head(node.clone())),
        tokio::spawn(watches::follow_list(node.clone())),
        tokio::spawn(probe::run(node.tier.clone())),
    ];
    let asked = stop.clone();
    tokio::spawn(async move {
        if let Err(e) = stop_asked().await {
            log::error!("no handler for signals: {e:#}");
        }
        asked.cancel();
    });
    frontend::serve(node.tier.clone(), callers, Arc::new(ApiHandler(node.clone())), stop).await;
    beats::announce_departure(&node.peers).await;
    loops.iter().for_each(|l| l.abort());
    stop_rest.cancel();
    for task in serving {
        if tokio::time::timeout(END, task).await.is_err() {
            log::warn!("a listener did not end in time");
        }
    }
    log::info!("stopped");
    Ok(())
}

/// Makes a broken invariant end the process, so that no test passes over it.
fn stop_on_panic() {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        std::process::abort();
    }));
}

async fn serve_operators(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    http::serve(listener, stop, move |req| listener::handle(node.clone(), req)).await;
}

async fn stop_asked() -> Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
