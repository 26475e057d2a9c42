//! The settings file (TOML) that the platform passes to a controller. Unknown fields are ignored.

use serde::Deserialize;
use snowshelf_model::ids::{Member, seconds_to_ms};
use std::net::SocketAddrV4;

/// The least size of a transaction: a comparison and a write.
const MIN_TXN_OPS: usize = 2;
/// The fewest sockets that a controller can run with.
const MIN_SOCKETS: usize = 32;
/// Most controllers of a cluster.
const MAX_NODES: u32 = 64;
/// Most bytes of a controller's name.
const MAX_MEMBER_BYTES: usize = 64;
/// Bytes in a kilobyte, as the settings count them.
const BYTES_PER_KB: f64 = 1024.0;
/// Lifetime of a controller's own lease, as a percentage of the workers' lease.
const MEMBER_TTL_PERCENT: u64 = 35;
/// The shortest and the longest lifetime of a controller's own lease, in milliseconds.
const MEMBER_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 2_000..=5_000;

/// A field of the settings that is missing or invalid. Displayed in one line.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The path of the field, with dots.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl SettingsError {
    fn new(field: &str, reason: &str) -> SettingsError {
        SettingsError {
            field: field.to_string(),
            reason: reason.replace('\n', " "),
        }
    }
}

/// An error on `field` unless the condition holds.
fn ensure(condition: bool, field: &str, reason: &str) -> Result<(), SettingsError> {
    if condition {
        Ok(())
    } else {
        Err(SettingsError::new(field, reason))
    }
}

/// The path of the field on the line at a byte offset: its table and its key.
fn field_at(text: &str, offset: usize) -> Option<String> {
    let start = text.get(..offset)?.rfind('\n').map_or(0, |at| at + 1);
    let line = text.get(start..)?.lines().next()?.trim();
    let table = |line: &str| {
        line.starts_with('[')
            .then(|| line.trim_matches(['[', ']']).to_string())
    };
    if let Some(table) = table(line) {
        return Some(table);
    }
    let (key, _) = line.split_once('=')?;
    let above = text
        .get(..start)?
        .lines()
        .rev()
        .find_map(|line| table(line.trim()));
    Some(match above {
        Some(above) => format!("{above}.{}", key.trim()),
        None => key.trim().to_string(),
    })
}

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub member: String,
    /// The site that it runs at; informational.
    #[serde(default)]
    pub site: String,
    /// The address that workers and users connect to.
    pub serve_on: SocketAddrV4,
    /// The address that other controllers connect to.
    pub peer_listen: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The services that the controller depends on.
    pub outside: ExternalServices,
    /// What is the same for all controllers.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub member: String,
    /// The site that it runs at; informational.
    #[serde(default)]
    pub site: String,
    /// The address on which it listens for other controllers.
    pub address: SocketAddrV4,
}

/// Addresses of the services that a controller depends on.
#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    /// The cloud's API.
    pub cloud: SocketAddrV4,
    /// The key-value store.
    pub state: SocketAddrV4,
}

/// Settings that all controllers of a cluster share.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// The number of controllers, which is also the number of shards.
    pub nodes: u32,
    /// The zones of the cloud.
    #[serde(default)]
    pub zones: Vec<String>,
    /// How far the clock of a host may be from true time, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing of workers.
    pub workers: WorkerTiming,
    /// The limits of the key-value store.
    pub state: StateLimits,
    /// The limits of the cloud's API.
    pub cloud: CloudLimits,
    /// The resources of a controller's process.
    pub limits: ResourceLimits,
}

/// The quota of a team.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamLimits {
    /// The name of the team.
    pub name: String,
    /// CPUs guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs that the team may use at the most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs that the team may use at the most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What it measures.
    pub kind: String,
    /// The class of jobs that it is for; all classes if none is named.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which it is to be met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of cases in which it is to be met, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// The timing of workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTiming {
    /// The interval between two heartbeats.
    pub report_s: f64,
    /// The time after the last response to a heartbeat at which a worker stops its tasks.
    pub lease_s: f64,
    /// The time after a confirmed cancellation within which the job's tasks must have stopped.
    pub cancel_s: f64,
}

/// The limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers.
    pub rps: f64,
    /// Writes per second, of all controllers.
    pub write_rps: f64,
    /// The largest value, in kilobytes of 1,024 bytes.
    pub value_kb: f64,
    /// Operations in a transaction.
    pub txn_ops: usize,
    /// What these limits become some time after the upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits to come; a limit that is not named stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second, of all controllers.
    pub rps: Option<f64>,
    /// Writes per second, of all controllers.
    pub write_rps: Option<f64>,
    /// The largest value, in kilobytes of 1,024 bytes.
    pub value_kb: Option<f64>,
    /// Operations in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits that hold now and later: the smaller of each limit and what it becomes.
    #[must_use]
    pub fn effective(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        StateLimits {
            rps: self.rps.min(next.rps.unwrap_or(f64::INFINITY)),
            write_rps: self.write_rps.min(next.write_rps.unwrap_or(f64::INFINITY)),
            value_kb: self.value_kb.min(next.value_kb.unwrap_or(f64::INFINITY)),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX)),
            next: None,
        }
    }

    /// The largest value, in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KB) as usize
    }
}

/// The limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, of all controllers.
    pub rps: f64,
    /// How long the list of machines may lag behind, in seconds.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// The resources of a controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct ResourceLimits {
    /// The share of a processor core.
    #[serde(default = "whole_core")]
    pub core_share: f64,
    /// Memory, in megabytes of 1,048,576 bytes.
    pub mem_mb: f64,
    /// Open sockets and files.
    pub sockets: usize,
}

fn whole_core() -> f64 {
    1.0
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Names the first field that is missing or invalid.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            let field = error.span().and_then(|span| field_at(text, span.start));
            SettingsError::new(field.as_deref().unwrap_or("settings"), error.message())
        })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        self.validate_members()?;
        self.validate_rates_and_times()?;
        self.validate_counts()?;
        self.validate_teams()
    }

    fn validate_members(&self) -> Result<(), SettingsError> {
        let nodes = self.deployment.nodes;
        let name_fits = !self.member.is_empty() && self.member.len() <= MAX_MEMBER_BYTES;
        ensure(name_fits, "member", "must have 1 to 64 bytes")?;
        ensure(
            (1..=MAX_NODES).contains(&nodes),
            "deployment.nodes",
            "must be from 1 to 64",
        )?;
        ensure(
            self.peers.len() + 1 == nodes as usize,
            "peers",
            "must name every controller but this one",
        )?;
        let mut names: Vec<&str> = self.peers.iter().map(|p| p.member.as_str()).collect();
        names.push(&self.member);
        names.sort_unstable();
        names.dedup();
        ensure(
            names.len() == nodes as usize,
            "peers",
            "members must have different names",
        )
    }

    fn validate_rates_and_times(&self) -> Result<(), SettingsError> {
        let Deployment {
            workers,
            state,
            cloud,
            limits,
            ..
        } = &self.deployment;
        let next = state.next.unwrap_or_default();
        let next_rps = next.rps.unwrap_or(state.rps);
        let next_write_rps = next.write_rps.unwrap_or(state.write_rps);
        let next_value_kb = next.value_kb.unwrap_or(state.value_kb);
        for (field, value) in [
            ("deployment.state.next.rps", next_rps),
            ("deployment.state.next.write_rps", next_write_rps),
            ("deployment.state.next.value_kb", next_value_kb),
            ("deployment.workers.report_s", workers.report_s),
            ("deployment.workers.lease_s", workers.lease_s),
            ("deployment.workers.cancel_s", workers.cancel_s),
            ("deployment.state.rps", state.rps),
            ("deployment.state.write_rps", state.write_rps),
            ("deployment.state.value_kb", state.value_kb),
            ("deployment.cloud.rps", cloud.rps),
            ("deployment.limits.mem_mb", limits.mem_mb),
            ("deployment.limits.core_share", limits.core_share),
        ] {
            let positive = value.is_finite() && value > 0.0;
            ensure(positive, field, "must be a positive number")?;
        }
        Ok(())
    }

    fn validate_counts(&self) -> Result<(), SettingsError> {
        let Deployment { state, limits, .. } = &self.deployment;
        let next_txn_ops = state.next.and_then(|next| next.txn_ops);
        ensure(
            state.txn_ops >= MIN_TXN_OPS,
            "deployment.state.txn_ops",
            "must be at least 2",
        )?;
        ensure(
            next_txn_ops.is_none_or(|ops| ops >= MIN_TXN_OPS),
            "deployment.state.next.txn_ops",
            "must be at least 2",
        )?;
        ensure(
            limits.sockets >= MIN_SOCKETS,
            "deployment.limits.sockets",
            "must be at least 32",
        )
    }

    fn validate_teams(&self) -> Result<(), SettingsError> {
        for team in &self.deployment.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            ensure(
                amounts.iter().all(|a| a.is_finite() && *a >= 0.0),
                &format!("deployment.teams.{}", team.name),
                "amounts must be finite and not negative",
            )?;
        }
        Ok(())
    }

    /// All controllers, in an order that is the same on every one of them.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.peers.iter().map(|p| Member::new(&p.member)).collect();
        all.push(Member::new(&self.member));
        all.sort();
        all
    }

    /// The time after the last response to a heartbeat at which a worker stops its tasks, in milliseconds.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.lease_s)
    }

    /// For how long after the cancellation watermark a controller may respond to workers, in milliseconds.
    #[must_use]
    pub fn answering_ms(&self) -> u64 {
        snowshelf_watermark::answering_ms(self.cancel_ms(), self.lease_ms())
    }

    /// The time after a confirmed cancellation within which the job's tasks must have stopped, in milliseconds.
    #[must_use]
    pub fn cancel_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.cancel_s)
    }

    /// The interval between two heartbeats of a worker, in milliseconds.
    #[must_use]
    pub fn report_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.report_s)
    }

    /// How far the clock of a host may be from true time, in milliseconds.
    #[must_use]
    pub fn skew_ms(&self) -> u64 {
        self.deployment.skew_ms.max(0.0) as u64
    }

    /// The lifetime of a controller's own lease in the key-value store, in milliseconds. Short beside the workers'
    /// lease, so that the machines of a failed shard leader find a new one before their tasks are stopped.
    #[must_use]
    pub fn member_ttl_ms(&self) -> u64 {
        let ttl_ms = self.lease_ms() * MEMBER_TTL_PERCENT / 100;
        ttl_ms.clamp(*MEMBER_TTL_RANGE_MS.start(), *MEMBER_TTL_RANGE_MS.end())
    }
}
