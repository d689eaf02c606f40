//! A hostile network drawn by chance: whatever it does, the five rules hold, and once it is well again every
//! asking has its one answer. A failing case prints what was drawn, and replays.
mod net;
use basaltpitch_agent::wire::EndedHow;
use net::{Net, BIG, ONCE, SMALL};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Pass(i64),
    Submit(u8, u8),
    Again(u8),
    Withdraw(u8),
    Dial,
    MachineReads(u8, u8),
    PlannerReads(u8),
    Look(u8),
    Cut(u8, u8),
    Ends(u8, u8),
    Restart(u8),
    Drain(u8, bool),
    Refuses(u8, bool),
    Reachable(u8, bool),
    Lists,
    Kill,
    Flow(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let small = 0u8..4;
    prop_oneof![
        6 => (0i64..400_000).prop_map(Step::Pass),
        2 => (0i64..4_000_000).prop_map(Step::Pass),
        8 => (0u8..3, 0u8..8).prop_map(|(f, k)| Step::Submit(f, k)),
        3 => (0u8..8).prop_map(Step::Again),
        1 => (0u8..8).prop_map(Step::Withdraw),
        6 => Just(Step::Dial),
        12 => (small.clone(), 0u8..3).prop_map(|(m, l)| Step::MachineReads(m, l)),
        10 => small.clone().prop_map(Step::PlannerReads),
        8 => small.clone().prop_map(Step::Look),
        3 => (small.clone(), 0u8..3).prop_map(|(m, n)| Step::Cut(m, n)),
        3 => (small.clone(), 0u8..4).prop_map(|(m, n)| Step::Ends(m, n)),
        1 => small.clone().prop_map(Step::Restart),
        1 => (small.clone(), any::<bool>()).prop_map(|(m, on)| Step::Drain(m, on)),
        1 => (small.clone(), any::<bool>()).prop_map(|(m, on)| Step::Refuses(m, on)),
        1 => (small, any::<bool>()).prop_map(|(m, on)| Step::Reachable(m, on)),
        1 => Just(Step::Lists),
        1 => Just(Step::Kill),
        3 => (1u8..20).prop_map(Step::Flow),
    ]
}

/// What one key was last asked for with.
#[derive(Clone, Copy, Default)]
struct Asked {
    framework: u8,
    ask: u64,
    epoch: u64,
    at: i64,
}

fn play(steps: &[Step]) -> Net {
    let mut net = Net::new(4);
    let mut asked = [Asked::default(); 8];
    for step in steps {
        match *step {
            Step::Pass(us) => net.pass(us),
            Step::Submit(f, k) => {
                let a = &mut asked[k as usize];
                if a.ask == 0 {
                    a.framework = f;
                }
                // An owner of what must not run twice makes sure first, as long as the settings say.
                let last = a.epoch != net.epoch && a.ask > 0;
                if last && a.framework > 0 && net.now < a.at + 20_000_000 {
                    continue;
                }
                (a.ask, a.epoch, a.at) = (a.ask + 1, net.epoch, net.now);
                let (framework, ask) = ([SMALL, BIG, ONCE][a.framework as usize], a.ask);
                let limit = [6_000_000, 9_000_000, 8_000_000][a.framework as usize];
                net.submit(framework, &format!("{framework}{k}"), ask, limit);
            }
            Step::Again(k) => {
                let a = asked[k as usize];
                if a.ask > 0 && a.epoch == net.epoch {
                    let framework = [SMALL, BIG, ONCE][a.framework as usize];
                    net.submit(framework, &format!("{framework}{k}"), a.ask, 5_000_000);
                }
            }
            Step::Withdraw(k) => {
                let a = asked[k as usize];
                if a.epoch == net.epoch && a.ask > 0 {
                    let framework = [SMALL, BIG, ONCE][a.framework as usize];
                    net.withdraw(&format!("{framework}{k}"), a.ask);
                }
            }
            Step::Dial => net.dial(),
            Step::MachineReads(m, back) => {
                let links: Vec<u64> = net.machines[m as usize].links.keys().rev().copied().collect();
                if let Some(&link) = links.get(back as usize) {
                    net.machine_reads(m as usize, link);
                }
            }
            Step::PlannerReads(m) => {
                if let Some(link) = net.newest(m as usize) {
                    net.planner_reads(m as usize, link);
                }
            }
            Step::Look(m) => net.look(m as usize),
            Step::Cut(m, unsent) => {
                if let Some(link) = net.newest(m as usize) {
                    net.cut(m as usize, link, unsent as usize);
                }
            }
            Step::Ends(m, n) => {
                if let Some(&id) = net.machines[m as usize].runs.get(n as usize) {
                    let how = [EndedHow::EndedDone, EndedHow::EndedEvicted, EndedHow::EndedSentAway];
                    net.ends(m as usize, id, how[n as usize % 3]);
                }
            }
            Step::Restart(m) => net.restart(m as usize),
            Step::Drain(m, on) => net.drain(m as usize, on),
            Step::Refuses(m, on) => net.machines[m as usize].refuses = on,
            Step::Reachable(m, on) => net.machines[m as usize].reachable = on,
            Step::Lists => net.list(true),
            Step::Kill => net.kill(),
            Step::Flow(rounds) => net.flow(rounds as usize),
        }
    }
    net
}

/// The network is well again: links come up, what is in the air arrives, time limits pass.
fn heal(net: &mut Net) {
    for m in 0..net.machines.len() {
        (net.machines[m].reachable, net.machines[m].refuses, net.machines[m].draining) = (true, false, false);
    }
    net.list(true);
    for _ in 0..30 {
        net.flow(20);
        net.pass(480_000);
    }
    net.flow(50);
}

/// The same cases each time; other ones, or more, by the environment.
fn drawn() -> ProptestConfig {
    let of = |name: &str, usual| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual);
    ProptestConfig {
        cases: of("BASALTPITCH_CASES", 3000) as u32,
        rng_seed: proptest::test_runner::RngSeed::Fixed(of("BASALTPITCH_SEED", 1)),
        max_shrink_iters: 4000,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(drawn())]

    #[test]
    fn the_rules_hold_on_a_hostile_network(steps in proptest::collection::vec(step(), 1..140)) {
        let mut net = play(&steps);
        heal(&mut net);
        let (epoch, log) = (net.epoch, std::mem::take(&mut net.log));
        prop_assert!(net.twice.is_none(), "{:?}\n{}", net.twice, log);
        let open = net.core.open_requests();
        let doubts = net.core.uncertain_attempts();
        let (breaches, _) = net.finish();
        prop_assert!(breaches.is_empty(), "{:#?}\nepoch {}\n{}", breaches, epoch, log);
        prop_assert_eq!((open, doubts), (0, 0), "open askings and copies in doubt\n{}", log);
    }
}
