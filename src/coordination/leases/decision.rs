//! The decision whether a controller acquires a role, as a pure function.

use snowshelf_model::ids::{FencingToken, Version};

/// Time for which a vacant role is left to its preferred controller before any other may acquire it.
pub(super) const PREFERENCE_MS: u64 = 700;

/// The holder named by a role's key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeyHolder {
    /// Whether the key names this controller, possibly from before a restart.
    pub is_self: bool,
    /// The version at which the key was written.
    pub version: Version,
}

/// What a controller knows about a role.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RoleObservation {
    /// The holder in the record cache; `None`: the role is vacant.
    pub holder: Option<KeyHolder>,
    /// The fencing token with which this controller holds the role; `None` if it does not hold it.
    pub fencing_token: Option<FencingToken>,
    /// Whether this controller may acquire the role as soon as it is vacant.
    pub preferred: bool,
    /// How long the role has been vacant, in milliseconds.
    pub vacant_ms: u64,
}

/// What to do about a role.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RoleDecision {
    /// Take no action.
    Keep,
    /// Acquire the role if its key still has this version.
    Acquire(Version),
}

/// Decides whether this controller acquires a role. It never acquires a role whose key names another controller.
#[must_use]
pub fn decide_role(role: &RoleObservation) -> RoleDecision {
    let Some(holder) = role.holder else {
        let may_acquire = role.preferred || role.vacant_ms >= PREFERENCE_MS;
        return match role.fencing_token {
            None if may_acquire => RoleDecision::Acquire(Version(0)),
            _ => RoleDecision::Keep,
        };
    };
    let holds_current = role
        .fencing_token
        .is_some_and(|fencing_token| fencing_token.0 >= holder.version.0);
    match holder.is_self && !holds_current {
        // The key was written before a restart, or by an acquisition whose outcome was unknown. The role is acquired
        // again to obtain a known fencing token.
        true => RoleDecision::Acquire(holder.version),
        false => RoleDecision::Keep,
    }
}
