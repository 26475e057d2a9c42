//! Spreads long lists of machine names over several messages, round robin.

use snowshelf_model::ids::MachineId;
use std::collections::BTreeSet;

/// Size limit, in bytes, for the names of machines with recent heartbeats in one message. It keeps the whole message
/// within the frame size for any number of machines.
pub const HEARTBEAT_NAMES_BYTES: usize = 24 * 1024;
/// Size limit, in bytes, for the names of missing machines in one message.
pub const MISSING_NAMES_BYTES: usize = 12 * 1024;
/// Bytes that the encoding adds to each name.
const NAME_OVERHEAD_BYTES: usize = 3;

/// Selects the names for each message, round robin if they do not fit in one message.
#[derive(Default)]
pub struct RoundRobinNames {
    last_sent: Option<MachineId>,
}

fn encoded_bytes(name: &MachineId) -> usize {
    name.as_str().len() + NAME_OVERHEAD_BYTES
}

impl RoundRobinNames {
    /// Returns the names for the next message: all of them if they fit in `max_bytes`, or else as many as fit,
    /// beginning after the last name sent and wrapping around.
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
        let mut remaining_bytes = max_bytes;
        let fits = |name: &&MachineId| {
            let bytes = encoded_bytes(name);
            let fits = bytes <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            fits
        };
        let sent: Vec<&MachineId> = following.chain(wrapped).take_while(fits).collect();
        self.last_sent = sent.last().map(|name| (*name).clone());
        sent.into_iter().map(text).collect()
    }
}
