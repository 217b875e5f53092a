//! The operator's configuration.

use crate::HOST;

/// A route to one service.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    /// `safe` or `unsafe`.
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

/// Returns the content of `config/main`.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let route = |r: &Route<'_>| {
        format!(
            r#"{{"name":"{}","hostname":"{HOST}","pathPrefix":"{}","type":"{}","timeoutMs":{},"targetLatencyMs":400,"priority":2,"backend":"{}","maxAttempts":2}}"#,
            r.name, r.prefix, r.kind, r.timeout_ms, r.service
        )
    };
    let service = |name: &&str| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"configVersion":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
