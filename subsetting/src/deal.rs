//! The assignment of the machines of one stratum (a zone and a kind) to seats: rendezvous hashing (highest
//! random weight) with bounded loads. Machines choose in the order of their hashes; each takes the seats of
//! its highest weights that have room. It hangs on names alone, so that all planners that know the same
//! names and the same live seats find the same.
use xxhash_rust::xxh3::xxh3_64;

/// Room over the even share, so that a change moves little (docs/design/aperture.md compares).
const SLACK: f64 = 0.25;

/// A hash of a name that is the same in every process and build.
pub fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The weight of one name for another.
pub fn weight(a: u64, b: u64) -> u64 {
    let mixed = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 32).wrapping_add(b).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 32
}

/// How many machines of a stratum each seat takes at the most. The share is a fraction; which seats round it
/// up hangs on their order by weight, so that a machine more or less changes the bound of few.
pub fn bounds(seats: &[u64], machines: usize, copies: usize, stratum: u64) -> Vec<usize> {
    let (count, copies) = (seats.len() as f64, copies as f64);
    let even = copies * machines as f64 / count * (1.0 + SLACK);
    // The last machine finds this many seats with room even where the first ones are full.
    let share = even + (copies - 1.0) * (even + 1.0) / count;
    let mut order: Vec<usize> = (0..seats.len()).collect();
    order.sort_unstable_by_key(|&s| weight(seats[s], stratum));
    let mut all = vec![0; seats.len()];
    for (rank, s) in order.into_iter().enumerate() {
        all[s] = (share + (rank as f64 + 0.5) / count) as usize;
    }
    all
}

/// For each machine, by its place in `machines`, the places in `seats` of those that take it: `copies` of
/// them, or all seats if there are no more. `machines` are hashes in rising order.
pub fn deal(seats: &[u64], machines: &[u64], copies: usize, stratum: u64) -> Vec<Vec<u16>> {
    if seats.len() <= copies {
        return vec![(0..seats.len() as u16).collect(); machines.len()];
    }
    let mut room = bounds(seats, machines.len(), copies, stratum);
    let mut weights = vec![0; seats.len()];
    let take = |&machine: &u64| {
        weights.iter_mut().zip(seats).for_each(|(w, &seat)| *w = weight(machine, seat));
        let mut taken: Vec<u16> = Vec::with_capacity(copies);
        while taken.len() < copies {
            let free = |s: &usize| !taken.contains(&(*s as u16));
            let best = (0..seats.len()).filter(|s| room[*s] > 0 && free(s)).max_by_key(|&s| weights[s]);
            // Rounding may leave the last one short: it goes one over the bound.
            let best = best.or_else(|| (0..seats.len()).filter(free).max_by_key(|&s| weights[s]));
            let Some(s) = best else { break };
            room[s] = room[s].saturating_sub(1);
            taken.push(s as u16);
        }
        taken
    };
    machines.iter().map(take).collect()
}
