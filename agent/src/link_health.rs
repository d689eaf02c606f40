//! How a link's silence is judged: well, suspect, lost. No I/O; times are whole microseconds. The bounds come
//! from the gaps between the heartbeats of that link alone, as a far or a busy peer beats less evenly than a
//! near one. A link that was suspect is well again only after heartbeats in a row: a link that stutters stays
//! suspect.

/// Weight of a new gap in the mean and in the deviation, as in the estimator of RFC 6298.
const GAIN_MEAN: f64 = 0.125;
const GAIN_DEVIATION: f64 = 0.25;
/// Deviations over the mean from which on silence is suspect.
const DOUBTFUL: f64 = 4.0;
/// A silence this many times as long as a suspect one ends the link.
const LOST: f64 = 3.0;
/// Heartbeats in a row, each in time, after which a suspect link is well.
const STEADY: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkHealth {
    Well,
    Suspect,
    Lost,
}

#[derive(Clone, Debug)]
pub struct HealthMonitor {
    /// The peer's period between heartbeats, as it was agreed.
    period: f64,
    mean: f64,
    deviation: f64,
    heard_at: i64,
    beat_at: i64,
    steady: u32,
    state: LinkHealth,
}

impl HealthMonitor {
    pub fn new(now: i64, period_us: i64) -> Self {
        let period = period_us as f64;
        HealthMonitor {
            period,
            mean: period,
            deviation: period / 2.0,
            heard_at: now,
            beat_at: now,
            steady: STEADY,
            state: LinkHealth::Well,
        }
    }

    /// Silence from which on the link is suspect: at least a period and a half, at most ten.
    pub fn suspect_after(&self) -> i64 {
        let bound = self.mean + DOUBTFUL * self.deviation;
        bound.clamp(1.5 * self.period, 10.0 * self.period) as i64
    }

    pub fn lost_after(&self) -> i64 {
        (LOST * self.suspect_after() as f64) as i64
    }

    /// Any frame proves that the peer lives; only heartbeats, which come by the clock, tell how even the link
    /// is.
    pub fn heard(&mut self, now: i64, heartbeat: bool) {
        if heartbeat {
            let gap = (now - self.beat_at).max(0) as f64;
            let in_time = gap <= self.suspect_after() as f64;
            self.steady = if in_time { self.steady.saturating_add(1) } else { 0 };
            // Beats that a stall delivers at once are no sign of an even link: gaps count from half a period
            // on.
            if gap >= 0.5 * self.period {
                self.deviation += GAIN_DEVIATION * ((gap - self.mean).abs() - self.deviation);
                self.mean += GAIN_MEAN * (gap - self.mean);
            }
            self.beat_at = now;
        }
        self.heard_at = now;
        if self.state == LinkHealth::Suspect && self.steady >= STEADY {
            self.state = LinkHealth::Well;
        }
    }

    /// The state at this time. Lost is final.
    pub fn judge(&mut self, now: i64) -> LinkHealth {
        let silence = now - self.heard_at;
        if self.state == LinkHealth::Lost || silence >= self.lost_after() {
            self.state = LinkHealth::Lost;
        } else if silence >= self.suspect_after() {
            self.state = LinkHealth::Suspect;
            self.steady = 0;
        }
        self.state
    }

    /// The next time at which `judge` may say something else, if nothing is heard before.
    pub fn next_at(&self) -> i64 {
        match self.state {
            LinkHealth::Well => self.heard_at + self.suspect_after(),
            _ => self.heard_at + self.lost_after(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn beats(health: &mut HealthMonitor, from: i64, gaps: &[i64]) -> i64 {
        gaps.iter().fold(from, |at, gap| {
            health.heard(at + gap, true);
            health.judge(at + gap);
            at + gap
        })
    }

    #[test]
    fn an_even_link_is_suspected_sooner_than_an_uneven_one() {
        let (mut even, mut uneven) = (HealthMonitor::new(0, 100), HealthMonitor::new(0, 100));
        let a = beats(&mut even, 0, &[100; 40]);
        let b = beats(&mut uneven, 0, &[60, 180].repeat(20));
        assert!(even.suspect_after() < uneven.suspect_after());
        assert_eq!(even.judge(a + 200), LinkHealth::Suspect);
        assert_eq!(uneven.judge(b + 200), LinkHealth::Well);
    }

    #[test]
    fn a_suspect_link_is_well_only_after_three_heartbeats_in_time() {
        let mut h = HealthMonitor::new(0, 100);
        let at = beats(&mut h, 0, &[100; 40]);
        assert_eq!(h.judge(at + 300), LinkHealth::Suspect);
        let at = beats(&mut h, at + 300, &[10, 100]);
        assert_eq!(h.judge(at), LinkHealth::Suspect, "the late one started the count at none");
        let at = beats(&mut h, at, &[100, 100]);
        assert_eq!(h.judge(at), LinkHealth::Well);
    }

    #[test]
    fn lost_is_final() {
        let mut h = HealthMonitor::new(0, 100);
        assert_eq!(h.judge(h.lost_after()), LinkHealth::Lost);
        h.heard(h.lost_after() + 1, true);
        assert_eq!(h.judge(h.lost_after() + 1), LinkHealth::Lost);
    }
}
