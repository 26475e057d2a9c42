//! Scale-in by the cluster leader: releases machines that failed, never became ready, or send no heartbeats
//! to any shard leader.

use super::Autoscaler;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use snowshelf_model::ids::{MachineId, seconds_to_ms};
use snowshelf_model::protocol::cloud::{ListedMachine, ListedMachineState};

/// Maximum machines released by one request.
const MAX_RELEASED_PER_REQUEST: usize = 100;
/// Assumed time until a machine of unknown type is ready, in seconds.
const DEFAULT_READY_S: f64 = 60.0;
/// Multiple of the expected boot time or lease duration after which a machine counts as out of service.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Margin added to the boot timeout and to the observation period of a new cluster leader, in seconds.
const TIMEOUT_MARGIN_S: f64 = 20.0;

impl Autoscaler {
    /// Releases machines that are out of service; at most one such request is in flight.
    pub(super) fn scale_in(&mut self, all_shards_led: bool, context: &mut Context<'_>) {
        let now = context.now();
        if self.is_releasing {
            return;
        }
        let mut out_of_service = Vec::new();
        for listed in self.list.listed.values() {
            if self.is_out_of_service(listed, all_shards_led, context) {
                tracing::info!(machine = %listed.machine, state = ?listed.state,
                    age_s = listed.age_s, "machine selected for scale-in by cluster leader");
                out_of_service.push(listed.machine.clone());
            }
        }
        out_of_service.truncate(MAX_RELEASED_PER_REQUEST);
        if !out_of_service.is_empty() && self.cloud.may_call(now) {
            self.is_releasing = true;
            let request = CloudRequest::LeaderScaleIn(out_of_service.clone());
            self.cloud
                .release(context.effects, request, &out_of_service);
        }
    }

    fn is_out_of_service(
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
                heartbeat.is_none() && listed.age_s > TIMEOUT_FACTOR * ready_s + TIMEOUT_MARGIN_S
            }
            // The machine has been up for long enough, and sends no heartbeats although every shard has a
            // leader that would receive them.
            ListedMachineState::Running => {
                let min_observation_ms = seconds_to_ms(TIMEOUT_FACTOR * lease_s + TIMEOUT_MARGIN_S);
                let heartbeat_timeout_ms = seconds_to_ms(TIMEOUT_FACTOR * lease_s);
                all_shards_led
                    && now.since(self.started_at) > min_observation_ms
                    && listed.age_s > TIMEOUT_FACTOR * ready_s + TIMEOUT_FACTOR * lease_s
                    && heartbeat.is_none_or(|at| now.since(at) > heartbeat_timeout_ms)
            }
        }
    }

    /// Handles the response to a release request.
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
