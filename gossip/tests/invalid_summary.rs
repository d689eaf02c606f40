//! Tests that invalid summaries are dropped with an error that names the peer and the field and
//! says what to do, while valid summaries in the same reply are accepted.
#![allow(clippy::too_many_lines, reason = "one reply with every error")]
use basaltpitch_gossip::{
    Freshness, Gossip, GossipAction, GossipConfig, InvalidSummary, LinkedPeer, Membership, MergeRule,
    MetricLayout, PullRequest, SummaryDelta, Version,
};
use expect_test::expect;

/// Builds a whole summary.
fn whole_summary(subject: usize, token: u64, number: u64, age_us: i64, metrics: Vec<f32>) -> SummaryDelta {
    let changed = metrics.into_iter().map(f32::to_bits).enumerate().collect();
    SummaryDelta { subject, token, number, base: 0, age_us, changed }
}

fn request(id: u64, versions: Vec<Version>) -> PullRequest {
    PullRequest { id, acknowledged: 0, has_updates: false, versions }
}

/// Returns the gossip state of planner-0, one of four planners that hold their slots under token
/// 10, linked to planner-1; and the id of its open request. Summaries have two metrics.
fn linked_gossip() -> (Gossip<MetricLayout>, u64) {
    let membership =
        Membership { slots: 4, own_slot: 0, own_token: 10, own_zone: 0, zone_regions: [0].into() };
    let mut gossip =
        Gossip::new(0, GossipConfig::DEFAULT, membership, MetricLayout([MergeRule::Sum; 2].into()), 1);
    (1..4).for_each(|slot| gossip.slot_assigned(0, slot, 10, None));
    gossip.link_up(0, 7, LinkedPeer { slot: 1, token: 10, outbound: false }).expect("the peer is valid");
    let Some(GossipAction::Request { request, .. }) = gossip.next_action() else {
        panic!("it sends a request at once")
    };
    (gossip, request.id)
}

#[test]
fn rejects_invalid_summaries_with_help_and_accepts_valid_ones() {
    let (mut gossip, request_id) = linked_gossip();
    let valid_metrics = || vec![1.0, 0.0];
    let all = vec![
        whole_summary(9, 10, 1, 0, valid_metrics()),
        whole_summary(2, 99, 1, 0, valid_metrics()),
        whole_summary(2, 10, 1, -5, valid_metrics()),
        whole_summary(2, 10, 1, 0, vec![1.0, f32::NAN]),
        whole_summary(2, 10, 1, 0, vec![0.0; 3]),
        whole_summary(2, 10, 1, 0, vec![0.0]),
        SummaryDelta { changed: vec![(1, 0), (0, 0)], ..whole_summary(2, 10, 1, 0, valid_metrics()) },
        SummaryDelta { base: 4, changed: vec![], ..whole_summary(2, 10, 3, 0, valid_metrics()) },
        whole_summary(0, 10, 3, 0, valid_metrics()),
        // A late summary of an earlier holder is not an error.
        whole_summary(2, 9, 8, 0, valid_metrics()),
        // A delta whose base is not stored makes the planner request the whole summary.
        SummaryDelta { base: 2, changed: vec![], ..whole_summary(2, 10, 3, 0, valid_metrics()) },
        whole_summary(3, 10, 1, 0, valid_metrics()),
    ];
    let mut errors = gossip.receive_reply(1000, 7, request_id, all);
    errors.extend(gossip.receive_reply(1000, 7, request_id, vec![]));
    errors.extend(gossip.receive_request(1000, 7, request(1, vec![Version { subject: 8, number: 1 }])).err());
    errors.extend(gossip.link_up(1000, 8, LinkedPeer { slot: 2, token: 9, outbound: false }).err());
    errors.push(InvalidSummary::Address { peer: 2, found: "127.0.0.1:1".into() });
    errors.push(InvalidSummary::Lists { peer: 1, frame: "digest", lengths: vec![2, 1] });
    let lines: Vec<String> = errors
        .iter()
        .map(|invalid| {
            let help = invalid.advice();
            format!("{invalid}{}\n  {help}", if invalid.is_expected() { " (expected)" } else { "" })
        })
        .collect();
    expect![[r#"
        planner-1: seat: found 9; expected one of another planner, from 0 to 3
          the peer's files configure another number of planners: set the same `planners` for all planners
        planner-1: token of planner-2: found 99; expected 10, which the voters announced (expected)
          normal for a moment after a slot changes its holder; if it persists, this planner does not reach the voters, or that planner uses other voters: compare `basaltpitch council` from both
        planner-1: age of planner-2: found -5 us; expected 0 or more
          the peer runs another version of the protocol, or its clock went backwards: see its log
        planner-1: figures[1] of planner-2: found NaN; expected a finite number
          the invalid summary is dropped and the slot may become stale; compare the version and files of that slot's planner with this planner's
        planner-1: figures of planner-2: found 3; expected 2 metrics in rising order, as in this planner's files
          the invalid summary is dropped and the slot may become stale; compare the version and files of that slot's planner with this planner's
        planner-1: figures of planner-2: found 1; expected 2 metrics in rising order, as in this planner's files
          the invalid summary is dropped and the slot may become stale; compare the version and files of that slot's planner with this planner's
        planner-1: figures of planner-2: found 1; expected 2 metrics in rising order, as in this planner's files
          the invalid summary is dropped and the slot may become stale; compare the version and files of that slot's planner with this planner's
        planner-1: base of planner-2: found 4; expected a number below that of the summary, 3
          the invalid summary is dropped and the slot may become stale; compare the version and files of that slot's planner with this planner's
        planner-1: number of planner-0: found 3; expected at most 0
          two processes publish for one slot under the same token: stop the one that `basaltpitch council` does not name
        planner-1: request id of its reply: found 1; expected that of the open request (expected)
          a duplicated or very late reply; if it persists, the link to that planner is slow
        planner-1: seat: found 8; expected one of another planner, from 0 to 3
          the peer's files configure another number of planners: set the same `planners` for all planners
        planner-2: epoch: found 9; expected 10, under which the seat is held (expected)
          a process that lost this slot and has not noticed yet; if it persists, look for a planner that was started without voters
        planner-2: metadata of its lease: found "127.0.0.1:1"; expected its address and a zone of this installation
          the peer runs another version of the protocol, or its files name other zones: compare them
        planner-1: digest: found lists of [2, 1]; expected lists that fit each other
          the peer runs another version of the protocol: run the same build on all planners"#]].assert_eq(&lines.join("\n"));
    assert_eq!(
        gossip.freshness(1000, 2),
        Freshness::Stale { token: 10, age_us: None },
        "no summary of planner-2 was accepted"
    );
    assert!(matches!(gossip.freshness(1000, 3), Freshness::Fresh { number: 1, age_us: 1000, .. }));
    while gossip.next_action().is_some() {}
    gossip.advance(2_000_000);
    let action = std::iter::from_fn(|| gossip.next_action())
        .find(|action| matches!(action, GossipAction::Request { .. }));
    let Some(GossipAction::Request { request, .. }) = action else { panic!("it sends another request") };
    assert_eq!(
        (request.acknowledged, request.versions),
        (request_id, vec![Version { subject: 2, number: 0 }]),
        "the request states that no summary of planner-2 is stored"
    );
    let result = gossip.publish(2_000_000, [f32::INFINITY, 0.0].into_iter().collect());
    assert!(matches!(result, Err(InvalidSummary::Payload { peer: 0, .. })), "{result:?}");
    let result = gossip.publish(2_000_000, [0.0; 3].into_iter().collect());
    assert!(matches!(result, Err(InvalidSummary::Payload { peer: 0, .. })), "{result:?}");
}
