//! Admission of heartbeats. A heartbeat is passed to the leader of its machine's shard if this controller leads it,
//! deferred until the shard is led here or the listed jobs have been read, or redirected.

use super::Controller;
use crate::effects::Response;
use snowshelf_model::ids::{ConnectionId, Member, MonotonicMillis, ShardId, shard_of};
use snowshelf_model::protocol::worker::{Heartbeat, redirect_body};
use snowshelf_watermark::renewal::RenewalRefusal;

/// Time after its start during which a controller defers heartbeats for shards that it is about to lead.
const STARTING_MS: u64 = 5_000;
/// Longest time for which a heartbeat is deferred until its shard is led here. A worker waits 4 s for a response.
const MAX_WAIT_FOR_LEADERSHIP_MS: u64 = 1_000;
/// Longest time for which a heartbeat is deferred until the jobs that it lists have been read.
const MAX_WAIT_FOR_JOBS_MS: u64 = 3_000;
/// The status of a response that redirects a worker to the leader of its shard.
const HTTP_MISDIRECTED_REQUEST: u16 = 421;

/// A heartbeat without a response yet.
pub(super) struct ReceivedHeartbeat {
    conn: ConnectionId,
    heartbeat: Heartbeat,
    received_at: MonotonicMillis,
}

/// A heartbeat that the shard leader does not respond to, because a response would renew the worker's lease.
struct RefusedHeartbeat {
    refusal: RenewalRefusal,
    received: ReceivedHeartbeat,
}

impl Controller {
    /// Parses and admits a new heartbeat.
    pub(super) fn receive_heartbeat(&mut self, conn: ConnectionId, body: &[u8]) {
        let heartbeat = match Heartbeat::parse(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::info!(%error, "heartbeat rejected: malformed");
                let response = Response::error(400, &error.to_string());
                self.env.effects.respond(conn, response);
                return;
            }
        };
        let received_at = self.env.now();
        self.admit_heartbeat(ReceivedHeartbeat {
            conn,
            heartbeat,
            received_at,
        });
    }

    /// Tries again to admit the deferred heartbeats.
    pub(super) fn retry_deferred_heartbeats(&mut self) {
        for received in std::mem::take(&mut self.deferred_heartbeats) {
            self.admit_heartbeat(received);
        }
    }

    fn admit_heartbeat(&mut self, mut received: ReceivedHeartbeat) {
        let now = self.env.now();
        let waited_ms = now.since(received.received_at);
        let machine = received.heartbeat.machine.as_str();
        let shard_id = shard_of(machine, self.env.config.shard_count);
        let is_led_here =
            self.leases.fencing_token(shard_id).is_some() && self.shards.contains_key(&shard_id);
        self.reachability
            .on_heartbeat(&received.heartbeat, shard_id, is_led_here, now);
        if is_led_here && self.may_respond_to_workers() {
            let Some(refused) = self.pass_to_shard(shard_id, received) else {
                return;
            };
            received = refused.received;
            if refused.refusal == RenewalRefusal::JobUnread && waited_ms < MAX_WAIT_FOR_JOBS_MS {
                self.look_up_listed_jobs(shard_id, &received.heartbeat);
                self.deferred_heartbeats.push(received);
                return;
            }
        }
        // A worker that is redirected just before its shard is led here would search for the leader, one controller a
        // second, while its lease runs out.
        let defers = !is_led_here && waited_ms < MAX_WAIT_FOR_LEADERSHIP_MS;
        if defers && self.will_lead(shard_id) {
            self.deferred_heartbeats.push(received);
            return;
        }
        self.redirect(received.conn, shard_id, is_led_here);
    }

    /// Passes a heartbeat to the shard leader, which responds to it. Returns the heartbeat if the leader refuses to
    /// renew the worker's lease.
    fn pass_to_shard(
        &mut self,
        shard_id: ShardId,
        received: ReceivedHeartbeat,
    ) -> Option<RefusedHeartbeat> {
        let ReceivedHeartbeat {
            conn,
            heartbeat,
            received_at,
        } = received;
        let mut refused = None;
        self.with_shard(shard_id, |shard, context| {
            refused = shard.on_heartbeat(conn, heartbeat, received_at, context);
        });
        let (refusal, heartbeat) = refused?;
        let received = ReceivedHeartbeat {
            conn,
            heartbeat,
            received_at,
        };
        Some(RefusedHeartbeat { refusal, received })
    }

    /// Whether this controller is about to lead a shard: it has just started and the shard's key names it, or the
    /// shard is vacant and this controller is its home member.
    fn will_lead(&self, shard_id: ShardId) -> bool {
        let config = &self.env.config;
        let holder = self.shard_holder(shard_id);
        let is_expected = *holder.unwrap_or(config.home(shard_id)) == config.local_member;
        let is_starting = self.env.now().since(self.env.started_at) <= STARTING_MS;
        is_expected
            && is_starting
            && !self.reachability.unreachable_by_workers()
            && self.env.is_kv_available()
    }

    /// The holder of a shard's lease according to the record cache.
    fn shard_holder(&self, shard_id: ShardId) -> Option<&Member> {
        let holder = self.env.records.shard_leaders.get(&shard_id);
        holder.map(|v| &v.value.member)
    }

    /// Redirects a worker to the leader of its shard, or to any other controller if the leader is unknown or
    /// unreachable.
    fn redirect(&mut self, conn: ConnectionId, shard_id: ShardId, is_led_here: bool) {
        let now = self.env.now();
        // A worker redirected to a leader that workers cannot reach would wait 4 s for a response and then come back.
        let leader = self.shard_holder(shard_id).filter(|holder| {
            **holder != self.env.config.local_member
                && !is_led_here
                && !self.gossip.is_unreachable_by_workers(now, holder)
        });
        let body = redirect_body(leader.map(Member::as_str));
        let response = Response::new(HTTP_MISDIRECTED_REQUEST, body);
        self.env.effects.respond(conn, response);
    }
}
