//! What was placed by its worth, and law 11: nothing of less worth is placed while the same needs of more
//! worth are declined for want of room, beyond the age of what planners share.
use crate::{Ask, AskId, InvariantChecker};
use basaltpitch_agent::wire::AnswerKind;
use std::collections::{BTreeMap, HashMap};

/// What planners share is at most so old when it counts, and a moment more until all go by it.
const VIEW: i64 = 6_000_000;
/// Askings of either sort that are too few to say anything.
const FEW: usize = 12;

/// Askings that need the same: framework and cores, in thousandths.
type Sort<'a> = (&'a str, u64);

/// When it was asked, and whether it was placed; none where it was not for want of room that it was not.
fn fate(ask: &Ask) -> Option<bool> {
    match AnswerKind::try_from(ask.answers.first()?.1) {
        Ok(AnswerKind::Placed) => Some(true),
        Ok(AnswerKind::Declined) if !ask.held_off => Some(false),
        _ => None,
    }
}

impl InvariantChecker {
    pub(crate) fn judge_worth(&mut self, asks: &BTreeMap<AskId, Ask>) {
        self.tally_worth(asks);
        let mut sorts: HashMap<Sort, Vec<(i64, bool)>> = HashMap::new();
        for ask in asks.values() {
            if let Some(placed) = fate(ask) {
                let sort = (ask.framework.as_str(), (ask.cores * 1000.0) as u64);
                sorts.entry(sort).or_default().push((ask.asked_at, placed));
            }
        }
        sorts.values_mut().for_each(|fates| fates.sort_unstable());
        let mut all: Vec<(Sort, Vec<(i64, bool)>)> = sorts.into_iter().collect();
        all.sort_unstable_by_key(|s| s.0);
        let worth =
            |s: &Sort| self.config.frameworks.get(s.0).map_or(0.0, |f| f.priority_weight) / s.1.max(1) as f64;
        let mut broken = Vec::new();
        for (more, declined) in &all {
            // Keyed and once-only tasks are bound to places of their own, and so are those with a spread.
            let free = |s: &Sort| {
                self.config
                    .frameworks
                    .get(s.0)
                    .is_some_and(|f| f.repeats == "repeatable" && f.spread == "none")
            };
            let lesser = |s: &Sort| free(more) && free(s) && s.1 >= more.1 && worth(more) > 2.0 * worth(s);
            for (less, fates) in all.iter().filter(|s| lesser(&s.0)) {
                broken.extend(inverted(declined, fates).map(|at| (at, *more, *less)));
            }
        }
        let broken: Vec<(i64, String, String)> = broken
            .into_iter()
            .map(|(at, more, less)| {
                let words = |s: Sort| format!("{} of {} cores", s.0, s.1 as f64 / 1000.0);
                let what = format!(
                    "none of {FEW} placed in {} s, while {FEW} of {} were, which is worth less",
                    VIEW / 1_000_000,
                    words(less)
                );
                (at, words(more), what)
            })
            .collect();
        let life = (String::from("all planners"), 0);
        broken.into_iter().for_each(|(at, about, what)| self.breach(11, at, &life, &about, what));
    }

    fn tally_worth(&mut self, asks: &BTreeMap<AskId, Ask>) {
        // By task: was it placed, and within its goal?
        let mut tasks: BTreeMap<&str, (f64, bool, bool)> = BTreeMap::new();
        for ((_, key, _), ask) in asks {
            let Some(f) = self.config.frameworks.get(&ask.framework) else { continue };
            let task = tasks.entry(key).or_insert((f.priority_weight, false, false));
            let Some(&(at, kind)) = ask.answers.first() else { continue };
            let placed = kind == AnswerKind::Placed as i32;
            task.1 |= placed;
            task.2 |= placed && at <= ask.asked_at + f.latency_objective_us;
            let half = (ask.limit_at - ask.asked_at) / 2;
            self.totals.missed += usize::from(fate(ask) == Some(false) && at > ask.asked_at + half);
        }
        for (worth, placed, in_goal) in tasks.into_values() {
            self.totals.weight_requested += worth;
            self.totals.weight_placed += if placed { worth } else { 0.0 };
            self.totals.weight_in_objective += if in_goal { worth } else { 0.0 };
        }
    }
}

/// The first moment from which on, for the age of the view, no asking of the one sort is placed and enough
/// of the other are.
fn inverted(declined: &[(i64, bool)], placed: &[(i64, bool)]) -> Option<i64> {
    let within = |fates: &[(i64, bool)], from: i64, want: bool| {
        let window = fates.iter().filter(|f| f.0 >= from && f.0 < from + VIEW);
        window.filter(|f| f.1 == want).count()
    };
    let mut from = declined.iter().map(|f| f.0);
    from.find(|&from| {
        within(declined, from, true) == 0
            && within(declined, from, false) >= FEW
            && within(placed, from, true) >= FEW
    })
}
