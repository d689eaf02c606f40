//! Frames as they lie on the stream: for whoever looks at bytes without holding the conversation.
use crate::wire::{Body, Frame};
use crate::MOST_FRAME;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Cuts a stream into frames.
pub struct Cutter {
    codec: LengthDelimitedCodec,
    inbox: BytesMut,
}

impl Default for Cutter {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME).new_codec();
        Cutter { codec, inbox: BytesMut::new() }
    }
}

impl Cutter {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.extend_from_slice(bytes);
    }

    /// The next whole frame: its bytes with their length before them, and what it says, if anything.
    pub fn cut(&mut self) -> Option<(Vec<u8>, Option<Body>)> {
        let frame = self.codec.decode(&mut self.inbox).ok()??;
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        Some((bytes, Frame::decode(&frame[..]).ok().and_then(|f| f.body)))
    }
}
