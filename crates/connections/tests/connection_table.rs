//! The connection table against a plain model, for drawn orders of events, and the limits for drawn resources.

use proptest::prelude::*;
use snowshelf_connections::limits::{ConnectionLimits, IDLE_CONNECTION_BYTES, ProcessLimits};
use snowshelf_connections::table::{Admission, ClientKind, ConnectionTable};
use snowshelf_model::ids::MonotonicMillis;
use std::collections::BTreeMap;

fn limits(most: usize) -> ConnectionLimits {
    ConnectionLimits {
        max_clients: most,
        worker_floor: most / 2,
        user_floor: most / 4,
        probe_floor: 1,
        max_unidentified: most / 8 + 1,
        reconnect_threshold: most - 1,
        max_peers: 4,
        max_partial_bytes: 1_000,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Enter,
    Asks(usize, ClientKind),
    Answered(usize),
    Leaves(usize),
}

fn kind() -> impl Strategy<Value = ClientKind> {
    prop_oneof![
        4 => Just(ClientKind::User),
        4 => Just(ClientKind::Worker),
        1 => Just(ClientKind::Probe),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => Just(Event::Enter),
        6 => (any::<usize>(), kind()).prop_map(|(at, kind)| Event::Asks(at, kind)),
        3 => any::<usize>().prop_map(Event::Answered),
        1 => any::<usize>().prop_map(Event::Leaves),
    ]
}

/// The plain model of a connection: its kind, and whether it is being served.
type Plain = BTreeMap<u32, (ClientKind, bool)>;

fn count(plain: &Plain, kind: ClientKind) -> usize {
    plain.values().filter(|(k, _)| *k == kind).count()
}

proptest! {
    /// Guards against more connections than there is memory for, against workers crowded out by users and
    /// users by workers, and against letting go of somebody who is being served.
    #[test]
    fn never_above_the_bounds_and_never_below_the_floors(
        most in 16..48usize,
        events in prop::collection::vec(event(), 0..400),
    ) {
        let limits = limits(most);
        let mut table: ConnectionTable<u32> = ConnectionTable::new(limits);
        let mut plain: Plain = BTreeMap::new();
        let pick = |plain: &Plain, at: usize| plain.keys().nth(at % plain.len().max(1)).copied();
        for (now, event) in events.into_iter().enumerate() {
            let now = MonotonicMillis(now as u64);
            match event {
                Event::Enter => {
                    let id = now.0 as u32 + 1_000;
                    let before = plain.clone();
                    match table.admit(id, now) {
                        Admission::Admitted => {
                            prop_assert!(before.len() < most);
                            plain.insert(id, (ClientKind::Unidentified, false));
                        }
                        Admission::Replaces(other) => {
                            let (kind, busy) = before[&other];
                            prop_assert!(!busy, "somebody who is being served was let go of");
                            let floor = match kind {
                                ClientKind::Unidentified => 0,
                                ClientKind::Probe => limits.probe_floor,
                                ClientKind::User => limits.user_floor,
                                ClientKind::Worker => limits.worker_floor,
                            };
                            prop_assert!(count(&before, kind) > floor, "{kind:?} below its floor");
                            plain.remove(&other);
                            plain.insert(id, (ClientKind::Unidentified, false));
                        }
                        Admission::Refused => {
                            // Only if nobody who is idle may be let go of.
                            let idle = |k: ClientKind| before.values().any(|(kind, busy)| *kind == k && !busy);
                            prop_assert!(!idle(ClientKind::Unidentified));
                            if count(&before, ClientKind::Unidentified) < limits.max_unidentified {
                                let (users, workers) = (count(&before, ClientKind::User), count(&before, ClientKind::Worker));
                                prop_assert!(users <= limits.user_floor || !idle(ClientKind::User));
                                prop_assert!(workers <= limits.worker_floor || !idle(ClientKind::Worker));
                            }
                        }
                    }
                }
                Event::Asks(at, kind) => {
                    if let Some(id) = pick(&plain, at) {
                        table.request_started(id, kind);
                        plain.insert(id, (kind, true));
                    }
                }
                Event::Answered(at) => {
                    if let Some(id) = pick(&plain, at) {
                        table.request_finished(id, now);
                        if let Some(conn) = plain.get_mut(&id) {
                            conn.1 = false;
                        }
                    }
                }
                Event::Leaves(at) => {
                    if let Some(id) = pick(&plain, at) {
                        table.remove(id);
                        plain.remove(&id);
                    }
                }
            }
            prop_assert!(table.len() <= most);
            prop_assert_eq!(table.len(), plain.len());
            for kind in [ClientKind::Unidentified, ClientKind::Probe, ClientKind::User, ClientKind::Worker] {
                prop_assert_eq!(table.count(kind), count(&plain, kind));
            }
        }
    }

    /// Whatever a process is given: within its sockets and memory, and nobody's floor is nothing.
    #[test]
    fn bounds_keep_to_sockets_and_memory(
        sockets in 32..20_000usize, mem_mb in 1..1_000usize, nodes in 1..64usize, own in 0..100usize,
    ) {
        let mem_bytes = mem_mb << 20;
        let b = ConnectionLimits::from(ProcessLimits { sockets, mem_bytes, controllers: nodes, outgoing: own });
        let all = b.max_clients + b.max_peers + nodes + own;
        prop_assert!(b.max_clients == 16 || all < sockets, "{all} of {sockets}");
        prop_assert!(b.max_clients == 16 || b.max_clients * IDLE_CONNECTION_BYTES + b.max_partial_bytes <= mem_bytes / 4);
        prop_assert!(b.worker_floor > 0 && b.user_floor > 0 && b.max_unidentified > 0 && b.reconnect_threshold <= b.max_clients);
        prop_assert!(b.worker_floor + b.user_floor + b.max_unidentified <= b.max_clients + 2);
    }
}

/// A flood of users cannot take workers' places, nor the other way round, and silent ones only each other's.
#[test]
fn floods_leave_the_others_their_floor() {
    for (first, then) in [
        (ClientKind::Worker, ClientKind::User),
        (ClientKind::User, ClientKind::Worker),
    ] {
        let limits = limits(40);
        let mut table: ConnectionTable<u32> = ConnectionTable::new(limits);
        let mut come = |id: u32, kind: Option<ClientKind>| {
            let entry = table.admit(id, MonotonicMillis(u64::from(id)));
            if let Some(kind) = kind.filter(|_| entry != Admission::Refused) {
                table.request_started(id, kind);
                table.request_finished(id, MonotonicMillis(u64::from(id)));
            }
            (
                entry,
                table.count(ClientKind::Worker),
                table.count(ClientKind::User),
            )
        };
        // Alone, a kind may have everything.
        let (_, workers, users) = (0..40).map(|id| come(id, Some(first))).last().unwrap();
        assert_eq!(workers + users, 40);
        // The other kind then takes what is above the floor, and no more.
        let (_, workers, users) = (40..200).map(|id| come(id, Some(then))).last().unwrap();
        assert!(
            workers >= limits.worker_floor && users >= limits.user_floor,
            "{workers}, {users}"
        );
        // Silent ones take their own few places.
        let (_, workers, users) = (200..900).map(|id| come(id, None)).last().unwrap();
        assert!(
            workers >= limits.worker_floor && users >= limits.user_floor,
            "{workers}, {users}"
        );
        // And whoever comes then still gets in.
        let (entry, ..) = come(1_000, Some(ClientKind::Probe));
        assert!(matches!(entry, Admission::Replaces(_)), "{entry:?}");
    }
}

/// The deployments that are known: one controller left alone serves every worker and its users at 1.5 times the
/// fleet. Sockets, memory in MB, controllers, machines, users at once.
#[test]
fn one_controller_left_alone_has_room_for_all() {
    for (sockets, mem_mb, nodes, machines, users) in [
        (2_948, 188, 5, 1_770, 500),
        (4_369, 258, 3, 2_109, 1_000),
        (2_500, 136, 5, 1_622, 400),
        (1_200, 72, 3, 624, 200),
    ] {
        let mem_bytes = mem_mb << 20;
        let b = ConnectionLimits::from(ProcessLimits {
            sockets,
            mem_bytes,
            controllers: nodes,
            outgoing: 40,
        });
        assert!(
            b.max_clients >= machines + users,
            "{} of {}",
            b.max_clients,
            machines + users
        );
        assert!(
            b.worker_floor >= machines * 10 / 11,
            "{} of {machines}",
            b.worker_floor
        );
    }
}
