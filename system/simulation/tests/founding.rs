//! The simulated world without faults.

use millrudder_control_state::ControlState;
use millrudder_simulation::plan::Plan;
use millrudder_simulation::world::World;

#[test]
fn a_calm_world_is_founded_and_serves() {
    for seed in 0..8 {
        let started = std::time::Instant::now();
        let mut world = World::<ControlState>::founded(Plan::calm(seed)).expect("it is founded");
        let founded_at = world.now;
        let took = started.elapsed();
        world.resume(Plan::calm(seed));
        world.play().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        println!("{seed}: founded at {founded_at}, in {took:?}; {} events", world.events_played);
        println!("   at {} in all {:?}, clone {:?}", world.now, started.elapsed(), {
            let s = std::time::Instant::now();
            let _w = world.clone();
            s.elapsed()
        });
    }
}
