//! What planners tell each other, as frames: drawn calls come back as they were and cost as many bytes as the
//! exchange believes; lists that do not fit are refused; and a summary's figures come back, of one planner
//! and of several as one. A failing case prints its seed.
use basaltpitch_admission::DemandSummary;
use basaltpitch_agent::wire::{Body, Digest, Frame, Summaries};
use basaltpitch_gossip::cost::bytes;
use basaltpitch_gossip::{Asked, Call, Carried, Figures, Told, Wrong};
use basaltpitch_planner::figures::{layout, told, Says};
use basaltpitch_planner::summaries;
use fastrand::Rng;
use prost::Message;

fn drawn(chance: &mut Rng) -> Call {
    let mut number = |bits: u32| chance.u64(..) >> (64 - bits);
    let (link, question) = (7, 1 + number(20));
    if number(1) == 0 {
        let took = question - question.min(number(6));
        let has = (0..number(5)).map(|_| (number(9) as usize, number(30))).collect();
        return Call::Ask { link, question, took, news: number(1) == 1, has };
    }
    let mut one = |_| {
        let (rises, mut at) = (1 + number(40), 0);
        let mut changed = Vec::new();
        for _ in 0..number(7) {
            at += 1 + number(5) as usize;
            let round = if number(1) == 0 { 0xffff_0000 } else { u32::MAX };
            changed.push((at - 1, number(32) as u32 & round));
        }
        let base = if number(1) == 0 { 0 } else { rises - 1 - number(2).min(rises - 1) };
        let (subject, token, age) = (number(9) as usize, number(12), number(34) as i64);
        let token = if token % 2 == 0 { token + (1 << 51) } else { u64::MAX - token };
        Told { subject, token, number: rises, base, age, changed }
    };
    let all = (0..5).map(&mut one).collect();
    Call::Answer { link, question, all }
}

#[test]
fn drawn_calls_come_back_and_cost_what_is_believed() {
    for seed in 0..4000 {
        let call = drawn(&mut Rng::with_seed(seed));
        let (link, body) = summaries::frame(&call).expect("a question or an answer");
        let frame: Frame = body.into();
        // The length goes before each frame.
        assert_eq!(frame.encoded_len() + 4, bytes(&call), "seed {seed}: {call:?}");
        let back = Frame::decode(&frame.encode_to_vec()[..]).ok().and_then(|f| f.body);
        match (back, call) {
            (Some(Body::Digest(d)), Call::Ask { question, took, news, has, .. }) => {
                let asked = summaries::asked(1, d);
                assert_eq!(asked, Ok(Asked { question, took, news, has }), "seed {seed}");
            }
            (Some(Body::Summaries(s)), Call::Answer { question, mut all, .. }) => {
                // Ages are never told for less.
                all.iter_mut().for_each(|t| t.age = (t.age + 999) / 1000 * 1000);
                assert_eq!(summaries::told(1, s), Ok((question, all)), "seed {seed}");
            }
            (body, call) => panic!("seed {seed}: {call:?} came back as {body:?}"),
        }
        assert_eq!(link, 7);
    }
}

#[test]
fn lists_that_do_not_fit_are_refused_and_gaps_lead_nowhere() {
    let digest = Digest { question: 3, took: 9, subjects: vec![1, 2], numbers: vec![1], ..Digest::default() };
    let refused = summaries::asked(1, digest.clone());
    assert!(matches!(refused, Err(Wrong::Lists { peer: 1, frame: "digest", .. })), "{refused:?}");
    let asked = summaries::asked(1, Digest { numbers: vec![1, 1], ..digest });
    assert_eq!(asked.map(|a| a.took), Ok(0), "what cannot be counts as nothing taken");
    let one = Summaries {
        question: 3,
        subjects: vec![1],
        tokens: vec![1],
        numbers: vec![5],
        behind: vec![2],
        ages_ms: vec![u64::MAX],
        counts: vec![2],
        places: vec![u32::MAX, u32::MAX],
        figures: vec![0, 0],
    };
    assert!(summaries::told(1, one.clone()).is_ok_and(|(_, all)| all[0].age == i64::MAX));
    let wrongs: [fn(&mut Summaries); 6] = [
        |s| s.tokens.clear(),
        |s| s.ages_ms.push(1),
        |s| s.counts[0] = 3,
        |s| s.counts[0] = u32::MAX,
        |s| s.figures.clear(),
        |s| s.behind[0] = 6,
    ];
    for wrong in wrongs {
        let mut summaries = one.clone();
        wrong(&mut summaries);
        let refused = summaries::told(1, summaries);
        assert!(matches!(refused, Err(Wrong::Lists { frame: "summaries", .. })), "{refused:?}");
    }
}

fn says(chance: &mut Rng, halls: usize) -> Says {
    let mut some = || f64::from(chance.u32(0..200));
    let mut share = DemandSummary {
        free_cores: [some(), some(), some()],
        total_cores: 1.0 + some(),
        ..DemandSummary::default()
    };
    share.offered.iter_mut().chain(&mut share.waiting).for_each(|x| *x = some());
    let counts = [some(), some(), some(), some()];
    let of_halls = (0..halls).map(|_| [5.0 + some(), 1.0 + some(), some(), some(), some(), some(), some()]);
    let halls_say = of_halls.collect();
    let stages = (0..halls).map(|_| f64::from(chance.u32(0..4))).collect();
    Says { counts, stands: 2, word: (chance.u64(..), chance.u64(..1 << 40), stages), share, halls: halls_say }
}

/// What planners ask for is summed, what they believe of machines is fused to the middle, and the highest word
/// counts whole; the other way round would make many fleets of one.
#[test]
fn several_planners_make_one_zone() {
    for seed in 0..500 {
        let mut chance = Rng::with_seed(seed);
        let (halls, planners) = (chance.usize(1..9), chance.usize(1..9));
        let all: Vec<Says> = (0..planners).map(|_| says(&mut chance, halls)).collect();
        let figures: Vec<Figures> = all.iter().map(|s| s.figures(halls)).collect();
        for (says, figures) in all.iter().zip(&figures) {
            assert_eq!(Says::read(figures, halls).as_ref(), Some(says), "seed {seed}");
        }
        let fused = layout(halls).fuse(&figures.iter().collect::<Vec<_>>());
        let fused = Says::read(&fused.into_iter().collect(), halls).expect("a share");
        let sum = |of: &dyn Fn(&Says) -> f64| all.iter().map(of).sum::<f64>();
        let middle = |of: &dyn Fn(&Says) -> f64| {
            let mut all: Vec<f64> = all.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all[(planners - 1) / 2]
        };
        assert_eq!(fused.counts[0], sum(&|s| s.counts[0]), "seed {seed}");
        assert_eq!(fused.share.offered[3], sum(&|s| s.share.offered[3]), "seed {seed}");
        assert_eq!(fused.share.waiting[7], sum(&|s| s.share.waiting[7]), "seed {seed}");
        assert_eq!(fused.share.free_cores[1], middle(&|s| s.share.free_cores[1]), "seed {seed}");
        assert_eq!(fused.share.total_cores, middle(&|s| s.share.total_cores), "seed {seed}");
        for hall in 0..halls {
            for of in 0..5 {
                assert_eq!(fused.halls[hall][of], middle(&|s| s.halls[hall][of]), "seed {seed}: {of}");
            }
            assert_eq!(fused.halls[hall][6], sum(&|s| s.halls[hall][6]), "seed {seed}");
        }
        let newest = all.iter().map(|s| &s.word).max_by_key(|w| (w.0, w.1));
        assert_eq!(Some(&fused.word), newest, "seed {seed}");
        assert_eq!((fused.stands, layout(halls).size()), (2, figures[0].len()));
    }
    assert!(layout(99).size() + 2 <= basaltpitch_gossip::MOST_FIGURES && told(99) > 16);
}

/// A planner of an earlier build told whole texts in frames of other numbers: they are of no kind that is known
/// here, which ends the link with one error, and are never misread.
#[test]
fn frames_of_earlier_builds_are_of_no_kind() {
    for kind in [70u32, 71] {
        // Its first field was the question's number, as it is now.
        let bytes =
            [&[((kind << 3 | 2) & 0x7f | 0x80) as u8, ((kind << 3 | 2) >> 7) as u8][..], &[2, 8, 1]].concat();
        let frame = Frame::decode(&bytes[..]).expect("a frame in form");
        assert_eq!(frame.body, None, "kind {kind}");
    }
}
