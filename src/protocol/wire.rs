//! How requests, answers and refusals look towards callers and servers; one codec for each deployment.

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{HeaderMap, StatusCode, http::request, http::response};

use crate::coordination::attempt::Said;

/// What a caller asks beside method, path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Identity of the request, which servers echo.
    pub id: String,
    /// How long the caller waits, if it said.
    pub left: Option<Duration>,
}

/// What the head of a server's answer tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadTold {
    /// The server's word that it did not run the request.
    pub said: Option<Said>,
    /// The request that it answers.
    pub id: Option<String>,
    /// Requests running and waiting there, and its slots.
    pub load: Option<(u32, u32)>,
    /// The server's signature of the answer.
    pub signature: Option<HeaderValue>,
    /// How long it keeps an idle connection.
    pub keeps_idle: Option<Duration>,
    /// The body is not as the server made it.
    pub encoded: bool,
}

/// Why a caller gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declined {
    /// No routes are known yet.
    NoRoutes,
    /// No route matches.
    NoRoute,
    /// The request has no identity.
    NoId,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come in time.
    TooSlow,
    /// The body ended early.
    Broken,
    /// It has not run and will not; asking again after this time may help.
    NotRun {
        /// When to ask again.
        after: Duration,
    },
    /// It may have run, and no answer came.
    Failed,
    /// It may have run, and no answer came in time.
    TimedOut,
}

impl Declined {
    /// Returns a word for logs and metrics.
    pub fn kind(self) -> &'static str {
        match self {
            Declined::NoRoutes => "no_routes",
            Declined::NoRoute => "no_route",
            Declined::NoId => "no_id",
            Declined::TooLarge => "too_large",
            Declined::TooSlow => "too_slow",
            Declined::Broken => "broken_body",
            Declined::NotRun { .. } => "not_run",
            Declined::Failed => "failed",
            Declined::TimedOut => "timed_out",
        }
    }
}

/// A codec towards callers and servers.
pub trait Wire: Send + Sync + 'static {
    /// Reads what a caller asks; `None` when the request has no identity.
    fn ask(&self, head: &request::Parts) -> Option<Ask>;
    /// Returns the headers of the request for a server, which may take as long as `left`.
    fn forward(&self, head: &request::Parts, server: &str, left: Duration) -> HeaderMap;
    /// Reads the head of a server's answer.
    fn told(&self, head: &response::Parts) -> HeadTold;
    /// Returns the headers of a server's answer as a caller gets them.
    fn pass_on(&self, headers: &HeaderMap) -> HeaderMap;
    /// Says whether a server's status may be passed on though the server may have run the request.
    fn passes(&self, status: StatusCode) -> bool;
    /// Returns the headers of an answer made of parts.
    fn gathered(&self, signatures: &[HeaderValue], missing: usize) -> HeaderMap;
    /// Returns status and headers for a request that gets no server's answer.
    fn decline(&self, declined: Declined) -> (StatusCode, HeaderMap);
    /// Returns the size of a record in a part.
    fn record_size(&self) -> usize;
}
