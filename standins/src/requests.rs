//! Callers of non-idempotent requests, some of whom try again with the same key through another instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tamarackdeck::{Refusal, RequestAnswer};

use crate::load::Balancer;

/// What a caller was told in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    Answered,
    NotRun,
    Unknown,
}

/// What callers were told, by the body of their request; every body is used by one caller alone.
pub type ToldByBody = IndexMap<String, Vec<Told>>;

/// Sends requests to `service` at `rate` a second for `length`; every second one has a key and is
/// sent three times, twice at once and once later.
pub async fn run(
    balancer: Arc<Balancer>,
    service: &'static str,
    rate: f64,
    length: Duration,
) -> ToldByBody {
    let told = Arc::new(Mutex::new(ToldByBody::new()));
    let mut tasks = tokio::task::JoinSet::new();
    let count = (rate * length.as_secs_f64()) as u64;
    for n in 0..count {
        let (balancer, told) = (balancer.clone(), told.clone());
        tasks.spawn(async move {
            let body = format!("r{n}");
            if n.is_multiple_of(2) {
                let first = once(&balancer, n, service, &body, None).await;
                told.lock().entry(body).or_default().push(first);
                return;
            }
            let key = format!("key-{n}");
            let (a, b) = tokio::join!(
                once(&balancer, n, service, &body, Some(&key)),
                once(&balancer, n + 1, service, &body, Some(&key))
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
            let c = once(&balancer, n + 2, service, &body, Some(&key)).await;
            told.lock().entry(body).or_default().extend([a, b, c]);
        });
        tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
    while tasks.join_next().await.is_some() {}
    let told = told.lock();
    told.clone()
}

async fn once(balancer: &Balancer, n: u64, service: &str, body: &str, key: Option<&str>) -> Told {
    let path = format!("/v1/request/{service}");
    let headers: Vec<_> = key.map(|k| ("idempotency-key", k.to_owned())).into_iter().collect();
    let sent = balancer.send(n, &path, &headers, Bytes::from(body.to_owned()));
    let got = tokio::time::timeout(Duration::from_secs(5), sent).await.ok().flatten();
    match got {
        Some((200, answer)) if serde_json::from_slice::<RequestAnswer>(&answer).is_ok() => {
            Told::Answered
        }
        Some((_, refusal)) => match serde_json::from_slice(&refusal) {
            Ok(Refusal::NotRun { .. }) => Told::NotRun,
            _ => Told::Unknown,
        },
        None => Told::Unknown,
    }
}

/// Compares what callers were told with the runs that upstreams counted; returns what does not fit.
pub fn faults(told: &ToldByBody, runs: &IndexMap<String, u64>) -> Vec<String> {
    let check = |(body, told): (&String, &Vec<Told>)| {
        let ran = runs.get(body).copied().unwrap_or(0);
        let answered = told.contains(&Told::Answered);
        let never = told.iter().all(|t| *t == Told::NotRun);
        let fault = ran > 1 || (answered && ran != 1) || (never && ran != 0);
        fault.then(|| format!("{body} ran {ran} times, callers were told {told:?}"))
    };
    told.iter().filter_map(check).collect()
}
