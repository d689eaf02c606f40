//! Laws of the line over drawn shares; a failing case prints its seed.
use basaltpitch_admission::{Line, Other, Own, Share, Verdict, BANDS};
use fastrand::Rng;

const S: i64 = 1_000_000;

fn drawn(chance: &mut Rng, waits: bool) -> Share {
    let mut share = Share::default();
    let mut some = |most: f64| if chance.f64() < 0.5 { chance.f64() * most } else { 0.0 };
    share.offered = [(); BANDS].map(|()| some(200.0));
    share.placed = [(); BANDS].map(|()| some(60.0));
    share.times = [(); 8].map(|()| some(20.0 * BANDS as f64));
    if waits {
        share.waiting = [(); BANDS].map(|()| some(200.0));
    }
    share.room = [some(400.0), some(200.0), some(100.0)];
    share.cores = 400.0;
    share
}

/// What one planner said a second ago.
fn one(share: Share) -> Other {
    Other { age: S, planners: 1, share }
}

fn cases(law: impl Fn(&mut Rng) + std::panic::RefUnwindSafe) {
    for seed in 0..3000 {
        let kept = std::panic::catch_unwind(|| law(&mut Rng::with_seed(seed)));
        assert!(kept.is_ok(), "seed {seed}");
    }
}

fn declines(v: &Verdict) -> bool {
    matches!(v, Verdict::Declined { .. })
}

/// The same view: whoever declines one asking declines all of less worth, with less time, or that need more.
#[test]
fn nobody_starts_what_is_worth_less_where_another_declines_what_is_worth_more() {
    cases(|chance| {
        let others: Vec<Other> = (0..4).map(|_| one(drawn(chance, true))).collect();
        let line = Line::fuse(&drawn(chance, true), &others);
        let (worth, cores) = (chance.f64() * 8.0, chance.f64() * 20.0);
        let (goal, left) = (chance.i64(0..3 * S), chance.i64(0..9 * S));
        if declines(&line.verdict(worth, cores, goal, left)) {
            let less = worth * chance.f64();
            assert!(declines(&line.verdict(less, cores, goal, left)), "worth {less} for {worth}");
            let sooner = chance.i64(0..=left);
            assert!(
                declines(&line.verdict(worth, cores, goal.min(sooner), sooner)),
                "{sooner} us for {left}"
            );
        }
    });
}

#[test]
fn with_everything_idle_nothing_is_declined() {
    cases(|chance| {
        let quiet =
            |chance: &mut Rng| Share { room: [400.0; 3], times: Default::default(), ..drawn(chance, false) };
        let others: Vec<Other> = (0..4).map(|_| one(quiet(chance))).collect();
        let line = Line::fuse(&quiet(chance), &others);
        let verdict = line.verdict(chance.f64(), chance.f64() * 20.0, 0, chance.i64(0..9 * S));
        assert_eq!(verdict, Verdict::Now);
    });
    // One that has seen nothing at all, and hears nobody.
    let mut own = Own::new(0, 1);
    own.others(0, Vec::new());
    assert!(!declines(&own.asked(1, "books", 0.1, 50.0, 1, 1)));
}

/// One planner's word, whatever it is, at most doubles what is summed, and moves the middle of what is
/// believed by one place.
#[test]
fn one_wild_word_moves_the_line_by_a_bounded_amount() {
    cases(|chance| {
        let own = drawn(chance, true);
        let others: Vec<Other> = (0..5).map(|_| one(drawn(chance, true))).collect();
        let mut wild = drawn(chance, true);
        let times = 10f64.powi(chance.i32(-3..9));
        wild.waiting.iter_mut().chain(&mut wild.room).for_each(|x| *x *= times);
        wild.offered.iter_mut().for_each(|x| *x *= times);
        let before = Line::fuse(&own, &others);
        let after = Line::fuse(&own, &[&others[..], &[one(wild.clone())]].concat());
        let sum = |x: &[f64]| x.iter().sum::<f64>();
        let part = 400.0 / 7.0;
        for (before, after) in [(before.waiting(), after.waiting()), (before.offered(), after.offered())] {
            // Without it, the even part that each may say differs a little, and so may what the others count.
            let most = 2.0 * sum(before).max(part) + 7.0 * part;
            assert!(sum(after) <= most, "{} of {} with {times} times", sum(after), sum(before));
        }
        for fit in 0..3 {
            let mut all: Vec<f64> = others.iter().map(|o| o.share.room[fit]).chain([own.room[fit]]).collect();
            all.sort_by(f64::total_cmp);
            let room = after.room()[fit];
            assert!((all[2]..=all[3]).contains(&room), "{room} of {all:?}");
        }
    });
}

/// A zone's word, in which its planners' askings are summed and their beliefs fused, moves the line as theirs
/// would one by one. Summing beliefs would make many fleets of one, fusing askings one queue of many.
#[test]
fn a_zone_counts_as_all_of_its_planners() {
    cases(|chance| {
        let (own, planners) = (drawn(chance, true), chance.usize(2..9));
        let said: Vec<Share> = (0..planners).map(|_| drawn(chance, true)).collect();
        let mut zone = Share { room: own.room, cores: own.cores, ..Share::default() };
        let summed = |into: &mut [f64], from: &[f64]| into.iter_mut().zip(from).for_each(|(a, b)| *a += b);
        for share in &said {
            summed(&mut zone.offered, &share.offered);
            summed(&mut zone.waiting, &share.waiting);
            summed(&mut zone.placed, &share.placed);
            summed(&mut zone.times, &share.times);
        }
        // All believe the same of machines, and nobody asks for more than all the others together.
        let said = said.into_iter().map(|s| one(Share { room: own.room, cores: own.cores, ..s }));
        let mut all: Vec<Other> = said.collect();
        all.push(one(Share {
            offered: [9e3; BANDS],
            waiting: [9e3; BANDS],
            placed: [9e3; BANDS],
            ..own.clone()
        }));
        let apart = Line::fuse(&own, &all);
        let rest = all[planners].clone();
        let whole = Line::fuse(&own, &[Other { age: S, planners, share: zone }, rest]);
        assert_eq!((apart.room(), apart.heard), (whole.room(), whole.heard));
        let near = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(1.0);
        for (apart, whole) in [(apart.offered(), whole.offered()), (apart.waiting(), whole.waiting())] {
            assert!(apart.iter().zip(whole).all(|(a, b)| near(*a, *b)), "{apart:?} and {whole:?}");
        }
        assert!(near(apart.placed(), whole.placed()));
    });
}

#[test]
fn what_is_said_is_read_as_it_was() {
    cases(|chance| {
        let share = drawn(chance, true);
        let figures = share.figures();
        assert_eq!(figures.len(), Share::FIGURES);
        assert_eq!(Share::read(&figures).as_ref(), Some(&share));
        let mut wrong = figures.clone();
        let at = chance.usize(0..wrong.len());
        wrong[at] = [f64::NAN, f64::INFINITY, -1.0][chance.usize(0..3)];
        assert_eq!(Share::read(&wrong), None);
        assert_eq!(Share::read(&figures[1..]), None);
    });
}

/// An owner may say any time, and nothing of it reaches beyond its own asking.
#[test]
fn times_beyond_all_sense_are_borne() {
    let mut own = Own::new(0, 1);
    own.fleet([(100.0, 0.0)].into_iter());
    for (n, left) in [i64::MAX, i64::MIN, -1, 0].into_iter().enumerate() {
        own.asked(S, n, 1.0, 1.0, S, left);
        own.placed(S, &n);
        own.asked(S, n, 1.0, 1.0, S, left);
        own.others(2 * S, Vec::new());
    }
    let waits: f64 = own.share(3 * S).waiting.iter().sum();
    assert!(waits.is_finite());
    own.others(100 * S, Vec::new());
    assert_eq!(own.waits(), 1, "only the one that never ends waits on");
}

/// Refused in one moment, owners are not told to come back in one.
#[test]
fn what_is_declined_may_ask_again_at_spread_times() {
    let mut own = Own::new(0, 7);
    own.fleet([(100.0, 0.0)].into_iter());
    for n in 0..40u64 {
        own.asked(n as i64, n, 1.0, 1.0, S, 60 * S);
        own.placed(n as i64, &n);
    }
    for n in 100..200u64 {
        own.asked(50, n, 1.0, 1.0, S, 60 * S);
    }
    own.others(S, Vec::new());
    let mut times: Vec<i64> = Vec::new();
    for n in 200..300u64 {
        if let Verdict::Declined { retry_after, expected, ahead, .. } = own.asked(S, n, 1.0, 1.0, S, S) {
            assert!(ahead >= 100.0 && expected.is_none_or(|x| x > S));
            times.push(retry_after);
        }
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 90, "{} different times", times.len());
    assert!(times[times.len() - 1] > times[0] * 3 / 2, "{} to {}", times[0], times[times.len() - 1]);
}
