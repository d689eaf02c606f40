//! What cannot be true is dropped, with an error that names the peer and the field and what to do; what is in
//! order beside it is taken.
use basaltpitch_exchange::{Call, Exchange, Heard, Pace, Told, Wrong, MOST_FIGURES};
use expect_test::expect;
use std::rc::Rc;

type Figures = Rc<[f64]>;

fn told(seat: usize, token: u64, number: u64, age: i64, figures: Vec<f64>) -> Told<Figures> {
    Told { seat, token, number, age, carried: figures.into() }
}

/// Planner-0 of four, under token 10, linked to planner-1; the question that it asked.
fn asking() -> (Exchange<Figures>, u64) {
    let mut e = Exchange::new(0, Pace::USUAL, 4, 0, 10, 1);
    (1..4).for_each(|seat| e.seated(0, seat, 10, None));
    e.linked(0, 7, 1, 10, false).expect("a planner in order");
    let Some(Call::Ask { question, .. }) = e.next_call() else { panic!("it asks at once") };
    (e, question)
}

#[test]
fn each_wrong_is_named_with_its_help_and_the_rest_is_taken() {
    let (mut e, question) = asking();
    let all = vec![
        told(9, 10, 1, 0, vec![1.0]),
        told(2, 99, 1, 0, vec![1.0]),
        told(2, 10, 1, -5, vec![1.0]),
        told(2, 10, 1, 0, vec![1.0, f64::NAN]),
        told(2, 10, 1, 0, vec![0.0; MOST_FIGURES + 1]),
        told(0, 10, 3, 0, vec![1.0]),
        // An earlier holder's word is late, and no fault.
        told(2, 9, 8, 0, vec![1.0]),
        told(3, 10, 1, 0, vec![1.0]),
    ];
    let mut wrong = e.answered(1000, 7, question, all);
    wrong.extend(e.answered(1000, 7, question, vec![]));
    wrong.extend(e.asked(1000, 7, 1, [(4, 1, 1)]).err());
    wrong.extend(e.linked(1000, 8, 2, 9, false).err());
    wrong.push(Wrong::Lists { peer: 1, seats: 2, tokens: 2, numbers: 1 });
    let lines: Vec<String> = wrong
        .iter()
        .map(|w| {
            let help = w.advice();
            format!("{w}{}\n  {help}", if w.is_usual() { " (usual)" } else { "" })
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
        planner-1: figures of planner-2: found 257; expected 256 at most
          what that seat says cannot be true and counts as unheard; compare its version and files with this planner's
        planner-1: number of planner-0: found 3; expected 0 at most
          two processes publish for one seat under one token: end the one that `basaltpitch council` does not name
        planner-1: question: found 1; expected the one that is open (usual)
          an answer that came twice or very late; if it lasts, the way to that planner is slow
        planner-1: seat: found 4; expected one of another planner, from 0 to 3
          its files say another number of planners: give all planners the same `planners`
        planner-2: epoch: found 9; expected 10, under which the seat is held (usual)
          a process that lost this seat and does not know it yet; if it lasts, look for one that was started without the council
        planner-1: digest: found 2 seats, 2 tokens and 1 numbers; expected as many of each
          it speaks another version of the protocol: give all planners the same build"#]].assert_eq(&lines.join("\n"));
    assert_eq!(e.heard(1000, 2), Heard::Unheard { token: 10, age: None }, "nothing of it was taken");
    assert!(matches!(e.heard(1000, 3), Heard::Fresh { number: 1, age: 1000, .. }));
    let mine = e.publish(2000, vec![f64::INFINITY].into());
    assert!(matches!(mine, Err(Wrong::Carried { peer: 0, .. })), "{mine:?}");
}
