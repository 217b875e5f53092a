//! The life cycle of the `tamarackd` process: start, serve, leave, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::coordination::supervision::SupervisionOptions;
use crate::protocol::platform::{InstanceState, ListedInstance, Platform};
use crate::state::members::{InstanceId, Member};
use crate::transport::callers::api::ApiHandler;
use crate::transport::callers::{frontend, once};
use crate::transport::http;
use crate::transport::node::Node;
use crate::transport::operators::listener;
use crate::transport::peers::{heartbeats, server};
use crate::transport::settings::Settings;
use crate::transport::store::http::HttpPlatform;
use crate::transport::store::memory::MemoryPlatform;
use crate::transport::store::watches;
use crate::transport::supervisor::Supervisor;
use crate::transport::upstreams::probe;

/// Time limit for the listeners to finish once the instance has stopped.
const LISTENER_STOP_TIMEOUT: Duration = Duration::from_secs(1);

async fn bind(flag: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("--{flag}: cannot listen on {addr}"))
}

fn new_platform(cfg: &Settings, me: &Member) -> Arc<dyn Platform> {
    match cfg.platform_addr {
        Some(addr) => Arc::new(HttpPlatform::new(addr)),
        None => {
            let memory = MemoryPlatform::default();
            memory.set_instances(vec![ListedInstance {
                name: cfg.instance.clone(),
                domain: cfg.domain.clone(),
                addr: me.addr.to_string(),
                state: InstanceState::Live,
            }]);
            Arc::new(memory)
        }
    }
}

/// Runs an instance until it receives `SIGTERM` or `SIGINT` and has stopped.
///
/// # Errors
/// When a listener cannot be opened.
pub async fn run(cfg: Settings) -> Result<()> {
    if cfg.test_faults {
        abort_on_panic();
    }
    let callers = bind("callers", cfg.callers_addr).await?;
    let peers = bind("peers", cfg.peers_addr).await?;
    let operators = bind("operators", cfg.operators_addr).await?;
    let addr = cfg.advertised_addr.unwrap_or(peers.local_addr()?);
    let id = InstanceId::new(&cfg.instance, rand::random());
    let me = Member { id, domain: cfg.domain.clone(), addr, power: 0 };
    let node = Arc::new(Node::new(cfg.clone(), me.clone(), new_platform(&cfg, &me)));
    log::info!(
        "{} started: callers on {}, peers on {addr}, operators on {}",
        me.id.0,
        callers.local_addr()?,
        operators.local_addr()?
    );
    let (stop, stop_listeners) = (CancellationToken::new(), CancellationToken::new());
    let supervisor =
        Supervisor::new(node.tier.clone(), SupervisionOptions::default(), stop_listeners.clone());
    let listeners = start_listeners(&node, &supervisor, operators, peers, &stop_listeners);
    let background_tasks = start_background_tasks(&node, &supervisor);
    let stop_requested = stop.clone();
    tokio::spawn(async move {
        if let Err(e) = wait_stop_signal().await {
            log::error!("cannot install the signal handlers: {e:#}");
        }
        stop_requested.cancel();
    });
    let (handler, departure) =
        (Arc::new(ApiHandler(node.clone())), heartbeats::announce_departure(&node.peers));
    frontend::serve(&supervisor, callers, handler, stop, departure).await;
    background_tasks.iter().for_each(|t| t.abort());
    stop_listeners.cancel();
    for task in listeners {
        if tokio::time::timeout(LISTENER_STOP_TIMEOUT, task).await.is_err() {
            log::warn!("a listener did not finish within the time limit");
        }
    }
    log::info!("stopped");
    Ok(())
}

fn start_listeners(
    node: &Arc<Node>,
    supervisor: &Supervisor,
    operators: TcpListener,
    peers: TcpListener,
    stop: &CancellationToken,
) -> [JoinHandle<()>; 2] {
    let (operators, peers) = (Arc::new(operators), Arc::new(peers));
    let (operators_node, operators_stop) = (node.clone(), stop.clone());
    let (tier, linked, peers_stop) = (node.tier.clone(), node.peers.clone(), stop.clone());
    [
        supervisor.spawn("operators", move || {
            serve_operators(operators_node.clone(), operators.clone(), operators_stop.clone())
        }),
        supervisor.spawn("peers", move || {
            server::serve(tier.clone(), linked.clone(), peers.clone(), peers_stop.clone())
        }),
    ]
}

fn start_background_tasks(node: &Arc<Node>, supervisor: &Supervisor) -> [JoinHandle<()>; 5] {
    let (peers, tier) = (node.peers.clone(), node.tier.clone());
    let [head, instances, claims] = [node, node, node].map(Arc::clone);
    [
        supervisor.spawn("heartbeats", move || heartbeats::run(peers.clone())),
        supervisor.spawn("head", move || watches::watch_head(head.clone())),
        supervisor.spawn("instances", move || watches::poll_instances(instances.clone())),
        supervisor.spawn("claims", move || once::rewrite_lost_claims(claims.clone())),
        supervisor.spawn("probes", move || probe::run(tier.clone())),
    ]
}

/// Aborts the process on a panic, so that a test cannot miss a violated invariant.
fn abort_on_panic() {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        std::process::abort();
    }));
}

async fn serve_operators(node: Arc<Node>, listener: Arc<TcpListener>, stop: CancellationToken) {
    let handler = {
        let node = node.clone();
        move |req, hold| listener::handle(node.clone(), req, hold)
    };
    http::serve(node.tier.clone(), listener, stop, handler).await;
}

async fn wait_stop_signal() -> Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
