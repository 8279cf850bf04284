//! A replicated state machine whose snapshots omit which configurations were accepted before the current one.

use millrudder_chain::{Machine, RestoreError, Sequence};
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_simulation::control_machine::ControlMachine;
use speedy::{Readable, Writable};

/// After a restore it knows the placements and the last configuration only.
#[derive(Clone, Debug, Default)]
pub struct Forgetful {
    state: ControlState,
    placements: Vec<Command>,
}

impl Forgetful {
    fn take(&mut self, command: &Command) -> Reply {
        let reply = self.state.apply(Sequence(0), command);
        if reply == Reply::PlacementSet {
            self.placements.push(command.clone());
        }
        reply
    }
}

impl Machine for Forgetful {
    type Command = Command;
    type Reply = Reply;

    fn apply(&mut self, _sequence: Sequence, command: &Command) -> Reply {
        self.take(command)
    }

    fn snapshot(&self) -> Vec<u8> {
        let configuration = self.state.configuration().clone();
        let mut commands = self.placements.clone();
        if configuration.version > 0 {
            commands.push(Command::PutConfiguration { expected_version: 0, configuration });
        }
        commands.write_to_vec().expect("commands can be written")
    }

    fn restore(snapshot: &[u8]) -> Result<Forgetful, RestoreError> {
        let commands = Vec::<Command>::read_from_buffer(snapshot).map_err(|_| RestoreError::Unreadable)?;
        let mut restored = Forgetful::default();
        for command in &commands {
            restored.take(command);
        }
        Ok(restored)
    }
}

impl ControlMachine for Forgetful {
    fn state(&self) -> &ControlState {
        &self.state
    }
}
