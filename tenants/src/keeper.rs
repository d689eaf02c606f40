//! All that is known of a directory, in one place: what was learnt, what of it is believed, how fresh it is, and what is
//! remembered over a restart. No I/O: it says which server to sweep and when, takes in what came, and answers.
use crate::health::{Ended, Health, Pace, State};
use crate::rights::{rule, Asks, Ruling, Terms};
use crate::trust::{Caution, Held, Trust};
use crate::{Change, Entry, Id, Mark, Sweep, Tenants};
use serde::{Deserialize, Serialize};

/// The format of what is remembered.
pub const FORMAT: u32 = 2;

/// What outlives a planner: the entries, and the tenants in the order of their indices, gone ones too.
#[derive(Serialize, Deserialize)]
struct Memory {
    entries: Vec<Entry>,
    order: Vec<Id>,
    /// Names of before, and when a renaming was heard.
    was: Vec<(Id, String, i64)>,
    mark: Mark,
}

pub struct Keeper {
    known: Tenants,
    trust: Trust,
    health: Health,
    caution: Caution,
    said: Option<State>,
}

impl Keeper {
    /// `remembered`: what `memory` gave, and when it was heard in full. An error says why it cannot be read; begin
    /// without it then.
    pub fn new(
        seed: u64,
        now: i64,
        servers: usize,
        remembered: Option<(i64, &[u8])>,
        pace: Pace,
        caution: Caution,
    ) -> Result<Self, String> {
        let (mut known, mut trust) = (Tenants::default(), Trust::default());
        if let Some((at, bytes)) = remembered {
            let memory: Memory = serde_json::from_slice(bytes)
                .map_err(|e| format!("remembered tenants: found {e}; expected entries of format {FORMAT}"))?;
            memory.order.into_iter().for_each(|id| {
                known.place(id);
            });
            known.take(at, memory.entries, &[]);
            for (id, name, at) in memory.was {
                if let Some(k) = known.known.get_mut(&id) {
                    k.was = Some((name, at));
                }
            }
            trust.remember(memory.mark);
        }
        let health = Health::new(seed, now, servers, remembered.map(|r| r.0), pace);
        Ok(Keeper { known, trust, health, caution, said: None })
    }

    /// What to remember, as of the last full sweep.
    pub fn memory(&self) -> Option<(i64, Vec<u8>)> {
        let at = self.health.full_at()?;
        let entries = self.known.ids().map(|x| x.1.clone()).collect();
        let was = self.known.known.iter().filter_map(|(id, k)| {
            let (name, at) = k.was.clone()?;
            Some((*id, name, at))
        });
        let (was, mark) = (was.collect(), self.trust.mark().clone());
        let memory = Memory { entries, order: self.known.tenants.clone(), was, mark };
        Some((at, serde_json::to_vec(&memory).expect("plain values")))
    }

    /// The server to sweep now, if it is time.
    pub fn next(&mut self, now: i64) -> Option<usize> {
        self.health.next(now)
    }

    pub fn next_at(&self) -> i64 {
        self.health.next_at()
    }

    /// A first page of the sweep that is under way came.
    pub fn answered(&mut self) {
        self.health.answered();
    }

    /// The sweep that is under way ended; `None`: nothing came of it.
    pub fn swept(&mut self, now: i64, sweep: Option<Sweep>) -> Vec<Change> {
        let Some(sweep) = sweep else {
            self.health.ended(now, Ended::Failed);
            return Vec::new();
        };
        let complete = sweep.complete;
        let believed = self.trust.judge(now, &self.known, sweep, self.caution);
        let full = complete && !believed.older;
        let changes = self.known.take_in(now, believed.entries, &believed.gone, believed.as_is);
        self.health.ended(now, if full { Ended::Full } else { Ended::Partial });
        changes
    }

    pub fn state(&self, now: i64) -> State {
        self.health.state(now)
    }

    /// The state, once each time that it is another: for the log.
    pub fn news(&mut self, now: i64) -> Option<State> {
        let state = self.state(now);
        (self.said.replace(state) != Some(state)).then_some(state)
    }

    /// Who may do what, by what is known now.
    pub fn rule(&self, now: i64, terms: &Terms, login: &str, asks: Asks) -> Ruling {
        rule(&self.known, self.state(now), terms, login, asks)
    }

    pub fn tenants(&self) -> &Tenants {
        &self.known
    }

    pub fn held(&self) -> Option<&Held> {
        self.trust.held()
    }

    /// The last complete sweep came from a server that lags behind what was seen.
    pub fn is_behind(&self) -> bool {
        self.trust.is_behind()
    }

    /// When all was last heard.
    pub fn full_at(&self) -> Option<i64> {
        self.health.full_at()
    }

    /// The index of a tenant that a machine names; see `Tenants::place`.
    pub fn place(&mut self, id: Id) -> usize {
        self.known.place(id)
    }

    /// An operator's word for what is held.
    pub fn accept(&mut self) -> bool {
        self.trust.accept()
    }
}
