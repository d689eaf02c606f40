//! Decodes the frames of a stream for an observer that does not take part in the session.
use crate::wire::{Body, Frame};
use crate::MAX_FRAME_BYTES;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Splits a stream of bytes into frames.
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        FrameDecoder { codec, buffer: BytesMut::new() }
    }
}

impl FrameDecoder {
    /// Appends the next bytes of the stream.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame: its bytes with the length prefix, and its body, which is
    /// `None` if it cannot be decoded. Returns `None` while no frame is complete, and also if the
    /// announced length is over the limit.
    pub fn next_frame(&mut self) -> Option<(Vec<u8>, Option<Body>)> {
        let frame = self.codec.decode(&mut self.buffer).ok()??;
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        Some((bytes, Frame::decode(&frame[..]).ok().and_then(|decoded| decoded.body)))
    }
}
