//! Bytes: what a call costs as a frame, and the bucket that bounds what is sent. The lengths are those of
//! `agent.proto`; a planner's test holds them against the encoder.
use crate::{GossipAction, PullRequest, SummaryDelta, Version};

/// Of a number on the wire.
fn varint(n: u64) -> usize {
    (64 - (n | 1).leading_zeros() as usize).div_ceil(7)
}

/// A list of so many bytes behind its tag; nothing where it is empty.
fn list(bytes: usize) -> usize {
    if bytes == 0 {
        return 0;
    }
    1 + varint(bytes as u64) + bytes
}

fn field(n: u64) -> usize {
    if n == 0 {
        return 0;
    }
    1 + varint(n)
}

/// The length before the frame, the kind's tag and the body's length.
fn frame(body: usize) -> usize {
    let inner = 2 + varint(body as u64) + body;
    4 + inner
}

/// Gaps between places, each from the one before.
pub fn index_gaps(changed: &[(usize, u32)]) -> impl Iterator<Item = u32> + '_ {
    let before = std::iter::once(None).chain(changed.iter().map(|c| Some(c.0)));
    changed.iter().zip(before).map(|(c, before)| (c.0 - before.map_or(0, |b| b + 1)) as u32)
}

/// Ages go on the wire in milliseconds, rounded up.
pub fn age_ms(age_us: i64) -> u64 {
    age_us.max(0).unsigned_abs().div_ceil(1000)
}

/// Tokens, each as the step from the one before: those of one installation are near each other.
pub fn token_steps(all: &[SummaryDelta]) -> impl Iterator<Item = i64> + '_ {
    let before = std::iter::once(0).chain(all.iter().map(|t| t.token));
    all.iter().zip(before).map(|(t, before)| t.token.wrapping_sub(before) as i64)
}

/// A number of either sign on the wire.
fn signed(n: i64) -> u64 {
    ((n << 1) ^ (n >> 63)) as u64
}

/// The most that a token takes.
const TOKEN: usize = 10;

/// How far the number is before its base; 0: whole.
pub fn base_distance(told: &SummaryDelta) -> u64 {
    if told.base == 0 {
        0
    } else {
        told.number - told.base
    }
}

/// One summary's bytes in the lists of an answer, at most.
pub(crate) fn summary(told: &SummaryDelta) -> i64 {
    let of = [told.subject as u64, told.number, base_distance(told), age_ms(told.age_us)];
    let places: usize = index_gaps(&told.changed).map(|gap| varint(u64::from(gap))).sum();
    let figures: usize = told.changed.iter().map(|c| varint(u64::from(c.1.swap_bytes()))).sum();
    let bytes = of.into_iter().map(varint).sum::<usize>()
        + varint(told.changed.len() as u64)
        + TOKEN
        + places
        + figures;
    bytes as i64
}

/// An answer's bytes beside its summaries, at most.
pub(crate) const ANSWER: i64 = 48;

/// What a call costs as a frame, in bytes; 0 for those that are none.
pub fn frame_bytes(call: &GossipAction) -> usize {
    match call {
        GossipAction::Request {
            request: PullRequest { id: question, acknowledged: took, has_updates: news, versions: has },
            ..
        } => {
            let column = |of: fn(&Version) -> u64| list(has.iter().map(|h| varint(of(h))).sum());
            let lists = column(|h| h.subject as u64) + column(|h| h.number);
            frame(field(*question) + field(question - took) + field(u64::from(*news)) + lists)
        }
        GossipAction::Reply { request_id: question, deltas: all, .. } => {
            let column = |of: &dyn Fn(&SummaryDelta) -> u64| list(all.iter().map(|t| varint(of(t))).sum());
            let lists = column(&|t| t.subject as u64)
                + list(token_steps(all).map(|step| varint(signed(step))).sum())
                + column(&|t| t.number)
                + column(&base_distance)
                + column(&|t| age_ms(t.age_us))
                + column(&|t| t.changed.len() as u64);
            let places =
                all.iter().flat_map(|t| index_gaps(&t.changed)).map(|gap| varint(u64::from(gap))).sum();
            let figures = all.iter().flat_map(|t| &t.changed).map(|c| varint(u64::from(c.1.swap_bytes())));
            frame(field(*question) + lists + list(places) + list(figures.sum()))
        }
        GossipAction::Dial { .. } | GossipAction::CloseLink { .. } => 0,
    }
}

/// The most that one summary can take, with an answer around it.
const MOST: i64 = 2048;

/// A token bucket, in bytes; full at first. What goes while anything is left may overdraw it by one summary,
/// which counts as part of the burst.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Bucket {
    rate: Option<i64>,
    /// Millionths of a byte.
    most: i64,
    left: i64,
    at: i64,
    pub spent: u64,
}

impl Bucket {
    pub fn new(now: i64, rate: Option<i64>, burst: i64) -> Self {
        let most = (burst - MOST).max(1).saturating_mul(1_000_000);
        Bucket { rate, most, left: most, at: now, spent: 0 }
    }

    /// Bytes that may be sent now.
    pub fn left(&mut self, now: i64) -> i64 {
        let Some(rate) = self.rate else { return i64::MAX };
        let filled = (now - self.at).max(0).saturating_mul(rate);
        self.left = self.left.saturating_add(filled).min(self.most);
        self.at = self.at.max(now);
        self.left.div_euclid(1_000_000)
    }

    /// With less than this an answer is mostly frame: it waits for more.
    pub fn worth(&self) -> i64 {
        self.rate.map_or(0, |rate| (rate / 2).min(self.most / 2_000_000))
    }

    pub fn spend(&mut self, bytes: usize) {
        self.spent += bytes as u64;
        if self.rate.is_some() {
            self.left -= (bytes as i64).saturating_mul(1_000_000);
        }
    }
}
