//! Simulated cloud with the published API.

use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A rented machine.
#[derive(Clone)]
pub struct Machine {
    /// Machine type.
    pub model: String,
    /// The zone that the rental request named; each zone has its own pool limits.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented.
    pub rented_at: u64,
    /// Whether it has booted.
    pub booted: bool,
    /// When it failed.
    pub failed_at: Option<u64>,
}

/// A failed machine is still listed as running, or as booting if it had not booted, for this long.
const FAILURE_LISTING_LAG_MS: u64 = 10_000;

impl Machine {
    fn state(&self, now: u64) -> &'static str {
        match self.failed_at {
            Some(at) if now > at + FAILURE_LISTING_LAG_MS => "failed",
            _ if self.booted => "running",
            _ => "booting",
        }
    }
}

/// The cloud's machines and the history of requests.
pub struct Cloud {
    /// Maximum number of machines in a pool. Each zone has two pools: its spot and its on-demand machines.
    pub pool_limit: usize,
    /// Maximum number of spot machines in a zone, if it is lower. Machines above it stay.
    pub spot_pool_limit: usize,
    /// Machines by id.
    pub machines: BTreeMap<String, Machine>,
    rental_responses: BTreeMap<String, Value>,
    next_number: u32,
    /// When the return of a machine was first requested.
    pub release_requested_at: BTreeMap<String, u64>,
    /// Machines per page of the list.
    pub page_size: usize,
    /// Number of requests for a page of the list other than its first.
    pub later_pages: u64,
}

/// Response to the request for the machine types.
pub fn machine_types() -> Vec<u8> {
    json!({"Modelos": [
        {"Label": "s", "Cpus": 8, "Gpus": 0, "MemGb": 32, "FetchGbPerS": 1.0, "Hourly": 0.5,
         "SpotPrice": 0.2, "ReadyS": 5, "Parcelas": ["a", "b"]}]})
    .to_string()
    .into_bytes()
}

impl Cloud {
    /// A cloud without machines.
    pub fn new(pool_limit: usize) -> Cloud {
        Cloud {
            pool_limit,
            spot_pool_limit: usize::MAX,
            machines: BTreeMap::new(),
            rental_responses: BTreeMap::new(),
            next_number: 0,
            release_requested_at: BTreeMap::new(),
            page_size: 2,
            later_pages: 0,
        }
    }

    /// Rents machines if the pool has room. Returns the response and the ids of the new machines. A repeated
    /// request gets the response of the first one.
    pub fn rent(&mut self, now: u64, body: &Value) -> ((u16, Vec<u8>), Vec<String>) {
        let order = body["Pedido"].as_str().unwrap_or("").to_string();
        if let Some(response) = self.rental_responses.get(&order) {
            return ((200, response.to_string().into_bytes()), Vec::new());
        }
        let in_pool = |m: &&Machine| m.zone == body["Parcela"] && m.spot == body["Avulsas"];
        let rented = self.machines.values().filter(in_pool).count();
        let limit = if body["Avulsas"] == json!(true) {
            self.pool_limit.min(self.spot_pool_limit)
        } else {
            self.pool_limit
        };
        let number =
            (body["Number"].as_u64().unwrap_or(0) as usize).min(limit.saturating_sub(rented));
        if number == 0 {
            let body = json!({"error": "no capacity"}).to_string().into_bytes();
            return ((503, body), Vec::new());
        }
        let mut names = Vec::new();
        for _ in 0..number {
            self.next_number += 1;
            let machine = Machine {
                model: "s".into(),
                zone: body["Parcela"].as_str().unwrap_or("a").into(),
                spot: body["Avulsas"] == json!(true),
                rented_at: now,
                booted: false,
                failed_at: None,
            };
            let name = format!("n-{:06}", self.next_number);
            self.machines.insert(name.clone(), machine);
            names.push(name);
        }
        let response = json!({"Prensas": names});
        self.rental_responses.insert(order, response.clone());
        ((200, response.to_string().into_bytes()), names)
    }

    /// Marks a machine as booted. Returns `None` if it was released meanwhile.
    pub fn boot(&mut self, _now: u64, name: &str) -> Option<Machine> {
        let machine = self.machines.get_mut(name)?;
        machine.booted = true;
        Some(machine.clone())
    }

    /// Lets a machine fail.
    pub fn fail(&mut self, now: u64, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.failed_at = Some(now);
        }
    }

    /// Gives a rented machine back to the cloud, and records when that was first requested.
    pub fn release(&mut self, now: u64, name: &str) {
        self.release_requested_at
            .entry(name.to_string())
            .or_insert(now);
        self.machines.remove(name);
    }

    /// Response to a list request. Machines rented within the last three seconds are missing from it.
    pub fn list(&mut self, now: u64, path: &str) -> Vec<u8> {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let after = pairs.find(|(key, _)| *key == "After").map_or("", |p| p.1);
        self.later_pages += u64::from(!after.is_empty());
        let mut list: Vec<Value> = self
            .machines
            .iter()
            .filter(|(name, m)| now > m.rented_at + 3_000 && name.as_str() > after)
            .map(|(name, m)| {
                json!({"Ref": name, "Address": super::direct_commands::worker_address(name), "Modelo": m.model, "Parcela": m.zone,
                    "Avulsas": m.spot, "Estado": m.state(now),
                    "AgeS": (now - m.rented_at) as f64 / 1000.0})
            })
            .collect();
        let more = list.len() > self.page_size;
        list.truncate(self.page_size);
        json!({"Prensas": list, "More": more})
            .to_string()
            .into_bytes()
    }
}
