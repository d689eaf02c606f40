//! Made in advance, all the time: where a zone's load would go if it failed now, what is refused first, and what
//! nothing could take.

/// Keeps the weight of a core finite where a load uses next to none.
const MIN_CORES: f64 = 1e-9;

/// Work that runs in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLoad {
    /// Its priority weight.
    pub weight: f64,
    /// The cores that it uses.
    pub cores: f64,
    /// It must stay there: a keyed replica outside its group, a once-only task that may run.
    pub pinned: bool,
}

/// What would become of a zone's load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlan {
    /// By load, in the order given: the cores of it that find a place.
    pub placed_cores: Vec<f64>,
    /// By zone, the cores that go there; nothing to the zone itself.
    pub cores_by_zone: Vec<f64>,
    /// Cores that nothing could take, what is pinned to the zone among them.
    pub unplaced_cores: f64,
}

/// The plan for the loss of `zone`, by the free capacity at confidence in each zone, in cores. The highest
/// weight a core goes first; capacity is filled evenly, so that no surviving zone is filled before the others.
pub fn plan_failover(zone: usize, load: &[ZoneLoad], free_cores: &[f64]) -> FailoverPlan {
    let free_elsewhere = |other: usize| if other == zone { 0.0 } else { free_cores[other].max(0.0) };
    let all_free: f64 = (0..free_cores.len()).map(free_elsewhere).sum();
    let mut order: Vec<usize> = (0..load.len()).filter(|index| !load[*index].pinned).collect();
    let weight_per_core = |index: usize| load[index].weight / load[index].cores.max(MIN_CORES);
    order.sort_by(|a, b| weight_per_core(*b).total_cmp(&weight_per_core(*a)));
    let (mut left, mut placed_cores) = (all_free, vec![0.0; load.len()]);
    for index in order {
        placed_cores[index] = load[index].cores.min(left);
        left -= placed_cores[index];
    }
    let placed: f64 = placed_cores.iter().sum();
    let share = |other| if all_free > 0.0 { placed * free_elsewhere(other) / all_free } else { 0.0 };
    let cores_by_zone = (0..free_cores.len()).map(share).collect();
    let unplaced_cores = load.iter().map(|one| one.cores).sum::<f64>() - placed;
    FailoverPlan { placed_cores, cores_by_zone, unplaced_cores }
}
