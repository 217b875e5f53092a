//! Runs a stand-in as a process: the platform, a group of upstreams, or callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use indexmap::IndexMap;
use standins::load::{Backend, Balancer, LoadOptions, run};
use standins::platform::PlatformStandIn;
use standins::upstream::{UpstreamOptions, UpstreamStandIn, serve_admin};

const HELP: &str = "\
usage: standin platform ADDR [LAG-MS]
         POST /admin/faults {\"down\": bool, \"lose_answers\": n, \"slow_ms\": n, \"stale\": bool}
         POST /admin/instances [{\"name\", \"domain\", \"addr\", \"state\": \"live\" or \"leaving\"}]
       standin upstreams ADMIN-ADDR OPTIONS-JSON NAME=ADDR ...
         GET /stats; POST /NAME/{kill,restart,cold}; POST /NAME/hold/OLDEST-NEWEST
         POST /NAME/faults {\"slow\": x, \"draining\": bool, \"wrong\": \"attempt\", \"silent\": bool, \"lost\": \"before\", \"shed\": bool}
       standin load CALLERS-ADDR,OPERATORS-ADDR[;...] SERVICE RATE SECONDS";

#[tokio::main]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["platform", addr, rest @ ..] => {
            let delay = rest.first().map_or(Ok(1_000), |ms| ms.parse())?;
            let _platform =
                PlatformStandIn::start(addr.parse()?, Duration::from_millis(delay)).await?;
            tokio::signal::ctrl_c().await?;
        }
        ["upstreams", admin, options, named @ ..] => {
            let opts: UpstreamOptions = serde_json::from_str(options).context("options")?;
            let mut upstreams = IndexMap::new();
            for (seed, pair) in named.iter().enumerate() {
                let (name, addr) = pair.split_once('=').context("NAME=ADDR")?;
                let opts = UpstreamOptions { seed: opts.seed + seed as u64, ..opts.clone() };
                upstreams
                    .insert(name.to_owned(), UpstreamStandIn::start(addr.parse()?, opts).await?);
            }
            let _admin = serve_admin(admin.parse()?, upstreams).await?;
            tokio::signal::ctrl_c().await?;
        }
        ["load", backends, service, rate, seconds] => {
            let opts = LoadOptions {
                path: format!("/v1/query/{service}"),
                rate: rate.parse()?,
                duration: Duration::from_secs(seconds.parse()?),
                deadline_ms: 900,
                seed: 1,
            };
            let balancer =
                Balancer::start(backends.split(';').map(backend).collect::<Result<_>>()?).await;
            println!("{}", serde_json::to_string_pretty(&run(Arc::new(balancer), opts).await)?);
        }
        _ => bail!("{HELP}"),
    }
    Ok(())
}

fn backend(text: &str) -> Result<Backend> {
    let (callers_addr, operators_addr) = text.split_once(',').context("CALLERS,OPERATORS")?;
    let parse = |addr: &str| addr.parse::<SocketAddr>();
    Ok(Backend { callers_addr: parse(callers_addr)?, operators_addr: parse(operators_addr)? })
}
