//! Days on which troubles meet: what goes wrong when, around jobs of every kind.

use crate::troubles::Trouble;
use crate::{NODES, Sabotage, Weather, World};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

/// All troubles are over by then, and all users must have heard the end by the second moment.
pub const OVER_MS: u64 = 140_000;
pub const END_MS: u64 = 600_000;

/// What goes wrong when, and for how long.
pub type Meeting = Vec<(u64, u64, Trouble)>;

/// Jobs that run until they are stopped, which their users want cancelled at `cancel_at`.
pub fn endless_jobs(seed: u64, jobs: usize, cancel_at: impl Fn(usize) -> Option<u64>) -> World {
    let mut world = World::new(seed, Weather::CALM, Sabotage::default(), 0, u64::MAX);
    for n in 0..jobs {
        let team = ["red", "blue"][n % 2];
        world.add_user(2_000, json!({"Tarefas": 3, "Cuadrilla": team}));
        world.users[n].cancel_at = cancel_at(n);
        let job = world.users[n].job.clone();
        world.endless.insert(job);
    }
    world
}

pub fn running(world: &World) -> usize {
    let tasks = world.workers.values().flat_map(|w| &w.tasks);
    tasks.filter(|t| t.state == "running").count()
}

/// Jobs of few and many tasks, short and long, some without end and cancelled, some that need others.
pub fn play(seed: u64, sabotage: Sabotage, meeting: &Meeting) -> World {
    let mut world = World::new(seed, Weather::CALM, sabotage, 12, OVER_MS);
    world.run_ms = [3_000, 6_000, 9_000][seed as usize % 3];
    world.spread_ms = [0, 4_000, 15_000][(seed / 3) as usize % 3];
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6a6f_6273);
    for _ in 0..4 {
        let n = world.users.len();
        let tasks = rng.random_range(1..4u32);
        let spec = json!({"Tarefas": tasks, "Avulsas": true});
        world.add_user(rng.random_range(2_000..20_000u64), spec);
        world.users[n].cancel_at = Some(rng.random_range(15_000..110_000u64));
        let job = world.users[n].job.clone();
        world.endless.insert(job);
    }
    for (at, for_ms, trouble) in meeting {
        world.bring(*at, *for_ms, *trouble);
    }
    world.run(END_MS);
    world
}

/// The meeting's moments shifted by seconds.
pub fn shifted(seed: u64, mut meeting: Meeting) -> Meeting {
    for (n, (at, _, _)) in meeting.iter_mut().enumerate() {
        *at += n as u64 * 700 * (seed / 3) + 130 * seed;
    }
    meeting
}

/// Holds every rule against a meeting, its moments shifted by seconds, and has every user hear the end.
#[track_caller]
pub fn holds(meeting: impl Fn(usize) -> Meeting) {
    for seed in 0..9u64 {
        let meeting = shifted(seed, meeting(seed as usize % NODES));
        play(seed, Sabotage::default(), &meeting).assert_sound(seed);
    }
}

/// The same where all machines have tasks without end, all of which are called off when the troubles are over.
#[track_caller]
pub fn holds_without_end(meeting: impl Fn(usize) -> Meeting) {
    for seed in 0..9u64 {
        let mut world = endless_jobs(seed, 12, |n| Some(OVER_MS + 300 * n as u64));
        for (at, for_ms, trouble) in shifted(seed, meeting(seed as usize % NODES)) {
            world.bring(at, for_ms, trouble);
        }
        world.run(OVER_MS + 60_000);
        world.assert_sound(seed);
    }
}
