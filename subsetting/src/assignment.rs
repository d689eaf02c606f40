//! Assignment of the machines of one stratum (a zone and a kind) to slots: rendezvous hashing
//! (highest random weight) with bounded loads. Machines choose in the order of their hashes; each
//! takes the slots with the highest weights that have capacity left. The result depends on names
//! alone, so that all planners that know the same names and the same live slots compute the same
//! assignment.
use xxhash_rust::xxh3::xxh3_64;

/// Capacity of a slot above the even share, as a fraction of that share. It limits how many
/// machines move at a change; docs/design/aperture.md compares alternatives.
const HEADROOM: f64 = 0.25;

/// Returns a hash of a name that is the same in every process and build.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the rendezvous weight of one name hash for another.
pub fn rendezvous_weight(first: u64, second: u64) -> u64 {
    let mixed = (first ^ second.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 32).wrapping_add(second).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 32
}

/// Returns the maximum number of machines of a stratum for each slot. The share of a slot is
/// fractional; the slots' order by weight decides which of them round it up, so that one machine
/// more or less changes the capacity of few slots.
pub fn slot_capacities(slots: &[u64], machines: usize, replicas: usize, stratum: u64) -> Vec<usize> {
    let (slot_count, replicas) = (slots.len() as f64, replicas as f64);
    let even = replicas * machines as f64 / slot_count * (1.0 + HEADROOM);
    // The last machine must find `replicas` slots with capacity even where the first slots are
    // full.
    let share = even + (replicas - 1.0) * (even + 1.0) / slot_count;
    let mut order: Vec<usize> = (0..slots.len()).collect();
    order.sort_unstable_by_key(|&slot| rendezvous_weight(slots[slot], stratum));
    let mut capacities = vec![0; slots.len()];
    for (rank, slot) in order.into_iter().enumerate() {
        capacities[slot] = (share + (rank as f64 + 0.5) / slot_count) as usize;
    }
    capacities
}

/// Returns, for each machine by its position in `machines`, the positions in `slots` of the slots
/// that it is assigned to: `replicas` of them, or all slots if there are no more. `machines` must
/// be hashes in ascending order.
pub fn assign(slots: &[u64], machines: &[u64], replicas: usize, stratum: u64) -> Vec<Vec<u16>> {
    if slots.len() <= replicas {
        return vec![(0..slots.len() as u16).collect(); machines.len()];
    }
    let mut capacity = slot_capacities(slots, machines.len(), replicas, stratum);
    let mut weights = vec![0; slots.len()];
    let choose = |&machine: &u64| {
        weights.iter_mut().zip(slots).for_each(|(weight, &slot)| *weight = rendezvous_weight(machine, slot));
        let mut chosen: Vec<u16> = Vec::with_capacity(replicas);
        while chosen.len() < replicas {
            let free = |slot: &usize| !chosen.contains(&(*slot as u16));
            let best = (0..slots.len())
                .filter(|slot| capacity[*slot] > 0 && free(slot))
                .max_by_key(|&slot| weights[slot]);
            // Rounding may leave too little capacity for the last machine, which then exceeds a
            // slot's capacity by one.
            let best = best.or_else(|| (0..slots.len()).filter(free).max_by_key(|&slot| weights[slot]));
            let Some(slot) = best else { break };
            capacity[slot] = capacity[slot].saturating_sub(1);
            chosen.push(slot as u16);
        }
        chosen
    };
    machines.iter().map(choose).collect()
}
