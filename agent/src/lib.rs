//! The agent protocol, spoken between a planner and machines, the registry, voters, other planners,
//! clients and operators. The frames are defined in `proto/agent.proto`.
//!
//! - `session`: state machine of one side of a connection, without I/O
//! - `link`: runs a session over a stream on tokio
//! - `link_health`: failure detector of a link
//! - `dial_queue`: schedules connection attempts
//! - `acceptor`: accepts connections
//! - `attempt_table`: the attempts known to a machine
//! - `frame_decoder`: decodes frames for an observer of a connection
//! - `traffic`: counters of frames and bytes of all links of a process
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

/// Version of the protocol that this code implements.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum size of a received frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Reasons for which a machine refuses an attempt, sent in `Refused.why`. The placement module
/// reads the same numbers.
pub mod refusal_reason {
    /// The machine has too few free cores.
    pub const NO_CORES: u32 = 1;
    /// The machine has too little free memory.
    pub const NO_MEMORY: u32 = 2;
    /// Too many attempts are queued on the machine.
    pub const QUEUE_TOO_LONG: u32 = 3;
    /// The machine is of the wrong kind or draining, the attempt timed out, another attempt of the
    /// task is active, or the planner's epoch is not the latest one.
    pub const NOT_HERE: u32 = 4;
}
