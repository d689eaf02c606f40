//! A token bucket that limits the bytes that are sent.

/// The most that one summary can take, with a reply around it.
const MAX_SUMMARY_BYTES: i64 = 2048;
/// The bucket counts in millionths of a byte: what flows in during a microsecond at a byte a second.
const PER_BYTE: i64 = 1_000_000;

/// Full at first. What is sent while anything is left may overdraw it by one summary, which counts as part of
/// the burst.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ByteBudget {
    /// Bytes a second; none: no limit.
    rate: Option<i64>,
    /// Millionths of a byte.
    capacity: i64,
    left: i64,
    filled_us: i64,
    /// Bytes so far.
    pub sent: u64,
}

impl ByteBudget {
    /// So many bytes a second, of which `burst_bytes` can be saved.
    pub fn new(now_us: i64, rate: Option<i64>, burst_bytes: i64) -> Self {
        let capacity = (burst_bytes - MAX_SUMMARY_BYTES).max(1).saturating_mul(PER_BYTE);
        ByteBudget { rate, capacity, left: capacity, filled_us: now_us, sent: 0 }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now_us: i64) -> i64 {
        let Some(rate) = self.rate else { return i64::MAX };
        let inflow = (now_us - self.filled_us).max(0).saturating_mul(rate);
        self.left = self.left.saturating_add(inflow).min(self.capacity);
        self.filled_us = self.filled_us.max(now_us);
        self.left.div_euclid(PER_BYTE)
    }

    /// With fewer bytes than this a reply is mostly frame: it waits for more.
    pub fn least_reply(&self) -> i64 {
        self.rate.map_or(0, |rate| (rate / 2).min(self.capacity / (2 * PER_BYTE)))
    }

    /// So many bytes are sent.
    pub fn spend(&mut self, bytes: usize) {
        self.sent += bytes as u64;
        if self.rate.is_some() {
            self.left -= (bytes as i64).saturating_mul(PER_BYTE);
        }
    }
}
