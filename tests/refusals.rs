//! Refusals of the own interface: what they say, and when the caller may return.

use std::path::Path;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use indexmap::IndexSet;
use standins::rig::{Rig, RigOptions, ServiceSpec};
use standins::upstream::{UpstreamFaults, UpstreamOptions};
use tamarackdeck::{Capacity, Client, NotRunCode, Preference, Refusal, Reply};

struct TextCase {
    refusal: Refusal,
    text: &'static str,
    status: u16,
    retry_after: Option<Duration>,
}

const TEXTS: &[TextCase] = &[
    TextCase {
        refusal: Refusal::NotRun { reason: NotRunCode::BackingOff, retry_after_ms: Some(1_250) },
        text: r#"{"error":"not-run","reason":"backing-off","retry_after_ms":1250}"#,
        status: 503,
        retry_after: Some(Duration::from_millis(1_250)),
    },
    TextCase {
        refusal: Refusal::NotRun { reason: NotRunCode::NoReplica, retry_after_ms: None },
        text: r#"{"error":"not-run","reason":"no-replica"}"#,
        status: 503,
        retry_after: None,
    },
    TextCase {
        refusal: Refusal::TooSlow,
        text: r#"{"error":"too-slow"}"#,
        status: 408,
        retry_after: None,
    },
];

#[test]
fn a_refusal_says_when_to_return_if_upstreams_asked_for_time() {
    for case in TEXTS {
        assert_eq!(serde_json::to_string(&case.refusal).unwrap(), case.text);
        assert_eq!(serde_json::from_str::<Refusal>(case.text).unwrap(), case.refusal);
        assert_eq!(case.refusal.status(), case.status, "{}", case.text);
        assert_eq!(case.refusal.retry_after(), case.retry_after, "{}", case.text);
    }
}

struct ProcessCase {
    name: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    /// Whether all upstreams leave in place of asking for time.
    leave: bool,
}

const CASE: ProcessCase =
    ProcessCase { name: "", path: "/v1/query/search", key: None, leave: false };

const PROCESS_CASES: &[ProcessCase] = &[
    ProcessCase { name: "queries", ..CASE },
    ProcessCase { name: "requests", path: "/v1/request/search", ..CASE },
    ProcessCase {
        name: "requests with a key",
        path: "/v1/request/search",
        key: Some("van-7"),
        ..CASE
    },
    ProcessCase { name: "queries after all upstreams have left", leave: true, ..CASE },
];

/// Time for which the upstreams ask, in seconds.
const BACKOFF_S: f64 = 20.0;
/// Requests until each upstream has been asked and has answered.
const FIRST_REQUESTS: usize = 20;
const REQUESTS: usize = 10;
/// Fewest different times at which the callers of a case return.
const MIN_RETURN_TIMES: usize = 3;

async fn send(rig: &Rig, case: &ProcessCase) -> Reply {
    let mut req = Request::post(case.path).header("host", "deck").header("x-deadline-ms", "900");
    if let Some(key) = case.key {
        req = req.header("idempotency-key", key);
    }
    let req = req.body(Full::new("body".into())).unwrap();
    let client = Client::open(rig.backends()[0].callers_addr, Duration::from_secs(1));
    client.await.unwrap().send(req, Duration::from_secs(3)).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_when_upstreams_that_asked_for_time_are_free() {
    let search = ServiceSpec {
        name: "search",
        shards: 2,
        replicas: 2,
        prefer: Preference::Coverage,
        bear: Capacity::default(),
        upstream: UpstreamOptions::default(),
    };
    let opts = RigOptions { services: vec![search], ..Default::default() };
    for case in PROCESS_CASES {
        let binary = Path::new(env!("CARGO_BIN_EXE_tamarackd"));
        let rig = Rig::start(binary, opts.clone()).await.unwrap();
        assert_eq!(send(&rig, &ProcessCase { key: None, ..*case }).await.status, 200);
        let faults = UpstreamFaults {
            draining: case.leave,
            shed: !case.leave,
            retry_after_s: BACKOFF_S,
            ..Default::default()
        };
        rig.upstreams.values().for_each(|upstream| upstream.set_faults(faults.clone()));
        for _ in 0..FIRST_REQUESTS {
            assert_eq!(send(&rig, case).await.status, 503, "{}", case.name);
        }
        let mut return_times = IndexSet::new();
        for _ in 0..REQUESTS {
            let reply = send(&rig, case).await;
            let refusal: Refusal = serde_json::from_slice(&reply.body).unwrap();
            let header = reply.headers.get("retry-after");
            let header = header.map(|v| v.to_str().unwrap().to_owned());
            let (name, after) = (case.name, refusal.retry_after());
            let expected = after.map(|d| format!("{}.{:03}", d.as_secs(), d.subsec_millis()));
            assert_eq!(header, expected, "{name}: {refusal:?}");
            assert_eq!(after.is_none(), case.leave, "{name}: {refusal:?}");
            if let Some(after) = after.map(|d| d.as_secs_f64()) {
                assert!(after > 0.5 * BACKOFF_S && after < BACKOFF_S + 1.0, "{name}: {after} s");
                return_times.insert((after * 1e3) as u64);
            }
        }
        let least = if case.leave { 0 } else { MIN_RETURN_TIMES };
        assert!(return_times.len() >= least, "{}: {return_times:?}", case.name);
    }
}
