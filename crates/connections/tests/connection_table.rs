//! Compares the connection table with a reference model for generated sequences of events, and checks
//! the connection limits for generated resource limits.

use proptest::prelude::*;
use snowshelf_connections::limits::{ConnectionLimits, IDLE_CONNECTION_BYTES, ProcessLimits};
use snowshelf_connections::table::{Admission, ClientKind, ConnectionTable};
use snowshelf_model::ids::MonotonicMillis;
use std::collections::BTreeMap;

fn limits(max_clients: usize) -> ConnectionLimits {
    ConnectionLimits {
        max_clients,
        worker_floor: max_clients / 2,
        user_floor: max_clients / 4,
        probe_floor: 1,
        max_unidentified: max_clients / 8 + 1,
        reconnect_threshold: max_clients - 1,
        max_peers: 4,
        max_partial_bytes: 1_000,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Connect,
    StartRequest(usize, ClientKind),
    FinishRequest(usize),
    Disconnect(usize),
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
        5 => Just(Event::Connect),
        6 => (any::<usize>(), kind()).prop_map(|(at, kind)| Event::StartRequest(at, kind)),
        3 => any::<usize>().prop_map(Event::FinishRequest),
        1 => any::<usize>().prop_map(Event::Disconnect),
    ]
}

/// The reference model: the kind of each connection, and whether a request awaits its response.
type Reference = BTreeMap<u32, (ClientKind, bool)>;

fn count(reference: &Reference, kind: ClientKind) -> usize {
    reference.values().filter(|(k, _)| *k == kind).count()
}

proptest! {
    /// Guards against more connections than memory allows, against users and workers that displace
    /// each other below their floors, and against closing a connection whose request awaits its
    /// response.
    #[test]
    fn table_stays_within_limits_and_floors(
        max_clients in 16..48usize,
        events in prop::collection::vec(event(), 0..400),
    ) {
        let limits = limits(max_clients);
        let mut table: ConnectionTable<u32> = ConnectionTable::new(limits);
        let mut reference: Reference = BTreeMap::new();
        let pick = |reference: &Reference, at: usize| reference.keys().nth(at % reference.len().max(1)).copied();
        for (now, event) in events.into_iter().enumerate() {
            let now = MonotonicMillis(now as u64);
            match event {
                Event::Connect => {
                    let id = now.0 as u32 + 1_000;
                    let before = reference.clone();
                    match table.admit(id, now) {
                        Admission::Admitted => {
                            prop_assert!(before.len() < max_clients);
                            reference.insert(id, (ClientKind::Unidentified, false));
                        }
                        Admission::Replaces(other) => {
                            let (kind, busy) = before[&other];
                            prop_assert!(!busy, "replaced a connection whose request awaits its response");
                            let floor = match kind {
                                ClientKind::Unidentified => 0,
                                ClientKind::Probe => limits.probe_floor,
                                ClientKind::User => limits.user_floor,
                                ClientKind::Worker => limits.worker_floor,
                            };
                            prop_assert!(count(&before, kind) > floor, "{kind:?} below its floor");
                            reference.remove(&other);
                            reference.insert(id, (ClientKind::Unidentified, false));
                        }
                        Admission::Refused => {
                            // Allowed only if no idle connection may be closed.
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
                Event::StartRequest(at, kind) => {
                    if let Some(id) = pick(&reference, at) {
                        table.request_started(id, kind);
                        reference.insert(id, (kind, true));
                    }
                }
                Event::FinishRequest(at) => {
                    if let Some(id) = pick(&reference, at) {
                        table.request_finished(id, now);
                        if let Some(conn) = reference.get_mut(&id) {
                            conn.1 = false;
                        }
                    }
                }
                Event::Disconnect(at) => {
                    if let Some(id) = pick(&reference, at) {
                        table.remove(id);
                        reference.remove(&id);
                    }
                }
            }
            prop_assert!(table.len() <= max_clients);
            prop_assert_eq!(table.len(), reference.len());
            for kind in [ClientKind::Unidentified, ClientKind::Probe, ClientKind::User, ClientKind::Worker] {
                prop_assert_eq!(table.count(kind), count(&reference, kind));
            }
        }
    }

    /// Guards against limits that exceed the sockets or the memory of the process, and against floors
    /// of zero, for any resource limits.
    #[test]
    fn limits_stay_within_sockets_and_memory(
        sockets in 32..20_000usize, mem_mb in 1..1_000usize, controllers in 1..64usize, outgoing in 0..100usize,
    ) {
        let mem_bytes = mem_mb << 20;
        let b = ConnectionLimits::from(ProcessLimits { sockets, mem_bytes, controllers, outgoing });
        let all = b.max_clients + b.max_peers + controllers + outgoing;
        prop_assert!(b.max_clients == 16 || all < sockets, "{all} of {sockets}");
        prop_assert!(b.max_clients == 16 || b.max_clients * IDLE_CONNECTION_BYTES + b.max_partial_bytes <= mem_bytes / 4);
        prop_assert!(b.worker_floor > 0 && b.user_floor > 0 && b.max_unidentified > 0 && b.reconnect_threshold <= b.max_clients);
        prop_assert!(b.worker_floor + b.user_floor + b.max_unidentified <= b.max_clients + 2);
    }
}

/// Guards against starvation: a flood of connections of users must not take those guaranteed to
/// workers, nor vice versa, and unidentified connections must only replace each other.
#[test]
fn flood_of_one_kind_leaves_other_kinds_their_floor() {
    for (first, second) in [
        (ClientKind::Worker, ClientKind::User),
        (ClientKind::User, ClientKind::Worker),
    ] {
        let limits = limits(40);
        let mut table: ConnectionTable<u32> = ConnectionTable::new(limits);
        let mut connect = |id: u32, kind: Option<ClientKind>| {
            let admission = table.admit(id, MonotonicMillis(u64::from(id)));
            if let Some(kind) = kind.filter(|_| admission != Admission::Refused) {
                table.request_started(id, kind);
                table.request_finished(id, MonotonicMillis(u64::from(id)));
            }
            (
                admission,
                table.count(ClientKind::Worker),
                table.count(ClientKind::User),
            )
        };
        // Without other clients, one kind may use all connections.
        let (_, workers, users) = (0..40).map(|id| connect(id, Some(first))).last().unwrap();
        assert_eq!(workers + users, 40);
        // The other kind then takes the connections above the first kind's floor, and no more.
        let (_, workers, users) = (40..200)
            .map(|id| connect(id, Some(second)))
            .last()
            .unwrap();
        assert!(
            workers >= limits.worker_floor && users >= limits.user_floor,
            "{workers}, {users}"
        );
        // Unidentified connections take only their own share.
        let (_, workers, users) = (200..900).map(|id| connect(id, None)).last().unwrap();
        assert!(
            workers >= limits.worker_floor && users >= limits.user_floor,
            "{workers}, {users}"
        );
        // A new client is still admitted.
        let (admission, ..) = connect(1_000, Some(ClientKind::Probe));
        assert!(matches!(admission, Admission::Replaces(_)), "{admission:?}");
    }
}

/// Guards against limits that are too low for a single remaining controller to serve all workers and
/// users of a known deployment, at 1.5 times its fleet. The columns are sockets, memory in MB,
/// controllers, machines and concurrent users.
#[test]
fn limits_let_one_controller_serve_the_whole_fleet() {
    for (sockets, mem_mb, controllers, machines, users) in [
        (2_948, 188, 5, 1_770, 500),
        (4_369, 258, 3, 2_109, 1_000),
        (2_500, 136, 5, 1_622, 400),
        (1_200, 72, 3, 624, 200),
    ] {
        let mem_bytes = mem_mb << 20;
        let b = ConnectionLimits::from(ProcessLimits {
            sockets,
            mem_bytes,
            controllers,
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
