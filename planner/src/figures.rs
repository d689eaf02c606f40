//! The figures of a planner's summary: which place has which, and back. What they mean and how those of
//! several planners make one is the packages' to say that they come from.
use basaltpitch_admission::DemandSummary;
use basaltpitch_gossip::{Figures, Layout, Rule, MOST_FIGURES};
use basaltpitch_zone_failover::{Fusing, OfHall, OF_HALL};

/// Counts; the hall in which the planner stands; the word on halls that it goes by: token and number in parts
/// that a figure holds exactly, and each hall's stage; what it shares of its askings; and its figures of each
/// hall.
pub const COUNTS: [&str; 4] = ["open", "placed", "declined", "aborted"];
const STANDS_AT: usize = COUNTS.len();
const WORD_AT: usize = STANDS_AT + 1;
const TOKEN: usize = 3;
const NUMBER: usize = 2;
const STAGES_AT: usize = WORD_AT + TOKEN + NUMBER;
/// Bits of a part.
const PART: u32 = 22;
/// Behind a zone's figures come two counts.
const ROOM: usize = MOST_FIGURES - 2;

/// What one planner says, or several of a zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Says {
    pub counts: [f64; COUNTS.len()],
    pub stands: usize,
    /// The word on halls: token, number, and a figure for each hall.
    pub word: (u64, u64, Vec<f64>),
    pub share: DemandSummary,
    pub halls: Vec<OfHall>,
}

fn split(n: u64, parts: usize) -> impl Iterator<Item = f32> {
    (0..parts as u32).rev().map(move |p| (n.checked_shr(p * PART).unwrap_or(0) & ((1 << PART) - 1)) as f32)
}

fn joined(parts: &[f32]) -> u64 {
    parts.iter().fold(0, |n, part| n.wrapping_shl(PART) | *part as u64)
}

/// Halls of which figures are told: as many as there is room for.
pub fn told(halls: usize) -> usize {
    halls.min((ROOM - STAGES_AT - DemandSummary::LEN) / (1 + OF_HALL.len()))
}

/// Of an installation with so many halls.
pub fn layout(halls: usize) -> Layout {
    let halls = told(halls);
    let mut all = vec![Rule::Sum; COUNTS.len()];
    all.push(Rule::Same);
    all.extend(vec![Rule::Word; TOKEN + NUMBER + halls]);
    all.extend(vec![Rule::Sum; DemandSummary::SUMMED_LEN]);
    let sees = all.len() + DemandSummary::LEN - DemandSummary::SUMMED_LEN - 1;
    all.extend(vec![Rule::Middle { sees, first: false }; DemandSummary::LEN - DemandSummary::SUMMED_LEN]);
    for _ in 0..halls {
        let at = all.len();
        all.extend(OF_HALL.iter().map(|(_, fusing)| match fusing {
            Fusing::Believed(sees) => Rule::Middle { sees: at + sees, first: false },
            Fusing::Evident(sees) => Rule::Middle { sees: at + sees, first: true },
            Fusing::Counted => Rule::Sum,
        }));
    }
    Layout(all.into())
}

impl Says {
    /// With so many halls in the installation.
    pub fn figures(&self, halls: usize) -> Figures {
        let halls = told(halls);
        let single = |x: &f64| *x as f32;
        let mut all: Vec<f32> = self.counts.iter().map(single).collect();
        all.push(self.stands as f32);
        all.extend(split(self.word.0, TOKEN).chain(split(self.word.1, NUMBER)));
        let stages = self.word.2.iter().chain(std::iter::repeat(&0.0));
        all.extend(stages.take(halls).map(single));
        all.extend(self.share.to_values().iter().map(single));
        let of_halls = self.halls.iter().chain(std::iter::repeat(&[0.0; OF_HALL.len()]));
        all.extend(of_halls.take(halls).flatten().map(single));
        all.into_iter().collect()
    }

    /// None where figures cannot be a share of askings.
    pub fn read(figures: &Figures, halls: usize) -> Option<Says> {
        let all: Vec<f64> = figures.iter().map(f64::from).collect();
        let halls = told(halls);
        let share_at = STAGES_AT + halls;
        let halls_at = share_at + DemandSummary::LEN;
        let word: Vec<f32> = figures.iter().skip(WORD_AT).take(TOKEN + NUMBER).collect();
        let of_halls = all.get(halls_at..halls_at + halls * OF_HALL.len())?;
        let mut says = Says {
            counts: [0.0; COUNTS.len()],
            stands: all[STANDS_AT] as usize,
            word: (joined(&word[..TOKEN]), joined(&word[TOKEN..]), all[STAGES_AT..share_at].to_vec()),
            share: DemandSummary::from_values(&all[share_at..halls_at])?,
            halls: of_halls.chunks_exact(OF_HALL.len()).map(|h| std::array::from_fn(|n| h[n])).collect(),
        };
        says.counts.copy_from_slice(&all[..COUNTS.len()]);
        Some(says)
    }
}
