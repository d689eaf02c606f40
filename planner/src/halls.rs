//! A planner's part in what becomes of halls: what it sees goes to whoever conducts, the conductor's word
//! comes back with what planners tell each other, and machines of a hall that is not well are held back by
//! it. Decides nothing itself: `basaltpitch_zone_failover` does.
use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use basaltpitch_admission::lower_median;
use basaltpitch_zone_failover::{
    evidence, plan, Call, Conductor, Evidence, Load, OfHall, Opinion, Pace, Stage, View, Word,
};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::mpsc;

/// The duty of who conducts; its note is the last word.
pub const DUTY: &str = "halls";
/// What one planner, or several that stand in one hall, see of each hall.
pub struct Seen {
    pub stands: usize,
    pub planners: usize,
    pub halls: Vec<OfHall>,
}

/// The note.
#[derive(Serialize, Deserialize)]
struct Noted {
    number: u64,
    word: Word,
}

/// The word that counts, as this planner knows it: under which token, and its number there.
#[derive(Clone, Debug, Default, PartialEq)]
struct Known {
    token: u64,
    number: u64,
    stages: Vec<Stage>,
}

struct Conducting {
    token: u64,
    tenure: LeaseDeadline,
    number: u64,
    conductor: Conductor,
}

pub struct Halls {
    names: Vec<String>,
    wishes: mpsc::Sender<LeaseCommand>,
    known: Known,
    conducting: Option<Conducting>,
    /// Of each hall, as all that are heard see it.
    evidence: Vec<Evidence>,
    /// Cores used at confidence and cores of machines that are ready, as the median of all estimates.
    used: Vec<f64>,
    cores: Vec<f64>,
}

/// A stage as a figure, and back.
fn code(stage: Stage) -> f64 {
    match stage {
        Stage::Well => 0.0,
        Stage::Lost => 1.0,
        Stage::Returning(step) => 2.0 + step as f64,
    }
}

fn stage(code: f64) -> Stage {
    match code as usize {
        0 => Stage::Well,
        1 => Stage::Lost,
        step => Stage::Returning(step - 2),
    }
}

fn words(stage: Stage) -> String {
    match stage {
        Stage::Well => "well".into(),
        Stage::Lost => "lost".into(),
        Stage::Returning(step) => format!("returning, step {}", step + 1),
    }
}

impl Halls {
    pub fn new(names: Vec<String>, wishes: mpsc::Sender<LeaseCommand>) -> Self {
        let known = Known { stages: vec![Stage::Well; names.len()], ..Known::default() };
        let (evidence, used) = (vec![Evidence::CutOff; names.len()], vec![0.0; names.len()]);
        Halls { names, wishes, known, conducting: None, evidence, cores: used.clone(), used }
    }

    /// A word of the council about the duty.
    pub fn hear(&mut self, now: i64, word: LeaseEvent) {
        match (word, &mut self.conducting) {
            (LeaseEvent::Acquired { token, metadata: note, deadline: tenure, .. }, _) => {
                let left = match note.is_empty() {
                    true => None,
                    false => match serde_json::from_slice::<Noted>(&note) {
                        Ok(left) => Some(left.word),
                        Err(e) => {
                            tracing::error!(error = %e, "the last conductor's word on halls makes no sense");
                            None
                        }
                    },
                };
                let conductor = Conductor::won(now, Pace::USUAL, self.names.len(), left);
                let stages = conductor.word().halls.iter().map(|h| h.stage).collect();
                self.conducting = Some(Conducting { token, tenure, number: 1, conductor });
                self.told(token, 1, stages);
            }
            (LeaseEvent::Lost { .. }, _) => self.conducting = None,
            (LeaseEvent::MetadataRecorded { .. }, Some(c)) => {
                c.conductor.recorded(now);
                c.number += 1;
                let (token, number) = (c.token, c.number);
                let stages = c.conductor.word().halls.iter().map(|h| h.stage).collect();
                self.told(token, number, stages);
            }
            _ => {}
        }
    }

    /// The word that another goes by, or this planner's own: the newest counts.
    fn told(&mut self, token: u64, number: u64, stages: Vec<Stage>) {
        if (token, number) <= (self.known.token, self.known.number) || stages.len() != self.names.len() {
            return;
        }
        for (name, (before, after)) in self.names.iter().zip(self.known.stages.iter().zip(&stages)) {
            if before != after {
                tracing::warn!(
                    hall = name,
                    state = words(*after),
                    was = words(*before),
                    "the word on a hall"
                );
            }
        }
        self.known = Known { token, number, stages };
    }

    /// A voter's word for the word: with it a planner that has just been seated, or hears no other, goes by
    /// it too. A majority may not keep it yet; then its conductor writes it again, or the next one another.
    /// True: it is news.
    pub fn noted(&mut self, token: u64, note: &[u8]) -> bool {
        let before = (self.known.token, self.known.number);
        // An unreadable one is the conductor's to complain of.
        if let Ok(noted) = serde_json::from_slice::<Noted>(note) {
            self.told(token, noted.number, noted.word.halls.iter().map(|h| h.stage).collect());
        }
        before != (self.known.token, self.known.number)
    }

    /// What this planner tells of the word: token, number, and a figure for each hall.
    pub fn says(&self) -> (u64, u64, Vec<f64>) {
        let known = &self.known;
        (known.token, known.number, known.stages.iter().map(|s| code(*s)).collect())
    }

    /// Another planner's word, as `says` told it.
    pub fn said(&mut self, token: u64, number: u64, codes: impl Iterator<Item = f64>) {
        if token >= 1 && number >= 1 {
            self.told(token, number, codes.map(stage).collect());
        }
    }

    /// What all that are heard see, of so many seats.
    pub fn see(&mut self, now: i64, seats: usize, all: &[Seen]) {
        for hall in 0..self.names.len() {
            let of = || all.iter().filter_map(|seen| Some((seen, seen.halls.get(hall)?)));
            let view = |(seen, h): (&Seen, &OfHall)| {
                let (stands, planners) = (seen.stands, seen.planners);
                View { stands, opinion: Opinion::of(h[0], h[4]), planners }
            };
            let views: Vec<View> = of().map(view).collect();
            self.evidence[hall] = evidence(hall, seats, &views);
            let believed = |figure: usize| {
                let sees = of().filter(|(_, h)| h[1] > 0.0);
                lower_median(
                    sees.flat_map(|(seen, h)| std::iter::repeat_n(h[figure], seen.planners)).collect(),
                )
            };
            (self.cores[hall], self.used[hall]) = (believed(2), believed(3));
            let (launched, wrong) = of().fold((0.0, 0.0), |s, (_, h)| (s.0 + h[5], s.1 + h[6]));
            if let Some(c) = &mut self.conducting {
                c.conductor.seen(now, hall, self.evidence[hall]);
                c.conductor.goes(hall, launched, wrong);
            }
        }
        let Some(c) = self.conducting.as_mut().filter(|c| c.tenure.is_held()) else { return };
        c.conductor.clock(now);
        while let Some(Call::Write(word)) = c.conductor.next_call() {
            let noted = Noted { number: c.number + 1, word };
            let text = serde_json::to_vec(&noted).expect("plain figures");
            let write = LeaseCommand::WriteMetadata { lease: DUTY.into(), token: c.token, metadata: text };
            if self.wishes.try_send(write).is_err() {
                // Who cannot write does not conduct on what is not kept: its successor does.
                tracing::error!("the council takes no word on halls");
                self.conducting = None;
                return;
            }
        }
    }

    /// Where each hall is by the word that counts.
    pub fn stages(&self) -> &[Stage] {
        &self.known.stages
    }

    /// What operators see of each hall: the word, the evidence, and what would become of its load.
    pub fn view(&self) -> Value {
        let room: Vec<f64> = self.cores.iter().zip(&self.used).map(|(cores, used)| cores - used).collect();
        let rounded = |x: f64| (x * 10.0).round() / 10.0;
        let row = |(n, name): (usize, &String)| {
            let load = [Load { worth: 1.0, cores: self.used[n], bound: false }];
            let plan = plan(n, &load, &room);
            let to = self.names.iter().zip(&plan.to).filter(|x| *x.1 > 0.0);
            let to: serde_json::Map<String, Value> =
                to.map(|(name, cores)| (name.clone(), json!(rounded(*cores)))).collect();
            let evidence = match self.evidence[n] {
                Evidence::Well => "well",
                Evidence::Gone => "gone",
                Evidence::Apart => "cut off, and lives",
                Evidence::Split => "some see it, some do not",
                Evidence::CutOff => "too few planners are heard",
            };
            let stage = self.known.stages[n];
            (
                name.clone(),
                json!({
                    "state": words(stage), "offers": stage.part(), "evidence": evidence,
                    "cores_used": rounded(self.used[n]),
                    "if_lost_to": to, "if_lost_lacks": rounded(plan.lacks),
                }),
            )
        };
        let halls: serde_json::Map<String, Value> = self.names.iter().enumerate().map(row).collect();
        json!({"conducts": self.conducting.is_some(), "halls": halls})
    }
}
