//! A token bucket that limits the bytes sent per second.

/// The largest size of one summary and the reply around it, in bytes.
const MAX_SUMMARY_BYTES: i64 = 2048;
/// The bucket counts in millionths of a byte, the inflow of one microsecond at one byte per second.
const PER_BYTE: i64 = 1_000_000;

/// A token bucket, initially full. While bytes are left, one summary may overdraw the bucket; the
/// burst limit includes that overdraft.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ByteBudget {
    /// The inflow in bytes per second; `None` for no limit.
    rate: Option<i64>,
    /// The most that the bucket holds, in millionths of a byte.
    capacity: i64,
    left: i64,
    filled_us: i64,
    /// The total bytes sent since the bucket was created.
    pub sent: u64,
}

impl ByteBudget {
    /// Creates a full bucket with an inflow of `rate` bytes per second. At most `burst_bytes` can
    /// be sent at once, including an overdraft.
    pub fn new(now_us: i64, rate: Option<i64>, burst_bytes: i64) -> Self {
        let capacity = (burst_bytes - MAX_SUMMARY_BYTES).max(1).saturating_mul(PER_BYTE);
        ByteBudget { rate, capacity, left: capacity, filled_us: now_us, sent: 0 }
    }

    /// Returns the bytes that may be sent now.
    pub fn available(&mut self, now_us: i64) -> i64 {
        let Some(rate) = self.rate else { return i64::MAX };
        let inflow = (now_us - self.filled_us).max(0).saturating_mul(rate);
        self.left = self.left.saturating_add(inflow).min(self.capacity);
        self.filled_us = self.filled_us.max(now_us);
        self.left.div_euclid(PER_BYTE)
    }

    /// Returns the fewest available bytes with which a reply is sent. A smaller reply would consist
    /// mostly of framing, so it waits.
    pub fn min_reply_bytes(&self) -> i64 {
        self.rate.map_or(0, |rate| (rate / 2).min(self.capacity / (2 * PER_BYTE)))
    }

    /// Takes bytes that are sent out of the bucket.
    pub fn spend(&mut self, bytes: usize) {
        self.sent += bytes as u64;
        if self.rate.is_some() {
            self.left -= (bytes as i64).saturating_mul(PER_BYTE);
        }
    }
}
