//! What each end of an attempt proves. The table is in `docs/design/agent-path.md`, and here it is decided.

/// What was observed of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// No byte of it was handed to the stream.
    Unsent,
    /// The machine said that it will not run it.
    Refused,
    /// It is not in the inventory of a machine that has put the link it was sent on out of use.
    Absent,
    /// The machine tried to start it and failed.
    Failed,
    /// No answer came within the attempt's timeout.
    TimedOut,
    /// The link ended after a byte of it was handed over.
    LinkCut,
    /// The machine that it was sent to restarted, or is gone.
    MachineLost,
    /// The machine accepted it.
    Accepted,
    /// The machine said that it ended.
    Ended,
}

/// Whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// It did not: any task may be started again.
    NeverRan,
    /// Unknown: whether there may be a further attempt depends on the task's idempotency.
    MayHaveRun,
    /// It did.
    Ran,
}

impl Evidence {
    /// What this proves.
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
