//! Validation of the settings beyond the types of their fields.

use super::{Deployment, Settings, SettingsError};

/// Fewest operations of a transaction: a comparison and a write.
const MIN_TXN_OPS: usize = 2;
/// Fewest sockets and files with which a controller can run.
const MIN_SOCKETS: usize = 32;
/// Most controllers in a cluster.
const MAX_NODES: u32 = 64;
/// Most bytes of a controller's name.
const MAX_MEMBER_BYTES: usize = 64;

/// Returns an error for `field` unless the condition holds.
fn ensure(condition: bool, field: &str, reason: &str) -> Result<(), SettingsError> {
    if condition {
        Ok(())
    } else {
        Err(SettingsError::new(field, reason))
    }
}

impl Settings {
    /// Checks what the types of the fields do not ensure. The error names the first invalid field.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
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
}
