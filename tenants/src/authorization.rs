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

/// What someone wants to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation<'a> {
    /// Submit a task for a tenant.
    Submit {
        /// Its name or id, as the client gave it.
        tenant: &'a str,
    },
    /// Drain a machine.
    Drain,
    /// See a task of that tenant's; of none: of a tenant that is not known.
    See {
        /// The tenant.
        tenant: Option<Id>,
    },
}

/// On what a decision rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AuthorizationBasis {
    /// A member of the tenant.
    Member,
    /// A member of a group of operators.
    Operator,
    /// A member of a group of auditors.
    Auditor,
    /// Settings let this login do it without the directory.
    Always,
    /// Settings place without a directory.
    PlacedBlind,
    /// The directory has no such login.
    NoSuchPerson,
    /// The directory has no such tenant.
    NoSuchTenant,
    /// Not a member of the tenant.
    NotAMember,
    /// Not a member of a group of operators.
    NotAnOperator,
    /// Nothing was ever received from the directory.
    NothingKnown,
    /// The last synchronization is too old, and settings do not place on that.
    TooStale,
}

impl AuthorizationBasis {
    /// The text that clients and operators see.
    pub fn description(self) -> &'static str {
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
    /// Whether it is allowed.
    pub may: bool,
    /// On what that rests.
    pub basis: AuthorizationBasis,
    /// Whether the directory was not fresh.
    pub stale: bool,
}

/// The decision at a time, in a state of the directory.
pub fn authorize(
    known: &Tenants,
    now: i64,
    state: DirectoryState,
    policy: &AccessPolicy,
    login: &str,
    operation: Operation,
) -> AuthorizationDecision {
    let stale = state != DirectoryState::Fresh;
    let decision = |may, basis| AuthorizationDecision { may, basis, stale };
    let submits = matches!(operation, Operation::Submit { .. });
    if !submits && !login.is_empty() && policy.always.iter().any(|l| l == login) {
        return AuthorizationDecision { may: true, basis: AuthorizationBasis::Always, stale: false };
    }
    if state == DirectoryState::Blind {
        let may = submits && policy.place_blind;
        return decision(
            may,
            if may { AuthorizationBasis::PlacedBlind } else { AuthorizationBasis::NothingKnown },
        );
    }
    if stale && submits && !policy.place_stale {
        return decision(false, AuthorizationBasis::TooStale);
    }
    let Some(person) = known.login(login) else { return decision(false, AuthorizationBasis::NoSuchPerson) };
    let in_one = |groups: &[String]| {
        groups.iter().any(|dn| known.group(dn).is_some_and(|g| known.is_member(person, g)))
    };
    let member = |tenant: Id| known.is_member(person, tenant);
    match operation {
        Operation::Submit { tenant } => match known.find(tenant, now) {
            None => decision(false, AuthorizationBasis::NoSuchTenant),
            Some(t) if member(t) => decision(true, AuthorizationBasis::Member),
            Some(_) => decision(false, AuthorizationBasis::NotAMember),
        },
        Operation::Drain if in_one(&policy.operators) => decision(true, AuthorizationBasis::Operator),
        Operation::Drain => decision(false, AuthorizationBasis::NotAnOperator),
        Operation::See { .. } if in_one(&policy.operators) => decision(true, AuthorizationBasis::Operator),
        Operation::See { .. } if in_one(&policy.auditors) => decision(true, AuthorizationBasis::Auditor),
        Operation::See { tenant } => match tenant {
            None => decision(false, AuthorizationBasis::NoSuchTenant),
            Some(t) if member(t) => decision(true, AuthorizationBasis::Member),
            Some(_) => decision(false, AuthorizationBasis::NotAMember),
        },
    }
}
