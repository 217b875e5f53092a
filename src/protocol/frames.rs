//! Frames of a peer link: one CBOR array of messages in one WebSocket message.
//!
//! All messages that are ready when the link is flushed share a frame, so that sub-requests to one
//! peer travel in batches and none waits for another's answer.

use std::collections::VecDeque;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::{Sink, Stream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::tungstenite;
use tungstenite::Message;

/// Most bytes of one frame: a configuration of a megabyte with room to spare.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Messages after which a batch is closed.
const MAX_BATCH_MESSAGES: usize = 256;

/// A fault of a peer link.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The WebSocket failed.
    #[error("link: {0}")]
    Link(#[from] tungstenite::Error),
    /// A frame could not be understood.
    #[error("frame: {0}")]
    Frame(String),
}

/// Encodes a batch.
pub fn encode_batch<T: Serialize>(batch: &[T]) -> Result<Bytes, FrameError> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(batch, &mut buf).map_err(|e| FrameError::Frame(e.to_string()))?;
    Ok(buf.into())
}

/// Decodes a batch.
pub fn decode_batch<T: DeserializeOwned>(buf: &[u8]) -> Result<Vec<T>, FrameError> {
    if buf.len() > MAX_FRAME_BYTES {
        return Err(FrameError::Frame("too long".into()));
    }
    ciborium::from_reader(buf).map_err(|e| FrameError::Frame(e.to_string()))
}

/// A stream and sink of messages over a WebSocket.
pub struct FrameTransport<W, In, Out> {
    ws: W,
    read: VecDeque<In>,
    batch: Vec<Out>,
    sent: Arc<AtomicU64>,
    kind: PhantomData<fn() -> In>,
}

impl<W, In, Out> FrameTransport<W, In, Out> {
    /// Wraps a WebSocket; the bytes of all frames sent are added to `sent`.
    pub fn new(ws: W, sent: Arc<AtomicU64>) -> Self {
        Self { ws, read: VecDeque::new(), batch: Vec::new(), sent, kind: PhantomData }
    }
}

impl<W, In, Out> Stream for FrameTransport<W, In, Out>
where
    W: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
    In: DeserializeOwned + Unpin,
    Out: Unpin,
{
    type Item = Result<In, FrameError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(message) = self.read.pop_front() {
                return Poll::Ready(Some(Ok(message)));
            }
            match ready!(Pin::new(&mut self.ws).poll_next(cx)) {
                Some(Ok(Message::Binary(buf))) => match decode_batch(&buf) {
                    Ok(batch) => self.read = batch.into(),
                    Err(e) => return Poll::Ready(Some(Err(e))),
                },
                Some(Ok(Message::Close(_))) | None => return Poll::Ready(None),
                Some(Ok(_)) => {}
                Some(Err(e)) => return Poll::Ready(Some(Err(e.into()))),
            }
        }
    }
}

impl<W, In, Out> FrameTransport<W, In, Out>
where
    W: Sink<Message, Error = tungstenite::Error> + Unpin,
    In: Unpin,
    Out: Serialize + Unpin,
{
    fn send_batch(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        if self.batch.is_empty() {
            return Poll::Ready(Ok(()));
        }
        ready!(Pin::new(&mut self.ws).poll_ready(cx))?;
        let buf = encode_batch(&self.batch)?;
        self.batch.clear();
        self.sent.fetch_add(buf.len() as u64, Ordering::Relaxed);
        Pin::new(&mut self.ws).start_send(Message::Binary(buf))?;
        Poll::Ready(Ok(()))
    }
}

impl<W, In, Out> Sink<Out> for FrameTransport<W, In, Out>
where
    W: Sink<Message, Error = tungstenite::Error> + Unpin,
    In: Unpin,
    Out: Serialize + Unpin,
{
    type Error = FrameError;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        if self.batch.len() < MAX_BATCH_MESSAGES {
            Poll::Ready(Ok(()))
        } else {
            self.send_batch(cx)
        }
    }

    fn start_send(mut self: Pin<&mut Self>, item: Out) -> Result<(), FrameError> {
        self.batch.push(item);
        Ok(())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        ready!(self.send_batch(cx))?;
        Pin::new(&mut self.ws).poll_flush(cx).map_err(FrameError::from)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        ready!(self.send_batch(cx))?;
        Pin::new(&mut self.ws).poll_close(cx).map_err(FrameError::from)
    }
}
