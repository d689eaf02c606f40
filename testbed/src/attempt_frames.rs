//! Frames about attempts, as every simulated machine sends them.
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::wire::{self, Body, Launch, LaunchId, Report};

/// An attempt: the planner's name, and the planner's number of the launch.
pub(crate) type AttemptKey = (String, AttemptId);

pub(crate) fn to_wire(id: AttemptId) -> Option<LaunchId> {
    Some(LaunchId { epoch: id.0, number: id.1 })
}

/// A missing number is one that no launch has.
pub(crate) fn from_wire(id: Option<LaunchId>) -> AttemptId {
    id.map_or((0, 0), |id| (id.epoch, id.number))
}

/// The frame of a reply; none where there is nothing to say.
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

/// The inventory of a planner's attempts.
pub(crate) fn inventory(held: Vec<(AttemptId, AttemptState, Launch)>, draining: bool) -> Body {
    let held = held.into_iter().map(|(_, state, launch)| wire::Held {
        launch: Some(launch),
        accepted: state != AttemptState::Queued,
        running: state == AttemptState::Running,
    });
    Body::Inventory(wire::Inventory { held: held.collect(), draining })
}

/// That an attempt runs, and what it uses: cores and memory.
pub(crate) fn running(id: AttemptId, key: &str, usage: (f64, f64)) -> [Body; 3] {
    let id = to_wire(id);
    let usage_note = |sort, value| Body::Note(wire::Note { id, key: key.to_owned(), sort, value });
    let running = Body::Running(wire::Running { id, key: key.to_owned() });
    [running, usage_note(2, usage.0), usage_note(3, usage.1)]
}
