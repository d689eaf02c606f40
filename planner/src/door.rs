//! The door before the placing module: askings that are not worth starting are declined at once, by the slack
//! that planners share. Decides nothing itself: `basaltpitch_admission` does.
use crate::host_adapter::TaskKey;
use crate::state::numbered_texts;
use basaltpitch::host::{number, Belief, Given};
use basaltpitch_admission::{Other, Own, Share, Verdict};
use serde_json::{json, Value};

/// An asking: the task's key and the owner's number.
type Asked = (TaskKey, u64);

pub struct Door {
    own: Own<Asked>,
    /// Of each framework: worth in time, and the latency goal in microseconds.
    worths: Vec<(f64, i64)>,
    /// What others said, with the time at which it was made at the earliest.
    heard: Vec<(i64, Other)>,
    pub declined: u64,
}

/// A refusal: the time after which to ask again, and its reason in words.
pub struct Refusal {
    pub retry_after_us: i64,
    pub words: String,
}

impl Door {
    /// For an installation's frameworks, as laid out for the module.
    pub fn new(now: i64, seed: u64, given: &Given) -> Self {
        let of = |i: usize| {
            let figure = |name: &str| number(given, &format!("classes.{i}.{name}"));
            (figure("worth").unwrap_or(1.0), figure("objectiveUs").map_or(i64::MAX, |us| us as i64))
        };
        let frameworks = numbered_texts(given, &|i| format!("classes.{i}.name")).len();
        let worths = (0..frameworks).map(of).collect();
        Door { own: Own::new(now, seed), worths, heard: Vec::new(), declined: 0 }
    }

    /// An owner asks anew. An asking that is let in waits here until it is answered.
    pub fn asked(
        &mut self,
        now: i64,
        asked: Asked,
        framework: usize,
        cores: f64,
        left: i64,
    ) -> Option<Refusal> {
        let (worth, goal) = self.worths[framework];
        match self.own.asked(now, asked, worth, cores, goal, left) {
            Verdict::Now | Verdict::Waits => None,
            Verdict::Declined { retry_after, expected, ahead, room } => {
                self.declined += 1;
                let line = self.own.line();
                let turn = expected.map_or("never comes at this load".into(), |us| {
                    format!("is expected after {} ms", us / 1000)
                });
                let rests_on = match line.heard {
                    0 => "what this planner sees itself".to_owned(),
                    n => format!("what {n} other planners say, at most {} ms old", line.age / 1000),
                };
                let words = format!(
                    "not worth starting: {ahead:.0} cores that are worth as much wait, {room:.0} are free, \
                     its turn {turn} and {} ms are left; by {rests_on}",
                    left / 1000
                );
                Some(Refusal { retry_after_us: retry_after, words })
            }
        }
    }

    pub fn placed(&mut self, now: i64, asked: &Asked) {
        self.own.placed(now, asked);
    }

    pub fn missed(&mut self, now: i64, asked: &Asked) {
        self.own.missed(now, asked);
    }

    pub fn over(&mut self, asked: &Asked) {
        self.own.over(asked);
    }

    /// What others say.
    pub fn hear(&mut self, now: i64, others: impl Iterator<Item = Other>) {
        self.heard = others.map(|other| (now - other.age, other)).collect();
    }

    /// The line is drawn anew, by what is believed of the machines that are offered work.
    pub fn draw(&mut self, now: i64, machines: impl Iterator<Item = Belief>) {
        // A machine whose memory is full has no room, however idle its cores.
        let free = |b: &Belief| {
            let part = |size: f64, used: f64| ((size - used) / size.max(1e-9)).clamp(0.0, 1.0);
            b.cores * part(b.cores, b.ucac).min(part(b.memory, b.used_memory))
        };
        self.own.fleet(machines.map(|b| (b.cores, if b.may_launch { free(&b) } else { 0.0 })));
        let aged = |(made_at, other): &(i64, Other)| Other { age: now - made_at, ..other.clone() };
        let others = self.heard.iter().map(aged).collect();
        self.own.others(now, others);
    }

    /// What it tells other planners.
    pub fn share(&mut self, now: i64) -> Share {
        self.own.share(now)
    }

    /// What operators see of the line.
    pub fn view(&self) -> Value {
        let line = self.own.line();
        let rounded = |x: f64| (x * 10.0).round() / 10.0;
        let sum = |x: &[f64]| rounded(x.iter().sum());
        json!({
            "others_heard": line.heard, "oldest_ms": line.age / 1000,
            "cores_offered_per_s": sum(line.offered()), "cores_placed_per_s": rounded(line.placed()),
            "cores_that_wait": sum(line.waiting()), "cores_free": rounded(line.room()[0]),
            "declined": self.declined,
        })
    }
}
