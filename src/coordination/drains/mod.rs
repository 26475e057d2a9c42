//! Drains: what operators ask, made durable before anybody is told, and the steps that the leader takes
//! for each. Owners see the records and empty the machines of a step (`shard/emptying.rs`).

mod asking;
mod deciding;
pub mod facts;
mod guard;
mod leading;

pub use asking::{Ask, Read, read};
pub use guard::{Closed, Draining};
pub use leading::Heard;

use super::context::{Context, KvRequest};
use super::pending_requests::{PendingRequests, Waiting};
use crate::effects::Response;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use deciding::{Write, decide};
use serde_json::Value;
use snowshelf_calendar::entry::Name;
use snowshelf_model::ids::{ConnectionId, MachineId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::Capability;
use std::collections::BTreeMap;

/// The pause after another change came first.
const AGAIN_MS: u64 = 50;

/// What waits for one transaction.
struct Underway {
    id: u64,
    key: String,
    value: Option<Value>,
    changes: bool,
    /// Who asked, and what is answered once it is durable; nobody: the leader's own step.
    asked: Option<(Waiting<Ask>, Response)>,
}

/// What a drain waits for, in words, and what holds back the stops of its step.
#[derive(Clone, Default)]
pub struct Reason {
    pub waits: String,
    pub held: Vec<String>,
}

#[derive(Default)]
pub struct Drains {
    queue: PendingRequests<Ask>,
    underway: Option<Underway>,
    next: u64,
    retry_at: MonotonicMillis,
    /// When the leader last looked, and since when this controller leads.
    led_at: MonotonicMillis,
    leads_since: Option<MonotonicMillis>,
    tidied_at: MonotonicMillis,
    /// Machines of steps that their owners have returned, and when they said so: the cloud lists them a while
    /// longer.
    returned: BTreeMap<MachineId, MonotonicMillis>,
    /// What each drain waits for: the leader's own look, or what it has told the others.
    waits: BTreeMap<Name, Reason>,
}

impl Drains {
    /// Takes a request. Whether the state service is there has been asked before.
    pub fn take(&mut self, conn: ConnectionId, ask: Ask, context: &mut Context) {
        let why = if !context.records.all_support(&Capability::drains()) {
            Some("not every controller takes drains yet")
        } else if !context.records.loaded {
            Some("not able to decide yet")
        } else {
            None
        };
        self.queue.take(conn, ask, why, context);
    }

    /// Sends everybody who waits away: the state service does not serve.
    pub fn refuse_all(&mut self, context: &mut Context) {
        self.queue.refuse_all(context);
    }

    /// Decides the request that has waited longest.
    pub fn tick(&mut self, context: &mut Context) {
        let now = context.now();
        self.queue.give_up(context);
        if self.underway.is_some() || now < self.retry_at || !context.records.loaded {
            return;
        }
        while let Some(waiting) = self.queue.pop() {
            let decided = decide(&waiting.ask, &self.waits, context);
            let Some(write) = decided.write else {
                context.effects.respond(waiting.conn, decided.response);
                continue;
            };
            let writes = usize::from(write.changes);
            if !context
                .kv
                .has_budget(now, RequestPriority::Admission, writes)
            {
                self.queue.put_back(vec![waiting]);
                return;
            }
            self.send(write, Some((waiting, decided.response)), None, context);
            return;
        }
    }

    /// Sends a change of one record, or asks whether it is as it is known here.
    fn send(
        &mut self,
        write: Write,
        asked: Option<(Waiting<Ask>, Response)>,
        leads: Option<(String, Version)>,
        context: &mut Context,
    ) {
        let mut swap = CompareAndSwap::default().compare(write.key.clone(), write.version);
        if let Some((key, version)) = leads {
            swap = swap.compare(key, version);
        }
        if write.changes {
            swap = swap.mutate(match &write.value {
                Some(value) => Mutation::put(write.key.clone(), value),
                None => Mutation::Delete {
                    key: write.key.clone(),
                },
            });
        }
        self.next += 1;
        let tag = KvRequest::Drains(self.next);
        match write.changes {
            true => context.kv.compare_and_swap(context.effects, tag, &swap),
            false => context
                .kv
                .check_versions(context.effects, tag, &swap, 1_500),
        }
        self.underway = Some(Underway {
            id: self.next,
            key: write.key,
            value: write.value,
            changes: write.changes,
            asked,
        });
    }

    /// The answer to a transaction.
    pub fn done(&mut self, id: u64, result: SwapOutcome, context: &mut Context) {
        let Some(underway) = self.underway.take_if(|u| u.id == id) else {
            return;
        };
        let now = context.now();
        match (result, underway.asked) {
            (SwapOutcome::Applied(revision), asked) => {
                if underway.changes {
                    tracing::info!(
                        key = underway.key,
                        asked = asked.is_some(),
                        "drain or disruption budget changed"
                    );
                    context
                        .records
                        .apply(&underway.key, underway.value.as_ref(), revision);
                }
                if let Some((waiting, response)) = asked {
                    context.effects.respond(waiting.conn, response);
                }
            }
            (SwapOutcome::Conflict(_), asked) => {
                // The feed brings what was changed; then it is decided anew.
                self.retry_at = now.plus(AGAIN_MS);
                if let Some((waiting, _)) = asked {
                    self.queue.put_back(vec![waiting]);
                }
            }
            (_, Some((waiting, _))) => {
                let later = Response::later(503, "the state service did not answer", 1);
                context.effects.respond(waiting.conn, later);
            }
            (_, None) => self.retry_at = now.plus(500),
        }
    }
}
