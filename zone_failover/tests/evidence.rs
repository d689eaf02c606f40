//! The evidence of a zone from what planners see of it.
#![allow(clippy::too_many_lines, reason = "one table of cases")]
use basaltpitch_zone_failover::{evidence, Evidence, Observation, Opinion};
use Opinion::{Healthy, Partial, Unknown, Unreachable};

/// Views as (where it zone, what it sees of hall 0).
fn evidence_of(seats: usize, heard: &[(usize, Opinion)]) -> Evidence {
    let views: Vec<Observation> =
        heard.iter().map(|&(zone, opinion)| Observation { zone, opinion, planners: 1 }).collect();
    let apart = evidence(0, seats, &views);
    // Those of one hall and one opinion count the same as one that zone for all of them.
    let mut whole: Vec<Observation> = Vec::new();
    for view in views {
        let same = whole.iter_mut().find(|w| (w.zone, w.opinion) == (view.zone, view.opinion));
        if let Some(same) = same {
            same.planners += 1;
        } else {
            whole.push(view);
        }
    }
    assert_eq!(evidence(0, seats, &whole), apart, "{whole:?}");
    apart
}

#[test]
fn a_failed_zone_is_distinguished_from_one_that_cannot_be_seen() {
    let cases = [
        (
            "all are well",
            6,
            vec![(0, Healthy), (0, Healthy), (1, Healthy), (1, Healthy), (2, Healthy), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "the hall went with its planners",
            6,
            vec![(1, Unreachable), (1, Unreachable), (2, Unreachable), (2, Unreachable)],
            Evidence::Failed,
        ),
        (
            "its machines went, its planners live",
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
            "its planners went, its machines live",
            6,
            vec![(1, Healthy), (1, Healthy), (2, Healthy), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "it is cut off and lives",
            6,
            vec![(0, Healthy), (1, Unreachable), (1, Unreachable), (2, Unreachable), (2, Unreachable)],
            Evidence::Partitioned,
        ),
        (
            "half can see it",
            6,
            vec![(1, Unreachable), (1, Unreachable), (2, Healthy), (2, Healthy)],
            Evidence::Disputed,
        ),
        (
            "one alone cannot",
            6,
            vec![(1, Unreachable), (1, Healthy), (2, Healthy), (2, Healthy)],
            Evidence::Healthy,
        ),
        ("I hear too few", 6, vec![(1, Unreachable), (1, Unreachable), (2, Unreachable)], Evidence::NoQuorum),
        (
            "some machines of it are gone",
            6,
            vec![(1, Partial), (1, Partial), (2, Partial), (2, Healthy)],
            Evidence::Healthy,
        ),
        (
            "just seated, most know no machine",
            6,
            vec![(1, Unknown), (1, Unknown), (2, Unknown), (2, Healthy)],
            Evidence::Healthy,
        ),
    ];
    for (what, seats, heard, want) in cases {
        assert_eq!(evidence_of(seats, &heard), want, "{what}");
    }
}

#[test]
fn an_opinion_follows_the_part_that_is_ready() {
    let all = [
        (0.0, 0.0, Unknown),
        (10.0, 0.0, Unreachable),
        (10.0, 2.0, Unreachable),
        (10.0, 3.0, Partial),
        (10.0, 6.0, Healthy),
    ];
    for (machines, ready, want) in all {
        assert_eq!(Opinion::from_counts(machines, ready), want, "{ready} of {machines}");
    }
}
