//! Simulated key-value store with the published API.

use super::previous_formats::round_trips;
use serde_json::{Value, json};
use snowshelf::effects::Method;
use std::collections::BTreeMap;

/// Controller, its incarnation and the call's id.
type Caller = (usize, u64, u64);
type Reply = Option<(u16, Vec<u8>)>;

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A pending watch of the changes after a revision.
struct Watch {
    caller: Caller,
    prefix: String,
    after: u64,
    until: u64,
}

/// The records, leases and watches of the store.
pub struct KvStore {
    keys: BTreeMap<String, Entry>,
    /// Current revision.
    pub revision: u64,
    change_log: Vec<(u64, String, Option<Value>)>,
    /// Duration and expiry of each lease.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watches: Vec<Watch>,
    ignore_conditions: bool,
    outage: bool,
    /// Largest value in bytes, and most changes in a transaction.
    pub limits: (usize, usize),
    /// Limit on writes per second, and their maximum burst. `None` means unlimited.
    pub write_rate: Option<f64>,
    /// Writes available now, and when they were last refilled.
    available_writes: (f64, u64),
    /// Most keys in one page.
    pub max_page: usize,
    /// Transactions refused because of the write rate.
    pub throttled: u64,
    /// When the new record format was settled.
    format_settled_at: Option<u64>,
    /// Transactions refused for their size although all controllers had read that the format is settled.
    pub oversized_txns: Vec<String>,
    /// Records written before the format was settled that the previous version would not preserve.
    pub lossy_writes: Vec<String>,
}

/// Upper bound on the time for which a transaction can be in transit that was sent before its controller read
/// the new format.
const FORMAT_KNOWN_MS: u64 = 20_000;

fn bytes(value: Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

fn param<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?
        .1
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl KvStore {
    /// An empty store, which optionally ignores the conditions of transactions.
    pub fn new(ignore_conditions: bool) -> KvStore {
        KvStore {
            keys: BTreeMap::new(),
            revision: 0,
            change_log: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
            watches: Vec::new(),
            ignore_conditions,
            outage: false,
            limits: (16 * 1024, 12),
            write_rate: None,
            available_writes: (0.0, 0),
            max_page: 1_000,
            throttled: 0,
            format_settled_at: None,
            oversized_txns: Vec::new(),
            lossy_writes: Vec::new(),
        }
    }

    /// The error response if a transaction exceeds a limit.
    fn check_limits(&mut self, now: u64, body: &Value, changes: &[Value]) -> Reply {
        let conditions = body["If"].as_array().map_or(0, Vec::len);
        let (value_bytes, ops) = self.limits;
        let large = changes.iter().find(|c| {
            c["Value"].to_string().len() > value_bytes || c["Write"].as_str() == Some("")
        });
        if large.is_some() || changes.len() > ops || conditions > 4 * ops {
            if self
                .format_settled_at
                .is_some_and(|at| now > at + FORMAT_KNOWN_MS)
            {
                let txn = large.map_or(body.to_string(), Value::to_string);
                self.oversized_txns.push(txn);
            }
            return Some((400, bytes(json!({"error": "too large"}))));
        }
        let rate = self.write_rate?;
        let (available, at) = self.available_writes;
        let available = (available + (now - at) as f64 / 1000.0 * rate).min(rate);
        self.available_writes = (available, now);
        if (changes.len() as f64) > available {
            self.throttled += 1;
            return Some((429, bytes(json!({"error": "slow down"}))));
        }
        self.available_writes.0 -= changes.len() as f64;
        None
    }

    /// Adds jobs that ended long ago, with ids between those of other jobs, and reduces the page size so that
    /// they fill many pages.
    pub fn add_ended_jobs(&mut self, ended: usize, max_page: usize) {
        self.max_page = max_page;
        for n in 0..ended {
            let (value, version) = (json!({"state": "Done", "tasks": 1, "submitted": 1}), 1);
            let entry = Entry {
                value,
                version,
                lease: None,
            };
            self.revision = 1;
            self.keys
                .insert(format!("job/wk-{:06}5{n:04}", n % 20), entry);
        }
    }

    /// Begins or ends an outage. At its end every lease is renewed for its full duration.
    pub fn set_outage(&mut self, now: u64, on: bool) {
        self.outage = on;
        if !on {
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
    }

    /// Deletes expired leases with their keys. Leases do not expire during an outage.
    fn expire(&mut self, now: u64) {
        if self.outage {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
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
                self.change_log.push((self.revision, key, None));
            }
        }
    }

    /// Response to a call. `None` for a watch, which is responded to later.
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
        let endpoint = path.split('?').next().unwrap_or("");
        match (method, endpoint) {
            (Method::Post, "/txn") => {
                let changes = body["Apply"].as_array().cloned().unwrap_or_default();
                let refused = self.check_limits(now, &body, &changes);
                let reply = refused.or_else(|| Some(self.txn(&body)));
                if self.format_settled_at.is_none() && self.keys.contains_key("format") {
                    self.format_settled_at = Some(now);
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
                let id: u64 = endpoint
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
                let limit = limit.min(self.max_page);
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
                let key = endpoint.strip_prefix("/kv/").unwrap_or("");
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
                let current = self.keys.get(key).map_or(0, |k| k.version);
                c["Colheita"].as_u64() != Some(current)
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
                if !self.keys.contains_key("format") && !round_trips(key, &change["Value"]) {
                    self.lossy_writes.push(format!("{key} {}", change["Value"]));
                }
                let entry = Entry {
                    value: change["Value"].clone(),
                    version: self.revision,
                    lease: change["Arrendo"].as_u64(),
                };
                self.keys.insert(key.to_string(), entry);
                let value = change["Value"].clone();
                self.change_log
                    .push((self.revision, key.to_string(), Some(value)));
            } else if let Some(key) = change["Delete"].as_str() {
                self.keys.remove(key);
                self.change_log.push((self.revision, key.to_string(), None));
            }
        }
        (200, bytes(json!({"Safra": self.revision})))
    }

    fn changes(&self, watch: &Watch) -> Vec<u8> {
        let change_log: Vec<Value> = self
            .change_log
            .iter()
            .filter(|(at, key, _)| *at > watch.after && key.starts_with(&watch.prefix))
            .map(|(at, key, value)| match value {
                Some(value) => json!({"Write": key, "Value": value, "Colheita": at}),
                None => json!({"Delete": key, "Colheita": at}),
            })
            .collect();
        bytes(json!({"Safra": self.revision, "Log": change_log}))
    }

    /// Removes the watches that are ready. Returns their callers and responses.
    fn take_watches(&mut self, ready: impl Fn(&Watch) -> bool) -> Vec<(usize, u64, u64, Vec<u8>)> {
        if self.outage {
            return Vec::new();
        }
        let (taken, remaining): (Vec<Watch>, Vec<Watch>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|w| ready(w));
        self.watches = remaining;
        taken
            .iter()
            .map(|w| (w.caller.0, w.caller.1, w.caller.2, self.changes(w)))
            .collect()
    }

    /// Watches of all keys that wait for the changes just made.
    pub fn woken_watches(&mut self) -> Vec<(usize, u64, u64, Vec<u8>)> {
        let revision = self.revision;
        self.take_watches(|w| revision > w.after && w.prefix.is_empty())
    }

    /// Watches that have timed out or have changes to report.
    pub fn expired_watches(&mut self, now: u64) -> Vec<(usize, u64, u64, Vec<u8>)> {
        self.expire(now);
        let revision = self.revision;
        self.take_watches(|w| w.until <= now || (revision > w.after && w.prefix.is_empty()))
    }
}

impl KvStore {
    /// The leader of each shard that has one.
    pub fn shard_leaders(&self) -> Vec<String> {
        let shards = self.keys.range("part/".to_string()..);
        let shards = shards.take_while(|(key, _)| key.starts_with("part/"));
        shards
            .filter_map(|(_, k)| k.value["owner"].as_str().map(str::to_string))
            .collect()
    }

    /// Key and fencing token of each shard that has a leader.
    pub fn fencing_tokens(&self) -> BTreeMap<String, u64> {
        let shards = self.keys.range("part/".to_string()..);
        let shards = shards.take_while(|(key, _)| key.starts_with("part/"));
        shards.map(|(key, k)| (key.clone(), k.version)).collect()
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|k| k.value.clone())
    }

    /// All records except those of ended jobs, for a failing test's message.
    pub fn dump(&self) -> Vec<String> {
        self.keys
            .iter()
            .filter(|(k, v)| !k.starts_with("job/") || v.value["parts"].is_array())
            .map(|(k, v)| format!("{k}@{} {}", v.version, v.value))
            .collect()
    }

    /// Every value ever written, as JSON objects with a key and a value.
    pub fn all_written_values(&self) -> Vec<String> {
        let written = self.change_log.iter();
        let written = written.filter_map(|(_, key, value)| Some((key, value.as_ref()?)));
        written
            .map(|(key, value)| json!({"key": key, "value": value}).to_string())
            .collect()
    }
}
