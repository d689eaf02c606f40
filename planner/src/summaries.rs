//! What planners tell each other, as frames and back.
use basaltpitch_agent::wire::{Body, Digest, Summaries};
use basaltpitch_gossip::cost::{age_ms, behind, gaps, steps};
use basaltpitch_gossip::{Asked, Call, Told, Wrong};

/// A question or an answer as a frame, and the link that it goes to; none for other calls.
pub fn frame(call: &Call) -> Option<(u64, Body)> {
    match call {
        Call::Ask { link, question, took, news, has } => {
            let digest = Digest {
                question: *question,
                took: question - took,
                news: *news,
                subjects: has.iter().map(|h| h.0 as u32).collect(),
                numbers: has.iter().map(|h| h.1).collect(),
            };
            Some((*link, Body::Digest(digest)))
        }
        Call::Answer { link, question, all } => {
            let changed = || all.iter().flat_map(|t| &t.changed);
            let summaries = Summaries {
                question: *question,
                subjects: all.iter().map(|t| t.subject as u32).collect(),
                tokens: steps(all).collect(),
                numbers: all.iter().map(|t| t.number).collect(),
                behind: all.iter().map(behind).collect(),
                ages_ms: all.iter().map(|t| age_ms(t.age)).collect(),
                counts: all.iter().map(|t| t.changed.len() as u32).collect(),
                places: all.iter().flat_map(|t| gaps(&t.changed)).collect(),
                figures: changed().map(|c| c.1.swap_bytes()).collect(),
            };
            Some((*link, Body::Summaries(summaries)))
        }
        Call::Dial { .. } | Call::Hang { .. } => None,
    }
}

/// A peer's question. An error names lists that do not fit each other.
pub fn asked(peer: usize, d: Digest) -> Result<Asked, Wrong> {
    let lengths = vec![d.subjects.len(), d.numbers.len()];
    if d.subjects.len() != d.numbers.len() {
        return Err(Wrong::Lists { peer, frame: "digest", lengths });
    }
    let has = d.subjects.into_iter().map(|s| s as usize).zip(d.numbers).collect();
    Ok(Asked { question: d.question, took: d.question.saturating_sub(d.took), news: d.news, has })
}

/// A peer's answer: the question's number and what is told. An error names lists that do not fit each other.
pub fn told(peer: usize, s: Summaries) -> Result<(u64, Vec<Told>), Wrong> {
    let count = s.subjects.len();
    let figures: usize = s.counts.iter().map(|count| *count as usize).sum();
    let one = [s.tokens.len(), s.numbers.len(), s.behind.len(), s.ages_ms.len(), s.counts.len()];
    let fits = one.iter().all(|length| *length == count)
        && s.places.len() == figures
        && s.figures.len() == figures
        && s.behind.iter().zip(&s.numbers).all(|(behind, number)| behind <= number);
    if !fits {
        let lengths = [&[count][..], &one, &[s.places.len(), s.figures.len()]].concat();
        return Err(Wrong::Lists { peer, frame: "summaries", lengths });
    }
    let mut all = Vec::with_capacity(count);
    let mut token: u64 = 0;
    let mut rest = s.places.into_iter().zip(s.figures);
    for n in 0..count {
        token = token.wrapping_add(s.tokens[n] as u64);
        let mut place: Option<usize> = None;
        let changed = rest.by_ref().take(s.counts[n] as usize).map(|(gap, figure)| {
            let at = place.map_or(0, |p| p + 1).saturating_add(gap as usize);
            place = Some(at);
            (at, figure.swap_bytes())
        });
        all.push(Told {
            subject: s.subjects[n] as usize,
            token,
            number: s.numbers[n],
            base: if s.behind[n] == 0 { 0 } else { s.numbers[n] - s.behind[n] },
            // What is not to be believed is so old that it says nothing.
            age: i64::try_from(s.ages_ms[n]).map_or(i64::MAX, |ms| ms.saturating_mul(1000)),
            changed: changed.collect(),
        });
    }
    Ok((s.question, all))
}
