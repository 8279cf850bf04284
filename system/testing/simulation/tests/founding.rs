//! The simulated world without faults.

use millrudder_control_state::ControlState;
use millrudder_simulation::plan::Plan;
use millrudder_simulation::world::World;

#[test]
fn a_calm_world_is_founded_and_serves() {
    for seed in 0..8 {
        let mut world = World::<ControlState>::founded(Plan::calm(seed)).expect("it is founded");
        world.resume(Plan::calm(seed));
        world.play().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}
