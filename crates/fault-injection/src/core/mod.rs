//! Two sites without sockets: the deciding parts of several gateways on a simulated network, in simulated time.
//! Letters are lost, repeated and put out of order, links are cut one way or both, gateways are killed and
//! start anew, sites vanish and are drained; then the rules are checked on all that happened.

mod actions;
mod classes;
mod findings;
mod happening;
mod network;
mod rules;
mod servers;
mod trouble;
mod world;

pub use findings::Findings;
use world::World;

/// Plays seeds, one after another, and adds up what was found.
pub fn play(first: u64, seeds: u64, gateways: usize, mut progress: impl FnMut(u64)) -> Findings {
    let mut all = Findings::default();
    for seed in first..first + seeds {
        let found = World::new(seed, gateways).play();
        if found.broken() > 0 && all.first_bad_seed.is_none() {
            all.first_bad_seed = Some(seed);
        }
        all.seeds += 1;
        all.taken += found.taken;
        all.answered_once += found.answered_once;
        all.answered_twice += found.answered_twice;
        all.unanswered += found.unanswered;
        all.late += found.late;
        all.once_only_run_twice += found.once_only_run_twice;
        all.repeats_outside_memory += found.repeats_outside_memory;
        all.settled_without_run += found.settled_without_run;
        all.declined_but_ran += found.declined_but_ran;
        all.taken_while_drained += found.taken_while_drained;
        all.crossed += found.crossed;
        all.crossed_settled += found.crossed_settled;
        all.most_moves_a_minute = all.most_moves_a_minute.max(found.most_moves_a_minute);
        all.left_owed += found.left_owed;
        progress(seed);
    }
    all.ok = all.broken() == 0 && all.most_moves_a_minute <= 10 && all.crossed_settled > 0;
    all
}
