//! A stand-in for the state service, after its published protocol.

use super::frozen::survives;
use serde_json::{Value, json};
use snowshelf::effects::Method;
use std::collections::BTreeMap;

type Caller = (usize, u64, u64);
type Reply = Option<(u16, Vec<u8>)>;

struct Key {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Watch {
    caller: Caller,
    prefix: String,
    after: u64,
    until: u64,
}

pub struct StateService {
    keys: BTreeMap<String, Key>,
    pub revision: u64,
    log: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watches: Vec<Watch>,
    ignore_conditions: bool,
    outage: bool,
    /// Largest value in bytes and changes in a transaction.
    pub limits: (usize, usize),
    /// Writes a second, if they are limited; what may be written at once now, and since when.
    pub write_rate: Option<f64>,
    level: (f64, u64),
    /// Keys in one page at the most.
    pub page_most: usize,
    /// Transactions refused because there were too many.
    pub throttled: u64,
    /// When the format was settled.
    settled: Option<u64>,
    /// Transactions refused for size though every controller had long read that it is settled.
    pub oversized: Vec<String>,
    /// Records written before the format was settled that the earlier version would lose.
    pub lossy: Vec<String>,
}

/// Longer than any transaction is underway that was sent before its controller read the format.
const ALL_KNOW_MS: u64 = 20_000;

fn bytes(value: Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

fn param<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?
        .1
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl StateService {
    pub fn new(ignore_conditions: bool) -> StateService {
        StateService {
            keys: BTreeMap::new(),
            revision: 0,
            log: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
            watches: Vec::new(),
            ignore_conditions,
            outage: false,
            limits: (16 * 1024, 12),
            write_rate: None,
            level: (0.0, 0),
            page_most: 1_000,
            throttled: 0,
            settled: None,
            oversized: Vec::new(),
            lossy: Vec::new(),
        }
    }

    /// Whether the limits are kept, and if not, the answer.
    fn refuse(&mut self, now: u64, body: &Value, changes: &[Value]) -> Reply {
        let conditions = body["If"].as_array().map_or(0, Vec::len);
        let (value_bytes, ops) = self.limits;
        let large = changes.iter().find(|c| {
            c["Value"].to_string().len() > value_bytes || c["Write"].as_str() == Some("")
        });
        if large.is_some() || changes.len() > ops || conditions > 4 * ops {
            if self.settled.is_some_and(|at| now > at + ALL_KNOW_MS) {
                let what = large.map_or(body.to_string(), Value::to_string);
                self.oversized.push(what);
            }
            return Some((400, bytes(json!({"error": "too large"}))));
        }
        let rate = self.write_rate?;
        let (level, at) = self.level;
        let level = (level + (now - at) as f64 / 1000.0 * rate).min(rate);
        self.level = (level, now);
        if (changes.len() as f64) > level {
            self.throttled += 1;
            return Some((429, bytes(json!({"error": "slow down"}))));
        }
        self.level.0 -= changes.len() as f64;
        None
    }

    /// Jobs that ended long ago, between the others' names, and pages so short that they fill many.
    pub fn long_history(&mut self, ended: usize, page_most: usize) {
        self.page_most = page_most;
        for n in 0..ended {
            let (value, version) = (json!({"state": "Done", "tasks": 1, "submitted": 1}), 1);
            let entry = Key {
                value,
                version,
                lease: None,
            };
            self.revision = 1;
            self.keys
                .insert(format!("job/wk-{:06}5{n:04}", n % 20), entry);
        }
    }

    /// When an outage ends, every lease has its full time again.
    pub fn outage(&mut self, now: u64, on: bool) {
        self.outage = on;
        if !on {
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
    }

    fn expire(&mut self, now: u64) {
        if self.outage {
            return;
        }
        let dead: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in dead {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, k)| k.lease == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.keys.remove(&key);
                self.log.push((self.revision, key, None));
            }
        }
    }

    pub fn call(
        &mut self,
        now: u64,
        caller: Caller,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Reply {
        self.expire(now);
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let bare = path.split('?').next().unwrap_or("");
        match (method, bare) {
            (Method::Post, "/txn") => {
                let changes = body["Apply"].as_array().cloned().unwrap_or_default();
                let refused = self.refuse(now, &body, &changes);
                let reply = refused.or_else(|| Some(self.txn(&body)));
                if self.settled.is_none() && self.keys.contains_key("format") {
                    self.settled = Some(now);
                }
                reply
            }
            (Method::Post, "/leases") => {
                self.next_lease += 1;
                let ttl = body["TtlMs"].as_u64().unwrap_or(1_000);
                self.leases.insert(self.next_lease, (ttl, now + ttl));
                Some((200, bytes(json!({"Arrendo": self.next_lease}))))
            }
            (Method::Post, _) => {
                let id: u64 = bare
                    .split('/')
                    .nth(2)
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                match self.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = now + *ttl;
                        Some((200, bytes(json!({"Arrendo": id}))))
                    }
                    None => Some((404, bytes(json!({})))),
                }
            }
            (Method::Get, "/kv") => {
                let after = param(path, "After").unwrap_or("");
                let starts = param(path, "Starts").unwrap_or("");
                let limit: usize = param(path, "Limit")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(1000);
                let limit = limit.min(self.page_most);
                let all: Vec<_> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.as_str() > after && k.starts_with(starts))
                    .collect();
                let items: Vec<Value> = all
                    .iter()
                    .take(limit)
                    .map(|(k, v)| json!({"Path": k, "Value": v.value, "Colheita": v.version}))
                    .collect();
                let more = all.len() > limit;
                Some((
                    200,
                    bytes(json!({"Items": items, "More": more, "Safra": self.revision})),
                ))
            }
            (Method::Get, "/changes") => {
                let after = param(path, "After")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = param(path, "WaitMs")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                self.watches.push(Watch {
                    caller,
                    prefix: param(path, "Starts").unwrap_or("").to_string(),
                    after,
                    until: now + wait,
                });
                None
            }
            (Method::Get, _) => {
                let key = bare.strip_prefix("/kv/").unwrap_or("");
                Some(match self.keys.get(key) {
                    Some(k) => (
                        200,
                        bytes(json!({"Path": key, "Value": k.value, "Colheita": k.version})),
                    ),
                    None => (404, bytes(json!({"Safra": self.revision}))),
                })
            }
        }
    }

    fn txn(&mut self, body: &Value) -> (u16, Vec<u8>) {
        let empty = Vec::new();
        let changes = body["Apply"].as_array().unwrap_or(&empty);
        for change in changes {
            if let Some(lease) = change["Arrendo"].as_u64()
                && !self.leases.contains_key(&lease)
            {
                return (400, bytes(json!({"error": "no such lease"})));
            }
        }
        let failed: Vec<&str> = body["If"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter(|c| {
                let key = c["Path"].as_str().unwrap_or("");
                let have = self.keys.get(key).map_or(0, |k| k.version);
                c["Colheita"].as_u64() != Some(have)
            })
            .filter_map(|c| c["Path"].as_str())
            .collect();
        if !failed.is_empty() && !self.ignore_conditions {
            return (
                409,
                bytes(json!({"failed": failed, "Safra": self.revision})),
            );
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            if let Some(key) = change["Write"].as_str() {
                if !self.keys.contains_key("format") && !survives(key, &change["Value"]) {
                    self.lossy.push(format!("{key} {}", change["Value"]));
                }
                let entry = Key {
                    value: change["Value"].clone(),
                    version: self.revision,
                    lease: change["Arrendo"].as_u64(),
                };
                self.keys.insert(key.to_string(), entry);
                let value = change["Value"].clone();
                self.log.push((self.revision, key.to_string(), Some(value)));
            } else if let Some(key) = change["Delete"].as_str() {
                self.keys.remove(key);
                self.log.push((self.revision, key.to_string(), None));
            }
        }
        (200, bytes(json!({"Safra": self.revision})))
    }

    fn changes(&self, watch: &Watch) -> Vec<u8> {
        let log: Vec<Value> = self
            .log
            .iter()
            .filter(|(at, key, _)| *at > watch.after && key.starts_with(&watch.prefix))
            .map(|(at, key, value)| match value {
                Some(value) => json!({"Write": key, "Value": value, "Colheita": at}),
                None => json!({"Delete": key, "Colheita": at}),
            })
            .collect();
        bytes(json!({"Safra": self.revision, "Log": log}))
    }

    fn take(&mut self, ready: impl Fn(&Watch) -> bool) -> Vec<(usize, u64, u64, Vec<u8>)> {
        if self.outage {
            return Vec::new();
        }
        let (go, stay): (Vec<Watch>, Vec<Watch>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|w| ready(w));
        self.watches = stay;
        go.iter()
            .map(|w| (w.caller.0, w.caller.1, w.caller.2, self.changes(w)))
            .collect()
    }

    pub fn woken(&mut self) -> Vec<(usize, u64, u64, Vec<u8>)> {
        let revision = self.revision;
        self.take(|w| revision > w.after && w.prefix.is_empty())
    }

    pub fn timeouts(&mut self, now: u64) -> Vec<(usize, u64, u64, Vec<u8>)> {
        self.expire(now);
        let revision = self.revision;
        self.take(|w| w.until <= now || (revision > w.after && w.prefix.is_empty()))
    }
}

impl StateService {
    /// The owner of each part that has one.
    pub fn owners(&self) -> Vec<String> {
        let parts = self.keys.range("part/".to_string()..);
        let parts = parts.take_while(|(key, _)| key.starts_with("part/"));
        parts
            .filter_map(|(_, k)| k.value["owner"].as_str().map(str::to_string))
            .collect()
    }

    /// The key of each part that has an owner, and the owner's token.
    pub fn tokens(&self) -> BTreeMap<String, u64> {
        let parts = self.keys.range("part/".to_string()..);
        let parts = parts.take_while(|(key, _)| key.starts_with("part/"));
        parts.map(|(key, k)| (key.clone(), k.version)).collect()
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|k| k.value.clone())
    }

    /// All keys but finished jobs, for a failing test's message.
    pub fn dump(&self) -> Vec<String> {
        self.keys
            .iter()
            .filter(|(k, v)| !k.starts_with("job/") || v.value["parts"].is_array())
            .map(|(k, v)| format!("{k}@{} {}", v.version, v.value))
            .collect()
    }

    /// Every value that was ever written, as one JSON object each: its key, and the value as text.
    pub fn dump_all(&self) -> Vec<String> {
        let written = self.log.iter();
        let written = written.filter_map(|(_, key, value)| Some((key, value.as_ref()?)));
        written
            .map(|(key, value)| json!({"key": key, "value": value}).to_string())
            .collect()
    }
}
