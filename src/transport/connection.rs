//! The socket of a caller's connection, which records what the connection is doing.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::transport::admission::Hold;
use crate::transport::http::FullResponse;
use crate::transport::segments::SegmentedBody;

/// A socket that records what is read and written.
///
/// Once the connection is to be closed and nothing more has arrived, the HTTP library reads the end of the stream, as if the caller
/// had closed it, and closes it in order.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    hold: Arc<Hold>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, hold: Arc<Hold>) -> Self {
        Self { stream, hold }
    }

    fn record_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.hold.record_write();
        }
        result
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(result) => {
                if buf.filled().len() > before {
                    self.hold.record_read();
                }
                Poll::Ready(result)
            }
            Poll::Pending if self.hold.is_closing() => Poll::Ready(Ok(())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // the HTTP library flushes once it has written all that it holds
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.hold.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Records an answer, which is held until its caller has read it.
///
/// The connection of a request that was given up is closed with its refusal.
pub(crate) fn track_answer(mut res: FullResponse, hold: Arc<Hold>) -> Response<TrackedBody> {
    if hold.is_refused() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    hold.begin_answer(res.body().len());
    res.map(|body| TrackedBody { body, hold })
}

/// The body of an answer, which records that all of it was handed over to be written.
pub(crate) struct TrackedBody {
    body: SegmentedBody,
    hold: Arc<Hold>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.hold.record_answer();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <SegmentedBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
