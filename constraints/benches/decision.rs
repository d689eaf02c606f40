//! Cost of constraints per placement decision: checks of all machines, and one attempt started and
//! ended, with the incremental state and, for comparison, with an evaluation from scratch; and the
//! search for a conflict. Run with `cargo bench -p basaltpitch-constraints`.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{ConstraintState, MachineState};
use basaltpitch_constraints::{
    Constraint, MachineAttributes, MachineSelector, Rule, Scope, SpreadGrouping, TaskAttributes,
    TopologyLevel, UnavailableDomains,
};
use divan::{black_box, Bencher};

/// Numbers of machines and of constraints.
const SIZES: [(usize, usize); 9] = [
    (100, 10),
    (100, 200),
    (100, 2000),
    (1000, 10),
    (1000, 200),
    (1000, 2000),
    (10_000, 10),
    (10_000, 200),
    (10_000, 2000),
];

fn main() {
    divan::main();
}

fn machine(m: usize) -> MachineAttributes {
    let labels = if m.is_multiple_of(3) { vec!["ssd".into()] } else { vec![] };
    let kind = if m.is_multiple_of(2) { "std" } else { "wide" };
    MachineAttributes { kind: kind.into(), zone: format!("h{}", m % 4), rack: (m / 40) as u32, labels }
}

/// Returns `n` constraints, of which at most one in ten applies to a task of the first framework.
fn constraints(n: usize) -> Vec<Constraint> {
    let of = |f: usize| Scope { framework: Some(format!("f{f}")), ..Scope::default() };
    let frameworks = (n / 10).max(10);
    let rule = |i: usize| match i % 5 {
        0 => Rule::In(MachineSelector { labels: vec!["ssd".into()], ..MachineSelector::default() }),
        1 => Rule::NotIn(MachineSelector { zones: vec!["h3".into()], ..MachineSelector::default() }),
        2 => Rule::Apart(of((i + 7) % frameworks), TopologyLevel::Machine),
        3 => Rule::Spread {
            over: TopologyLevel::Rack,
            by: SpreadGrouping::Service,
            max: Some(3),
            skew: None,
            unavailable: UnavailableDomains::Ignored,
        },
        _ => Rule::Spread {
            over: TopologyLevel::Machine,
            by: SpreadGrouping::All,
            max: Some(4),
            skew: None,
            unavailable: UnavailableDomains::Ignored,
        },
    };
    let constraint = |i: usize| Constraint {
        name: format!("c{i}"),
        at: Default::default(),
        scope: of(i / 5 % frameworks),
        preference_rank: None,
        rule: rule(i),
    };
    (0..n).map(constraint).collect()
}

fn task(f: usize, n: usize) -> TaskAttributes {
    TaskAttributes {
        framework: format!("f{f}"),
        tenant: String::new(),
        service: (n % 20) as u64,
        key: format!("k{n}"),
    }
}

struct Fleet {
    state: ConstraintState,
    constraints: Vec<Constraint>,
    machines: Vec<MachineAttributes>,
    /// The tasks that run on each machine.
    tasks: Vec<Vec<TaskAttributes>>,
}

/// Creates a fleet with two running tasks per machine.
fn fleet((machines, n): (usize, usize)) -> Fleet {
    let constraints = constraints(n);
    let mut fleet = Fleet {
        state: ConstraintState::new(constraints.clone()),
        constraints,
        machines: (0..machines).map(machine).collect(),
        tasks: vec![Vec::new(); machines],
    };
    for m in 0..machines {
        fleet.state.update_machine(m, machine(m), MachineState::Ready);
    }
    for i in 0..machines * 2 {
        let (task, m) = (task(i % 10, i), i * 7 % machines);
        let group = fleet.state.acquire_group(&task);
        fleet.state.attempt_started((1, i as u64), group, m);
        fleet.state.release_group(group);
        fleet.tasks[m].push(task);
    }
    fleet
}

impl Fleet {
    /// Evaluates all constraints for one machine from scratch.
    fn allows(&self, t: &TaskAttributes, machine: usize) -> bool {
        let own = &self.machines[machine];
        let near = |o: usize, level: TopologyLevel| match level {
            TopologyLevel::Machine => o == machine,
            TopologyLevel::Rack => self.machines[o].zone == own.zone && self.machines[o].rack == own.rack,
            TopologyLevel::Zone => self.machines[o].zone == own.zone,
        };
        let count = |level: TopologyLevel, counted: &dyn Fn(&TaskAttributes) -> bool| {
            let machines: Box<dyn Iterator<Item = usize>> = if level == TopologyLevel::Machine {
                Box::new(std::iter::once(machine))
            } else {
                Box::new((0..self.tasks.len()).filter(|&other| near(other, level)))
            };
            machines.flat_map(|m| &self.tasks[m]).filter(|task| counted(task)).count() as u32
        };
        self.constraints.iter().all(|c| match &c.rule {
            Rule::In(selector) => !c.scope.matches(t) || selector.selects(own),
            Rule::NotIn(selector) => !c.scope.matches(t) || !selector.selects(own),
            Rule::Apart(scope, level) => {
                let conflicts = c.scope.matches(t) && count(*level, &|other| scope.matches(other)) > 0;
                let conflicts_back = scope.matches(t) && count(*level, &|other| c.scope.matches(other)) > 0;
                !conflicts && !conflicts_back
            }
            Rule::Spread { over, by, max: Some(max), .. } if c.scope.matches(t) => {
                count(*over, &|o| {
                    c.scope.matches(o) && (*by == SpreadGrouping::All || o.service == t.service)
                }) < *max
            }
            _ => true,
        })
    }
}

/// Checks every machine with the incremental state, then starts and ends one attempt.
#[divan::bench(args = SIZES)]
fn incremental(bencher: Bencher, size: (usize, usize)) {
    let mut fleet = fleet(size);
    let task = task(0, 3);
    bencher.bench_local(|| {
        let group = fleet.state.acquire_group(black_box(&task));
        let allowed = (0..fleet.machines.len()).filter(|&m| fleet.state.allows(group, m)).count();
        fleet.state.attempt_started((2, 1), group, 5);
        fleet.state.attempt_ended((2, 1));
        fleet.state.release_group(group);
        allowed
    });
}

/// Checks every machine by an evaluation from scratch.
#[divan::bench(args = [(100, 10), (100, 200), (100, 2000), (1000, 10), (1000, 200)], sample_count = 10)]
fn from_scratch(bencher: Bencher, size: (usize, usize)) {
    let fleet = fleet(size);
    let task = task(0, 3);
    bencher.bench_local(|| (0..fleet.machines.len()).filter(|&m| fleet.allows(black_box(&task), m)).count());
}

/// Finds the constraints that conflict for a task that no machine can run.
#[divan::bench(args = SIZES, sample_count = 10)]
fn find_conflict(bencher: Bencher, size: (usize, usize)) {
    let mut all = constraints(size.1);
    let machines: Vec<MachineAttributes> = (0..size.0).map(machine).collect();
    let at = all.len() / 2;
    all[at].scope = Scope { framework: Some("f0".into()), ..Scope::default() };
    all[at].rule = Rule::NotIn(MachineSelector { labels: vec!["ssd".into()], ..MachineSelector::default() });
    let task = task(0, 3);
    bencher.bench_local(|| {
        conflict(&all, machines.iter(), black_box(&task), 50_000_000).expect("a conflict").constraints.len()
    });
}
