//! What all planners together see of a hall, each weighed by where it stands.

/// What one planner sees of a hall, by its own links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Opinion {
    /// Most of its machines are linked and take work.
    Well,
    /// Some are.
    Partly,
    /// Next to none is.
    Dark,
    /// It knows no machine there.
    None,
}

impl Opinion {
    /// Of so many machines on the list, so many are ready. The list may be late: a machine that is gone and
    /// still listed is not ready.
    pub fn of(machines: f64, ready: f64) -> Opinion {
        if machines <= 0.0 {
            Opinion::None
        } else if ready <= 0.2 * machines {
            Opinion::Dark
        } else if ready < 0.6 * machines {
            Opinion::Partly
        } else {
            Opinion::Well
        }
    }
}

/// A planner that is heard, or several that stand in one hall: the hall, and the opinion of the one in
/// question; of several that which comes of the middle of what they see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct View {
    pub stands: usize,
    pub opinion: Opinion,
    pub planners: usize,
}

/// What is so, as far as all that are heard can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Evidence {
    Well,
    /// Outside it most see it dark, and nobody inside says otherwise.
    Gone,
    /// Outside it most see it dark, but planners inside see their machines: work there goes on.
    Apart,
    /// A good part sees it and a good part does not: ways among halls are at fault, not the hall.
    Split,
    /// Too few planners are heard to say anything: it is this one that is cut off, or most are dead.
    CutOff,
}

/// What is so of a hall, of `seats` planners that there should be; `heard` are those that are, this one among
/// them.
pub fn evidence(hall: usize, seats: usize, heard: &[View]) -> Evidence {
    let count = |views: &[&View]| views.iter().map(|v| v.planners).sum::<usize>();
    if 2 * count(&heard.iter().collect::<Vec<_>>()) <= seats {
        return Evidence::CutOff;
    }
    let known = || heard.iter().filter(|v| v.opinion != Opinion::None);
    let outside: Vec<&View> = known().filter(|v| v.stands != hall).collect();
    let lives = known().any(|v| v.stands == hall && v.opinion == Opinion::Well);
    let dark: Vec<&View> = outside.iter().copied().filter(|v| v.opinion == Opinion::Dark).collect();
    let (dark, outside) = (count(&dark), count(&outside));
    if 2 * dark > outside {
        // A planner inside that sees the others' halls dark as well is cut off with it; its word on its own
        // machines counts all the same.
        if lives {
            Evidence::Apart
        } else {
            Evidence::Gone
        }
    } else if dark > 0 && 3 * dark >= outside {
        Evidence::Split
    } else {
        // One that is alone in its opinion acts on itself.
        Evidence::Well
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Opinion::{Dark, None, Partly, Well};

    /// Views as (where it stands, what it sees of hall 0).
    fn of(seats: usize, heard: &[(usize, Opinion)]) -> Evidence {
        let views: Vec<View> =
            heard.iter().map(|&(stands, opinion)| View { stands, opinion, planners: 1 }).collect();
        let apart = evidence(0, seats, &views);
        // Those of one hall and one opinion count the same as one that stands for all of them.
        let mut whole: Vec<View> = Vec::new();
        for view in views {
            let same = whole.iter_mut().find(|w| (w.stands, w.opinion) == (view.stands, view.opinion));
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
    fn what_is_gone_is_told_apart_from_what_cannot_be_seen() {
        let cases = [
            (
                "all are well",
                6,
                vec![(0, Well), (0, Well), (1, Well), (1, Well), (2, Well), (2, Well)],
                Evidence::Well,
            ),
            (
                "the hall went with its planners",
                6,
                vec![(1, Dark), (1, Dark), (2, Dark), (2, Dark)],
                Evidence::Gone,
            ),
            (
                "its machines went, its planners live",
                6,
                vec![(0, Dark), (0, Dark), (1, Dark), (1, Dark), (2, Dark), (2, Dark)],
                Evidence::Gone,
            ),
            (
                "its planners went, its machines live",
                6,
                vec![(1, Well), (1, Well), (2, Well), (2, Well)],
                Evidence::Well,
            ),
            (
                "it is cut off and lives",
                6,
                vec![(0, Well), (1, Dark), (1, Dark), (2, Dark), (2, Dark)],
                Evidence::Apart,
            ),
            ("half can see it", 6, vec![(1, Dark), (1, Dark), (2, Well), (2, Well)], Evidence::Split),
            ("one alone cannot", 6, vec![(1, Dark), (1, Well), (2, Well), (2, Well)], Evidence::Well),
            ("I hear too few", 6, vec![(1, Dark), (1, Dark), (2, Dark)], Evidence::CutOff),
            (
                "some machines of it are gone",
                6,
                vec![(1, Partly), (1, Partly), (2, Partly), (2, Well)],
                Evidence::Well,
            ),
            (
                "just seated, most know no machine",
                6,
                vec![(1, None), (1, None), (2, None), (2, Well)],
                Evidence::Well,
            ),
        ];
        for (what, seats, heard, want) in cases {
            assert_eq!(of(seats, &heard), want, "{what}");
        }
    }

    #[test]
    fn an_opinion_is_by_the_part_that_is_ready() {
        let all =
            [(0.0, 0.0, None), (10.0, 0.0, Dark), (10.0, 2.0, Dark), (10.0, 3.0, Partly), (10.0, 6.0, Well)];
        for (machines, ready, want) in all {
            assert_eq!(Opinion::of(machines, ready), want, "{ready} of {machines}");
        }
    }
}
