//! The simulated world without faults.

use millrudder_control_state::ControlState;
use millrudder_simulation::plan::Plan;
use millrudder_simulation::world::World;

#[test]
fn a_world_without_faults_bootstraps_and_serves() {
    for seed in 0..8 {
        let mut world =
            World::<ControlState>::bootstrapped(Plan::without_faults(seed)).expect("it bootstraps");
        world.resume(Plan::without_faults(seed));
        world.play().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}
