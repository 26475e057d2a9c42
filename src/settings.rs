//! The settings file that the platform hands over (TOML). Unknown fields are ignored.

use serde::Deserialize;
use snowshelf_model::ids::{Member, seconds_to_ms};
use std::net::SocketAddrV4;

#[derive(Debug, thiserror::Error)]
#[error("{field}: {why}")]
pub struct SettingsError {
    pub field: String,
    pub why: String,
}

fn bad(field: &str, why: impl Into<String>) -> SettingsError {
    SettingsError {
        field: field.into(),
        why: why.into().replace('\n', " "),
    }
}

/// The name of the field on the line at `offset`, with the table that it stands in.
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
        .find_map(|l| table(l.trim()));
    Some(match above {
        Some(above) => format!("{above}.{}", key.trim()),
        None => key.trim().to_string(),
    })
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub member: String,
    #[serde(default)]
    pub site: String,
    pub serve_on: SocketAddrV4,
    pub peer_listen: SocketAddrV4,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub outside: Outside,
    pub deployment: Deployment,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub member: String,
    #[serde(default)]
    pub site: String,
    pub address: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    pub nodes: u32,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<TeamLimits>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: Limits,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TeamLimits {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What these limits become some time after the upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits to come; what is not named stays.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The smaller of each limit and what it becomes.
    pub fn smaller(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        StateLimits {
            rps: self.rps.min(next.rps.unwrap_or(f64::INFINITY)),
            write_rps: self.write_rps.min(next.write_rps.unwrap_or(f64::INFINITY)),
            value_kb: self.value_kb.min(next.value_kb.unwrap_or(f64::INFINITY)),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX)),
            next: None,
        }
    }

    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "one")]
    pub core_share: f64,
    pub mem_mb: f64,
    pub sockets: usize,
}

fn one() -> f64 {
    1.0
}

impl Settings {
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| {
            let field = e.span().and_then(|span| field_at(text, span.start));
            bad(field.as_deref().unwrap_or("settings"), e.message())
        })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        if self.member.is_empty() || self.member.len() > 64 {
            return Err(bad("member", "must have 1 to 64 bytes"));
        }
        let d = &self.deployment;
        if d.nodes == 0 || d.nodes > 64 {
            return Err(bad("deployment.nodes", "must be from 1 to 64"));
        }
        if self.peers.len() + 1 != d.nodes as usize {
            return Err(bad("peers", "must name every controller but this one"));
        }
        let mut names: Vec<&str> = self.peers.iter().map(|p| p.member.as_str()).collect();
        names.push(&self.member);
        names.sort_unstable();
        names.dedup();
        if names.len() != d.nodes as usize {
            return Err(bad("peers", "members must have different names"));
        }
        let next = d.state.next.unwrap_or_default();
        let least = d.state.smaller();
        for (field, value) in [
            ("deployment.state.next.rps", next.rps.unwrap_or(least.rps)),
            (
                "deployment.state.next.write_rps",
                next.write_rps.unwrap_or(least.write_rps),
            ),
            (
                "deployment.state.next.value_kb",
                next.value_kb.unwrap_or(least.value_kb),
            ),
            ("deployment.workers.report_s", d.workers.report_s),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.limits.mem_mb", d.limits.mem_mb),
            ("deployment.limits.core_share", d.limits.core_share),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return Err(bad(field, "must be a positive number"));
            }
        }
        if d.state.txn_ops < 2 {
            return Err(bad("deployment.state.txn_ops", "must be at least 2"));
        }
        if next.txn_ops.is_some_and(|ops| ops < 2) {
            return Err(bad("deployment.state.next.txn_ops", "must be at least 2"));
        }
        if d.limits.sockets < 32 {
            return Err(bad("deployment.limits.sockets", "must be at least 32"));
        }
        for team in &d.teams {
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !value.is_finite() || value < 0.0 {
                    return Err(bad(
                        &format!("deployment.teams.{}", team.name),
                        "amounts must be finite and not negative",
                    ));
                }
            }
        }
        Ok(())
    }

    /// All controllers in the order that every one of them agrees on.
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.peers.iter().map(|p| Member::new(&p.member)).collect();
        all.push(Member::new(&self.member));
        all.sort();
        all
    }

    pub fn lease_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.lease_s)
    }

    /// How long after it last knew what users were told a controller may answer workers.
    pub fn answering_ms(&self) -> u64 {
        snowshelf_watermark::answering_ms(self.cancel_ms(), self.lease_ms())
    }

    /// Within that time of a confirmed cancellation no task of the job is on a machine.
    pub fn cancel_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.cancel_s)
    }

    pub fn report_ms(&self) -> u64 {
        seconds_to_ms(self.deployment.workers.report_s)
    }

    /// How far a host's clock may be from true time.
    pub fn skew_ms(&self) -> u64 {
        self.deployment.skew_ms.max(0.0) as u64
    }

    /// How long a controller's own lease in the state service lasts: short beside the workers'
    /// lease, so that a dead owner's machines find a new one before their tasks are killed.
    pub fn member_ttl_ms(&self) -> u64 {
        (self.lease_ms() * 35 / 100).clamp(2_000, 5_000)
    }
}
