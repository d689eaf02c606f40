//! Made in advance, all the time: where a hall's load would go if it were lost now, what is refused first,
//! and what nothing could take.

/// Work that stands in a hall: its worth, the cores that it uses, and whether it must stay there (a keyed
/// copy outside its group, a once-only task that may run).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub worth: f64,
    pub cores: f64,
    pub bound: bool,
}

/// What would become of a hall's load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// By load, in the order given: the cores of it that find a place.
    pub kept: Vec<f64>,
    /// By hall, the cores that go there; nothing to the hall itself.
    pub to: Vec<f64>,
    /// Cores that nothing could take, what is bound to the hall among them.
    pub lacks: f64,
}

/// The plan for a hall's loss, by the room at confidence in each hall, in cores. Worth a core goes first; the
/// room is filled evenly, so that no surviving hall is filled before the others.
pub fn plan(hall: usize, load: &[Load], room: &[f64]) -> Plan {
    let others = |n: usize| if n == hall { 0.0 } else { room[n].max(0.0) };
    let all: f64 = (0..room.len()).map(others).sum();
    let mut order: Vec<usize> = (0..load.len()).filter(|n| !load[*n].bound).collect();
    let a_core = |n: usize| load[n].worth / load[n].cores.max(1e-9);
    order.sort_by(|a, b| a_core(*b).total_cmp(&a_core(*a)));
    let (mut left, mut kept) = (all, vec![0.0; load.len()]);
    for n in order {
        kept[n] = load[n].cores.min(left);
        left -= kept[n];
    }
    let goes: f64 = kept.iter().sum();
    let to = (0..room.len()).map(|n| if all > 0.0 { goes * others(n) / all } else { 0.0 }).collect();
    let lacks = load.iter().map(|l| l.cores).sum::<f64>() - goes;
    Plan { kept, to, lacks }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn worth_goes_first_room_is_filled_evenly_and_the_lack_is_named() {
        let load = |worth, cores, bound| Load { worth, cores, bound };
        let all = [load(1.0, 30.0, false), load(9.0, 30.0, false), load(5.0, 10.0, true)];
        let plan = plan(1, &all, &[30.0, 99.0, 10.0]);
        assert_eq!(plan.kept, [10.0, 30.0, 0.0], "the dear one whole, the bound one not at all");
        assert_eq!(plan.to, [30.0, 0.0, 10.0]);
        assert_eq!(plan.lacks, 30.0);
    }

    #[test]
    fn drawn_plans_fill_no_room_twice_and_lose_no_core() {
        let mut chance = fastrand::Rng::with_seed(3);
        for n in 0..2000 {
            let halls = chance.usize(1..5);
            let room: Vec<f64> = (0..halls).map(|_| chance.f64() * 50.0 - 5.0).collect();
            let one =
                |_| Load { worth: chance.f64() * 9.0, cores: chance.f64() * 20.0, bound: chance.bool() };
            let load: Vec<Load> = (0..6).map(one).collect();
            let hall = n % halls;
            let plan = plan(hall, &load, &room);
            assert_eq!(plan.to[hall], 0.0);
            for (to, room) in plan.to.iter().zip(&room) {
                assert!(*to <= room.max(0.0) + 1e-9, "case {n}: {to} into {room}");
            }
            let sum = |x: &[f64]| x.iter().sum::<f64>();
            let all: f64 = load.iter().map(|l| l.cores).sum();
            assert!(
                (sum(&plan.to) - sum(&plan.kept)).abs() < 1e-9
                    && (sum(&plan.kept) + plan.lacks - all).abs() < 1e-9
            );
            for (a, kept) in load.iter().zip(&plan.kept) {
                let first = |b: &Load| !b.bound && b.worth / b.cores > a.worth / a.cores;
                let before = load.iter().zip(&plan.kept).filter(|x| first(x.0));
                assert!(
                    a.bound || *kept == 0.0 || before.clone().all(|(b, k)| (b.cores - k).abs() < 1e-9),
                    "case {n}"
                );
            }
        }
    }
}
