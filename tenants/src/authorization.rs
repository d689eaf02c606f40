//! Who may do what, and on what that rests. No I/O.
use crate::sync_schedule::DirectoryState;
use crate::{Id, Tenants};

/// What settings say of rights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccessPolicy {
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
pub enum Operation<'a> {
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
pub enum AuthorizationBasis {
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

impl AuthorizationBasis {
    pub fn words(self) -> &'static str {
        match self {
            AuthorizationBasis::Member => "a member of the tenant",
            AuthorizationBasis::Operator => "an operator",
            AuthorizationBasis::Auditor => "an auditor",
            AuthorizationBasis::Always => "named in the settings",
            AuthorizationBasis::PlacedBlind => {
                "nothing is known of the directory, and settings place all the same"
            }
            AuthorizationBasis::NoSuchPerson => "the directory knows no such person",
            AuthorizationBasis::NoSuchTenant => "the directory knows no such tenant",
            AuthorizationBasis::NotAMember => "not a member of the tenant",
            AuthorizationBasis::NotAnOperator => "not an operator",
            AuthorizationBasis::NothingKnown => "nothing is known of the directory yet",
            AuthorizationBasis::TooStale => {
                "what is known of the directory is stale, and settings do not place on that"
            }
        }
    }
}

/// An answer, and whether it rests on what was known some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AuthorizationDecision {
    pub may: bool,
    pub why: AuthorizationBasis,
    pub stale: bool,
}

/// The ruling at a time, in a state of the directory.
pub fn rule(
    known: &Tenants,
    now: i64,
    state: DirectoryState,
    terms: &AccessPolicy,
    login: &str,
    asks: Operation,
) -> AuthorizationDecision {
    let stale = state != DirectoryState::Fresh;
    let ruling = |may, why| AuthorizationDecision { may, why, stale };
    let submits = matches!(asks, Operation::Submit { .. });
    if !submits && !login.is_empty() && terms.always.iter().any(|l| l == login) {
        return AuthorizationDecision { may: true, why: AuthorizationBasis::Always, stale: false };
    }
    if state == DirectoryState::Blind {
        let may = submits && terms.place_blind;
        return ruling(
            may,
            if may { AuthorizationBasis::PlacedBlind } else { AuthorizationBasis::NothingKnown },
        );
    }
    if stale && submits && !terms.place_stale {
        return ruling(false, AuthorizationBasis::TooStale);
    }
    let Some(person) = known.login(login) else { return ruling(false, AuthorizationBasis::NoSuchPerson) };
    let in_one = |groups: &[String]| {
        groups.iter().any(|dn| known.group(dn).is_some_and(|g| known.is_member(person, g)))
    };
    let member = |tenant: Id| known.is_member(person, tenant);
    match asks {
        Operation::Submit { tenant } => match known.find(tenant, now) {
            None => ruling(false, AuthorizationBasis::NoSuchTenant),
            Some(t) if member(t) => ruling(true, AuthorizationBasis::Member),
            Some(_) => ruling(false, AuthorizationBasis::NotAMember),
        },
        Operation::Drain if in_one(&terms.operators) => ruling(true, AuthorizationBasis::Operator),
        Operation::Drain => ruling(false, AuthorizationBasis::NotAnOperator),
        Operation::See { .. } if in_one(&terms.operators) => ruling(true, AuthorizationBasis::Operator),
        Operation::See { .. } if in_one(&terms.auditors) => ruling(true, AuthorizationBasis::Auditor),
        Operation::See { tenant } => match tenant {
            None => ruling(false, AuthorizationBasis::NoSuchTenant),
            Some(t) if member(t) => ruling(true, AuthorizationBasis::Member),
            Some(_) => ruling(false, AuthorizationBasis::NotAMember),
        },
    }
}
