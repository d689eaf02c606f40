//! The agent protocol: between a planner and machines, the registry, clients and operators. `session` is the
//! protocol without I/O, `link_health` judges silence, `dial_queue` says when to connect again, `link` runs a
//! session over a stream on tokio, `acceptor` accepts connections, `attempt_table` is a machine's memory of
//! its attempts, `traffic` counts what all links carry. The frames are published in `proto/agent.proto`.
pub mod acceptor;
pub mod attempt_table;
pub mod dial_queue;
pub mod frame_decoder;
pub mod link;
pub mod link_health;
pub mod session;
pub mod traffic;

/// Types of the frames, generated from `proto/agent.proto`.
#[allow(
    clippy::large_enum_variant,
    clippy::doc_overindented_list_items,
    missing_docs,
    reason = "generated; the proto file documents what needs it"
)]
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
/// Why a machine refused an attempt, as in `Refused.why`; the placement module reads the same numbers.
pub mod refusal_reason {
    /// Too few cores are free.
    pub const NO_CORES: u32 = 1;
    /// Too little memory is free.
    pub const NO_MEMORY: u32 = 2;
    /// Too many attempts wait already.
    pub const QUEUE_TOO_LONG: u32 = 3;
    /// Wrong kind of machine, draining, too late, another attempt of the task is there, or the planner's epoch
    /// is an older one.
    pub const NOT_HERE: u32 = 4;
}
