//! Encodes gossip requests and replies as frames, and decodes them.
use basaltpitch_agent::wire::{Body, Digest, Summaries};
use basaltpitch_gossip::frame_size::{age_ms, base_distance, index_gaps, token_steps};
use basaltpitch_gossip::{GossipAction, InvalidSummary, PullRequest, SummaryDelta, Version};

/// Returns the frame of a request or a reply and the link to send it on; `None` for actions that
/// send no frame.
pub fn encode(action: &GossipAction) -> Option<(u64, Body)> {
    match action {
        GossipAction::Request { link, request } => {
            let PullRequest { id, acknowledged, has_updates, versions } = request;
            let digest = Digest {
                question: *id,
                took: id - acknowledged,
                news: *has_updates,
                subjects: versions.iter().map(|version| version.subject as u32).collect(),
                numbers: versions.iter().map(|version| version.number).collect(),
            };
            Some((*link, Body::Digest(digest)))
        }
        GossipAction::Reply { link, request_id, deltas } => {
            let changed = || deltas.iter().flat_map(|delta| &delta.changed);
            let summaries = Summaries {
                question: *request_id,
                subjects: deltas.iter().map(|delta| delta.subject as u32).collect(),
                tokens: token_steps(deltas).collect(),
                numbers: deltas.iter().map(|delta| delta.number).collect(),
                behind: deltas.iter().map(base_distance).collect(),
                ages_ms: deltas.iter().map(|delta| age_ms(delta.age_us)).collect(),
                counts: deltas.iter().map(|delta| delta.changed.len() as u32).collect(),
                places: deltas.iter().flat_map(|delta| index_gaps(&delta.changed)).collect(),
                figures: changed().map(|(_, bits)| bits.swap_bytes()).collect(),
            };
            Some((*link, Body::Summaries(summaries)))
        }
        GossipAction::Dial { .. } | GossipAction::CloseLink { .. } => None,
    }
}

/// Decodes the pull request of a peer.
///
/// # Errors
/// The frame's lists differ in length; the error holds their lengths.
pub fn decode_request(peer: usize, digest: Digest) -> Result<PullRequest, InvalidSummary> {
    let lengths = vec![digest.subjects.len(), digest.numbers.len()];
    if digest.subjects.len() != digest.numbers.len() {
        return Err(InvalidSummary::Lists { peer, frame: "digest", lengths });
    }
    let subjects = digest.subjects.into_iter().map(|subject| subject as usize);
    let versions =
        subjects.zip(digest.numbers).map(|(subject, number)| Version { subject, number }).collect();
    Ok(PullRequest {
        id: digest.question,
        acknowledged: digest.question.saturating_sub(digest.took),
        has_updates: digest.news,
        versions,
    })
}

/// Decodes the reply of a peer into the id of the request and the changed summaries.
///
/// # Errors
/// The lengths of the frame's lists are inconsistent, or a summary's base would have a number
/// below 0; the error holds the lengths.
pub fn decode_reply(peer: usize, summaries: Summaries) -> Result<(u64, Vec<SummaryDelta>), InvalidSummary> {
    check_lengths(peer, &summaries)?;
    let count = summaries.subjects.len();
    let mut deltas = Vec::with_capacity(count);
    let mut token: u64 = 0;
    let mut changes = summaries.places.into_iter().zip(summaries.figures);
    for row in 0..count {
        token = token.wrapping_add(summaries.tokens[row] as u64);
        let (number, behind) = (summaries.numbers[row], summaries.behind[row]);
        let mut last_index: Option<usize> = None;
        let changed = changes.by_ref().take(summaries.counts[row] as usize).map(|(gap, bits)| {
            let index = last_index.map_or(0, |last| last + 1).saturating_add(gap as usize);
            last_index = Some(index);
            (index, bits.swap_bytes())
        });
        deltas.push(SummaryDelta {
            subject: summaries.subjects[row] as usize,
            token,
            number,
            base: if behind == 0 { 0 } else { number - behind },
            // An age outside the range of `i64` saturates, so that the summary counts as expired.
            age_us: i64::try_from(summaries.ages_ms[row]).map_or(i64::MAX, |ms| ms.saturating_mul(1000)),
            changed: changed.collect(),
        });
    }
    Ok((summaries.question, deltas))
}

fn check_lengths(peer: usize, summaries: &Summaries) -> Result<(), InvalidSummary> {
    let count = summaries.subjects.len();
    let changes: usize = summaries.counts.iter().map(|count| *count as usize).sum();
    let columns = [
        summaries.tokens.len(),
        summaries.numbers.len(),
        summaries.behind.len(),
        summaries.ages_ms.len(),
        summaries.counts.len(),
    ];
    let fits = columns.iter().all(|length| *length == count)
        && summaries.places.len() == changes
        && summaries.figures.len() == changes
        && summaries.behind.iter().zip(&summaries.numbers).all(|(behind, number)| behind <= number);
    if fits {
        return Ok(());
    }
    let lengths = [&[count][..], &columns, &[summaries.places.len(), summaries.figures.len()]].concat();
    Err(InvalidSummary::Lists { peer, frame: "summaries", lengths })
}
