//! The failover plan of a zone, computed in advance: where the zone's load would go if it failed
//! now, which load is dropped first, and which load would find no place.

/// Keeps the weight per core finite for a load that uses almost no cores.
const MIN_CORES: f64 = 1e-9;

/// One load that runs in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLoad {
    /// The priority weight of the load.
    pub weight: f64,
    /// The cores that the load uses.
    pub cores: f64,
    /// Whether the load must stay in the zone: a keyed task, for which only machines of its group
    /// drop repeats, or a once-only task that may be running.
    pub pinned: bool,
}

/// What happens to the load of a zone that fails.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlan {
    /// By load, in the order given: how many of its cores find a place.
    pub placed_cores: Vec<f64>,
    /// By zone: how many cores go there; 0 for the failed zone.
    pub cores_by_zone: Vec<f64>,
    /// The cores that find no place, including pinned loads.
    pub unplaced_cores: f64,
}

/// Returns the plan for the loss of `zone`. `free_cores` is the free capacity at confidence of each
/// zone, in cores. Loads with the highest weight per core are placed first; capacity is filled in
/// proportion, so that no surviving zone is full before the others.
pub fn plan_failover(zone: usize, load: &[ZoneLoad], free_cores: &[f64]) -> FailoverPlan {
    let free_elsewhere = |other: usize| if other == zone { 0.0 } else { free_cores[other].max(0.0) };
    let all_free: f64 = (0..free_cores.len()).map(free_elsewhere).sum();
    let mut order: Vec<usize> = (0..load.len()).filter(|index| !load[*index].pinned).collect();
    let weight_per_core = |index: usize| load[index].weight / load[index].cores.max(MIN_CORES);
    order.sort_by(|a, b| weight_per_core(*b).total_cmp(&weight_per_core(*a)));
    let (mut remaining_cores, mut placed_cores) = (all_free, vec![0.0; load.len()]);
    for index in order {
        placed_cores[index] = load[index].cores.min(remaining_cores);
        remaining_cores -= placed_cores[index];
    }
    let placed: f64 = placed_cores.iter().sum();
    let share = |other| if all_free > 0.0 { placed * free_elsewhere(other) / all_free } else { 0.0 };
    let cores_by_zone = (0..free_cores.len()).map(share).collect();
    let unplaced_cores = load.iter().map(|load| load.cores).sum::<f64>() - placed;
    FailoverPlan { placed_cores, cores_by_zone, unplaced_cores }
}
