//! What requests and replies cost as frames, in bytes. The lengths are those of `agent.proto`; a planner's test
//! holds them against the encoder.
use crate::{GossipAction, PullRequest, SummaryDelta, Version};

/// The most bytes that a token takes.
const MAX_TOKEN_BYTES: usize = 10;
/// A reply's bytes beside its summaries, at most.
pub(crate) const REPLY_OVERHEAD: i64 = 48;

/// Bytes of a variable-length number.
fn varint(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// A list of so many bytes behind its tag; nothing where it is empty.
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

/// The length before the frame, the kind's tag and the body's length.
fn frame(body: usize) -> usize {
    let inner = 2 + varint(body as u64) + body;
    4 + inner
}

/// Gaps between indices of changed metrics, each from the one before.
pub fn index_gaps(changed: &[(usize, u32)]) -> impl Iterator<Item = u32> + '_ {
    let next = std::iter::once(0).chain(changed.iter().map(|(index, _)| index + 1));
    changed.iter().zip(next).map(|((index, _), next)| (index - next) as u32)
}

/// Ages go on the wire in milliseconds, rounded up.
pub fn age_ms(age_us: i64) -> u64 {
    age_us.max(0).unsigned_abs().div_ceil(1000)
}

/// Tokens, each as the step from the one before: those of one installation are near each other.
pub fn token_steps(deltas: &[SummaryDelta]) -> impl Iterator<Item = i64> + '_ {
    let before = std::iter::once(0).chain(deltas.iter().map(|delta| delta.token));
    deltas.iter().zip(before).map(|(delta, before)| delta.token.wrapping_sub(before) as i64)
}

/// A number of either sign on the wire.
fn zigzag(number: i64) -> u64 {
    ((number << 1) ^ (number >> 63)) as u64
}

/// How far a summary's number is beyond that of its base; 0: it is whole.
pub fn base_distance(delta: &SummaryDelta) -> u64 {
    if delta.base == 0 {
        0
    } else {
        delta.number - delta.base
    }
}

/// Metrics go on the wire with their bytes swapped: rounded ones end in zeros, which then cost nothing.
fn metric(bits: u32) -> usize {
    varint(u64::from(bits.swap_bytes()))
}

/// One summary's bytes in the lists of a reply, at most.
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

/// What an action costs as a frame, in bytes; 0 for those that are none.
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
