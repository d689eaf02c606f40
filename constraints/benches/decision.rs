//! What clauses cost a decision: asking of every machine whether it is allowed, and counting one copy more
//! and less, by mended sets and by a plain evaluation of the clauses that bind the task. `cargo bench -p
//! basaltpitch-constraints`.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::deciding::{Deciding, State};
use basaltpitch_constraints::{By, Clause, Gone, Level, Machine, Rule, Scope, Task, Which};
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

fn machine(m: usize) -> Machine {
    let labels = if m.is_multiple_of(3) { vec!["ssd".into()] } else { vec![] };
    let kind = if m.is_multiple_of(2) { "std" } else { "wide" };
    Machine { kind: kind.into(), hall: format!("h{}", m % 4), rack: (m / 40) as u32, labels }
}

/// Clauses of many frameworks; a task of the first is bound by one in ten of them at the most.
fn clauses(n: usize) -> Vec<Clause> {
    let of = |f: usize| Scope { framework: Some(format!("f{f}")), ..Scope::default() };
    let frameworks = (n / 10).max(10);
    let rule = |i: usize| match i % 5 {
        0 => Rule::In(Which { labels: vec!["ssd".into()], ..Which::default() }),
        1 => Rule::NotIn(Which { halls: vec!["h3".into()], ..Which::default() }),
        2 => Rule::Apart(of((i + 7) % frameworks), Level::Machine),
        3 => Rule::Spread { over: Level::Rack, by: By::Service, most: Some(3), skew: None, gone: Gone::Live },
        _ => Rule::Spread { over: Level::Machine, by: By::All, most: Some(4), skew: None, gone: Gone::Live },
    };
    let one = |i: usize| Clause {
        name: format!("c{i}"),
        at: Default::default(),
        of: of(i / 5 % frameworks),
        wish: None,
        rule: rule(i),
    };
    (0..n).map(one).collect()
}

fn task(f: usize, n: usize) -> Task {
    Task { framework: format!("f{f}"), tenant: String::new(), service: (n % 20) as u64, key: format!("k{n}") }
}

struct World {
    deciding: Deciding,
    clauses: Vec<Clause>,
    machines: Vec<Machine>,
    /// Tasks by machine.
    on: Vec<Vec<Task>>,
}

fn world((machines, n): (usize, usize)) -> World {
    let clauses = clauses(n);
    let mut w = World {
        deciding: Deciding::new(clauses.clone()),
        clauses,
        machines: (0..machines).map(machine).collect(),
        on: vec![Vec::new(); machines],
    };
    for m in 0..machines {
        w.deciding.machine(m, machine(m), State::Ready);
    }
    for i in 0..machines * 2 {
        let (t, m) = (task(i % 10, i), i * 7 % machines);
        let g = w.deciding.enter(&t);
        w.deciding.placed((1, i as u64), g, m);
        w.deciding.leave(g);
        w.on[m].push(t);
    }
    w
}

impl World {
    /// The plain meaning, for one machine.
    fn allows(&self, t: &Task, m: usize) -> bool {
        let here = &self.machines[m];
        let near = |o: usize, level: Level| match level {
            Level::Machine => o == m,
            Level::Rack => self.machines[o].hall == here.hall && self.machines[o].rack == here.rack,
            Level::Hall => self.machines[o].hall == here.hall,
        };
        let count = |level: Level, is: &dyn Fn(&Task) -> bool| {
            let places: Box<dyn Iterator<Item = usize>> = if level == Level::Machine {
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
                count(*over, &|o| c.of.matches(o) && (*by == By::All || o.service == t.service)) < *most
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
        let g = w.deciding.enter(black_box(&t));
        let allowed = (0..w.machines.len()).filter(|&m| w.deciding.allows(g, m)).count();
        w.deciding.placed((2, 1), g, 5);
        w.deciding.over((2, 1));
        w.deciding.leave(g);
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
    let machines: Vec<Machine> = (0..size.0).map(machine).collect();
    let at = all.len() / 2;
    all[at].of = Scope { framework: Some("f0".into()), ..Scope::default() };
    all[at].rule = Rule::NotIn(Which { labels: vec!["ssd".into()], ..Which::default() });
    let t = task(0, 3);
    bencher.bench_local(|| {
        conflict(&all, machines.iter(), black_box(&t), 50_000_000).expect("a conflict").clauses.len()
    });
}
