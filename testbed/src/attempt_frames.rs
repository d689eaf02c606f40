//! Builds the frames about attempts that simulated machines send, and converts attempt ids to and
//! from the protocol.
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::wire::{self, Body, Launch, LaunchId, Report};

/// Identifies an attempt across planners: the planner's name, and the attempt's id at that planner.
pub(crate) type AttemptKey = (String, AttemptId);

/// Returns an attempt's id in the form that frames contain.
pub(crate) fn to_wire(id: AttemptId) -> Option<LaunchId> {
    Some(LaunchId { epoch: id.0, number: id.1 })
}

/// Returns the attempt id that a frame holds. A missing id becomes (0, 0), which no attempt has.
pub(crate) fn from_wire(id: Option<LaunchId>) -> AttemptId {
    id.map_or((0, 0), |id| (id.epoch, id.number))
}

/// Returns the frame that sends a reply to the planner, or `None` for [`AttemptReply::Nothing`].
pub(crate) fn reply(id: AttemptId, key: String, reply: AttemptReply, report: Option<Report>) -> Option<Body> {
    let id = to_wire(id);
    Some(match reply {
        AttemptReply::Nothing => return None,
        AttemptReply::Accepted => Body::Yes(wire::Yes { id, key, report }),
        AttemptReply::NotHere => {
            Body::Refused(wire::Refused { id, key, why: refusal_reason::NOT_HERE, report })
        }
        AttemptReply::Failed => Body::Failed(wire::Failed { id, key, report }),
        AttemptReply::Ended(how) => Body::Ended(wire::Ended { id, key, how: i32::from(how), report }),
    })
}

/// Returns the inventory frame that lists a planner's attempts.
pub(crate) fn inventory(held: Vec<(AttemptId, AttemptState, Launch)>, draining: bool) -> Body {
    let held = held.into_iter().map(|(_, state, launch)| wire::Held {
        launch: Some(launch),
        accepted: state != AttemptState::Queued,
        running: state == AttemptState::Running,
    });
    Body::Inventory(wire::Inventory { held: held.collect(), draining })
}

/// Returns the frames for a started attempt: that it runs, and its usage of cores (note sort 2) and
/// of memory (note sort 3).
pub(crate) fn running(id: AttemptId, key: &str, usage: (f64, f64)) -> [Body; 3] {
    let id = to_wire(id);
    let usage_note = |sort, value| Body::Note(wire::Note { id, key: key.to_owned(), sort, value });
    let running = Body::Running(wire::Running { id, key: key.to_owned() });
    [running, usage_note(2, usage.0), usage_note(3, usage.1)]
}
