//! The line: what is worth starting, from what all planners say. The same shares give the same line, whoever
//! computes it.
use crate::share::Share;
use crate::{band, BANDS, FITS, STEPS};

/// Counts of times to placed that are too few to say anything.
const FEW: f64 = 8.0;
/// A queue that drains by less than this part of what is placed counts as standing.
const STANDS: f64 = 0.02;
/// The least and the most time after which to ask again.
const AGAIN: (i64, i64) = (200_000, 30_000_000);

/// What all planners together ask for, place and have room for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
    offered: [f64; BANDS],
    waiting: [f64; BANDS],
    placed: f64,
    times: [f64; STEPS.len() + 1],
    room: [f64; FITS.len()],
    /// Other planners whose word is in it, and the age of the oldest.
    pub heard: usize,
    pub age: i64,
}

/// What others say: one planner, or several of a zone as one. Of what they are asked for it is the sum, of what
/// they believe of machines the middle.
#[derive(Clone, Debug, PartialEq)]
pub struct Other {
    /// Microseconds, of its oldest part.
    pub age: i64,
    /// So many that it stands for.
    pub planners: usize,
    pub share: Share,
}

/// What becomes of an asking at the door.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There is room, for it and for what is worth as much and waits.
    Now,
    /// It will have its turn in time.
    Waits,
    /// Its time would be over before its turn. `expected`: microseconds to placed, none where its turn never
    /// comes; `ahead`: cores that wait and are worth as much; `room`: cores that are free where it fits.
    Declined { retry_after: i64, expected: Option<i64>, ahead: f64, room: f64 },
}

/// The middle of what is believed of one fleet; of an even number the lower, so that nobody's dream makes
/// room. 0 where nobody believes anything.
pub fn middle(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

impl Line {
    /// `own` as it is now, and what others said. Who stands for several counts as so many.
    ///
    /// One planner's wrong word moves the line by a bounded amount: of demand, another's word counts for no
    /// more than all others' words together (at least an even part of the fleet), so it at most doubles the
    /// sums; of room, it moves the middle by one place. The same of a zone's, with as many places as it has
    /// planners.
    pub fn fuse(own: &Share, others: &[Other]) -> Line {
        let mut line = Line { heard: others.iter().map(|o| o.planners).sum(), ..Line::default() };
        line.age = others.iter().map(|o| o.age).max().unwrap_or(0);
        let all: Vec<(usize, &Share)> =
            std::iter::once((1, own)).chain(others.iter().map(|o| (o.planners, &o.share))).collect();
        // Who sees no machine believes nothing of them.
        let sees = || all.iter().filter(|(_, s)| s.cores > 0.0);
        let believed = |of: &dyn Fn(&Share) -> f64| {
            middle(sees().flat_map(|(planners, s)| std::iter::repeat_n(of(s), *planners)).collect())
        };
        for (fit, room) in line.room.iter_mut().enumerate() {
            *room = believed(&|s| s.room[fit]);
        }
        let part = believed(&|s| s.cores) / (1 + line.heard) as f64;
        let sums = all.iter().fold([0.0; 3], |sums, (_, s)| add(sums, s.totals()));
        for (n, (planners, share)) in all.iter().enumerate() {
            let mut counts = [1.0; 3];
            if n > 0 {
                let totals = share.totals();
                for i in 0..3 {
                    let most = (sums[i] - totals[i]).max(part * *planners as f64);
                    counts[i] = if totals[i] > most { most / totals[i] } else { 1.0 };
                }
            }
            for b in 0..BANDS {
                line.offered[b] += share.offered[b] * counts[0];
                line.waiting[b] += share.waiting[b] * counts[1];
                line.placed += share.placed[b] * counts[2];
            }
            for (sum, x) in line.times.iter_mut().zip(share.times) {
                *sum += x * counts[2];
            }
        }
        line
    }

    /// What this planner itself has taken on since the line was drawn.
    pub(crate) fn waits_more(&mut self, band: usize, cores: f64) {
        self.waiting[band] = (self.waiting[band] + cores).max(0.0);
    }

    /// By band, cores asked for a second and cores that wait; and what is free where so many fit.
    pub fn offered(&self) -> &[f64] {
        &self.offered
    }

    pub fn waiting(&self) -> &[f64] {
        &self.waiting
    }

    pub fn room(&self) -> &[f64] {
        &self.room
    }

    /// Cores placed a second.
    pub fn placed(&self) -> f64 {
        self.placed
    }

    /// Free cores where so many fit: on machines with at least so many free, as far as that is counted.
    fn room_for(&self, cores: f64) -> f64 {
        let fit = FITS.iter().position(|f| *f >= cores).unwrap_or(FITS.len() - 1);
        self.room[fit]
    }

    /// What it takes to be placed where nothing is in the way: at least so long as the quickest tenth lately
    /// took; 0 where too few were placed.
    fn start(&self) -> i64 {
        let all: f64 = self.times.iter().sum();
        if all < FEW {
            return 0;
        }
        let mut sum = 0.0;
        let step = (0..=STEPS.len()).find(|step| {
            sum += self.times[*step];
            sum >= 0.1 * all
        });
        step.filter(|s| *s > 0).map_or(0, |s| STEPS[s - 1])
    }

    /// The verdict over an asking of this worth, so many cores and so much time left. Of two askings with the
    /// same needs and time the one of less worth never fares better.
    pub fn verdict(&self, worth: f64, cores: f64, goal: i64, left: i64) -> Verdict {
        let own = band(worth, cores);
        let ahead: f64 = self.waiting[own..].iter().sum();
        let room = self.room_for(cores);
        let short = ahead + cores - room;
        let higher: f64 = self.offered[own + 1..].iter().sum();
        // Where more is asked for than is placed, a queue never drains: who waits longer than its latency
        // goal only makes all who come after him wait as long, each losing worth by it.
        let lasts = higher + self.offered[own] > self.placed;
        let patience = if lasts { goal.min(left) } else { left };
        let start = self.start();
        let expected = if short <= 0.0 {
            if start <= left {
                return Verdict::Now;
            }
            Some(start)
        } else if self.placed <= 0.0 {
            // Where nothing was placed lately nothing is known of how the queue drains.
            return Verdict::Waits;
        } else {
            let drains = self.placed - higher;
            let stands = drains < STANDS * self.placed;
            (!stands).then(|| start + (short / drains * 1e6) as i64)
        };
        match expected {
            Some(expected) if expected <= patience => Verdict::Waits,
            _ => {
                let retry_after =
                    expected.map_or(left, |x| x.saturating_sub(patience)).clamp(AGAIN.0, AGAIN.1);
                Verdict::Declined { retry_after, expected, ahead, room }
            }
        }
    }
}

/// What another said, brought up to now by how this planner's own askings went on since: `then` is what this
/// one saw at that time, `now` what it sees. What others say is seconds old, and in a rush that grows by the
/// hundred in between each would take the others' room for its own.
pub(crate) fn grown(said: &Other, then: &Share, now: &Share) -> Share {
    let mut share = said.share.clone();
    let ([theirs, ..], [before, ..], [since, ..]) = (share.totals(), then.totals(), now.totals());
    if before <= 0.0 {
        return share;
    }
    // A planner that is asked for little sees little: its chances are not taken for the others'.
    let (as_theirs, rush) =
        ((theirs / before).min(2.0 * said.planners as f64), (since / before).clamp(0.5, 4.0));
    for b in 0..BANDS {
        share.offered[b] *= rush;
        let more = (now.waiting[b] - then.waiting[b]) * as_theirs;
        share.waiting[b] = (share.waiting[b] + more).max(0.0);
    }
    share
}

fn add(a: [f64; 3], b: [f64; 3]) -> [f64; 3] {
    [a[0] + b[0], a[1] + b[1], a[2] + b[2]]
}
