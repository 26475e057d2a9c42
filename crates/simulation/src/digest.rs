//! A digest of everything that the controllers send, to show that a change of the sources left their behaviour alone.

use snowshelf::effects::{Effect, Method, Target};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Hashes the controllers' outputs in the order in which they are sent, each with its time and its sender.
///
/// The standard library's hasher has fixed keys, so that equal runs have equal digests in every process.
#[derive(Clone, Default)]
pub struct OutputDigest {
    hasher: DefaultHasher,
    outputs: u64,
}

impl OutputDigest {
    /// Adds one output, which `node` sends at `now`.
    pub fn add(&mut self, now: u64, node: usize, output: &Effect) {
        self.outputs += 1;
        (now, node).hash(&mut self.hasher);
        match output {
            Effect::Respond(conn, response) => {
                let answer = (response.status, &response.body, response.retry_after_s);
                ("respond", conn.0, answer).hash(&mut self.hasher);
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
            Effect::PeerStatus(member, hint) => {
                let bytes = prost::Message::encode_to_vec(hint);
                ("status", member.as_str(), bytes).hash(&mut self.hasher);
            }
            Effect::PeerMessage(member, proof) => {
                let bytes = prost::Message::encode_to_vec(proof);
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
