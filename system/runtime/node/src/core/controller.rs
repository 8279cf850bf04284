//! The singleton role of the controller.

use millrudder_chain::Role;

/// The role in the lease protocol: one for everything that one core machine does on behalf of all. Its holder reads the
/// platform's list of workers and proposes placements.
pub fn role() -> Role {
    Role("controller".to_owned())
}
