//! Who owns which part, and who leads: keys of the state service attached to this process's lease.

use super::env::{Claim, Config, Env, Tag};
use crate::bookkeeping::store::{Class, TxnResult};
use snowshelf_model::ids::{LeaseId, Millis, PartId, Token, Version};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::{LEADER_KEY, PartRecord, part_key};
use std::collections::{BTreeMap, BTreeSet};

/// A part without owner is left to its home member for so long.
const HOME_FIRST_MS: u64 = 700;
/// A controller that no worker reaches takes a part that nobody else has taken for so long.
const DEAF_LAST_MS: u64 = 5_000;
/// The steady clock may run fast or slow by 0.05%; a tenth of that again for measuring.
const DRIFT_PER_MILLE: u64 = 1;

#[derive(Default)]
pub struct Ownership {
    pub lease: Option<LeaseId>,
    asked_lease: Option<Millis>,
    renewing: Option<Millis>,
    next_renew: Millis,
    /// Until when the lease surely holds.
    valid_until: Millis,
    pub held: BTreeMap<Claim, Token>,
    claiming: BTreeSet<Claim>,
    unclaimed_since: BTreeMap<Claim, Millis>,
    retry_at: BTreeMap<Claim, Millis>,
    giving: Option<PartId>,
    give_at: Millis,
    started: Option<Millis>,
    /// No worker reaches this controller: it takes no part that another may take.
    pub deaf: bool,
}

fn key(claim: Claim) -> String {
    match claim {
        Claim::Part(part) => part_key(part),
        Claim::Leader => LEADER_KEY.to_string(),
    }
}

/// What to do about a key nobody or somebody holds: pure, so that it is tested without a world.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    Leave,
    /// Take it if its version is still this.
    Take(Version),
}

pub fn verdict(
    holder: Option<(bool, Version)>,
    held: Option<Token>,
    home: bool,
    free_for_ms: u64,
) -> Verdict {
    match (holder, held) {
        // Mine as far as anybody knows.
        (Some((true, version)), Some(token)) if token.0 >= version.0 => Verdict::Leave,
        // It carries my name from an earlier life: take it at once, with a new token.
        (Some((true, version)), _) => Verdict::Take(version),
        (Some((false, _)), _) => Verdict::Leave,
        (None, Some(_)) => Verdict::Leave,
        (None, None) if home || free_for_ms >= HOME_FIRST_MS => Verdict::Take(Version(0)),
        (None, None) => Verdict::Leave,
    }
}

impl Ownership {
    /// Whether this process's lease surely holds.
    pub fn fresh(&self, now: Millis) -> bool {
        self.lease.is_some() && now < self.valid_until
    }

    pub fn token(&self, part: PartId) -> Option<Token> {
        self.held.get(&Claim::Part(part)).copied()
    }

    pub fn leads(&self) -> Option<Token> {
        self.held.get(&Claim::Leader).copied()
    }

    pub fn parts(&self) -> Vec<(PartId, Token)> {
        self.held
            .iter()
            .filter_map(|(c, t)| match c {
                Claim::Part(p) => Some((*p, *t)),
                Claim::Leader => None,
            })
            .collect()
    }

    pub fn lose(&mut self, claim: Claim, now: Millis) {
        self.held.remove(&claim);
        self.retry_at.insert(claim, now.plus(300));
    }

    fn holder(claim: Claim, env: &Env) -> Option<(bool, Version)> {
        let record = match claim {
            Claim::Part(part) => env.mirror.parts.get(&part),
            Claim::Leader => env.mirror.leader.as_ref(),
        }?;
        Some((record.value.owner == env.cfg.me, record.version))
    }

    pub fn tick(&mut self, up_homes: &BTreeSet<PartId>, env: &mut Env) {
        let now = env.now();
        let started = *self.started.get_or_insert(now);
        let ttl = env.cfg.settings.member_ttl_ms();
        match self.lease {
            None => {
                let idle = self.asked_lease.is_none_or(|at| now.since(at) > 1_600);
                if idle && env.store.may(now, Class::Ownership, 0) {
                    self.asked_lease = Some(now);
                    env.store.lease(env.out, Tag::LeaseNew, ttl);
                }
            }
            Some(lease) => {
                if self.renewing.is_some_and(|at| now.since(at) > 1_100) {
                    self.renewing = None;
                }
                if self.renewing.is_none()
                    && now >= self.next_renew
                    && env.store.may(now, Class::Ownership, 0)
                {
                    self.renewing = Some(now);
                    env.store.renew(env.out, Tag::LeaseRenew(now), lease);
                }
            }
        }
        if !env.mirror.parts_read || !self.fresh(now) {
            self.unclaimed_since.clear();
            return;
        }
        let mut claims: Vec<Claim> = (0..env.cfg.parts).map(|p| Claim::Part(PartId(p))).collect();
        claims.push(Claim::Leader);
        for claim in claims {
            let holder = Self::holder(claim, env);
            if holder.is_some() {
                self.unclaimed_since.remove(&claim);
            }
            let held = self.held.get(&claim).copied();
            let free_since = *self.unclaimed_since.entry(claim).or_insert(now);
            let home = match claim {
                Claim::Part(_) if self.deaf => now.since(free_since) > DEAF_LAST_MS,
                Claim::Part(p) => *env.cfg.home(p) == env.cfg.me,
                // Whoever has been up for a while may lead at once.
                Claim::Leader => now.since(started) > 2 * HOME_FIRST_MS,
            };
            if self.claiming.contains(&claim)
                || self.retry_at.get(&claim).is_some_and(|at| *at > now)
            {
                continue;
            }
            let free_ms = match (self.deaf, claim) {
                (true, Claim::Part(_)) => 0,
                _ => now.since(free_since),
            };
            if let Verdict::Take(version) = verdict(holder, held, home, free_ms) {
                self.take(claim, version, env);
            }
        }
        self.give_home(up_homes, env);
    }

    fn take(&mut self, claim: Claim, version: Version, env: &mut Env) {
        let now = env.now();
        let Some(lease) = self.lease else { return };
        if !env.store.may(now, Class::Ownership, 1) {
            return;
        }
        let record = PartRecord {
            owner: env.cfg.me.clone(),
            lease,
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        let txn = Txn::default()
            .when(key(claim), version)
            .then(Change::Write {
                key: key(claim),
                value,
                lease: Some(lease),
            });
        self.claiming.insert(claim);
        tracing::info!(?claim, version = version.0, "claims");
        env.store.txn(env.out, Tag::Claim(claim), &txn);
    }

    /// Gives a part back to its home member once that is up again, so that the load is shared.
    fn give_home(&mut self, up_homes: &BTreeSet<PartId>, env: &mut Env) {
        let now = env.now();
        if now < self.give_at || self.giving.is_some() {
            return;
        }
        let mine = self.parts();
        if mine.len() < 2 {
            return;
        }
        let Some((part, token)) = mine
            .into_iter()
            .find(|(p, _)| *env.cfg.home(*p) != env.cfg.me && up_homes.contains(p))
        else {
            return;
        };
        tracing::info!(part = %part, token = %token, "gives the part back to its home");
        self.give(part, token, env);
    }

    /// Hands a part to whoever its machines reach.
    pub fn hand_over(&mut self, part: PartId, env: &mut Env) {
        if self.giving.is_some() {
            return;
        }
        if let Some(token) = self.token(part) {
            tracing::info!(part = %part, token = %token, "hands the part to those whom its machines reach");
            self.give(part, token, env);
        }
    }

    fn give(&mut self, part: PartId, token: Token, env: &mut Env) {
        let now = env.now();
        if !env.store.may(now, Class::Ownership, 1) {
            return;
        }
        self.giving = Some(part);
        // The part's writes end here: they are conditional on the key that goes.
        self.lose(Claim::Part(part), now);
        self.retry_at.insert(Claim::Part(part), now.plus(3_000));
        self.give_at = now.plus(2_000);
        let txn = Txn::default()
            .when(part_key(part), Version(token.0))
            .then(Change::Delete {
                key: part_key(part),
            });
        env.store.txn(env.out, Tag::GiveUp(part), &txn);
    }

    pub fn gave(&mut self, part: PartId, result: TxnResult, env: &mut Env) {
        self.giving = None;
        if let TxnResult::Done(revision) = result {
            env.mirror.apply(&part_key(part), None, revision);
        }
    }

    pub fn lease_new(&mut self, lease: Option<LeaseId>, env: &Env) {
        let now = env.out.now;
        let Some(asked) = self.asked_lease else {
            return;
        };
        let Some(lease) = lease else {
            // Asked again after a pause.
            self.asked_lease = Some(Millis(now.0.saturating_sub(1_300)));
            return;
        };
        self.asked_lease = None;
        if self.lease.is_some() {
            return;
        }
        tracing::info!(lease = lease.0, "has a lease");
        self.lease = Some(lease);
        self.extend(asked, env.cfg);
    }

    fn extend(&mut self, sent: Millis, cfg: &Config) {
        let ttl = cfg.settings.member_ttl_ms();
        self.valid_until = sent.plus(ttl - ttl * DRIFT_PER_MILLE / 1000);
        self.next_renew = sent.plus(ttl / 4);
    }

    /// The answer to a renewal; true if the lease, and all that hung on it, is lost.
    pub fn renewed(&mut self, sent: Millis, result: Option<bool>, env: &Env) -> bool {
        if self.renewing == Some(sent) {
            self.renewing = None;
        }
        match result {
            Some(true) => {
                self.extend(sent, env.cfg);
                false
            }
            Some(false) => {
                tracing::info!("the lease is gone");
                self.lease = None;
                self.asked_lease = None;
                self.held.clear();
                self.claiming.clear();
                true
            }
            None => {
                self.next_renew = env.out.now.plus(250);
                false
            }
        }
    }

    /// The answer to a claim; the token if it was won.
    pub fn claimed(&mut self, claim: Claim, result: TxnResult, env: &mut Env) -> Option<Token> {
        let now = env.now();
        if !self.claiming.remove(&claim) {
            return None;
        }
        match result {
            TxnResult::Done(revision) => {
                let lease = self.lease?;
                let record = PartRecord {
                    owner: env.cfg.me.clone(),
                    lease,
                };
                let value = serde_json::to_value(&record).unwrap_or_default();
                env.mirror.apply(&key(claim), Some(&value), revision);
                let token = Token(revision.0);
                tracing::info!(?claim, token = %token, "holds");
                self.held.insert(claim, token);
                Some(token)
            }
            TxnResult::NoLease => {
                self.lease = None;
                self.asked_lease = None;
                self.held.clear();
                None
            }
            // Unknown: if it was carried out, the feed shows this member's name, and the key is
            // taken once more with a token that is known.
            TxnResult::Unknown
            | TxnResult::NotDone
            | TxnResult::Refused
            | TxnResult::Conflict(_) => {
                self.retry_at.insert(claim, now.plus(400));
                None
            }
        }
    }
}
