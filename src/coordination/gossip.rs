//! What the other controllers say. Hints only: no rule depends on them.

use super::context::Config;
use super::drains::{Heard, Reason};
use super::shard::StealOffer;
use snowshelf_calendar::calendar::Pool;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Amount;
use snowshelf_model::ids::{JobId, MachineId, Member, MonotonicMillis, ShardId, Team};
use snowshelf_model::protocol::peer::PeerStatus;
use std::collections::{BTreeMap, BTreeSet};

/// A hint older than this says nothing.
const FRESH_MS: u64 = 2_500;
/// A member that has been up for so long takes its home part back.
const SETTLED_MS: u64 = 3_000;

/// The CPUs of a part's machines.
#[derive(Clone, Copy, Default, Debug)]
pub struct ShardCapacity {
    pub free: f64,
    pub capacity: f64,
    /// What the part's waiting tasks ask for.
    pub waiting: f64,
}

impl ShardCapacity {
    /// Counts tasks of so many CPUs that were given to the part: they start or wait.
    pub fn give(&mut self, cpus: f64) {
        let starts = cpus.min(self.free.max(0.0));
        self.free -= starts;
        self.waiting += cpus - starts;
    }
}

/// Most bytes of names of machines that one message carries: of those heard, and of those missing. With all else
/// a message stays within its frame, however many machines there are.
pub const HEARD_BYTES: usize = 24 * 1024;
pub const MISSING_BYTES: usize = 12 * 1024;
/// What a name takes beside its letters.
const NAME_BYTES: usize = 3;

/// Names told of in turns, if they are too many for one message.
#[derive(Default)]
pub struct RoundRobinNames {
    /// The last one told of.
    after: Option<MachineId>,
}

impl RoundRobinNames {
    /// Those whose turn it is: all, or the next ones after those told of last, within so many bytes.
    pub fn next(&mut self, names: &BTreeSet<MachineId>, most_bytes: usize) -> Vec<String> {
        let bytes = |name: &MachineId| name.as_str().len() + NAME_BYTES;
        let mut left = most_bytes;
        let mut fits = |name: &&MachineId| {
            let fits = bytes(name) <= left;
            left = left.saturating_sub(bytes(name));
            fits
        };
        let text = |name: &MachineId| name.as_str().to_string();
        if names.iter().map(bytes).sum::<usize>() <= most_bytes {
            self.after = None;
            return names.iter().map(text).collect();
        }
        let after = self.after.take();
        let is_next = |name: &&MachineId| after.as_ref().is_none_or(|a| *name > a);
        let next = names.iter().filter(is_next);
        let first = names.iter().filter(|n| !is_next(n));
        let turn: Vec<&MachineId> = next.chain(first).take_while(|n| fits(n)).collect();
        self.after = turn.last().map(|n| (*n).clone());
        turn.into_iter().map(text).collect()
    }
}

#[derive(Default)]
pub struct Gossip {
    heard: BTreeMap<Member, (MonotonicMillis, PeerStatus)>,
}

impl Gossip {
    pub fn take(&mut self, now: MonotonicMillis, hint: PeerStatus, config: &Config) {
        let member = Member::new(&hint.member);
        if config.members.contains(&member) && member != config.me {
            self.heard.insert(member, (now, hint));
        } else {
            tracing::info!(member = %member, "peer status rejected: unknown member");
        }
    }

    pub fn fresh(&self, now: MonotonicMillis) -> impl Iterator<Item = (&Member, &PeerStatus)> + '_ {
        self.heard
            .iter()
            .filter(move |(_, (at, _))| now.since(*at) <= FRESH_MS)
            .map(|(m, (_, h))| (m, h))
    }

    /// How many controllers, this one included, say that the state service does not serve them.
    pub fn unserved(&self, now: MonotonicMillis, silent_ms: u64) -> usize {
        1 + self
            .fresh(now)
            .filter(|(_, h)| h.state_silent_ms >= silent_ms)
            .count()
    }

    /// Parts whose home member is up, settled and served.
    pub fn up_homes(&self, now: MonotonicMillis, config: &Config) -> BTreeSet<ShardId> {
        let up: BTreeSet<&Member> = self
            .fresh(now)
            // Guards against giving a part to a home that does not see it being given: others would
            // take it, and give it again, every second.
            .filter(|(_, h)| {
                !h.unreachable_by_workers
                    && h.up_ms >= SETTLED_MS
                    && h.state_silent_ms < 1_500
                    && h.watch_silent_ms < SETTLED_MS
            })
            .map(|(m, _)| m)
            .collect();
        (0..config.shard_count)
            .map(ShardId)
            .filter(|p| up.contains(config.home(*p)))
            .collect()
    }

    /// Whether a controller says that no worker reaches it.
    pub fn is_deaf(&self, now: MonotonicMillis, member: &Member) -> bool {
        self.fresh(now)
            .any(|(m, h)| m == member && h.unreachable_by_workers)
    }

    /// The most machines of a part that any one of the others has lately been reached by.
    pub fn strangers(&self, now: MonotonicMillis, shard_id: ShardId) -> u32 {
        let fresh = self.fresh(now).filter(|(_, h)| !h.unreachable_by_workers);
        let counts = fresh.flat_map(|(_, h)| h.foreign_heartbeats.iter());
        let ours = counts.filter(|s| s.shard_id == shard_id.0);
        ours.map(|s| s.machines).max().unwrap_or(0)
    }

    pub fn short_of(&self, now: MonotonicMillis) -> BTreeSet<Team> {
        self.fresh(now)
            .flat_map(|(_, h)| h.quota_limited_teams.iter().map(|t| Team::new(t)))
            .collect()
    }

    /// Room by part, as last said by the owners.
    pub fn rooms(&self, now: MonotonicMillis) -> BTreeMap<ShardId, ShardCapacity> {
        self.fresh(now)
            .flat_map(|(_, h)| h.shards.iter())
            .map(|p| {
                let room = ShardCapacity {
                    free: p.free_cpus,
                    capacity: p.capacity_cpus,
                    waiting: p.waiting_cpus,
                };
                (ShardId(p.shard_id), room)
            })
            .collect()
    }

    /// Jobs that the others offer.
    pub fn offered(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, JobId), StealOffer> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        let offers = shards.flat_map(|p| {
            let overdue = p.overdue.iter().map(|job| (job, StealOffer::Overdue));
            let all = overdue.chain(p.stranded.iter().map(|job| (job, StealOffer::Stranded)));
            all.map(|(job, offer)| ((ShardId(p.shard_id), JobId::new(job)), offer))
        });
        offers.collect()
    }

    /// The others' machines by pool, as far as they say.
    pub fn pools(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, Pool), (u32, u32)> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        shards
            .flat_map(|p| {
                p.pools.iter().map(|pool| {
                    let key = (ShardId(p.shard_id), Pool::new(&pool.zone, &pool.model));
                    (key, (pool.ordinary, pool.spot))
                })
            })
            .collect()
    }

    /// Jobs of graphs' runs that fail in other parts, and how often.
    pub fn failing(&self, now: MonotonicMillis) -> BTreeMap<JobId, u32> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        let failing = shards.flat_map(|p| p.failing.iter());
        failing.map(|f| (JobId::new(&f.job), f.errors)).collect()
    }

    /// Room that others keep for teams, by part.
    pub fn kept(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, Team), f64> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        shards
            .flat_map(|p| {
                let shard_id = ShardId(p.shard_id);
                p.reserved
                    .iter()
                    .map(move |k| ((shard_id, Team::new(&k.team)), k.cpus))
            })
            .collect()
    }

    /// Parts whose owners are heard.
    pub fn owned(&self, now: MonotonicMillis) -> BTreeSet<ShardId> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        shards.map(|p| ShardId(p.shard_id)).collect()
    }

    /// What the leader says that drains wait for.
    pub fn drain_waits(&self, now: MonotonicMillis) -> BTreeMap<Name, Reason> {
        let waits = self.fresh(now).flat_map(|(_, h)| h.waits.iter());
        waits
            .filter_map(|w| {
                let reason = Reason {
                    waits: w.waits.clone(),
                    held: w.blocked_by.clone(),
                };
                Some((Name::parse(&w.drain)?, reason))
            })
            .collect()
    }

    /// What the owners of other parts say of drains.
    pub fn of_drains(&self, now: MonotonicMillis) -> Heard {
        let mut heard = Heard::default();
        for shard_id in self.fresh(now).flat_map(|(_, h)| h.shards.iter()) {
            let names = |list: &[String]| -> Vec<MachineId> {
                list.iter().map(|m| MachineId::new(m)).collect()
            };
            heard.empty.extend(names(&shard_id.empty));
            heard.sick.extend(names(&shard_id.failing_machines));
            heard.held.extend(shard_id.blocked_by.iter().cloned());
        }
        heard
    }

    /// How many tasks that were tried before run again, by part and job.
    pub fn again(&self, now: MonotonicMillis) -> BTreeMap<(ShardId, JobId), u32> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        shards
            .flat_map(|p| {
                let shard_id = ShardId(p.shard_id);
                p.restarted
                    .iter()
                    .map(move |a| ((shard_id, JobId::new(&a.job)), a.tasks))
            })
            .collect()
    }

    /// Tasks on machines of other parts that are silent or about to be taken.
    pub fn lost(&self, now: MonotonicMillis) -> BTreeMap<Team, Amount> {
        let shards = self.fresh(now).flat_map(|(_, h)| h.shards.iter());
        let mut lost: BTreeMap<Team, Amount> = BTreeMap::new();
        for hint in shards.flat_map(|p| &p.lost) {
            let entry = lost.entry(Team::new(&hint.team)).or_default();
            entry.cpus += hint.cpus.max(0.0);
            entry.tasks = entry.tasks.saturating_add(hint.tasks);
        }
        lost
    }

    pub fn missing(&self, now: MonotonicMillis) -> BTreeSet<MachineId> {
        self.fresh(now)
            .flat_map(|(_, h)| h.missing.iter().map(|m| MachineId::new(m)))
            .collect()
    }

    pub fn heard_machines(&self, now: MonotonicMillis) -> BTreeSet<String> {
        self.fresh(now)
            .flat_map(|(_, h)| h.shards.iter())
            .flat_map(|p| p.recent_heartbeats.iter().cloned())
            .collect()
    }
}
