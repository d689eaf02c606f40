//! Gossip as frames: drawn requests and replies come back as they were and cost as many bytes as
//! gossip counts; lists that do not fit are refused; and a summary's metrics come back, of one
//! planner and of several as one. A failing case prints its seed.
use basaltpitch_admission::DemandSummary;
use basaltpitch_agent::wire::{Body, Digest, Frame, Summaries};
use basaltpitch_gossip::frame_size::frame_bytes;
use basaltpitch_gossip::{
    GossipAction, InvalidSummary, Metrics, Payload, PullRequest, SummaryDelta, Version,
};
use basaltpitch_planner::shared_metrics::{layout, shared_zone_count, SharedDecision, SharedMetrics};
use basaltpitch_planner::summary_codec::{decode_reply, decode_request, encode};
use fastrand::Rng;
use prost::Message;

fn drawn(chance: &mut Rng) -> GossipAction {
    let mut number = |bits: u32| chance.u64(..) >> (64 - bits);
    let (link, id) = (7, 1 + number(20));
    if number(1) == 0 {
        let acknowledged = id - id.min(number(6));
        let count = number(5);
        let versions =
            (0..count).map(|_| Version { subject: number(9) as usize, number: number(30) }).collect();
        let request = PullRequest { id, acknowledged, versions, has_updates: number(1) == 1 };
        return GossipAction::Request { link, request };
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
        let (subject, token, age_us) = (number(9) as usize, number(12), number(34) as i64);
        let token = if token % 2 == 0 { token + (1 << 51) } else { u64::MAX - token };
        SummaryDelta { subject, token, number: rises, base, age_us, changed }
    };
    let deltas = (0..5).map(&mut one).collect();
    GossipAction::Reply { link, request_id: id, deltas }
}

#[test]
fn drawn_calls_come_back_and_cost_what_is_believed() {
    for seed in 0..4000 {
        let call = drawn(&mut Rng::with_seed(seed));
        let (link, body) = encode(&call).expect("a question or an answer");
        let frame: Frame = body.into();
        // The length goes before each frame.
        assert_eq!(frame.encoded_len() + 4, frame_bytes(&call), "seed {seed}: {call:?}");
        let back = Frame::decode(&frame.encode_to_vec()[..]).ok().and_then(|f| f.body);
        match (back, call) {
            (Some(Body::Digest(d)), GossipAction::Request { request, .. }) => {
                assert_eq!(decode_request(1, d), Ok(request), "seed {seed}");
            }
            (Some(Body::Summaries(s)), GossipAction::Reply { request_id, mut deltas, .. }) => {
                // Ages are never told for less.
                deltas.iter_mut().for_each(|delta| delta.age_us = (delta.age_us + 999) / 1000 * 1000);
                assert_eq!(decode_reply(1, s), Ok((request_id, deltas)), "seed {seed}");
            }
            (body, call) => panic!("seed {seed}: {call:?} came back as {body:?}"),
        }
        assert_eq!(link, 7);
    }
}

#[test]
fn lists_that_do_not_fit_are_refused_and_gaps_lead_nowhere() {
    let digest = Digest { question: 3, took: 9, subjects: vec![1, 2], numbers: vec![1], ..Digest::default() };
    let refused = decode_request(1, digest.clone());
    assert!(matches!(refused, Err(InvalidSummary::Lists { peer: 1, frame: "digest", .. })), "{refused:?}");
    let asked = decode_request(1, Digest { numbers: vec![1, 1], ..digest });
    assert_eq!(asked.map(|request| request.acknowledged), Ok(0), "what cannot be counts as nothing taken");
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
    assert!(decode_reply(1, one.clone()).is_ok_and(|(_, all)| all[0].age_us == i64::MAX));
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
        let refused = decode_reply(1, summaries);
        assert!(matches!(refused, Err(InvalidSummary::Lists { frame: "summaries", .. })), "{refused:?}");
    }
}

fn drawn_metrics(chance: &mut Rng, zone_count: usize) -> SharedMetrics {
    let mut some = || f64::from(chance.u32(0..200));
    let mut share = DemandSummary {
        free_cores: [some(), some(), some()],
        total_cores: 1.0 + some(),
        ..DemandSummary::default()
    };
    share.offered.iter_mut().chain(&mut share.waiting).for_each(|x| *x = some());
    let counts = [some(), some(), some(), some()];
    let of_zones =
        (0..zone_count).map(|_| [5.0 + some(), 1.0 + some(), some(), some(), some(), some(), some()]);
    let zones = of_zones.collect();
    let phases = (0..zone_count).map(|_| f64::from(chance.u32(0..4))).collect();
    let decision = SharedDecision { token: chance.u64(..), number: chance.u64(..1 << 40), phases };
    SharedMetrics { counts, own_zone: 2, decision, demand: share, zones }
}

/// What planners ask for is summed, what they believe of machines is fused to the middle, and the
/// highest word counts whole; the other way round would make many fleets of one.
#[test]
fn several_planners_make_one_zone() {
    for seed in 0..500 {
        let mut chance = Rng::with_seed(seed);
        let (zone_count, planners) = (chance.usize(1..9), chance.usize(1..9));
        let all: Vec<SharedMetrics> = (0..planners).map(|_| drawn_metrics(&mut chance, zone_count)).collect();
        let summaries: Vec<Metrics> = all.iter().map(|s| s.to_metrics(zone_count)).collect();
        for (shared, metrics) in all.iter().zip(&summaries) {
            let read = SharedMetrics::from_metrics(metrics, zone_count);
            assert_eq!(read.as_ref(), Some(shared), "seed {seed}");
        }
        let fused = layout(zone_count).merge(&summaries.iter().collect::<Vec<_>>());
        let fused = SharedMetrics::from_metrics(&fused.into_iter().collect(), zone_count).expect("a share");
        let sum = |of: &dyn Fn(&SharedMetrics) -> f64| all.iter().map(of).sum::<f64>();
        let middle = |of: &dyn Fn(&SharedMetrics) -> f64| {
            let mut all: Vec<f64> = all.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all[(planners - 1) / 2]
        };
        assert_eq!(fused.counts[0], sum(&|s| s.counts[0]), "seed {seed}");
        assert_eq!(fused.demand.offered[3], sum(&|s| s.demand.offered[3]), "seed {seed}");
        assert_eq!(fused.demand.waiting[7], sum(&|s| s.demand.waiting[7]), "seed {seed}");
        assert_eq!(fused.demand.free_cores[1], middle(&|s| s.demand.free_cores[1]), "seed {seed}");
        assert_eq!(fused.demand.total_cores, middle(&|s| s.demand.total_cores), "seed {seed}");
        for zone in 0..zone_count {
            for of in 0..5 {
                assert_eq!(fused.zones[zone][of], middle(&|s| s.zones[zone][of]), "seed {seed}: {of}");
            }
            assert_eq!(fused.zones[zone][6], sum(&|s| s.zones[zone][6]), "seed {seed}");
        }
        let newest = all.iter().map(|s| &s.decision).max_by_key(|d| (d.token, d.number));
        assert_eq!(Some(&fused.decision), newest, "seed {seed}");
        assert_eq!((fused.own_zone, layout(zone_count).metric_count()), (2, summaries[0].len()));
    }
    assert!(layout(99).metric_count() + 2 <= basaltpitch_gossip::MAX_METRICS && shared_zone_count(99) > 16);
}

/// A planner of an earlier build told whole texts in frames of other numbers: they are of no kind
/// that is known here, which ends the link with one error, and are never misread.
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
