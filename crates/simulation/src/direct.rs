//! Calls that controllers send straight to workers.

use super::*;
use std::net::SocketAddrV4;

/// Where a machine's worker is reached, by the number in the machine's name.
pub(crate) fn address(name: &str) -> String {
    let number = name.trim_start_matches("n-").parse().unwrap_or(0u32);
    format!("10.1.{}.{}:1", number / 250, number % 250 + 1)
}

impl Simulation {
    /// The answer of the worker at this address, if it hears the call.
    pub(crate) fn direct(
        &mut self,
        node: usize,
        to: SocketAddrV4,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let (to, now) = (to.to_string(), self.now);
        let name = self.workers.keys().find(|n| address(n) == to)?.clone();
        if self.is_between(&self.workers[&name].zone, node) {
            return None;
        }
        let w = self.workers.get_mut(&name)?;
        if w.hung_until > now {
            return None;
        }
        self.touched = true;
        w.expire(now);
        let orders: Value = serde_json::from_slice(body).unwrap_or_default();
        let status = match path {
            "/orders" => w.ordered(now, &orders),
            _ => 200,
        };
        let reply = (status, w.now_says(now));
        let halted = std::mem::take(&mut w.halted);
        self.note_halted(&name, halted);
        self.worker_wakes(&name);
        Some(reply)
    }
}
