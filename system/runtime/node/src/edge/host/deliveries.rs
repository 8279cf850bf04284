//! Inputs and outputs of delivery.

use super::EdgeHost;
use crate::edge::calls::{CallBack, WorkerCall};
use millrudder_delivery::{Input, Output};
use millrudder_protocol::store::FromDispatcher;
use std::time::Duration;

impl EdgeHost {
    /// Passes an input to delivery and carries out its outputs.
    pub(super) fn handle_delivery(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.delivery.handle(self.clock.millis(), input, &mut outputs);
        for output in outputs {
            self.carry_out_delivery(output);
        }
    }

    fn carry_out_delivery(&mut self, output: Output) {
        match output {
            Output::Send { attempt, message, worker, timeout_ms, answer_timeout_ms, .. } => {
                let timeout = Duration::from_millis(timeout_ms);
                let wait = Duration::from_millis(answer_timeout_ms);
                self.calls.send(WorkerCall { attempt, message, worker, timeout, wait });
            }
            Output::SendCallBack { attempt, url, body, timeout_ms } => {
                let timeout = Duration::from_millis(timeout_ms.into());
                self.calls.call_back(CallBack { attempt, url, body, timeout });
            }
            Output::Report { store, message } => self.stores.send(store, message),
            Output::Barrier { store, number } => {
                self.stores.send(store, FromDispatcher::Barrier { number: number.0 });
            }
            Output::CloseIdle { address } => self.calls.close_idle(address.0),
            Output::Credits { credits } => self.stores.send_all(&FromDispatcher::Credits { credits }),
            Output::CancelAttempt { attempt } => self.calls.cancel(attempt),
        }
    }
}
