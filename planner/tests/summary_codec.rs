//! The encoding of gossip as frames, and of shared metrics as a summary. Random requests and
//! replies must decode to the same values and take as many bytes as gossip accounts for them;
//! frames with lists of mismatched lengths must be rejected; metrics must survive encoding, for one
//! planner and for the merged summary of several. A failing case prints its seed.
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

/// Returns a random request or reply.
fn random_action(rng: &mut Rng) -> GossipAction {
    let mut number = |bits: u32| rng.u64(..) >> (64 - bits);
    let (link, id) = (7, 1 + number(20));
    if number(1) == 0 {
        let acknowledged = id - id.min(number(6));
        let count = number(5);
        let versions =
            (0..count).map(|_| Version { subject: number(9) as usize, number: number(30) }).collect();
        let request = PullRequest { id, acknowledged, versions, has_updates: number(1) == 1 };
        return GossipAction::Request { link, request };
    }
    let mut delta = |_| {
        let (summary_number, mut next_metric) = (1 + number(40), 0);
        let mut changed = Vec::new();
        for _ in 0..number(7) {
            next_metric += 1 + number(5) as usize;
            let mask = if number(1) == 0 { 0xffff_0000 } else { u32::MAX };
            changed.push((next_metric - 1, number(32) as u32 & mask));
        }
        let base = if number(1) == 0 { 0 } else { summary_number - 1 - number(2).min(summary_number - 1) };
        let (subject, token, age_us) = (number(9) as usize, number(12), number(34) as i64);
        let token = if token % 2 == 0 { token + (1 << 51) } else { u64::MAX - token };
        SummaryDelta { subject, token, number: summary_number, base, age_us, changed }
    };
    let deltas = (0..5).map(&mut delta).collect();
    GossipAction::Reply { link, request_id: id, deltas }
}

#[test]
fn random_actions_round_trip_and_have_accounted_size() {
    for seed in 0..4000 {
        let action = random_action(&mut Rng::with_seed(seed));
        let (link, body) = encode(&action).expect("a request or a reply");
        let frame: Frame = body.into();
        // Each frame is preceded by its length, of 4 bytes.
        assert_eq!(frame.encoded_len() + 4, frame_bytes(&action), "seed {seed}: {action:?}");
        let decoded = Frame::decode(&frame.encode_to_vec()[..]).ok().and_then(|f| f.body);
        match (decoded, action) {
            (Some(Body::Digest(d)), GossipAction::Request { request, .. }) => {
                assert_eq!(decode_request(1, d), Ok(request), "seed {seed}");
            }
            (Some(Body::Summaries(s)), GossipAction::Reply { request_id, mut deltas, .. }) => {
                // Ages are sent in milliseconds, rounded up.
                deltas.iter_mut().for_each(|delta| delta.age_us = (delta.age_us + 999) / 1000 * 1000);
                assert_eq!(decode_reply(1, s), Ok((request_id, deltas)), "seed {seed}");
            }
            (body, action) => panic!("seed {seed}: {action:?} was decoded as {body:?}"),
        }
        assert_eq!(link, 7);
    }
}

#[test]
fn rejects_mismatched_lists_and_ignores_impossible_acknowledgement() {
    let digest = Digest { question: 3, took: 9, subjects: vec![1, 2], numbers: vec![1], ..Digest::default() };
    let decoded = decode_request(1, digest.clone());
    assert!(matches!(decoded, Err(InvalidSummary::Lists { peer: 1, frame: "digest", .. })), "{decoded:?}");
    let request = decode_request(1, Digest { numbers: vec![1, 1], ..digest });
    assert_eq!(
        request.map(|request| request.acknowledged),
        Ok(0),
        "an impossible acknowledgement counts as none"
    );
    let valid = Summaries {
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
    assert!(decode_reply(1, valid.clone()).is_ok_and(|(_, all)| all[0].age_us == i64::MAX));
    let faults: [fn(&mut Summaries); 6] = [
        |s| s.tokens.clear(),
        |s| s.ages_ms.push(1),
        |s| s.counts[0] = 3,
        |s| s.counts[0] = u32::MAX,
        |s| s.figures.clear(),
        |s| s.behind[0] = 6,
    ];
    for fault in faults {
        let mut summaries = valid.clone();
        fault(&mut summaries);
        let decoded = decode_reply(1, summaries);
        assert!(matches!(decoded, Err(InvalidSummary::Lists { frame: "summaries", .. })), "{decoded:?}");
    }
}

/// Returns random metrics of one planner.
fn random_metrics(rng: &mut Rng, zone_count: usize) -> SharedMetrics {
    let mut random = || f64::from(rng.u32(0..200));
    let mut demand = DemandSummary {
        free_cores: [random(), random(), random()],
        total_cores: 1.0 + random(),
        ..DemandSummary::default()
    };
    demand.offered.iter_mut().chain(&mut demand.waiting).for_each(|x| *x = random());
    let counts = [random(), random(), random(), random()];
    let zone_metrics = (0..zone_count)
        .map(|_| [5.0 + random(), 1.0 + random(), random(), random(), random(), random(), random()]);
    let zones = zone_metrics.collect();
    let phases = (0..zone_count).map(|_| f64::from(rng.u32(0..4))).collect();
    let decision = SharedDecision { token: rng.u64(..), number: rng.u64(..1 << 40), phases };
    SharedMetrics { counts, own_zone: 2, decision, demand, zones }
}

/// Merging the summaries of a zone's planners must sum their counts and demand, and take the median
/// of their estimates of machines and the newest decision. Summing the estimates would count the
/// same fleet several times.
#[test]
fn merged_summary_sums_demand_and_takes_median_of_estimates() {
    for seed in 0..500 {
        let mut rng = Rng::with_seed(seed);
        let (zone_count, planners) = (rng.usize(1..9), rng.usize(1..9));
        let all: Vec<SharedMetrics> = (0..planners).map(|_| random_metrics(&mut rng, zone_count)).collect();
        let summaries: Vec<Metrics> = all.iter().map(|s| s.to_metrics(zone_count)).collect();
        for (shared, metrics) in all.iter().zip(&summaries) {
            let decoded = SharedMetrics::from_metrics(metrics, zone_count);
            assert_eq!(decoded.as_ref(), Some(shared), "seed {seed}");
        }
        let merged = layout(zone_count).merge(&summaries.iter().collect::<Vec<_>>());
        let merged =
            SharedMetrics::from_metrics(&merged.into_iter().collect(), zone_count).expect("valid metrics");
        let sum = |of: &dyn Fn(&SharedMetrics) -> f64| all.iter().map(of).sum::<f64>();
        let median = |of: &dyn Fn(&SharedMetrics) -> f64| {
            let mut all: Vec<f64> = all.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all[(planners - 1) / 2]
        };
        assert_eq!(merged.counts[0], sum(&|s| s.counts[0]), "seed {seed}");
        assert_eq!(merged.demand.offered[3], sum(&|s| s.demand.offered[3]), "seed {seed}");
        assert_eq!(merged.demand.waiting[7], sum(&|s| s.demand.waiting[7]), "seed {seed}");
        assert_eq!(merged.demand.free_cores[1], median(&|s| s.demand.free_cores[1]), "seed {seed}");
        assert_eq!(merged.demand.total_cores, median(&|s| s.demand.total_cores), "seed {seed}");
        for zone in 0..zone_count {
            for metric in 0..5 {
                assert_eq!(
                    merged.zones[zone][metric],
                    median(&|s| s.zones[zone][metric]),
                    "seed {seed}: {metric}"
                );
            }
            assert_eq!(merged.zones[zone][6], sum(&|s| s.zones[zone][6]), "seed {seed}");
        }
        let newest = all.iter().map(|s| &s.decision).max_by_key(|d| (d.token, d.number));
        assert_eq!(Some(&merged.decision), newest, "seed {seed}");
        assert_eq!((merged.own_zone, layout(zone_count).metric_count()), (2, summaries[0].len()));
    }
    assert!(layout(99).metric_count() + 2 <= basaltpitch_gossip::MAX_METRICS && shared_zone_count(99) > 16);
}

/// Planners of an earlier build sent complete summaries in frames with field numbers 70 and 71.
/// Those must decode to no known body, which closes the link with one error, and must never be
/// misread.
#[test]
fn frames_of_earlier_build_decode_to_no_body() {
    for kind in [70u32, 71] {
        // The first field of these frames was the request id, as it still is.
        let bytes =
            [&[((kind << 3 | 2) & 0x7f | 0x80) as u8, ((kind << 3 | 2) >> 7) as u8][..], &[2, 8, 1]].concat();
        let frame = Frame::decode(&bytes[..]).expect("a well-formed frame");
        assert_eq!(frame.body, None, "kind {kind}");
    }
}
