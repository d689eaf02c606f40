//! Tests of the evidence about a zone that follows from the opinions of planners.
#![allow(clippy::too_many_lines, reason = "one table of cases")]
use basaltpitch_zone_failover::{evidence, Evidence, Observation, Opinion};
use Opinion::{Healthy, Partial, Unknown, Unreachable};

/// Returns the evidence about zone 0, from the zone of each observing planner and its opinion.
fn evidence_of(slots: usize, opinions: &[(usize, Opinion)]) -> Evidence {
    let observations: Vec<Observation> =
        opinions.iter().map(|&(zone, opinion)| Observation { zone, opinion, planners: 1 }).collect();
    let separate = evidence(0, slots, &observations);
    // Planners of one zone with the same opinion count the same when they are merged into one
    // observation.
    let mut merged: Vec<Observation> = Vec::new();
    for observation in observations {
        let same = merged
            .iter_mut()
            .find(|other| (other.zone, other.opinion) == (observation.zone, observation.opinion));
        if let Some(same) = same {
            same.planners += 1;
        } else {
            merged.push(observation);
        }
    }
    assert_eq!(evidence(0, slots, &merged), separate, "{merged:?}");
    separate
}

#[test]
fn evidence_distinguishes_a_failed_zone_from_an_unreachable_one() {
    let cases = [
        (
            "all planners consider the zone healthy",
            6,
            vec![(0, Healthy), (0, Healthy), (1, Healthy), (1, Healthy), (2, Healthy), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "the zone and its planners are gone",
            6,
            vec![(1, Unreachable), (1, Unreachable), (2, Unreachable), (2, Unreachable)],
            Evidence::Failed,
        ),
        (
            "its machines are gone, its planners run",
            6,
            vec![
                (0, Unreachable),
                (0, Unreachable),
                (1, Unreachable),
                (1, Unreachable),
                (2, Unreachable),
                (2, Unreachable),
            ],
            Evidence::Failed,
        ),
        (
            "its planners are gone, its machines run",
            6,
            vec![(1, Healthy), (1, Healthy), (2, Healthy), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "the zone is cut off and alive",
            6,
            vec![(0, Healthy), (1, Unreachable), (1, Unreachable), (2, Unreachable), (2, Unreachable)],
            Evidence::Partitioned,
        ),
        (
            "half of the planners outside reach the zone",
            6,
            vec![(1, Unreachable), (1, Unreachable), (2, Healthy), (2, Healthy)],
            Evidence::Disputed,
        ),
        (
            "one planner alone cannot reach the zone",
            6,
            vec![(1, Unreachable), (1, Healthy), (2, Healthy), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "too few planners have fresh reports",
            6,
            vec![(1, Unreachable), (1, Unreachable), (2, Unreachable)],
            Evidence::NoQuorum,
        ),
        (
            "some machines of the zone are gone",
            6,
            vec![(1, Partial), (1, Partial), (2, Partial), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "most planners have just started and know no machine",
            6,
            vec![(1, Unknown), (1, Unknown), (2, Unknown), (2, Healthy)],
            Evidence::Healthy,
        ),
    ];
    for (case, slots, opinions, expected) in cases {
        assert_eq!(evidence_of(slots, &opinions), expected, "{case}");
    }
}

#[test]
fn opinion_follows_the_fraction_of_ready_machines() {
    let cases = [
        (0.0, 0.0, Unknown),
        (10.0, 0.0, Unreachable),
        (10.0, 2.0, Unreachable),
        (10.0, 3.0, Partial),
        (10.0, 6.0, Healthy),
    ];
    for (machines, ready, expected) in cases {
        assert_eq!(Opinion::from_counts(machines, ready), expected, "{ready} of {machines}");
    }
}
