//! Starts the simulated machines of an installation.
use crate::context::TestbedContext;
use crate::machine::{self, MachineSpec, SimulatedMachine};
use crate::settings::{size_of, texts};
use basaltpitch_config::ResolvedValue;
use basaltpitch_invariants::Location;
use rand::{rngs::StdRng, Rng};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;

/// Machines per cell, unless the scenario sets it.
const MACHINES_A_CELL: usize = 4;

/// Starts `count` machines of one kind in one zone.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start_machines(
    installation: &ResolvedValue,
    context: &Rc<TestbedContext>,
    kind: &str,
    zone: &str,
    count: usize,
) -> io::Result<Vec<Rc<SimulatedMachine>>> {
    let mut fleet = Vec::new();
    for number in 0..count {
        let spec = MachineSpec {
            name: format!("machine-{number}"),
            zone: zone.to_owned(),
            cell: (number / MACHINES_A_CELL) as u32,
            kind: kind.to_owned(),
            size: size_of(installation, kind),
            labels: Vec::new(),
            seed: number as u64,
        };
        fleet.push(machine::start(context.clone(), spec).await?);
    }
    Ok(fleet)
}

/// Starts the machines of a fault scenario, and tells the checker their locations.
pub(crate) async fn start_fleet(
    installation: &ResolvedValue,
    scenario: &ResolvedValue,
    context: &Rc<TestbedContext>,
    rng: &mut StdRng,
) -> io::Result<Vec<Rc<SimulatedMachine>>> {
    let mut fleet = Vec::new();
    let cell_size = scenario.number("cell").unwrap_or(MACHINES_A_CELL as f64) as usize;
    let mut cells: HashMap<String, u32> = HashMap::new();
    let mut last_cell = 0;
    for group in scenario.list("machines") {
        let (kind, zone) = (group.text("kind").unwrap_or(""), group.text("zone").unwrap_or(""));
        for number in 0..group.number("count").unwrap_or(1.0) as usize {
            if number % cell_size == 0 {
                last_cell += 1;
                cells.insert(zone.to_owned(), last_cell);
            }
            let labels = texts(group, "labels");
            let spec = MachineSpec {
                name: format!("machine-{}", fleet.len()),
                zone: zone.to_owned(),
                cell: cells[zone],
                kind: kind.to_owned(),
                size: size_of(installation, kind),
                labels: labels.clone(),
                seed: rng.random(),
            };
            let location = Location { zone: zone.to_owned(), cell: spec.cell, kind: kind.to_owned(), labels };
            context.checker.borrow_mut().set_location(&spec.name, location);
            fleet.push(machine::start(context.clone(), spec).await?);
        }
    }
    Ok(fleet)
}
