//! Failure detector of a link, based on the time since its last frame: the link is healthy, suspect
//! or lost. Does no I/O; times are whole microseconds.
//!
//! The bounds are estimated for each link from the gaps between its own heartbeats, because the
//! gaps of a distant or a busy peer vary more than those of a near one. A suspect link becomes
//! healthy again only after several heartbeats in a row came in time, so that a link that fails on
//! and off stays suspect.

/// Weight of a new gap in the estimated mean (alpha of RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new gap in the estimated deviation (beta of RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// A link is suspect after a silence of the mean gap plus this many deviations.
const SUSPECT_DEVIATIONS: f64 = 4.0;
/// A link is lost after a silence this many times as long as the one that makes it suspect.
const LOST_FACTOR: f64 = 3.0;
/// Consecutive heartbeats in time after which a suspect link is healthy again.
const HEARTBEATS_TO_RECOVER: u32 = 3;

/// State of a link, derived from the time since its last frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkHealth {
    /// The last frame is recent.
    Healthy,
    /// No frame for longer than the link's usual gaps explain; the link may recover.
    Suspect,
    /// No frame for so long that the link is closed. Final.
    Lost,
}

/// Failure detector of one link.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    /// Heartbeat period of the peer, as negotiated in the hellos, in microseconds.
    period_us: f64,
    /// Estimated mean of the gaps between heartbeats.
    mean_us: f64,
    /// Estimated deviation of these gaps from their mean.
    deviation_us: f64,
    last_frame_us: i64,
    last_heartbeat_us: i64,
    /// Consecutive heartbeats that came in time, up to the latest one.
    timely_heartbeats: u32,
    state: LinkHealth,
}

impl HealthMonitor {
    /// Returns the monitor of a healthy link whose peer sends a heartbeat every `period_us`
    /// microseconds.
    pub fn new(now: i64, period_us: i64) -> Self {
        let period_us = period_us as f64;
        HealthMonitor {
            period_us,
            mean_us: period_us,
            deviation_us: period_us / 2.0,
            last_frame_us: now,
            last_heartbeat_us: now,
            timely_heartbeats: HEARTBEATS_TO_RECOVER,
            state: LinkHealth::Healthy,
        }
    }

    /// Returns the silence in microseconds after which the link is suspect: between 1.5 and 10
    /// heartbeat periods.
    pub fn suspect_after_us(&self) -> i64 {
        let bound = self.mean_us + SUSPECT_DEVIATIONS * self.deviation_us;
        bound.clamp(1.5 * self.period_us, 10.0 * self.period_us) as i64
    }

    /// Returns the silence in microseconds after which the link is lost.
    pub fn lost_after_us(&self) -> i64 {
        (LOST_FACTOR * self.suspect_after_us() as f64) as i64
    }

    /// Records that a frame was received. Any frame proves that the peer is alive, but only
    /// heartbeats enter the estimate of the gaps, because only they are sent at a fixed period.
    pub fn record_frame(&mut self, now: i64, heartbeat: bool) {
        if heartbeat {
            let gap = (now - self.last_heartbeat_us).max(0) as f64;
            let in_time = gap <= self.suspect_after_us() as f64;
            self.timely_heartbeats = if in_time { self.timely_heartbeats.saturating_add(1) } else { 0 };
            // After a stall, delayed heartbeats arrive together. Gaps below half a period are left
            // out, as they would lower the estimates although the link was slow.
            if gap >= 0.5 * self.period_us {
                self.deviation_us += DEVIATION_GAIN * ((gap - self.mean_us).abs() - self.deviation_us);
                self.mean_us += MEAN_GAIN * (gap - self.mean_us);
            }
            self.last_heartbeat_us = now;
        }
        self.last_frame_us = now;
        if self.state == LinkHealth::Suspect && self.timely_heartbeats >= HEARTBEATS_TO_RECOVER {
            self.state = LinkHealth::Healthy;
        }
    }

    /// Updates and returns the state of the link at the time `now`. `Lost` is final.
    pub fn update_state(&mut self, now: i64) -> LinkHealth {
        let silence = now - self.last_frame_us;
        if self.state == LinkHealth::Lost || silence >= self.lost_after_us() {
            self.state = LinkHealth::Lost;
        } else if silence >= self.suspect_after_us() {
            self.state = LinkHealth::Suspect;
            self.timely_heartbeats = 0;
        }
        self.state
    }

    /// Returns the next time at which `update_state` can return another state, if no frame is
    /// received before.
    pub fn next_change_at(&self) -> i64 {
        match self.state {
            LinkHealth::Healthy => self.last_frame_us + self.suspect_after_us(),
            _ => self.last_frame_us + self.lost_after_us(),
        }
    }
}
