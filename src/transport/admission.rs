//! Admission of connections and requests from callers, within the budget of what is held for them.

use std::marker::PhantomData;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use parking_lot::Mutex;
use prometheus::IntCounterVec;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::coordination::caller_budget::{
    CallerBudget, CallerBudgetOptions, Eviction, Grant, Opening, UNREAD_BYTES,
};
use crate::coordination::connection::CallerConnection;
use crate::state::arena::CallerKey;
use crate::state::routes::CallerLimits;
use crate::state::time::Tick;
use crate::transport::clock::Clock;

/// Interval at which a connection that a stop may close is polled again.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which a connection that was given up is closed; a newcomer waits no longer for its place.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a listener asks to be buffered for each of its sockets; the kernel doubles it for its own bookkeeping.
const RECEIVE_BUFFER_BYTES: usize = UNREAD_BYTES / 2;

/// The signals by which a connection learns what of it was given up.
#[derive(Clone, Debug, Default)]
struct Signals {
    /// The request that arrives is to be refused.
    refused: CancellationToken,
    /// The connection is to be closed.
    closed: CancellationToken,
}

/// Admits connections of callers, and what is held for them, to one budget.
pub(crate) struct Admission {
    budget: CallerBudget<Signals>,
    clock: Clock,
    /// Notified of each connection that is closed.
    closed: Notify,
    /// What was given up, by kind.
    given_up: IntCounterVec,
}

impl Admission {
    pub(crate) fn new(opts: CallerBudgetOptions, clock: Clock, given_up: IntCounterVec) -> Self {
        Self { budget: CallerBudget::new(opts), clock, closed: Notify::new(), given_up }
    }

    /// Returns the bytes held.
    pub(crate) fn bytes(&self) -> usize {
        self.budget.bytes()
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.budget.connections()
    }

    /// Bounds what the sockets of a listener receive while nobody reads it.
    pub(crate) fn bound_sockets(listener: &TcpListener) {
        if let Err(e) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::debug!("cannot set the size of the receive buffer of a listener: {e}");
        }
    }

    /// Admits a connection; `None` if all others have whole requests at work.
    ///
    /// Connections that are given up for its place are closed before it is served.
    pub(crate) async fn open(self: &Arc<Self>, limits: CallerLimits) -> Option<Arc<Hold>> {
        let signals = Signals::default();
        let key = tokio::time::timeout(CLOSE_TIMEOUT, self.open_key(&signals)).await;
        let Ok(Some(key)) = key else {
            self.given_up.with_label_values(&["newcomer"]).inc();
            return None;
        };
        let connection = Mutex::new(CallerConnection::open(self.clock.now()));
        Some(Arc::new(Hold { admission: self.clone(), key, signals, limits, connection }))
    }

    async fn open_key(&self, signals: &Signals) -> Option<CallerKey> {
        loop {
            match self.budget.open(signals.clone(), self.clock.now()) {
                Opening::Open(key, evicted) => {
                    self.signal(evicted);
                    return Some(key);
                }
                Opening::Wait(evicted) => {
                    self.signal(evicted);
                    self.closed.notified().await;
                }
                Opening::Full(evicted) => {
                    self.signal(evicted);
                    return None;
                }
            }
        }
    }

    /// Tells the connections that were given up, and lets them give back what they hold.
    async fn give_up(&self, evicted: Vec<(Signals, Eviction)>) {
        if evicted.is_empty() {
            return;
        }
        self.signal(evicted);
        tokio::task::yield_now().await;
    }

    fn signal(&self, evicted: Vec<(Signals, Eviction)>) {
        for (signals, eviction) in evicted {
            let (signal, label) = match eviction {
                Eviction::Body => (signals.refused, "body"),
                Eviction::Connection => (signals.closed, "connection"),
            };
            signal.cancel();
            self.given_up.with_label_values(&[label]).inc();
        }
    }
}

/// What is held for one connection of a caller, and what the connection is doing; given back when dropped.
pub(crate) struct Hold {
    admission: Arc<Admission>,
    key: CallerKey,
    signals: Signals,
    limits: CallerLimits,
    connection: Mutex<CallerConnection>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.admission.budget.close(self.key);
        self.admission.closed.notify_one();
    }
}

impl Hold {
    /// Waits until the connection is given up for others.
    pub(crate) async fn given_up(&self) {
        self.signals.closed.cancelled().await;
    }

    /// Returns whether a request of the connection was given up.
    pub(crate) fn is_refused(&self) -> bool {
        self.signals.refused.is_cancelled()
    }

    fn now(&self) -> Tick {
        self.admission.clock.now()
    }

    /// Returns the limits of the connection.
    pub(crate) fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Records received bytes.
    pub(crate) fn record_read(&self) {
        let now = self.now();
        if self.connection.lock().record_read(now) {
            self.admission.budget.begin_head(self.key, now);
        }
    }

    /// Records a whole head, and returns what holds the body of its request.
    pub(crate) fn record_request(self: &Arc<Self>) -> RequestHold<Receiving> {
        self.connection.lock().record_request();
        self.admission.budget.begin_body(self.key);
        RequestHold { hold: self.clone(), stage: PhantomData }
    }

    /// Records an answer of `bytes`, which is held until it is read.
    pub(crate) fn begin_answer(&self, bytes: usize) {
        let evicted = self.admission.budget.begin_answer(self.key, bytes, self.now());
        self.admission.signal(evicted);
    }

    /// Records that all of an answer was handed over to be written.
    pub(crate) fn record_answer(&self) {
        self.connection.lock().record_answer(self.now());
    }

    /// Records that bytes were written.
    pub(crate) fn record_write(&self) {
        self.connection.lock().record_write(self.now());
    }

    /// Records that all that was handed over is written.
    pub(crate) fn record_flush(&self) {
        let now = self.now();
        if self.connection.lock().record_flush(now) {
            self.admission.budget.finish_answer(self.key, now);
        }
    }

    /// Records that the instance closes its connections.
    pub(crate) fn begin_close(&self) {
        self.connection.lock().begin_close(self.limits.header_timeout);
    }

    /// Returns whether a stop has closed the connection, if nothing more has arrived.
    pub(crate) fn is_closing(&self) -> bool {
        let closes_at = self.connection.lock().closes_at();
        closes_at.is_some_and(|at| at <= self.now())
    }

    /// Returns when the connection is to be looked at: a stop may close it, or its caller has taken too long.
    fn due_at(&self, now: Tick) -> Option<Tick> {
        let connection = self.connection.lock();
        let closes_at = connection.closes_at().map(|at| at.max(now + CLOSE_POLL_INTERVAL));
        closes_at.into_iter().chain(connection.expires_at(&self.limits)).min()
    }

    fn is_expired(&self, now: Tick) -> bool {
        self.connection.lock().expires_at(&self.limits).is_some_and(|at| at <= now)
    }
}

/// How a connection ended.
#[derive(Debug)]
pub(crate) enum End {
    /// By its caller or in order.
    Closed(hyper::Result<()>),
    /// It was given up for others.
    GivenUp,
    /// Its caller took too long.
    Expired,
}

/// Drives a connection until it ends, is given up, or its caller takes too long.
pub(crate) async fn drive(
    mut conn: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    hold: &Hold,
) -> End {
    let clock = hold.admission.clock;
    let mut closed = pin!(hold.signals.closed.cancelled());
    let mut timer = pin!(clock.sleep_until(Tick::default()));
    let mut timer_at = Tick::default();
    std::future::poll_fn(|cx| {
        loop {
            if let Poll::Ready(result) = conn.as_mut().poll(cx) {
                return Poll::Ready(End::Closed(result));
            }
            if closed.as_mut().poll(cx).is_ready() {
                return Poll::Ready(End::GivenUp);
            }
            let now = clock.now();
            if hold.is_expired(now) {
                hold.admission.given_up.with_label_values(&["expired"]).inc();
                return Poll::Ready(End::Expired);
            }
            let Some(at) = hold.due_at(now) else { return Poll::Pending };
            // most of the time the connection is due later than before, and an early look does no harm
            if at < timer_at || timer_at <= now {
                timer.set(clock.sleep_until(at));
                timer_at = at;
            }
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            timer_at = Tick::default();
        }
    })
    .await
}

/// There is no room for a request among what is held for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Stage of a request that has not arrived whole.
#[derive(Debug)]
pub struct Receiving(());
/// Stage of a request that has arrived whole, and is not given up any more.
#[derive(Debug)]
pub struct Working(());

/// What is held for a request in stage `S`.
pub struct RequestHold<S> {
    hold: Arc<Hold>,
    stage: PhantomData<S>,
}

impl RequestHold<Receiving> {
    /// Adds bytes that are held of the body.
    pub(crate) async fn receive(&self, bytes: usize) -> Result<(), NoRoom> {
        let Hold { admission, key, .. } = &*self.hold;
        let Grant { is_granted, evicted } = admission.budget.hold(*key, bytes, self.hold.now());
        admission.give_up(evicted).await;
        if is_granted { Ok(()) } else { Err(NoRoom) }
    }

    /// Waits until the request is given up for others.
    pub(crate) async fn given_up(&self) {
        self.hold.signals.refused.cancelled().await;
    }

    /// Records that the request has arrived whole, with a body of `bytes`.
    pub(crate) async fn whole(self, bytes: usize) -> Result<RequestHold<Working>, NoRoom> {
        let Hold { admission, key, signals, .. } = &*self.hold;
        let Grant { is_granted, evicted } =
            admission.budget.begin_work(*key, bytes, self.hold.now());
        admission.give_up(evicted).await;
        // a body that was given up before its end came is refused all the same, since its bytes were counted as free
        if !is_granted || signals.refused.is_cancelled() {
            return Err(NoRoom);
        }
        Ok(RequestHold { hold: self.hold, stage: PhantomData })
    }
}

impl RequestHold<Working> {
    /// Holds copies of the body until what is returned is dropped; `None` if there is no room for them.
    pub(crate) fn copies(&self, bytes: usize) -> Option<CopiesHold<'_>> {
        let Hold { admission, key, .. } = &*self.hold;
        let Grant { is_granted, evicted } = admission.budget.hold(*key, bytes, self.hold.now());
        admission.signal(evicted);
        is_granted.then_some(CopiesHold { hold: &self.hold, bytes })
    }
}

/// Copies of a request's body, such as those of a link to a peer; given back when dropped.
pub(crate) struct CopiesHold<'a> {
    hold: &'a Hold,
    bytes: usize,
}

impl Drop for CopiesHold<'_> {
    fn drop(&mut self) {
        self.hold.admission.budget.give_back(self.hold.key, self.bytes);
    }
}
