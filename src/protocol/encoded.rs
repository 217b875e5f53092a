//! Values that are encoded and compressed once, however many members they are sent to.
//!
//! The load pattern: hundreds of servers register within seconds, and each change of their entries goes to all members of a
//! failure domain. The instance that sends it gathers requests on the same processor and the same link. The entries of
//! servers are alike, so that a change takes a small part of its size on the link.

use std::io::{Read, Write};
use std::marker::PhantomData;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::protocol::frames::{FrameError, MAX_FRAME_BYTES};

/// Maximum size of a decompressed value, in bytes: that of a frame with it as it is.
const MAX_VALUE_BYTES: u64 = MAX_FRAME_BYTES as u64;

/// A compressed value; messages carry it as a byte string.
#[derive(Debug, Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct Encoded<T> {
    buf: Bytes,
    #[serde(skip)]
    value: PhantomData<fn() -> T>,
}

impl<T> Clone for Encoded<T> {
    fn clone(&self) -> Self {
        Self { buf: self.buf.clone(), value: PhantomData }
    }
}

impl<T> Encoded<T> {
    /// Returns the compressed size, in bytes.
    pub fn compressed_bytes(&self) -> usize {
        self.buf.len()
    }
}

impl<T: Serialize> Encoded<T> {
    /// Encodes and compresses a value.
    ///
    /// # Errors
    /// When the value cannot be serialized.
    pub fn new(value: &T) -> Result<Self, FrameError> {
        let mut buf = Vec::new();
        ciborium::into_writer(value, &mut buf).map_err(codec_error)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&buf).map_err(codec_error)?;
        let buf = encoder.finish().map_err(codec_error)?;
        Ok(Self { buf: buf.into(), value: PhantomData })
    }
}

impl<T: DeserializeOwned> Encoded<T> {
    /// Decodes the value.
    ///
    /// # Errors
    /// When the bytes are no encoded value of this type, or decompress to more than a frame may hold.
    pub fn decode(&self) -> Result<T, FrameError> {
        let mut buf = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.buf[..]).take(MAX_VALUE_BYTES + 1);
        decoder.read_to_end(&mut buf).map_err(codec_error)?;
        if buf.len() as u64 > MAX_VALUE_BYTES {
            return Err(FrameError::Codec("size limit exceeded".into()));
        }
        ciborium::from_reader(&buf[..]).map_err(codec_error)
    }
}

fn codec_error(e: impl ToString) -> FrameError {
    FrameError::Codec(e.to_string())
}
