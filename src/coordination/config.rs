//! The settings of one controller, in the form in which the actors read them.

use crate::operator::OperatorSettings;
use crate::settings::Settings;
use snowshelf_model::ids::{Member, ShardId};
use snowshelf_model::records::Capability;
use std::collections::BTreeSet;

/// The settings of one controller. They do not change while the process runs.
pub struct Config {
    /// The settings of the deployment.
    pub settings: Settings,
    /// The operators' settings.
    pub ops: OperatorSettings,
    /// This controller.
    pub me: Member,
    /// All controllers, this one among them, in the same order everywhere.
    pub members: Vec<Member>,
    /// The features that the operators have enabled on this controller.
    pub can: BTreeSet<Capability>,
    /// How many shards there are: as many as controllers.
    pub shard_count: u32,
}

impl Config {
    /// Reads the settings into the form that the actors use.
    #[must_use]
    pub fn new(settings: Settings, ops: OperatorSettings) -> Config {
        Config {
            me: Member::new(&settings.member),
            members: settings.members(),
            shard_count: settings.deployment.nodes,
            can: ops.capabilities(),
            settings,
            ops,
        }
    }

    /// The home member of a shard, which leads it whenever it can.
    #[must_use]
    pub fn home(&self, shard_id: ShardId) -> &Member {
        &self.members[shard_id.0 as usize % self.members.len()]
    }

    /// The other controllers.
    pub fn other_members(&self) -> impl Iterator<Item = &Member> + '_ {
        self.members.iter().filter(|member| **member != self.me)
    }
}
