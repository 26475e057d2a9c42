//! A stand-in for the cloud, after its published protocol.

use serde_json::{Value, json};
use std::collections::BTreeMap;

#[derive(Clone)]
pub struct Machine {
    pub model: String,
    pub zone: String,
    pub spot: bool,
    pub at: u64,
    pub up: bool,
    /// When it stopped on its own.
    pub died: Option<u64>,
}

/// A machine that died is listed as running for so long.
const UNSEEN_MS: u64 = 10_000;

impl Machine {
    fn state(&self, now: u64) -> &'static str {
        match self.died {
            Some(at) if now > at + UNSEEN_MS => "failed",
            _ if self.up => "running",
            _ => "booting",
        }
    }
}

pub struct Cloud {
    /// Most machines of one pool.
    pub pool: usize,
    pub machines: BTreeMap<String, Machine>,
    rented: BTreeMap<String, Value>,
    next: u32,
    /// When a machine's return was first asked for.
    pub released: BTreeMap<String, u64>,
    /// Machines in one page of the list.
    pub page: usize,
    /// Pages asked for beyond a first one.
    pub later_pages: u64,
}

pub fn types() -> Vec<u8> {
    json!({"Modelos": [
        {"Label": "s", "Cpus": 8, "Gpus": 0, "MemGb": 32, "FetchGbPerS": 1.0, "Hourly": 0.5,
         "SpotPrice": 0.2, "ReadyS": 5, "Parcelas": ["a", "b"]}]})
    .to_string()
    .into_bytes()
}

impl Cloud {
    pub fn new(pool: usize) -> Cloud {
        Cloud {
            pool,
            machines: BTreeMap::new(),
            rented: BTreeMap::new(),
            next: 0,
            released: BTreeMap::new(),
            page: 2,
            later_pages: 0,
        }
    }

    pub fn rent(&mut self, now: u64, body: &Value) -> ((u16, Vec<u8>), Vec<String>) {
        let name = body["Pedido"].as_str().unwrap_or("").to_string();
        if let Some(before) = self.rented.get(&name) {
            return ((200, before.to_string().into_bytes()), Vec::new());
        }
        let pool = |m: &&Machine| m.zone == body["Parcela"] && m.spot == body["Avulsas"];
        let there = self.machines.values().filter(pool).count();
        let number =
            (body["Number"].as_u64().unwrap_or(0) as usize).min(self.pool.saturating_sub(there));
        if number == 0 {
            let body = json!({"error": "no capacity"}).to_string().into_bytes();
            return ((503, body), Vec::new());
        }
        let mut names = Vec::new();
        for _ in 0..number {
            self.next += 1;
            let machine = Machine {
                model: "s".into(),
                zone: body["Parcela"].as_str().unwrap_or("a").into(),
                spot: body["Avulsas"] == json!(true),
                at: now,
                up: false,
                died: None,
            };
            let name = format!("n-{:06}", self.next);
            self.machines.insert(name.clone(), machine);
            names.push(name);
        }
        let answer = json!({"Prensas": names});
        self.rented.insert(name, answer.clone());
        ((200, answer.to_string().into_bytes()), names)
    }

    pub fn boot(&mut self, _now: u64, name: &str) -> Option<Machine> {
        let machine = self.machines.get_mut(name)?;
        machine.up = true;
        Some(machine.clone())
    }

    pub fn die(&mut self, now: u64, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.died = Some(now);
        }
    }

    pub fn release(&mut self, now: u64, name: &str) {
        self.released.entry(name.to_string()).or_insert(now);
        self.machines.remove(name);
    }

    /// The list lags: machines younger than three seconds are missing. It comes in short pages.
    pub fn list(&mut self, now: u64, path: &str) -> Vec<u8> {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let after = pairs.find(|(key, _)| *key == "After").map_or("", |p| p.1);
        self.later_pages += u64::from(!after.is_empty());
        let mut list: Vec<Value> = self
            .machines
            .iter()
            .filter(|(name, m)| now > m.at + 3_000 && name.as_str() > after)
            .map(|(name, m)| {
                json!({"Ref": name, "Address": super::direct::address(name), "Modelo": m.model, "Parcela": m.zone,
                    "Avulsas": m.spot, "Estado": m.state(now),
                    "AgeS": (now - m.at) as f64 / 1000.0})
            })
            .collect();
        let more = list.len() > self.page;
        list.truncate(self.page);
        json!({"Prensas": list, "More": more})
            .to_string()
            .into_bytes()
    }
}
