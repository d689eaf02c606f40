//! The agent protocol: between a planner and machines, the register, owners and operators. `session` is the
//! conversation without I/O, `health` judges silence, `dial` says when to connect again, `link` carries a
//! session over a stream on tokio, `accepting` takes in what connects, `traffic` counts what all links carry.
//! The frames are published in `proto/agent.proto`.
pub mod acceptor;
pub mod attempt_table;
pub mod dial_queue;
pub mod frame_decoder;
pub mod link;
pub mod link_health;
pub mod session;
pub mod traffic;

/// Types of the frames, made from `proto/agent.proto`.
#[allow(clippy::large_enum_variant, clippy::doc_overindented_list_items)]
pub mod wire {
    include!(concat!(env!("OUT_DIR"), "/basaltpitch.agent.v1.rs"));
    pub use frame::Body;

    impl From<Body> for Frame {
        fn from(body: Body) -> Frame {
            Frame { body: Some(body) }
        }
    }
}

/// The version of the protocol that this code speaks.
pub const PROTOCOL_VERSION: u32 = 1;
/// The largest frame that is read, in bytes without its length.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Why a machine refused, as in `Refused.why` (the same numbers as the module reads).
pub mod refusal_reason {
    pub const NO_CORES: u32 = 1;
    pub const NO_MEMORY: u32 = 2;
    pub const QUEUE_TOO_LONG: u32 = 3;
    /// Wrong kind, draining, too late, a copy stands, or the planner's epoch is an older one.
    pub const NOT_HERE: u32 = 4;
}
