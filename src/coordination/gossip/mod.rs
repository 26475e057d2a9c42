//! Gossip: the statuses that peers send. They may be late or lost, so no safety decision depends on them.

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

/// Statuses older than this are ignored.
const STATUS_TTL_MS: u64 = 2_500;
/// A home member may lead its shard again once it has been up for this long and its watch lags by less than this.
const HOME_STABLE_MS: u64 = 3_000;
/// A home member that the key-value store has not served for this long cannot lead its shard.
const MAX_HOME_KV_OUTAGE_MS: u64 = 1_500;

struct ReceivedStatus {
    at: MonotonicMillis,
    status: PeerStatus,
}

/// The last status received from each peer.
#[derive(Default)]
pub struct Gossip {
    received: BTreeMap<Member, ReceivedStatus>,
}

impl Gossip {
    /// Records a received status. A status of an unknown member is rejected.
    pub fn record(&mut self, now: MonotonicMillis, status: PeerStatus, config: &Config) {
        let member = Member::new(&status.member);
        if config.members.contains(&member) && member != config.local_member {
            self.received
                .insert(member, ReceivedStatus { at: now, status });
        } else {
            tracing::info!(member = %member, "peer status rejected: unknown member");
        }
    }

    /// The statuses that have not expired, ordered by member name.
    pub fn recent(
        &self,
        now: MonotonicMillis,
    ) -> impl Iterator<Item = (&Member, &PeerStatus)> + '_ {
        self.received
            .iter()
            .filter(move |(_, received)| now.since(received.at) <= STATUS_TTL_MS)
            .map(|(member, received)| (member, &received.status))
    }

    /// The statuses of the shards that peers lead.
    fn recent_shards(&self, now: MonotonicMillis) -> impl Iterator<Item = &ShardStatus> + '_ {
        self.recent(now)
            .flat_map(|(_, status)| status.shards.iter())
    }

    /// The number of peers that the key-value store has not served for at least `kv_outage_ms`.
    #[must_use]
    pub fn count_without_kv(&self, now: MonotonicMillis, kv_outage_ms: u64) -> usize {
        self.recent(now)
            .filter(|(_, status)| status.state_silent_ms >= kv_outage_ms)
            .count()
    }

    /// The shards whose home member can lead them: it is stable, reachable by workers, served by the key-value store,
    /// and its watch is current.
    #[must_use]
    pub fn available_homes(&self, now: MonotonicMillis, config: &Config) -> BTreeSet<ShardId> {
        // A home member with a lagging watch would not see that the shard was released to it. Another controller would
        // acquire the shard and release it again, every second.
        let is_available = |status: &PeerStatus| {
            !status.unreachable_by_workers
                && status.up_ms >= HOME_STABLE_MS
                && status.state_silent_ms < MAX_HOME_KV_OUTAGE_MS
                && status.watch_silent_ms < HOME_STABLE_MS
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

    /// Whether a peer reports that workers cannot reach it.
    #[must_use]
    pub fn is_unreachable_by_workers(&self, now: MonotonicMillis, member: &Member) -> bool {
        self.recent(now)
            .any(|(other, status)| other == member && status.unreachable_by_workers)
    }

    /// The largest number of a shard's machines whose heartbeats a single peer has received recently. Peers that
    /// workers cannot reach are left out.
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

    /// Teams whose tasks peers could start if they had a larger quota grant.
    #[must_use]
    pub fn teams_short_of_quota(&self, now: MonotonicMillis) -> BTreeSet<Team> {
        self.recent(now)
            .flat_map(|(_, status)| status.quota_limited_teams.iter())
            .map(|team| Team::new(team))
            .collect()
    }

    /// The capacities of the shards that peers lead.
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

    /// Jobs that peers offer for work stealing.
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

    /// The numbers of on-demand and spot instances in each pool of the shards that peers lead.
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

    /// Failing jobs of DAG runs in shards that peers lead, with the failure count of the task that failed most often.
    #[must_use]
    pub fn failing_jobs(&self, now: MonotonicMillis) -> BTreeMap<JobId, u32> {
        self.recent_shards(now)
            .flat_map(|shard| shard.failing.iter())
            .map(|failing| (JobId::new(&failing.job), failing.errors))
            .collect()
    }

    /// CPUs reserved for teams in the shards that peers lead.
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

    /// The shards that peers lead.
    #[must_use]
    pub fn led_shards(&self, now: MonotonicMillis) -> BTreeSet<ShardId> {
        self.recent_shards(now)
            .map(|shard| ShardId(shard.shard_id))
            .collect()
    }

    /// What each drain waits for, as reported by the cluster leader.
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

    /// What the peers that lead shards observe about drains.
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

    /// The number of tasks of earlier attempts that run again, by shard and job.
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

    /// Tasks on machines that are silent or about to be interrupted, in shards that peers lead, by team.
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

    /// Machines that the cloud's list lacks or shows as failed, as reported by the cluster leader.
    #[must_use]
    pub fn missing_machines(&self, now: MonotonicMillis) -> BTreeSet<MachineId> {
        self.recent(now)
            .flat_map(|(_, status)| status.missing.iter())
            .map(|name| MachineId::new(name))
            .collect()
    }

    /// Names of machines whose heartbeats peers have received recently.
    #[must_use]
    pub fn machines_with_heartbeats(&self, now: MonotonicMillis) -> BTreeSet<String> {
        self.recent_shards(now)
            .flat_map(|shard| shard.recent_heartbeats.iter().cloned())
            .collect()
    }
}
