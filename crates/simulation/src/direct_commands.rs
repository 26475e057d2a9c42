//! Direct calls from controllers to workers.

use super::*;
use std::net::SocketAddrV4;

/// Address of a machine's worker, derived from the number in the machine's id.
pub(crate) fn worker_address(name: &str) -> String {
    let number = name.trim_start_matches("n-").parse().unwrap_or(0u32);
    format!("10.1.{}.{}:1", number / 250, number % 250 + 1)
}

impl Simulation {
    /// Response of the worker at this address. `None` if the call does not reach it.
    pub(crate) fn direct_command(
        &mut self,
        node: usize,
        to: SocketAddrV4,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let (to, now) = (to.to_string(), self.now);
        let name = self
            .workers
            .keys()
            .find(|n| worker_address(n) == to)?
            .clone();
        if self.is_blocked(&self.workers[&name].zone, node) {
            return None;
        }
        let w = self.workers.get_mut(&name)?;
        if w.hung_until > now {
            return None;
        }
        self.rules_check_due = true;
        w.expire_lease(now);
        let commands: Value = serde_json::from_slice(body).unwrap_or_default();
        let status = match path {
            "/orders" => w.apply_direct_commands(now, &commands),
            _ => 200,
        };
        let reply = (status, w.encode_heartbeat(now));
        let stopped_tasks = std::mem::take(&mut w.stopped_tasks);
        self.record_disruptions(&name, stopped_tasks);
        self.advance_worker(&name);
        Some(reply)
    }
}
