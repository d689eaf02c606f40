//! Frames as they lie on the stream: for whoever looks at bytes without holding the conversation.
use crate::wire::{Body, Frame};
use crate::MAX_FRAME_BYTES;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Cuts a stream into frames.
pub struct FrameDecoder {
    codec: LengthDelimitedCodec,
    inbox: BytesMut,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        FrameDecoder { codec, inbox: BytesMut::new() }
    }
}

impl FrameDecoder {
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.inbox.extend_from_slice(bytes);
    }

    /// The next whole frame: its bytes with their length before them, and what it says, if anything.
    pub fn next_frame(&mut self) -> Option<(Vec<u8>, Option<Body>)> {
        let frame = self.codec.decode(&mut self.inbox).ok()??;
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        Some((bytes, Frame::decode(&frame[..]).ok().and_then(|f| f.body)))
    }
}
