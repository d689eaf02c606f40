//! Failure detection by silence: a link is healthy, suspect or lost. No I/O; times are whole microseconds. The
//! bounds come from the gaps between the heartbeats of that link alone, as those of a far or a busy peer vary
//! more than those of a near one. A suspect link is healthy again only after heartbeats in a row: one that
//! comes and goes stays suspect.

/// Weight of a new gap in the mean, as in the estimator of RFC 6298.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new gap in the deviation, as there.
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations over the mean from which on silence is suspect.
const SUSPECT_DEVIATIONS: f64 = 4.0;
/// A silence this many times as long as a suspect one ends the link.
const LOST_FACTOR: f64 = 3.0;
/// Heartbeats in a row, each in time, after which a suspect link is healthy.
const HEARTBEATS_TO_RECOVER: u32 = 3;

/// How a link is, by its silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkHealth {
    /// Frames come in time.
    Healthy,
    /// Silent for longer than its heartbeats explain; it may recover.
    Suspect,
    /// Silent for so long that the link ends.
    Lost,
}

/// Judges the silence of one link.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    /// The peer's period between heartbeats, as it was agreed, in microseconds.
    period_us: f64,
    mean_us: f64,
    deviation_us: f64,
    last_frame_us: i64,
    last_heartbeat_us: i64,
    in_time: u32,
    state: LinkHealth,
}

impl HealthMonitor {
    /// A link that is healthy, with this period between the peer's heartbeats.
    pub fn new(now: i64, period_us: i64) -> Self {
        let period_us = period_us as f64;
        HealthMonitor {
            period_us,
            mean_us: period_us,
            deviation_us: period_us / 2.0,
            last_frame_us: now,
            last_heartbeat_us: now,
            in_time: HEARTBEATS_TO_RECOVER,
            state: LinkHealth::Healthy,
        }
    }

    /// Silence from which on the link is suspect, in microseconds: at least a period and a half, at most ten.
    pub fn suspect_after_us(&self) -> i64 {
        let bound = self.mean_us + SUSPECT_DEVIATIONS * self.deviation_us;
        bound.clamp(1.5 * self.period_us, 10.0 * self.period_us) as i64
    }

    /// Silence from which on the link is lost, in microseconds.
    pub fn lost_after_us(&self) -> i64 {
        (LOST_FACTOR * self.suspect_after_us() as f64) as i64
    }

    /// A frame came. Any frame proves that the peer lives; only heartbeats, which come by the clock, tell how
    /// regular the link is.
    pub fn record_frame(&mut self, now: i64, heartbeat: bool) {
        if heartbeat {
            let gap = (now - self.last_heartbeat_us).max(0) as f64;
            let in_time = gap <= self.suspect_after_us() as f64;
            self.in_time = if in_time { self.in_time.saturating_add(1) } else { 0 };
            // Heartbeats that a stall delivers at once say nothing of the link: gaps count from half a period
            // on.
            if gap >= 0.5 * self.period_us {
                self.deviation_us += DEVIATION_GAIN * ((gap - self.mean_us).abs() - self.deviation_us);
                self.mean_us += MEAN_GAIN * (gap - self.mean_us);
            }
            self.last_heartbeat_us = now;
        }
        self.last_frame_us = now;
        if self.state == LinkHealth::Suspect && self.in_time >= HEARTBEATS_TO_RECOVER {
            self.state = LinkHealth::Healthy;
        }
    }

    /// The state at this time. Lost is final.
    pub fn judge(&mut self, now: i64) -> LinkHealth {
        let silence = now - self.last_frame_us;
        if self.state == LinkHealth::Lost || silence >= self.lost_after_us() {
            self.state = LinkHealth::Lost;
        } else if silence >= self.suspect_after_us() {
            self.state = LinkHealth::Suspect;
            self.in_time = 0;
        }
        self.state
    }

    /// The next time at which `judge` may say something else, if no frame comes before.
    pub fn next_at(&self) -> i64 {
        match self.state {
            LinkHealth::Healthy => self.last_frame_us + self.suspect_after_us(),
            _ => self.last_frame_us + self.lost_after_us(),
        }
    }
}
