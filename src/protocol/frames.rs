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

/// Maximum size of the header of a frame's array, in bytes: one for the type, two for the number of messages.
const MAX_ARRAY_HEADER_BYTES: usize = 3;

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
    encode(batch, &mut buf)?;
    Ok(buf.into())
}

/// The messages of a link that wait to be sent, each of which is encoded once.
struct Outbox<T> {
    messages: VecDeque<T>,
    /// The encoded message that did not fit the last frame; empty if there is none.
    overflow: Vec<u8>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self { messages: VecDeque::new(), overflow: Vec::new() }
    }
}

impl<T> Outbox<T> {
    fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.overflow.is_empty()
    }

    /// Returns whether the messages fill a batch.
    fn is_full(&self) -> bool {
        self.messages.len() >= MAX_BATCH_MESSAGES
    }
}

impl<T: Serialize> Outbox<T> {
    /// Encodes as many of the messages as fit a frame, at least one.
    fn next_frame(&mut self) -> Result<Bytes, FrameError> {
        let mut buf = Vec::with_capacity(256);
        buf.resize(MAX_ARRAY_HEADER_BYTES, 0);
        buf.append(&mut self.overflow);
        let mut count = u16::from(buf.len() > MAX_ARRAY_HEADER_BYTES);
        while usize::from(count) < MAX_BATCH_MESSAGES
            && let Some(message) = self.messages.pop_front()
        {
            let start = buf.len();
            encode(&message, &mut buf)?;
            if count > 0 && buf.len() > MAX_FRAME_BYTES {
                self.overflow = buf.split_off(start);
                break;
            }
            count += 1;
        }
        let header_start = write_array_header(count, &mut buf);
        Ok(Bytes::from(buf).slice(header_start..))
    }
}

fn encode<T: Serialize + ?Sized>(value: &T, buf: &mut Vec<u8>) -> Result<(), FrameError> {
    ciborium::into_writer(value, buf).map_err(|e| FrameError::Codec(e.to_string()))
}

/// Writes the header of a CBOR array into the room before its elements; returns where it starts.
fn write_array_header(count: u16, buf: &mut [u8]) -> usize {
    const ARRAY: u8 = 4 << 5; // the major type, RFC 8949 section 3.1
    let [high, low] = count.to_be_bytes();
    let header: &[u8] = match count {
        0..24 => &[ARRAY | low],
        24..256 => &[ARRAY | 24, low],
        256.. => &[ARRAY | 25, high, low],
    };
    let start = MAX_ARRAY_HEADER_BYTES - header.len();
    buf[start..MAX_ARRAY_HEADER_BYTES].copy_from_slice(header);
    start
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
    outbox: Outbox<Out>,
    bytes_sent: Arc<AtomicU64>,
    incoming: PhantomData<fn() -> In>,
}

impl<W, In, Out> FrameTransport<W, In, Out> {
    /// Wraps a WebSocket; the size of each sent frame is added to `bytes_sent`.
    pub fn new(ws: W, bytes_sent: Arc<AtomicU64>) -> Self {
        Self {
            ws,
            received: VecDeque::new(),
            outbox: Outbox::default(),
            bytes_sent,
            incoming: PhantomData,
        }
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
        while !self.outbox.is_empty() {
            ready!(Pin::new(&mut self.ws).poll_ready(cx))?;
            let buf = self.outbox.next_frame()?;
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
        if self.outbox.is_full() { self.send_batch(cx) } else { Poll::Ready(Ok(())) }
    }

    fn start_send(mut self: Pin<&mut Self>, item: Out) -> Result<(), FrameError> {
        self.outbox.messages.push_back(item);
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
