//! Plans for the loss of a zone: set ones, and drawn ones that must add up.
use basaltpitch_zone_failover::{plan_failover, ZoneLoad};

#[test]
fn higher_weight_goes_first_capacity_is_filled_evenly_and_the_rest_is_named() {
    let load = |weight, cores, pinned| ZoneLoad { weight, cores, pinned };
    let all = [load(1.0, 30.0, false), load(9.0, 30.0, false), load(5.0, 10.0, true)];
    let plan = plan_failover(1, &all, &[30.0, 99.0, 10.0]);
    assert_eq!(plan.placed_cores, [10.0, 30.0, 0.0], "the dear one whole, the bound one not at all");
    assert_eq!(plan.cores_by_zone, [30.0, 0.0, 10.0]);
    assert_eq!(plan.unplaced_cores, 30.0);
}

#[test]
fn drawn_plans_fill_no_capacity_twice_and_lose_no_core() {
    let mut chance = fastrand::Rng::with_seed(3);
    for n in 0..2000 {
        let zones = chance.usize(1..5);
        let room: Vec<f64> = (0..zones).map(|_| chance.f64() * 50.0 - 5.0).collect();
        let one =
            |_| ZoneLoad { weight: chance.f64() * 9.0, cores: chance.f64() * 20.0, pinned: chance.bool() };
        let load: Vec<ZoneLoad> = (0..6).map(one).collect();
        let zone = n % zones;
        let plan = plan_failover(zone, &load, &room);
        assert_eq!(plan.cores_by_zone[zone], 0.0);
        for (to, room) in plan.cores_by_zone.iter().zip(&room) {
            assert!(*to <= room.max(0.0) + 1e-9, "case {n}: {to} into {room}");
        }
        let sum = |x: &[f64]| x.iter().sum::<f64>();
        let all: f64 = load.iter().map(|l| l.cores).sum();
        assert!(
            (sum(&plan.cores_by_zone) - sum(&plan.placed_cores)).abs() < 1e-9
                && (sum(&plan.placed_cores) + plan.unplaced_cores - all).abs() < 1e-9
        );
        for (a, kept) in load.iter().zip(&plan.placed_cores) {
            let first = |b: &ZoneLoad| !b.pinned && b.weight / b.cores > a.weight / a.cores;
            let before = load.iter().zip(&plan.placed_cores).filter(|x| first(x.0));
            assert!(
                a.pinned || *kept == 0.0 || before.clone().all(|(b, k)| (b.cores - k).abs() < 1e-9),
                "case {n}"
            );
        }
    }
}
