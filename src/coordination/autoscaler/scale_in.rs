//! Scale-in by the leader: machines that failed, never came up, or serve no shard leader.

use super::Autoscaler;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use snowshelf_model::ids::{MachineId, seconds_to_ms};
use snowshelf_model::protocol::cloud::{ListedMachine, ListedMachineState};

/// Machines released by one request at most.
const MAX_RELEASED: usize = 100;
/// How long a machine of an unknown type takes until it is up, in seconds.
const DEFAULT_READY_S: f64 = 60.0;
/// How many times the expected time is waited for a machine.
const PATIENCE_FACTOR: f64 = 3.0;
/// What is added to that, in seconds.
const PATIENCE_MARGIN_S: f64 = 20.0;

impl Autoscaler {
    /// Releases machines that do not serve.
    pub(super) fn scale_in(&mut self, all_shards_led: bool, context: &mut Context<'_>) {
        let now = context.now();
        if self.is_releasing {
            return;
        }
        let mut unused = Vec::new();
        for listed in self.list.listed.values() {
            if self.is_unused(listed, all_shards_led, context) {
                tracing::info!(machine = %listed.machine, state = ?listed.state,
                    age_s = listed.age_s, "machine scaled in by the leader");
                unused.push(listed.machine.clone());
            }
        }
        unused.truncate(MAX_RELEASED);
        if !unused.is_empty() && self.cloud.may_call(now) {
            self.is_releasing = true;
            let tag = CloudRequest::LeaderScaleIn(unused.clone());
            self.cloud.release(context.effects, tag, &unused);
        }
    }

    fn is_unused(
        &self,
        listed: &ListedMachine,
        all_shards_led: bool,
        context: &Context<'_>,
    ) -> bool {
        let now = context.now();
        let lease_s = context.config.settings.deployment.workers.lease_s;
        let machine_type = context.machine_types.get(&listed.model);
        let ready_s = machine_type.map_or(DEFAULT_READY_S, |t| t.ready_s);
        let heartbeat = self.heartbeats.get(listed.machine.as_str()).copied();
        match listed.state {
            ListedMachineState::Failed => true,
            ListedMachineState::Booting => {
                heartbeat.is_none() && listed.age_s > PATIENCE_FACTOR * ready_s + PATIENCE_MARGIN_S
            }
            // Up for long, and without a heartbeat while all shards had leaders.
            ListedMachineState::Running => {
                let observed_ms = seconds_to_ms(PATIENCE_FACTOR * lease_s + PATIENCE_MARGIN_S);
                let silent_ms = seconds_to_ms(PATIENCE_FACTOR * lease_s);
                all_shards_led
                    && now.since(self.started_at) > observed_ms
                    && listed.age_s > PATIENCE_FACTOR * ready_s + PATIENCE_FACTOR * lease_s
                    && heartbeat.is_none_or(|at| now.since(at) > silent_ms)
            }
        }
    }

    /// Handles the response to a release.
    pub(super) fn on_released(
        &mut self,
        machines: Vec<MachineId>,
        status: u16,
        context: &Context<'_>,
    ) {
        self.is_releasing = false;
        if status == 200 {
            for machine in machines {
                self.scale_out.forget_started(&machine);
                self.list.on_released(machine, context.now());
            }
        }
    }
}
