//! Planned stops of `tamarackd` beside work that outlives the connection that asked for it.

use std::path::Path;
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use http_body_util::Full;
use hyper::Request;
use standins::platform::PlatformFaults;
use standins::rig::{Process, Rig, RigOptions, ServiceSpec, submit_to};
use standins::upstream::UpstreamOptions;
use tamarackdeck::{Capacity, Client, Policy, Preference, Ticket};

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Maximum duration of a stop, in milliseconds.
const LONGEST_MS: u64 = 20_000;
/// Time that the platform takes for a call beyond the usual, less than its timeout, in milliseconds.
const SLOW_CALL_MS: u64 = 1_000;
/// Time that an upstream works on a request, in microseconds.
const SERVICE_US: u64 = 4_000_000;

struct Case {
    name: &'static str,
    /// Begins work, stops the instance, and returns what was wrong, if anything.
    run: for<'a> fn(&'a Rig, &'a mut Process) -> BoxFuture<'a, Option<String>>,
}

async fn stop(process: &mut Process) -> Option<String> {
    process.signal("TERM").unwrap();
    let code = process.wait(MS(LONGEST_MS + 1_000)).await;
    (!matches!(code, Ok(0))).then(|| format!("exit {code:?}"))
}

const CASES: &[Case] = &[
    Case {
        name: "a ticket that is being submitted",
        run: |rig, process| {
            async move {
                rig.platform
                    .set_faults(PlatformFaults { slow_ms: SLOW_CALL_MS, ..Default::default() });
                let ticket = Ticket { number: 2, ..Default::default() };
                let operators = process.backend.operators_addr;
                let submitted = tokio::spawn(async move { submit_to(operators, &ticket).await });
                tokio::time::sleep(MS(100)).await;
                let failure = stop(process).await;
                let reply = submitted.await.unwrap().map_err(|e| format!("{e:#}"));
                let is_answered = matches!(&reply, Ok((200, _)));
                failure.or_else(|| (!is_answered).then(|| format!("{reply:?}")))
            }
            .boxed()
        },
    },
    Case {
        name: "a request with a key whose caller has left",
        run: |rig, process| {
            async move {
                let req = Request::post("/v1/request/search")
                    .header("host", "deck")
                    .header("idempotency-key", "van-7")
                    .body(Full::new("body".into()))
                    .unwrap();
                let client = Client::open(process.backend.callers_addr, MS(1_000)).await.unwrap();
                let left = client.send(req, MS(300)).await;
                assert!(left.is_err(), "the caller leaves before the answer: {left:?}");
                let failure = stop(process).await;
                let claim = rig.platform.object("once/search/van-7").map(|object| object.value);
                let is_settled = claim.as_ref().is_some_and(|c| !c.contains(r#""answer":null"#));
                failure.or_else(|| (!is_settled).then(|| format!("the claim is {claim:?}")))
            }
            .boxed()
        },
    },
];

/// Guards against work that a stop cuts off, since nothing counts it once its connection is closed or is another listener's.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_finishes_what_operators_and_keyed_requests_have_begun() {
    let mut failures = Vec::new();
    for case in CASES {
        let search = ServiceSpec {
            name: "search",
            shards: 1,
            replicas: 1,
            prefer: Preference::Coverage,
            bear: Capacity::default(),
            upstream: UpstreamOptions { service_us: SERVICE_US, ..Default::default() },
        };
        let opts = RigOptions {
            domains: vec!["north"],
            instances_per_domain: 1,
            services: vec![search],
            policy: Policy { soft_ms: 8_000, hard_ms: 8_000, ..Default::default() },
            ..Default::default()
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_tamarackd"));
        let mut rig = Rig::start(binary, opts).await.unwrap();
        let mut process = rig.instances.shift_remove("north-0").unwrap();
        let failure = (case.run)(&rig, &mut process).await;
        println!("case: {}: {failure:?}", case.name);
        failures.extend(failure.map(|why| format!("{}: {why}", case.name)));
    }
    failures.iter().for_each(|failure| println!("failed: {failure}"));
    assert!(failures.is_empty(), "{failures:#?}");
}
