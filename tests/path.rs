//! End-to-end queries through instance processes, with stand-ins for the platform, upstreams and callers.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use standins::load::{Balancer, LoadOptions, run};
use standins::rig::{Rig, RigOptions, ServiceSpec};
use standins::upstream::UpstreamOptions;
use tamarackdeck::{Capacity, Preference, QueryAnswer};

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_answered_whole_through_any_instance() {
    let search = ServiceSpec {
        name: "search",
        shards: 8,
        replicas: 2,
        prefer: Preference::Tail,
        bear: Capacity::default(),
        upstream: UpstreamOptions::default(),
    };
    let opts = RigOptions { services: vec![search], ..Default::default() };
    let rig = Rig::start(Path::new(env!("CARGO_BIN_EXE_tamarackd")), opts).await.unwrap();
    let balancer = Arc::new(Balancer::start(rig.backends()).await);
    for number in 0..8 {
        let (status, body) =
            balancer.send(number, "/v1/query/search", &[], Bytes::from("cable")).await.unwrap();
        let answer: QueryAnswer =
            serde_json::from_slice(&body).unwrap_or_else(|_| panic!("{status}: {body:?}"));
        assert_eq!(
            (answer.coverage.answered, answer.coverage.total),
            (8, 8),
            "{:?}",
            answer.coverage
        );
    }
    let load = LoadOptions {
        path: "/v1/query/search".into(),
        rate: 100.0,
        duration: Duration::from_secs(2),
        deadline_ms: 500,
        seed: 1,
    };
    let report = run(balancer, load).await;
    assert_eq!(report.answered, report.sent, "{report:?}");
}
