//! The life of a `tamarackd` process: start, serve, leave, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::coordination::lifecycle::{Instance, Leaving, Starting, UnderWay};
use crate::protocol::platform::{InstanceState, Listed, Platform};
use crate::state::roster::{InstanceId, Member};
use crate::transport::node::{Node, Phase};
use crate::transport::platform_http::HttpPlatform;
use crate::transport::platform_memory::MemoryPlatform;
use crate::transport::settings::Settings;
use crate::transport::upstream_http::HttpUpstreams;
use crate::transport::{
    beats, caller_http, http, membership, operator_http, peer_server, reports, watches,
};

/// Time between looks at what a leaving instance still has under way.
const LOOK: Duration = Duration::from_millis(25);

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
    let me = Member { id, domain: cfg.domain.clone(), addr };
    let node = Arc::new(Node::new(
        cfg.clone(),
        me.clone(),
        platform(&cfg, &me),
        Arc::new(HttpUpstreams::default()),
    ));
    log::info!(
        "{} started: callers at {}, peers at {addr}, operators at {}",
        me.id.0,
        callers.local_addr()?,
        operators.local_addr()?
    );
    let (stop_callers, stop_rest) = (CancellationToken::new(), CancellationToken::new());
    let serving = [
        tokio::spawn(serve_callers(node.clone(), callers, stop_callers.clone())),
        tokio::spawn(serve_operators(node.clone(), operators, stop_rest.clone())),
        tokio::spawn(peer_server::serve(node.clone(), peers, stop_rest.clone())),
    ];
    let loops = [
        tokio::spawn(beats::run(node.clone())),
        tokio::spawn(watches::follow_head(node.clone())),
        tokio::spawn(watches::follow_roster(node.clone())),
        tokio::spawn(watches::follow_list(node.clone())),
        tokio::spawn(membership::keep_joined(node.clone())),
        tokio::spawn(reports::ask_all(node.clone())),
    ];
    let instance = Instance::<Starting>::default().serve();
    stop_asked().await?;
    let leaving = instance.leave(node.now());
    leave(&node, leaving, &stop_callers).await;
    membership::leave_roster(&node).await;
    loops.iter().for_each(|l| l.abort());
    stop_rest.cancel();
    for task in serving {
        let _ = tokio::time::timeout(Duration::from_secs(1), task).await;
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

async fn serve_callers(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    http::serve(listener, stop, move |req| caller_http::handle(node.clone(), req)).await;
}

async fn serve_operators(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    http::serve(listener, stop, move |req| operator_http::handle(node.clone(), req)).await;
}

async fn stop_asked() -> Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Leaves: the balancer first, then the leases, then the listener, then what is under way.
async fn leave(node: &Arc<Node>, mut leaving: Instance<Leaving>, stop_callers: &CancellationToken) {
    *node.phase.write() = Phase::Leaving;
    log::info!("leaving");
    node.leases.lock().leave();
    beats::align_gates(node);
    loop {
        beats::give_back(node).await;
        if !leaving.takes(&node.cfg.stop, node.now()) {
            stop_callers.cancel();
        }
        leaving = match leaving.stop(&node.cfg.stop, under_way(node), node.now()) {
            Ok(_stopped) => return,
            Err(back) => back,
        };
        tokio::time::sleep(LOOK).await;
    }
}

fn under_way(node: &Node) -> UnderWay {
    let mut upstream = 0;
    node.gates.for_each(|_, gate| upstream += gate.running() + gate.waiting() as u32);
    let buckets = node.leases.lock().to_release().len();
    UnderWay { flights: node.flights.len(), upstream, buckets }
}
