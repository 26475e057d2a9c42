//! Names of machines that are too many for one message, sent in turn.

use snowshelf_model::ids::MachineId;
use std::collections::BTreeSet;

/// Most bytes that the names of machines with recent heartbeats take in one message. With all else a message stays
/// within its frame, however many machines there are.
pub const HEARTBEAT_NAMES_BYTES: usize = 24 * 1024;
/// Most bytes that the names of missing machines take in one message.
pub const MISSING_NAMES_BYTES: usize = 12 * 1024;
/// What the encoding of a name takes beside its letters.
const NAME_OVERHEAD_BYTES: usize = 3;

/// Sends the names of a set in turn, if they are too many for one message.
#[derive(Default)]
pub struct RoundRobinNames {
    last_sent: Option<MachineId>,
}

fn encoded_bytes(name: &MachineId) -> usize {
    name.as_str().len() + NAME_OVERHEAD_BYTES
}

impl RoundRobinNames {
    /// The names for the next message: all, or those that follow the last one sent, within so many bytes.
    #[must_use]
    pub fn next(&mut self, names: &BTreeSet<MachineId>, max_bytes: usize) -> Vec<String> {
        let text = |name: &MachineId| name.as_str().to_string();
        if names.iter().map(encoded_bytes).sum::<usize>() <= max_bytes {
            self.last_sent = None;
            return names.iter().map(text).collect();
        }
        let last_sent = self.last_sent.take();
        let follows = |name: &&MachineId| last_sent.as_ref().is_none_or(|last| *name > last);
        let following = names.iter().filter(follows);
        let wrapped = names.iter().filter(|name| !follows(name));
        let mut left_bytes = max_bytes;
        let fits = |name: &&MachineId| {
            let bytes = encoded_bytes(name);
            let fits = bytes <= left_bytes;
            left_bytes = left_bytes.saturating_sub(bytes);
            fits
        };
        let sent: Vec<&MachineId> = following.chain(wrapped).take_while(fits).collect();
        self.last_sent = sent.last().map(|name| (*name).clone());
        sent.into_iter().map(text).collect()
    }
}
