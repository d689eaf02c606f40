//! What the end of an attempt proves about whether it ran, as tabulated in
//! `docs/design/agent-path.md`.

/// Observation about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// No byte of the attempt's launch was handed to the stream.
    Unsent,
    /// The machine refused the attempt.
    Refused,
    /// The attempt is missing from the inventory of a machine that ignores the link on which it was
    /// sent.
    Absent,
    /// The machine tried to start the attempt and failed.
    Failed,
    /// The machine did not answer within the attempt's timeout.
    TimedOut,
    /// The link ended after a byte of the launch was handed over.
    LinkCut,
    /// The machine to which the attempt was sent restarted or is gone.
    MachineLost,
    /// The machine accepted the attempt.
    Accepted,
    /// The machine reported the end of the attempt.
    Ended,
}

/// What is known about whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// The attempt did not run: the task may be started again, whatever its idempotency.
    NeverRan,
    /// Unknown: the task's idempotency decides whether the task may be started again.
    MayHaveRun,
    /// The attempt ran.
    Ran,
}

impl Evidence {
    /// Returns what the observation proves.
    pub fn proof(self) -> Proof {
        match self {
            Evidence::Unsent | Evidence::Refused | Evidence::Absent => Proof::NeverRan,
            Evidence::Failed | Evidence::TimedOut | Evidence::LinkCut | Evidence::MachineLost => {
                Proof::MayHaveRun
            }
            Evidence::Accepted | Evidence::Ended => Proof::Ran,
        }
    }
}
