//! The statuses that the other controllers send. No decision that must be safe depends on them: they may be late, or
//! not come at all.

mod round_robin_names;

pub use round_robin_names::{HEARTBEAT_NAMES_BYTES, MISSING_NAMES_BYTES, RoundRobinNames};

use super::config::Config;
use super::drains::{EvictionStatus, WaitReason};
use super::shard::StealOffer;
use super::shard_capacity::ShardCapacity;
use snowshelf_calendar::calendar::Pool;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Amount;
use snowshelf_model::ids::{JobId, MachineId, Member, MonotonicMillis, ShardId, Team};
use snowshelf_model::protocol::peer::{PeerStatus, ShardStatus};
use std::collections::{BTreeMap, BTreeSet};

/// A status older than this is ignored.
const STATUS_TTL_MS: u64 = 2_500;
/// A home member that has been up and up to date for so long may lead its shard again.
const SETTLED_MS: u64 = 3_000;
/// A home member that the key-value store has not served for so long may not.
const UNSERVED_HOME_MS: u64 = 1_500;

struct ReceivedStatus {
    at: MonotonicMillis,
    status: PeerStatus,
}

/// The last status of each of the other controllers.
#[derive(Default)]
pub struct Gossip {
    received: BTreeMap<Member, ReceivedStatus>,
}

impl Gossip {
    /// Records a status that has come.
    pub fn record(&mut self, now: MonotonicMillis, status: PeerStatus, config: &Config) {
        let member = Member::new(&status.member);
        if config.members.contains(&member) && member != config.me {
            self.received
                .insert(member, ReceivedStatus { at: now, status });
        } else {
            tracing::info!(member = %member, "peer status rejected: unknown member");
        }
    }

    /// The statuses that are not too old, in the order of the members' names.
    pub fn recent(
        &self,
        now: MonotonicMillis,
    ) -> impl Iterator<Item = (&Member, &PeerStatus)> + '_ {
        self.received
            .iter()
            .filter(move |(_, received)| now.since(received.at) <= STATUS_TTL_MS)
            .map(|(member, received)| (member, &received.status))
    }

    /// The statuses of the shards that the other controllers lead.
    fn recent_shards(&self, now: MonotonicMillis) -> impl Iterator<Item = &ShardStatus> + '_ {
        self.recent(now)
            .flat_map(|(_, status)| status.shards.iter())
    }

    /// How many of the others the key-value store has not served for at least this time.
    #[must_use]
    pub fn count_unserved(&self, now: MonotonicMillis, unserved_ms: u64) -> usize {
        self.recent(now)
            .filter(|(_, status)| status.state_silent_ms >= unserved_ms)
            .count()
    }

    /// The shards whose home member can lead them: it is up, served and up to date.
    #[must_use]
    pub fn available_homes(&self, now: MonotonicMillis, config: &Config) -> BTreeSet<ShardId> {
        // A home member whose watch lags would not see the release: another controller would acquire the shard, and
        // release it again, every second.
        let is_available = |status: &PeerStatus| {
            !status.unreachable_by_workers
                && status.up_ms >= SETTLED_MS
                && status.state_silent_ms < UNSERVED_HOME_MS
                && status.watch_silent_ms < SETTLED_MS
        };
        let available: BTreeSet<&Member> = self
            .recent(now)
            .filter(|(_, status)| is_available(status))
            .map(|(member, _)| member)
            .collect();
        (0..config.shard_count)
            .map(ShardId)
            .filter(|shard_id| available.contains(config.home(*shard_id)))
            .collect()
    }

    /// Whether a controller says that no worker reaches it.
    #[must_use]
    pub fn is_unreachable_by_workers(&self, now: MonotonicMillis, member: &Member) -> bool {
        self.recent(now)
            .any(|(other, status)| other == member && status.unreachable_by_workers)
    }

    /// The most machines of a shard whose heartbeats any one of the others has received lately.
    #[must_use]
    pub fn most_foreign_heartbeats(&self, now: MonotonicMillis, shard_id: ShardId) -> u32 {
        let reachable = self
            .recent(now)
            .filter(|(_, status)| !status.unreachable_by_workers);
        let counts = reachable.flat_map(|(_, status)| status.foreign_heartbeats.iter());
        counts
            .filter(|count| count.shard_id == shard_id.0)
            .map(|count| count.machines)
            .max()
            .unwrap_or(0)
    }

    /// Teams of which the others could start more tasks with a larger grant of their quota.
    #[must_use]
    pub fn teams_short_of_quota(&self, now: MonotonicMillis) -> BTreeSet<Team> {
        self.recent(now)
            .flat_map(|(_, status)| status.quota_limited_teams.iter())
            .map(|team| Team::new(team))
            .collect()
    }

    /// The capacities of the shards that the others lead.
    #[must_use]
    pub fn shard_capacities(&self, now: MonotonicMillis) -> BTreeMap<ShardId, ShardCapacity> {
        self.recent_shards(now)
            .map(|shard| {
                let capacity = ShardCapacity {
                    free: shard.free_cpus,
                    capacity: shard.capacity_cpus,
                    waiting: shard.waiting_cpus,
                };
                (ShardId(shard.shard_id), capacity)
            })
            .collect()
    }

    /// Jobs that the others offer to be stolen.
    #[must_use]
    pub fn steal_offers(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, JobId), StealOffer> {
        let offers = self.recent_shards(now).flat_map(|shard| {
            let overdue = shard.overdue.iter().map(|job| (job, StealOffer::Overdue));
            let stranded = shard
                .stranded
                .iter()
                .map(|job| (job, StealOffer::Unplaceable));
            overdue
                .chain(stranded)
                .map(|(job, offer)| ((ShardId(shard.shard_id), JobId::new(job)), offer))
        });
        offers.collect()
    }

    /// How many machines, ordinary and spot, the others have in each pool.
    #[must_use]
    pub fn pool_sizes(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, Pool), (u32, u32)> {
        self.recent_shards(now)
            .flat_map(|shard| {
                shard.pools.iter().map(|pool| {
                    let key = (ShardId(shard.shard_id), Pool::new(&pool.zone, &pool.model));
                    (key, (pool.ordinary, pool.spot))
                })
            })
            .collect()
    }

    /// Jobs of graphs' runs that fail in shards of the others, and how often their worst task has failed.
    #[must_use]
    pub fn failing_jobs(&self, now: MonotonicMillis) -> BTreeMap<JobId, u32> {
        self.recent_shards(now)
            .flat_map(|shard| shard.failing.iter())
            .map(|failing| (JobId::new(&failing.job), failing.errors))
            .collect()
    }

    /// CPUs that the others reserve for teams.
    #[must_use]
    pub fn reserved_cpus(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, Team), f64> {
        self.recent_shards(now)
            .flat_map(|shard| {
                let shard_id = ShardId(shard.shard_id);
                let reserved = shard.reserved.iter();
                reserved.map(move |team| ((shard_id, Team::new(&team.team)), team.cpus))
            })
            .collect()
    }

    /// The shards that the others lead.
    #[must_use]
    pub fn led_shards(&self, now: MonotonicMillis) -> BTreeSet<ShardId> {
        self.recent_shards(now)
            .map(|shard| ShardId(shard.shard_id))
            .collect()
    }

    /// What the cluster leader says that drains wait for.
    #[must_use]
    pub fn drain_progress(&self, now: MonotonicMillis) -> BTreeMap<Name, WaitReason> {
        self.recent(now)
            .flat_map(|(_, status)| status.waits.iter())
            .filter_map(|progress| {
                let reason = WaitReason {
                    waits_for: progress.waits.clone(),
                    blockers: progress.blocked_by.clone(),
                };
                Some((Name::parse(&progress.drain)?, reason))
            })
            .collect()
    }

    /// What the other shard leaders say of drains.
    #[must_use]
    pub fn drain_observations(&self, now: MonotonicMillis) -> EvictionStatus {
        let mut observations = EvictionStatus::default();
        for shard in self.recent_shards(now) {
            let empty = shard.empty.iter().map(|name| MachineId::new(name));
            observations.empty.extend(empty);
            let quarantined = shard
                .failing_machines
                .iter()
                .map(|name| MachineId::new(name));
            observations.failing.extend(quarantined);
            observations
                .blockers
                .extend(shard.blocked_by.iter().cloned());
        }
        observations
    }

    /// How many tasks that were tried before run again, by shard and job.
    #[must_use]
    pub fn restarted_tasks(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, JobId), u32> {
        self.recent_shards(now)
            .flat_map(|shard| {
                let shard_id = ShardId(shard.shard_id);
                let restarted = shard.restarted.iter();
                restarted.map(move |job| ((shard_id, JobId::new(&job.job)), job.tasks))
            })
            .collect()
    }

    /// Tasks on machines of other shards that are silent or about to be interrupted.
    #[must_use]
    pub fn lost_tasks(&self, now: MonotonicMillis) -> BTreeMap<Team, Amount> {
        let mut lost: BTreeMap<Team, Amount> = BTreeMap::new();
        for team in self.recent_shards(now).flat_map(|shard| &shard.lost) {
            let amount = lost.entry(Team::new(&team.team)).or_default();
            amount.cpus += team.cpus.max(0.0);
            amount.tasks = amount.tasks.saturating_add(team.tasks);
        }
        lost
    }

    /// Machines that the cluster leader misses in the cloud's list.
    #[must_use]
    pub fn missing_machines(&self, now: MonotonicMillis) -> BTreeSet<MachineId> {
        self.recent(now)
            .flat_map(|(_, status)| status.missing.iter())
            .map(|name| MachineId::new(name))
            .collect()
    }

    /// Names of machines whose heartbeats the others have received lately.
    #[must_use]
    pub fn machines_with_heartbeats(&self, now: MonotonicMillis) -> BTreeSet<String> {
        self.recent_shards(now)
            .flat_map(|shard| shard.recent_heartbeats.iter().cloned())
            .collect()
    }
}
