//! Framing of a peer link: each WebSocket message carries one CBOR array of messages.
//!
//! All messages that are ready when the link is flushed share a frame, so sub-requests to one peer
//! are sent in batches and none waits for the answer to another.

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

/// Maximum size of a frame, in bytes; leaves ample room for a configuration of one megabyte.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Maximum number of messages in a batch.
const MAX_BATCH_MESSAGES: usize = 256;

/// An error of a peer link.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The WebSocket failed.
    #[error("WebSocket: {0}")]
    WebSocket(#[from] tungstenite::Error),
    /// A frame could not be encoded or decoded.
    #[error("frame: {0}")]
    Codec(String),
}

/// Encodes a batch of messages into a frame.
///
/// # Errors
/// When a message cannot be serialized.
pub fn encode_batch<T: Serialize>(batch: &[T]) -> Result<Bytes, FrameError> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(batch, &mut buf).map_err(|e| FrameError::Codec(e.to_string()))?;
    Ok(buf.into())
}

/// Encodes as many of the messages as fit a frame, at least one; returns their number too.
fn encode_frame<T: Serialize>(messages: &[T]) -> Result<(usize, Bytes), FrameError> {
    let mut count = messages.len();
    loop {
        let buf = encode_batch(&messages[..count])?;
        if buf.len() <= MAX_FRAME_BYTES || count == 1 {
            return Ok((count, buf));
        }
        count = count.div_ceil(2);
    }
}

/// Decodes a frame into its batch of messages.
///
/// # Errors
/// When the frame exceeds [`MAX_FRAME_BYTES`] or is malformed.
pub fn decode_batch<T: DeserializeOwned>(buf: &[u8]) -> Result<Vec<T>, FrameError> {
    if buf.len() > MAX_FRAME_BYTES {
        return Err(FrameError::Codec("size limit exceeded".into()));
    }
    ciborium::from_reader(buf).map_err(|e| FrameError::Codec(e.to_string()))
}

/// A transport of messages over a WebSocket: a stream of those received and a sink for those to send.
pub struct FrameTransport<W, In, Out> {
    ws: W,
    received: VecDeque<In>,
    batch: Vec<Out>,
    bytes_sent: Arc<AtomicU64>,
    incoming: PhantomData<fn() -> In>,
}

impl<W, In, Out> FrameTransport<W, In, Out> {
    /// Wraps a WebSocket; the size of each sent frame is added to `bytes_sent`.
    pub fn new(ws: W, bytes_sent: Arc<AtomicU64>) -> Self {
        Self { ws, received: VecDeque::new(), batch: Vec::new(), bytes_sent, incoming: PhantomData }
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
            if let Some(message) = self.received.pop_front() {
                return Poll::Ready(Some(Ok(message)));
            }
            match ready!(Pin::new(&mut self.ws).poll_next(cx)) {
                Some(Ok(Message::Binary(buf))) => match decode_batch(&buf) {
                    Ok(batch) => self.received = batch.into(),
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
        while !self.batch.is_empty() {
            ready!(Pin::new(&mut self.ws).poll_ready(cx))?;
            let (count, buf) = encode_frame(&self.batch)?;
            self.batch.drain(..count);
            self.bytes_sent.fetch_add(buf.len() as u64, Ordering::Relaxed);
            Pin::new(&mut self.ws).start_send(Message::Binary(buf))?;
        }
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
