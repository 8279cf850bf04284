//! Clients that send writes and reads to random machines.

use millrudder_chain::{Input, RequestId};

use super::history::Submission;
use super::world::{EventKind, World};

impl World {
    pub(super) fn client(&mut self) {
        let machine = self.random.usize(0..self.hosts.len());
        match self.random.u32(0..10) {
            0..=5 => {
                let value = self.next_value;
                self.next_value += 1;
                self.submit(machine, value);
            }
            6 => {
                let value = self.random.u64(self.next_value.saturating_sub(10).max(1)..self.next_value + 1);
                if value < self.next_value {
                    self.submit(machine, value);
                }
            }
            _ => self.read(machine),
        }
        let pause = self.random.u64(self.plan.client_pause.clone());
        self.schedule(self.now + pause, EventKind::Client);
    }

    pub(super) fn submit(&mut self, machine: usize, value: u64) {
        if self.hosts[machine].frozen_until <= self.now {
            self.history.submitted(Submission { value, machine }, self.now);
            self.input(machine, Input::Submit { request_id: RequestId(value.into()), command: value });
        }
    }

    fn read(&mut self, machine: usize) {
        if self.hosts[machine].frozen_until > self.now {
            return;
        }
        let request_id = RequestId(self.next_read);
        self.next_read += 1;
        self.checker.read_began(request_id);
        self.input(machine, Input::Read { request_id });
    }
}
