//! Whether a controller acquires a role: a pure decision.

use snowshelf_model::ids::{FencingToken, Version};

/// A vacant role is left to the controller that it is preferred for during this time.
pub(super) const PREFERENCE_MS: u64 = 700;

/// The holder that a role's key names.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeyHolder {
    /// The key names this controller, perhaps from before a restart.
    pub is_self: bool,
    /// The version at which the key was written.
    pub version: Version,
}

/// What a controller knows of one role.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RoleObservation {
    /// The holder in the record cache; `None`: the role is vacant.
    pub holder: Option<KeyHolder>,
    /// The fencing token with which this controller holds the role.
    pub fencing_token: Option<FencingToken>,
    /// This controller may acquire a vacant role at once.
    pub preferred: bool,
    /// For how long the role has been vacant, in milliseconds.
    pub vacant_ms: u64,
}

/// What to do about a role.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeaseDecision {
    /// Leave the role as it is.
    Keep,
    /// Acquire the role if its key still has this version.
    Acquire(Version),
}

/// Decides whether this controller acquires a role.
///
/// A role that another controller may hold is never acquired.
#[must_use]
pub fn decide_lease(role: &RoleObservation) -> LeaseDecision {
    let Some(holder) = role.holder else {
        let may_acquire = role.preferred || role.vacant_ms >= PREFERENCE_MS;
        return match role.fencing_token {
            None if may_acquire => LeaseDecision::Acquire(Version(0)),
            _ => LeaseDecision::Keep,
        };
    };
    let holds_current = role
        .fencing_token
        .is_some_and(|fencing_token| fencing_token.0 >= holder.version.0);
    match holder.is_self && !holds_current {
        // From before a restart, or by an acquisition whose outcome was unknown: acquired again for a known token.
        true => LeaseDecision::Acquire(holder.version),
        false => LeaseDecision::Keep,
    }
}
