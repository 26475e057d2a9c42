//! Who owns a part, or leads.

use crate::ids::{LeaseId, Member};
use serde::{Deserialize, Serialize};

/// `part/<p>`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaseHolder {
    pub owner: Member,
    pub lease: LeaseId,
}
