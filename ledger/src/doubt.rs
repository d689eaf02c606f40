//! What each end of a launch proves. The table is in `docs/design/agent-path.md`, and here it is decided.

/// What was seen of a launch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Seen {
    /// No byte of it was handed to the stream.
    Unsent,
    /// The machine said that it will not run it.
    Refused,
    /// It is not in the inventory of a machine that has put the link it was sent on out of use.
    Absent,
    /// The machine tried to start it and failed.
    Failed,
    /// The planner's patience was over.
    TimedOut,
    /// The link ended after a byte of it was handed over.
    LinkCut,
    /// The machine that it was sent to started anew, or is gone.
    MachineLost,
    /// The machine accepted it.
    Accepted,
    /// The machine said that it ended.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// Any task may be launched again.
    NeverRan,
    /// A further launch is a matter of the task's kind.
    MayHaveRun,
    Ran,
}

pub fn proof(seen: Seen) -> Proof {
    match seen {
        Seen::Unsent | Seen::Refused | Seen::Absent => Proof::NeverRan,
        Seen::Failed | Seen::TimedOut | Seen::LinkCut | Seen::MachineLost => Proof::MayHaveRun,
        Seen::Accepted | Seen::Ended => Proof::Ran,
    }
}
