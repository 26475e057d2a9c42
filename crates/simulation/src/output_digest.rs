//! Digest of all outputs of the controllers. Equal digests show that a change of the sources left the
//! behaviour unchanged.

use snowshelf::effects::{Effect, Method, Target};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Hashes the outputs of the controllers in the order in which they are sent, each with its time and sender.
/// The standard library's hasher has fixed keys, so equal runs have equal digests in every process.
#[derive(Clone, Default)]
pub struct OutputDigest {
    hasher: DefaultHasher,
    outputs: u64,
}

impl OutputDigest {
    /// Adds one output, sent by `node` at `now`.
    pub fn add(&mut self, now: u64, node: usize, output: &Effect) {
        self.outputs += 1;
        (now, node).hash(&mut self.hasher);
        match output {
            Effect::Respond(conn, response) => {
                let parts = (response.status, &response.body, response.retry_after_s);
                ("respond", conn.0, parts).hash(&mut self.hasher);
            }
            Effect::Call {
                id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let target = match target {
                    Target::KvStore => "state".to_string(),
                    Target::Cloud => "cloud".to_string(),
                    Target::Worker(address) => address.to_string(),
                };
                let method = match method {
                    Method::Get => "GET",
                    Method::Post => "POST",
                };
                ("call", id.0, target, method, path, body, timeout_ms).hash(&mut self.hasher);
            }
            Effect::PeerStatus(member, status) => {
                let bytes = prost::Message::encode_to_vec(status);
                ("status", member.as_str(), bytes).hash(&mut self.hasher);
            }
            Effect::PeerMessage(member, peer_message) => {
                let bytes = prost::Message::encode_to_vec(peer_message);
                ("message", member.as_str(), bytes).hash(&mut self.hasher);
            }
        }
    }

    /// The number of outputs so far.
    pub fn outputs(&self) -> u64 {
        self.outputs
    }

    /// The digest of all outputs so far.
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }
}
