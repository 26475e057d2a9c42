//! A controller's configuration, derived from the deployment's and the operators' settings.

use crate::operator::OperatorSettings;
use crate::settings::Settings;
use snowshelf_model::ids::{Member, ShardId};
use snowshelf_model::records::Capability;
use std::collections::BTreeSet;

/// A controller's configuration. It does not change while the process runs.
pub struct Config {
    /// The deployment's settings.
    pub settings: Settings,
    /// The operators' settings.
    pub ops: OperatorSettings,
    /// This controller's member name.
    pub local_member: Member,
    /// All controllers, including this one, in the same order on every controller.
    pub members: Vec<Member>,
    /// The optional features that operators have enabled on this controller.
    pub capabilities: BTreeSet<Capability>,
    /// The number of shards, which equals the number of controllers.
    pub shard_count: u32,
}

impl Config {
    /// Derives the configuration from the settings.
    #[must_use]
    pub fn new(settings: Settings, ops: OperatorSettings) -> Config {
        Config {
            local_member: Member::new(&settings.member),
            members: settings.members(),
            shard_count: settings.deployment.nodes,
            capabilities: ops.capabilities(),
            settings,
            ops,
        }
    }

    /// The home member of a shard: the controller that leads it whenever it is available.
    #[must_use]
    pub fn home(&self, shard_id: ShardId) -> &Member {
        &self.members[shard_id.0 as usize % self.members.len()]
    }

    /// All controllers except this one.
    pub fn other_members(&self) -> impl Iterator<Item = &Member> + '_ {
        self.members
            .iter()
            .filter(|member| **member != self.local_member)
    }
}
