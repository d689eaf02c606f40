//! Who may do what, and on what that rests. No I/O.
use crate::health::State;
use crate::{Id, Tenants};

/// What settings say of rights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// Groups, by distinguished name, whose members may drain machines and see every task.
    pub operators: Vec<String>,
    /// Groups whose members may see every task.
    pub auditors: Vec<String>,
    /// Logins that may drain machines and see every task whatever the directory says, or when it says
    /// nothing.
    pub always: Vec<String>,
    /// Whether tasks are placed while nothing is known of the directory.
    pub place_blind: bool,
    /// Whether tasks are placed on the last known tenants.
    pub place_stale: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Asks<'a> {
    Submit {
        tenant: &'a str,
    },
    Drain,
    /// See a task of that tenant's; of none: of a tenant that is not known.
    See {
        tenant: Option<Id>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    Member,
    Operator,
    Auditor,
    /// Settings let this login do it without the directory.
    Always,
    /// Settings place without a directory.
    PlacedBlind,
    NoSuchPerson,
    NoSuchTenant,
    NotAMember,
    NotAnOperator,
    NothingKnown,
    TooStale,
}

impl Why {
    pub fn words(self) -> &'static str {
        match self {
            Why::Member => "a member of the tenant",
            Why::Operator => "an operator",
            Why::Auditor => "an auditor",
            Why::Always => "named in the settings",
            Why::PlacedBlind => "nothing is known of the directory, and settings place all the same",
            Why::NoSuchPerson => "the directory knows no such person",
            Why::NoSuchTenant => "the directory knows no such tenant",
            Why::NotAMember => "not a member of the tenant",
            Why::NotAnOperator => "not an operator",
            Why::NothingKnown => "nothing is known of the directory yet",
            Why::TooStale => "what is known of the directory is stale, and settings do not place on that",
        }
    }
}

/// An answer, and whether it rests on what was known some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ruling {
    pub may: bool,
    pub why: Why,
    pub stale: bool,
}

/// The ruling at a time, in a state of the directory.
pub fn rule(known: &Tenants, now: i64, state: State, terms: &Terms, login: &str, asks: Asks) -> Ruling {
    let stale = state != State::Fresh;
    let ruling = |may, why| Ruling { may, why, stale };
    let submits = matches!(asks, Asks::Submit { .. });
    if !submits && !login.is_empty() && terms.always.iter().any(|l| l == login) {
        return Ruling { may: true, why: Why::Always, stale: false };
    }
    if state == State::Blind {
        let may = submits && terms.place_blind;
        return ruling(may, if may { Why::PlacedBlind } else { Why::NothingKnown });
    }
    if stale && submits && !terms.place_stale {
        return ruling(false, Why::TooStale);
    }
    let Some(person) = known.login(login) else { return ruling(false, Why::NoSuchPerson) };
    let in_one = |groups: &[String]| {
        groups.iter().any(|dn| known.group(dn).is_some_and(|g| known.is_member(person, g)))
    };
    let member = |tenant: Id| known.is_member(person, tenant);
    match asks {
        Asks::Submit { tenant } => match known.find(tenant, now) {
            None => ruling(false, Why::NoSuchTenant),
            Some(t) if member(t) => ruling(true, Why::Member),
            Some(_) => ruling(false, Why::NotAMember),
        },
        Asks::Drain if in_one(&terms.operators) => ruling(true, Why::Operator),
        Asks::Drain => ruling(false, Why::NotAnOperator),
        Asks::See { .. } if in_one(&terms.operators) => ruling(true, Why::Operator),
        Asks::See { .. } if in_one(&terms.auditors) => ruling(true, Why::Auditor),
        Asks::See { tenant } => match tenant {
            None => ruling(false, Why::NoSuchTenant),
            Some(t) if member(t) => ruling(true, Why::Member),
            Some(_) => ruling(false, Why::NotAMember),
        },
    }
}
