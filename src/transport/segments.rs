//! Bodies as segments of one size, from a pool that the process shares.
//!
//! Blocks of many sizes leave holes that no later block fits, and each thread's allocator keeps what it has freed: memory that one
//! crowd took would not serve the next one. A segment that is given back serves whoever asks next.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

/// Size of a segment, in bytes; small, since each body in several frames takes at least one.
pub(crate) const SEGMENT_BYTES: usize = 4 << 10;

/// The segments that are not in use; there are as many in all as were in use at the same time.
static FREE: Mutex<Vec<Box<[u8]>>> = Mutex::new(Vec::new());

/// A segment in use; given back when dropped.
struct Segment {
    block: Box<[u8]>,
    len: usize,
}

impl Segment {
    fn take() -> Self {
        let free = FREE.lock().pop();
        Self { block: free.unwrap_or_else(|| vec![0; SEGMENT_BYTES].into()), len: 0 }
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        FREE.lock().push(std::mem::take(&mut self.block));
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.block[..self.len]
    }
}

/// An incomplete body, copied into segments.
#[derive(Default)]
pub(crate) struct Segments {
    segments: Vec<Segment>,
    len: usize,
}

impl Segments {
    /// Returns the number of bytes that are allocated to append `bytes` more.
    pub(crate) fn growth(&self, bytes: usize) -> usize {
        let free = self.segments.len() * SEGMENT_BYTES - self.len;
        bytes.saturating_sub(free).next_multiple_of(SEGMENT_BYTES)
    }

    /// Appends `data`.
    pub(crate) fn push(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            if self.segments.last().is_none_or(|last| last.len == SEGMENT_BYTES) {
                self.segments.push(Segment::take());
            }
            let Some(last) = self.segments.last_mut() else { return };
            let (head, rest) = data.split_at(data.len().min(SEGMENT_BYTES - last.len));
            last.block[last.len..last.len + head.len()].copy_from_slice(head);
            last.len += head.len();
            data = rest;
        }
    }

    /// Returns the whole body as one block; gives back each segment as soon as it is copied.
    pub(crate) fn concat(self) -> Bytes {
        let mut body = BytesMut::with_capacity(self.len);
        for segment in self.segments {
            body.extend_from_slice(segment.as_ref());
        }
        body.freeze()
    }
}

/// A complete body, in one or more segments.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody(VecDeque<Bytes>);

impl From<Bytes> for SegmentedBody {
    fn from(bytes: Bytes) -> Self {
        Self(VecDeque::from([bytes]))
    }
}

impl From<Segments> for SegmentedBody {
    fn from(body: Segments) -> Self {
        Self(body.segments.into_iter().map(Bytes::from_owner).collect())
    }
}

impl SegmentedBody {
    /// Returns the size, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    /// Returns the body as one block.
    pub(crate) fn to_bytes(&self) -> Bytes {
        if let [only] = self.0.as_slices().0 {
            return only.clone();
        }
        let mut body = BytesMut::with_capacity(self.len());
        self.0.iter().for_each(|segment| body.extend_from_slice(segment));
        body.freeze()
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = std::iter::from_fn(|| self.0.pop_front()).find(Bytes::has_remaining);
        Poll::Ready(next.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.iter().all(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
