//! Tests of failover plans: a fixed plan, and random plans whose cores must add up.
use basaltpitch_zone_failover::{plan_failover, ZoneLoad};

#[test]
fn higher_weight_is_placed_first_capacity_fills_evenly_and_the_rest_is_unplaced() {
    let load = |weight, cores, pinned| ZoneLoad { weight, cores, pinned };
    let all = [load(1.0, 30.0, false), load(9.0, 30.0, false), load(5.0, 10.0, true)];
    let plan = plan_failover(1, &all, &[30.0, 99.0, 10.0]);
    assert_eq!(
        plan.placed_cores,
        [10.0, 30.0, 0.0],
        "the load with the highest weight is placed whole, the pinned one not at all"
    );
    assert_eq!(plan.cores_by_zone, [30.0, 0.0, 10.0]);
    assert_eq!(plan.unplaced_cores, 30.0);
}

#[test]
fn random_plans_use_no_capacity_twice_and_account_for_every_core() {
    let mut rng = fastrand::Rng::with_seed(3);
    for case in 0..2000 {
        let zones = rng.usize(1..5);
        let free_cores: Vec<f64> = (0..zones).map(|_| rng.f64() * 50.0 - 5.0).collect();
        let random_load =
            |_| ZoneLoad { weight: rng.f64() * 9.0, cores: rng.f64() * 20.0, pinned: rng.bool() };
        let load: Vec<ZoneLoad> = (0..6).map(random_load).collect();
        let zone = case % zones;
        let plan = plan_failover(zone, &load, &free_cores);
        assert_eq!(plan.cores_by_zone[zone], 0.0);
        for (placed, free_cores) in plan.cores_by_zone.iter().zip(&free_cores) {
            assert!(
                *placed <= free_cores.max(0.0) + 1e-9,
                "case {case}: {placed} cores into {free_cores} free ones"
            );
        }
        let sum = |cores: &[f64]| cores.iter().sum::<f64>();
        let all_cores: f64 = load.iter().map(|load| load.cores).sum();
        assert!(
            (sum(&plan.cores_by_zone) - sum(&plan.placed_cores)).abs() < 1e-9
                && (sum(&plan.placed_cores) + plan.unplaced_cores - all_cores).abs() < 1e-9
        );
        for (checked, placed) in load.iter().zip(&plan.placed_cores) {
            let goes_first = |other: &ZoneLoad| {
                !other.pinned && other.weight / other.cores > checked.weight / checked.cores
            };
            let before = load.iter().zip(&plan.placed_cores).filter(|entry| goes_first(entry.0));
            assert!(
                checked.pinned
                    || *placed == 0.0
                    || before.clone().all(|(other, placed)| (other.cores - placed).abs() < 1e-9),
                "case {case}"
            );
        }
    }
}
