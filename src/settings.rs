//! The settings file (TOML) that the platform passes to a controller. Unknown fields are ignored.

mod validation;

use serde::Deserialize;
use snowshelf_model::ids::{Member, seconds_to_ms};
use std::net::SocketAddrV4;

/// Bytes in a kilobyte of the settings.
const BYTES_PER_KB: f64 = 1024.0;
/// Lifetime of a controller's own lease, as a percentage of the worker lease.
const MEMBER_TTL_PERCENT: u64 = 35;
/// Shortest and longest lifetime of a controller's own lease, in milliseconds.
const MEMBER_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 2_000..=5_000;

/// A missing or invalid field of the settings. Its `Display` is a single line.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The path of the field, separated by dots.
    pub field: String,
    /// Why the field is rejected.
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

/// The dotted path of the field (table and key) on the line at a byte offset; `None` if there is no field.
fn field_at(text: &str, offset: usize) -> Option<String> {
    let start = text.get(..offset)?.rfind('\n').map_or(0, |at| at + 1);
    let line = text.get(start..)?.lines().next()?.trim();
    let table_header = |line: &str| {
        line.starts_with('[')
            .then(|| line.trim_matches(['[', ']']).to_string())
    };
    if let Some(table) = table_header(line) {
        return Some(table);
    }
    let (key, _) = line.split_once('=')?;
    let enclosing_table = text
        .get(..start)?
        .lines()
        .rev()
        .find_map(|line| table_header(line.trim()));
    Some(match enclosing_table {
        Some(enclosing_table) => format!("{enclosing_table}.{}", key.trim()),
        None => key.trim().to_string(),
    })
}

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub member: String,
    /// The site of this controller; informational.
    #[serde(default)]
    pub site: String,
    /// The address that workers and users connect to.
    pub serve_on: SocketAddrV4,
    /// The address that other controllers connect to.
    pub peer_listen: SocketAddrV4,
    /// All other controllers of the cluster.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The services that the controller depends on.
    pub outside: ExternalServices,
    /// The settings that all controllers share.
    pub deployment: Deployment,
}

/// Another controller of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// The name of the controller.
    pub member: String,
    /// The site of the controller; informational.
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
    /// Largest deviation of a host's clock from true time, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The intervals and time limits of workers.
    pub workers: WorkerTiming,
    /// The limits of the key-value store.
    pub state: StateLimits,
    /// The limits of the cloud's API.
    pub cloud: CloudLimits,
    /// The resource limits of a controller's process.
    pub limits: ResourceLimits,
}

/// The quota limits of a team.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamLimits {
    /// The name of the team.
    pub name: String,
    /// CPUs guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The measured quantity.
    pub kind: String,
    /// The class of jobs that the objective applies to; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// The time limit of the objective, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of cases in which the objective must be met, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// The intervals and time limits of workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTiming {
    /// The interval between two heartbeats.
    pub report_s: f64,
    /// The worker lease: the time after the last response to a heartbeat at which a worker stops its tasks.
    pub lease_s: f64,
    /// The time after a confirmed cancellation within which the job's tasks must have stopped.
    pub cancel_s: f64,
}

/// The limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Writes per second, of all controllers together.
    pub write_rps: f64,
    /// The largest value, in kilobytes of 1,024 bytes.
    pub value_kb: f64,
    /// Most operations in a transaction.
    pub txn_ops: usize,
    /// The limits that take effect some time after the upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// The limits of the key-value store after the upgrade. A limit that is absent does not change.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second, of all controllers together.
    pub rps: Option<f64>,
    /// Writes per second, of all controllers together.
    pub write_rps: Option<f64>,
    /// The largest value, in kilobytes of 1,024 bytes.
    pub value_kb: Option<f64>,
    /// Most operations in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits that are safe before and after the change: the smaller of each present and future limit.
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

    /// The size of the largest value, in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KB) as usize
    }
}

/// The limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// The largest delay until the list of machines shows a change, in seconds.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// The resource limits of a controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct ResourceLimits {
    /// The share of a CPU core; 1 is a whole core.
    #[serde(default = "whole_core")]
    pub core_share: f64,
    /// Memory, in megabytes of 1,048,576 bytes.
    pub mem_mb: f64,
    /// Most open sockets and files.
    pub sockets: usize,
}

fn whole_core() -> f64 {
    1.0
}

impl Settings {
    /// Parses and validates a settings file.
    ///
    /// # Errors
    /// Returns the first field that is missing or invalid.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            let field = error.span().and_then(|span| field_at(text, span.start));
            SettingsError::new(field.as_deref().unwrap_or("settings"), error.message())
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// The names of all controllers, in the same order on every controller.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.peers.iter().map(|p| Member::new(&p.member)).collect();
        all.push(Member::new(&self.member));
        all.sort();
        all
    }

    /// The worker lease: the time after the last response to a heartbeat at which a worker stops its tasks, in
    /// milliseconds.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.lease_s)
    }

    /// The time after the cancellation watermark during which a controller may respond to heartbeats, in
    /// milliseconds.
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

    /// Largest deviation of a host's clock from true time, in milliseconds.
    #[must_use]
    pub fn skew_ms(&self) -> u64 {
        self.deployment.skew_ms.max(0.0) as u64
    }

    /// The lifetime of a controller's own lease in the key-value store, in milliseconds. It is short compared to
    /// the worker lease, so that after a shard leader has failed, its machines reach a new one before they stop
    /// their tasks.
    #[must_use]
    pub fn member_ttl_ms(&self) -> u64 {
        let ttl_ms = self.lease_ms() * MEMBER_TTL_PERCENT / 100;
        ttl_ms.clamp(*MEMBER_TTL_RANGE_MS.start(), *MEMBER_TTL_RANGE_MS.end())
    }
}
