//! Authorization: decides who may submit tasks, drain machines and see tasks. No I/O.
use crate::sync_schedule::DirectoryState;
use crate::{Id, Tenants};

/// The access rights that the configuration grants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccessPolicy {
    /// Distinguished names of groups whose members may drain machines and see every task.
    pub operators: Vec<String>,
    /// Distinguished names of groups whose members may see every task.
    pub auditors: Vec<String>,
    /// Logins that may drain machines and see every task in any state of the directory.
    pub always: Vec<String>,
    /// Whether tasks may be submitted before the directory was ever synchronized.
    pub place_blind: bool,
    /// Whether tasks may be submitted while the directory is stale, by its last known tenants.
    pub place_stale: bool,
}

/// An operation that needs authorization.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation<'a> {
    /// Submit a task for a tenant.
    Submit {
        /// Name or id of the tenant, as the client sent it.
        tenant: &'a str,
    },
    /// Drain a machine.
    Drain,
    /// See a task of a tenant.
    See {
        /// The task's tenant; `None`: the directory does not know it.
        tenant: Option<Id>,
    },
}

/// The reason for an authorization decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AuthorizationBasis {
    /// Allowed: the login is a member of the tenant.
    Member,
    /// Allowed: the login is a member of a group of operators.
    Operator,
    /// Allowed: the login is a member of a group of auditors.
    Auditor,
    /// Allowed: the configuration lists the login, whatever the directory contains.
    Always,
    /// Allowed: the directory was never synchronized, and the configuration permits submits then.
    PlacedBlind,
    /// Denied: the directory has no person with the login.
    NoSuchPerson,
    /// Denied: the directory has no such tenant.
    NoSuchTenant,
    /// Denied: the login is not a member of the tenant.
    NotAMember,
    /// Denied: the login is not a member of a group of operators.
    NotAnOperator,
    /// Denied: the directory was never synchronized.
    NothingKnown,
    /// Denied: the directory is stale, and the configuration does not permit submits then.
    TooStale,
}

impl AuthorizationBasis {
    /// Returns the text that clients and operators see.
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

/// The decision on an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AuthorizationDecision {
    /// Whether the operation is allowed.
    pub allowed: bool,
    /// The reason for the decision.
    pub basis: AuthorizationBasis,
    /// Whether the decision was made on a directory that was not fresh.
    pub stale: bool,
}

/// Decides on an operation of a login, given the state of the directory at `now` (microseconds).
pub fn authorize(
    known: &Tenants,
    now: i64,
    state: DirectoryState,
    policy: &AccessPolicy,
    login: &str,
    operation: Operation,
) -> AuthorizationDecision {
    let stale = state != DirectoryState::Fresh;
    let decision = |allowed, basis| AuthorizationDecision { allowed, basis, stale };
    let submits = matches!(operation, Operation::Submit { .. });
    if !submits && !login.is_empty() && policy.always.iter().any(|l| l == login) {
        return AuthorizationDecision { allowed: true, basis: AuthorizationBasis::Always, stale: false };
    }
    if state == DirectoryState::Blind {
        let allowed = submits && policy.place_blind;
        return decision(
            allowed,
            if allowed { AuthorizationBasis::PlacedBlind } else { AuthorizationBasis::NothingKnown },
        );
    }
    if stale && submits && !policy.place_stale {
        return decision(false, AuthorizationBasis::TooStale);
    }
    let Some(user) = known.person(login) else { return decision(false, AuthorizationBasis::NoSuchPerson) };
    let is_in_any = |groups: &[String]| {
        groups.iter().any(|dn| known.group_by_dn(dn).is_some_and(|g| known.is_member(user, g)))
    };
    let is_member = |tenant: Id| known.is_member(user, tenant);
    match operation {
        Operation::Submit { tenant } => match known.find(tenant, now) {
            None => decision(false, AuthorizationBasis::NoSuchTenant),
            Some(tenant) if is_member(tenant) => decision(true, AuthorizationBasis::Member),
            Some(_) => decision(false, AuthorizationBasis::NotAMember),
        },
        Operation::Drain if is_in_any(&policy.operators) => decision(true, AuthorizationBasis::Operator),
        Operation::Drain => decision(false, AuthorizationBasis::NotAnOperator),
        Operation::See { .. } if is_in_any(&policy.operators) => decision(true, AuthorizationBasis::Operator),
        Operation::See { .. } if is_in_any(&policy.auditors) => decision(true, AuthorizationBasis::Auditor),
        Operation::See { tenant } => match tenant {
            None => decision(false, AuthorizationBasis::NoSuchTenant),
            Some(tenant) if is_member(tenant) => decision(true, AuthorizationBasis::Member),
            Some(_) => decision(false, AuthorizationBasis::NotAMember),
        },
    }
}
