//! The sizes of requests and replies as frames, in bytes. They follow the encoding of
//! `agent.proto`; a test in the planner package compares them with the encoder.
use crate::{GossipAction, PullRequest, SummaryDelta, Version};

/// The most bytes that a token takes.
const MAX_TOKEN_BYTES: usize = 10;
/// The most bytes of a reply besides its summaries.
pub(crate) const REPLY_OVERHEAD: i64 = 48;

/// Returns the size of a variable-length integer.
fn varint(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// Returns the size of a packed list whose elements take `bytes`, with its tag; an empty list is
/// not encoded.
fn list(bytes: usize) -> usize {
    if bytes == 0 {
        return 0;
    }
    1 + varint(bytes as u64) + bytes
}

fn field(number: u64) -> usize {
    if number == 0 {
        return 0;
    }
    1 + varint(number)
}

/// Returns the size of a frame: its length prefix, the tag of its kind, and the body with its
/// length.
fn frame(body: usize) -> usize {
    let inner = 2 + varint(body as u64) + body;
    4 + inner
}

/// Returns the gaps between the indices of changed metrics, the form in which indices are encoded.
pub fn index_gaps(changed: &[(usize, u32)]) -> impl Iterator<Item = u32> + '_ {
    let next = std::iter::once(0).chain(changed.iter().map(|(index, _)| index + 1));
    changed.iter().zip(next).map(|((index, _), next)| (index - next) as u32)
}

/// Converts an age to milliseconds, rounded up, the form in which ages are encoded.
pub fn age_ms(age_us: i64) -> u64 {
    age_us.max(0).unsigned_abs().div_ceil(1000)
}

/// Returns each token's difference from the previous one. Tokens of one installation are close to
/// each other, so differences are shorter than tokens.
pub fn token_steps(deltas: &[SummaryDelta]) -> impl Iterator<Item = i64> + '_ {
    let before = std::iter::once(0).chain(deltas.iter().map(|delta| delta.token));
    deltas.iter().zip(before).map(|(delta, before)| delta.token.wrapping_sub(before) as i64)
}

/// Maps a signed integer to an unsigned one so that small magnitudes have short encodings.
fn zigzag(number: i64) -> u64 {
    ((number << 1) ^ (number >> 63)) as u64
}

/// Returns the difference between the numbers of a summary and its base; 0 for a whole summary.
pub fn base_distance(delta: &SummaryDelta) -> u64 {
    if delta.base == 0 {
        0
    } else {
        delta.number - delta.base
    }
}

/// Returns the size of a metric. Metrics are encoded with swapped bytes, so that the trailing zeros
/// of rounded metrics take no space.
fn metric(bits: u32) -> usize {
    varint(u64::from(bits.swap_bytes()))
}

/// Returns the most bytes that one summary takes in the lists of a reply.
pub(crate) fn delta_bytes(delta: &SummaryDelta) -> i64 {
    let numbers = [delta.subject as u64, delta.number, base_distance(delta), age_ms(delta.age_us)];
    let indices: usize = index_gaps(&delta.changed).map(|gap| varint(u64::from(gap))).sum();
    let metrics: usize = delta.changed.iter().map(|(_, bits)| metric(*bits)).sum();
    let bytes = numbers.into_iter().map(varint).sum::<usize>()
        + varint(delta.changed.len() as u64)
        + MAX_TOKEN_BYTES
        + indices
        + metrics;
    bytes as i64
}

/// Returns the size of an action as a frame, in bytes; 0 for actions that send no frame.
pub fn frame_bytes(action: &GossipAction) -> usize {
    match action {
        GossipAction::Request { request, .. } => request_bytes(request),
        GossipAction::Reply { request_id, deltas, .. } => reply_bytes(*request_id, deltas),
        GossipAction::Dial { .. } | GossipAction::CloseLink { .. } => 0,
    }
}

fn request_bytes(request: &PullRequest) -> usize {
    let PullRequest { id, acknowledged, has_updates, versions } = request;
    let column =
        |number: fn(&Version) -> u64| list(versions.iter().map(|version| varint(number(version))).sum());
    let lists = column(|version| version.subject as u64) + column(|version| version.number);
    frame(field(*id) + field(id - acknowledged) + field(u64::from(*has_updates)) + lists)
}

fn reply_bytes(request_id: u64, deltas: &[SummaryDelta]) -> usize {
    let column =
        |number: &dyn Fn(&SummaryDelta) -> u64| list(deltas.iter().map(|delta| varint(number(delta))).sum());
    let lists = column(&|delta| delta.subject as u64)
        + list(token_steps(deltas).map(|step| varint(zigzag(step))).sum())
        + column(&|delta| delta.number)
        + column(&base_distance)
        + column(&|delta| age_ms(delta.age_us))
        + column(&|delta| delta.changed.len() as u64);
    let gaps = deltas.iter().flat_map(|delta| index_gaps(&delta.changed));
    let indices = gaps.map(|gap| varint(u64::from(gap))).sum();
    let metrics = deltas.iter().flat_map(|delta| &delta.changed).map(|(_, bits)| metric(*bits)).sum();
    frame(field(request_id) + lists + list(indices) + list(metrics))
}
