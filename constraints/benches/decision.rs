//! What clauses cost a decision: asking of every machine whether it is allowed, and counting one copy more
//! and less, by mended sets and by a plain evaluation of the clauses that bind the task. `cargo bench -p
//! basaltpitch-constraints`.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{ConstraintState, MachineState};
use basaltpitch_constraints::{
    Constraint, MachineAttributes, MachineSelector, Rule, Scope, SpreadGrouping, TaskAttributes,
    TopologyLevel, UnavailableDomains,
};
use divan::{black_box, Bencher};

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

/// Clauses of many frameworks; a task of the first is bound by one in ten of them at the most.
fn clauses(n: usize) -> Vec<Constraint> {
    let of = |f: usize| Scope { framework: Some(format!("f{f}")), ..Scope::default() };
    let frameworks = (n / 10).max(10);
    let rule = |i: usize| match i % 5 {
        0 => Rule::In(MachineSelector { labels: vec!["ssd".into()], ..MachineSelector::default() }),
        1 => Rule::NotIn(MachineSelector { zones: vec!["h3".into()], ..MachineSelector::default() }),
        2 => Rule::Apart(of((i + 7) % frameworks), TopologyLevel::Machine),
        3 => Rule::Spread {
            over: TopologyLevel::Rack,
            by: SpreadGrouping::Service,
            most: Some(3),
            skew: None,
            gone: UnavailableDomains::Ignored,
        },
        _ => Rule::Spread {
            over: TopologyLevel::Machine,
            by: SpreadGrouping::All,
            most: Some(4),
            skew: None,
            gone: UnavailableDomains::Ignored,
        },
    };
    let one = |i: usize| Constraint {
        name: format!("c{i}"),
        at: Default::default(),
        of: of(i / 5 % frameworks),
        preference_rank: None,
        rule: rule(i),
    };
    (0..n).map(one).collect()
}

fn task(f: usize, n: usize) -> TaskAttributes {
    TaskAttributes {
        framework: format!("f{f}"),
        tenant: String::new(),
        service: (n % 20) as u64,
        key: format!("k{n}"),
    }
}

struct World {
    deciding: ConstraintState,
    clauses: Vec<Constraint>,
    machines: Vec<MachineAttributes>,
    /// Tasks by machine.
    on: Vec<Vec<TaskAttributes>>,
}

fn world((machines, n): (usize, usize)) -> World {
    let clauses = clauses(n);
    let mut w = World {
        deciding: ConstraintState::new(clauses.clone()),
        clauses,
        machines: (0..machines).map(machine).collect(),
        on: vec![Vec::new(); machines],
    };
    for m in 0..machines {
        w.deciding.update_machine(m, machine(m), MachineState::Ready);
    }
    for i in 0..machines * 2 {
        let (t, m) = (task(i % 10, i), i * 7 % machines);
        let g = w.deciding.acquire_group(&t);
        w.deciding.attempt_started((1, i as u64), g, m);
        w.deciding.release_group(g);
        w.on[m].push(t);
    }
    w
}

impl World {
    /// The plain meaning, for one machine.
    fn allows(&self, t: &TaskAttributes, m: usize) -> bool {
        let here = &self.machines[m];
        let near = |o: usize, level: TopologyLevel| match level {
            TopologyLevel::Machine => o == m,
            TopologyLevel::Rack => self.machines[o].zone == here.zone && self.machines[o].rack == here.rack,
            TopologyLevel::Zone => self.machines[o].zone == here.zone,
        };
        let count = |level: TopologyLevel, is: &dyn Fn(&TaskAttributes) -> bool| {
            let places: Box<dyn Iterator<Item = usize>> = if level == TopologyLevel::Machine {
                Box::new(std::iter::once(m))
            } else {
                Box::new((0..self.on.len()).filter(|&o| near(o, level)))
            };
            places.flat_map(|o| &self.on[o]).filter(|t| is(t)).count() as u32
        };
        self.clauses.iter().all(|c| match &c.rule {
            Rule::In(w) => !c.of.matches(t) || w.names(here),
            Rule::NotIn(w) => !c.of.matches(t) || !w.names(here),
            Rule::Apart(s, l) => {
                let there = c.of.matches(t) && count(*l, &|o| s.matches(o)) > 0;
                let back = s.matches(t) && count(*l, &|o| c.of.matches(o)) > 0;
                !there && !back
            }
            Rule::Spread { over, by, most: Some(most), .. } if c.of.matches(t) => {
                count(*over, &|o| c.of.matches(o) && (*by == SpreadGrouping::All || o.service == t.service))
                    < *most
            }
            _ => true,
        })
    }
}

/// One task placed and over, and every machine asked about in between.
#[divan::bench(args = SIZES)]
fn mended(bencher: Bencher, size: (usize, usize)) {
    let mut w = world(size);
    let t = task(0, 3);
    bencher.bench_local(|| {
        let g = w.deciding.acquire_group(black_box(&t));
        let allowed = (0..w.machines.len()).filter(|&m| w.deciding.allows(g, m)).count();
        w.deciding.attempt_started((2, 1), g, 5);
        w.deciding.attempt_ended((2, 1));
        w.deciding.release_group(g);
        allowed
    });
}

/// Every machine asked about by the plain meaning.
#[divan::bench(args = [(100, 10), (100, 200), (100, 2000), (1000, 10), (1000, 200)], sample_count = 10)]
fn plain(bencher: Bencher, size: (usize, usize)) {
    let w = world(size);
    let t = task(0, 3);
    bencher.bench_local(|| (0..w.machines.len()).filter(|&m| w.allows(black_box(&t), m)).count());
}

/// A set of clauses that no machine can meet is named.
#[divan::bench(args = SIZES, sample_count = 10)]
fn naming_a_conflict(bencher: Bencher, size: (usize, usize)) {
    let mut all = clauses(size.1);
    let machines: Vec<MachineAttributes> = (0..size.0).map(machine).collect();
    let at = all.len() / 2;
    all[at].of = Scope { framework: Some("f0".into()), ..Scope::default() };
    all[at].rule = Rule::NotIn(MachineSelector { labels: vec!["ssd".into()], ..MachineSelector::default() });
    let t = task(0, 3);
    bencher.bench_local(|| {
        conflict(&all, machines.iter(), black_box(&t), 50_000_000).expect("a conflict").constraints.len()
    });
}
