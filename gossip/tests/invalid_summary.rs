//! What cannot be true is dropped, with an error that names the peer and the field and what to do; what is in
//! order beside it is taken.
#![allow(clippy::too_many_lines, reason = "one frame with every error in it")]
use basaltpitch_gossip::{
    Freshness, Gossip, GossipAction, GossipConfig, InvalidSummary, LinkedPeer, Membership, MergeRule,
    MetricLayout, PullRequest, SummaryDelta, Version,
};
use expect_test::expect;

/// The whole of a summary.
fn told(subject: usize, token: u64, number: u64, age_us: i64, figures: Vec<f32>) -> SummaryDelta {
    let changed = figures.into_iter().map(f32::to_bits).enumerate().collect();
    SummaryDelta { subject, token, number, base: 0, age_us, changed }
}

fn asked(id: u64, versions: Vec<Version>) -> PullRequest {
    PullRequest { id, acknowledged: 0, has_updates: false, versions }
}

/// Planner-0 of four, under token 10, linked to planner-1; the question that it asked. Two figures each.
fn asking() -> (Gossip<MetricLayout>, u64) {
    let site = Membership { slots: 4, own_slot: 0, own_token: 10, own_zone: 0, zone_regions: [0].into() };
    let mut e = Gossip::new(0, GossipConfig::DEFAULT, site, MetricLayout([MergeRule::Sum; 2].into()), 1);
    (1..4).for_each(|seat| e.slot_assigned(0, seat, 10, None));
    e.link_up(0, 7, LinkedPeer { slot: 1, token: 10, outbound: false }).expect("a planner in order");
    let Some(GossipAction::Request { request, .. }) = e.next_action() else { panic!("it asks at once") };
    (e, request.id)
}

#[test]
fn each_wrong_is_named_with_its_help_and_the_rest_is_taken() {
    let (mut e, question) = asking();
    let two = || vec![1.0, 0.0];
    let all = vec![
        told(9, 10, 1, 0, two()),
        told(2, 99, 1, 0, two()),
        told(2, 10, 1, -5, two()),
        told(2, 10, 1, 0, vec![1.0, f32::NAN]),
        told(2, 10, 1, 0, vec![0.0; 3]),
        told(2, 10, 1, 0, vec![0.0]),
        SummaryDelta { changed: vec![(1, 0), (0, 0)], ..told(2, 10, 1, 0, two()) },
        SummaryDelta { base: 4, changed: vec![], ..told(2, 10, 3, 0, two()) },
        told(0, 10, 3, 0, two()),
        // An earlier holder's word is late, and no fault.
        told(2, 9, 8, 0, two()),
        // What rests on what is not held is asked for whole.
        SummaryDelta { base: 2, changed: vec![], ..told(2, 10, 3, 0, two()) },
        told(3, 10, 1, 0, two()),
    ];
    let mut wrong = e.receive_reply(1000, 7, question, all);
    wrong.extend(e.receive_reply(1000, 7, question, vec![]));
    wrong.extend(e.receive_request(1000, 7, asked(1, vec![Version { subject: 8, number: 1 }])).err());
    wrong.extend(e.link_up(1000, 8, LinkedPeer { slot: 2, token: 9, outbound: false }).err());
    wrong.push(InvalidSummary::Address { peer: 2, found: "127.0.0.1:1".into() });
    wrong.push(InvalidSummary::Lists { peer: 1, frame: "digest", lengths: vec![2, 1] });
    let lines: Vec<String> = wrong
        .iter()
        .map(|w| {
            let help = w.advice();
            format!("{w}{}\n  {help}", if w.is_expected() { " (usual)" } else { "" })
        })
        .collect();
    expect![[r#"
        planner-1: seat: found 9; expected one of another planner, from 0 to 3
          its files say another number of planners: give all planners the same `planners`
        planner-1: token of planner-2: found 99; expected 10, as the council has it (usual)
          usual for a moment after a hand-over; if it lasts, this planner does not reach the voters, or that one believes other voters: compare `basaltpitch council` from both
        planner-1: age of planner-2: found -5 us; expected 0 or more
          it speaks another version of the protocol, or its clock goes back: see its log
        planner-1: figures[1] of planner-2: found NaN; expected a finite number
          what that seat says cannot be true and counts as unheard; compare its version and files with this planner's
        planner-1: figures of planner-2: found 3; expected 2 figures in their order, as of this planner's files
          what that seat says cannot be true and counts as unheard; compare its version and files with this planner's
        planner-1: figures of planner-2: found 1; expected 2 figures in their order, as of this planner's files
          what that seat says cannot be true and counts as unheard; compare its version and files with this planner's
        planner-1: figures of planner-2: found 1; expected 2 figures in their order, as of this planner's files
          what that seat says cannot be true and counts as unheard; compare its version and files with this planner's
        planner-1: base of planner-2: found 4; expected less than its number, 3
          what that seat says cannot be true and counts as unheard; compare its version and files with this planner's
        planner-1: number of planner-0: found 3; expected 0 at most
          two processes publish for one seat under one token: end the one that `basaltpitch council` does not name
        planner-1: question: found 1; expected the one that is open (usual)
          an answer that came twice or very late; if it lasts, the way to that planner is slow
        planner-1: seat: found 8; expected one of another planner, from 0 to 3
          its files say another number of planners: give all planners the same `planners`
        planner-2: epoch: found 9; expected 10, under which the seat is held (usual)
          a process that lost this seat and does not know it yet; if it lasts, look for one that was started without the council
        planner-2: note of its seat: found "127.0.0.1:1"; expected its address and a zone of this installation
          it speaks another version of the protocol, or its files name other zones: compare them
        planner-1: digest: found lists of [2, 1]; expected lists that fit each other
          it speaks another version of the protocol: give all planners the same build"#]].assert_eq(&lines.join("\n"));
    assert_eq!(e.freshness(1000, 2), Freshness::Stale { token: 10, age_us: None }, "nothing of it was taken");
    assert!(matches!(e.freshness(1000, 3), Freshness::Fresh { number: 1, age_us: 1000, .. }));
    while e.next_action().is_some() {}
    e.advance(2_000_000);
    let says =
        std::iter::from_fn(|| e.next_action()).find(|call| matches!(call, GossipAction::Request { .. }));
    let Some(GossipAction::Request { request, .. }) = says else { panic!("it asks again") };
    assert_eq!(
        (request.acknowledged, request.versions),
        (question, vec![Version { subject: 2, number: 0 }]),
        "and says that it has nothing of what it could not take"
    );
    let mine = e.publish(2_000_000, [f32::INFINITY, 0.0].into_iter().collect());
    assert!(matches!(mine, Err(InvalidSummary::Payload { peer: 0, .. })), "{mine:?}");
    let mine = e.publish(2_000_000, [0.0; 3].into_iter().collect());
    assert!(matches!(mine, Err(InvalidSummary::Payload { peer: 0, .. })), "{mine:?}");
}
