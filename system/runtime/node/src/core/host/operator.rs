//! Requests of operators, and settings that are read again.

use super::CoreHost;
use crate::core::operator::pending::NextStep;
use crate::core::operator::request::{OperatorRequest, OperatorResponse};
use millrudder_chain::Input;
use millrudder_clock::Instant;
use millrudder_settings::Settings;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Requests whose callers have gone are looked for this often.
const ABANDONED_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl CoreHost {
    /// Passes a request to the replicated state machine, or answers it at once.
    pub(super) fn handle_operator_request(
        &mut self,
        request: OperatorRequest,
        reply: oneshot::Sender<OperatorResponse>,
    ) {
        let is_serving = self.barrier.accepts_requests(self.clock.now());
        let step = self.operator_requests.accept(request, reply, is_serving);
        let now = self.clock.precise_now();
        match step {
            NextStep::Done => {}
            NextStep::Submit { request_id, command } => {
                self.node.handle(now, Input::Submit { request_id, command });
            }
            NextStep::Read { request_id } => self.node.handle(now, Input::Read { request_id }),
            NextStep::Retire { request_id, name } => self.submit_retirement(request_id, name),
        }
    }

    /// Abandons requests whose callers have gone, now and then.
    pub(super) fn sweep_abandoned(&mut self, now: Instant) {
        if now - self.swept_at < ABANDONED_SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for request_id in self.operator_requests.take_abandoned() {
            self.node.handle(self.clock.precise_now(), Input::Abandon { request_id });
        }
    }

    /// Reads the settings again. Of these, the seeds and what the reader of the platform's list needs change before the
    /// next start.
    pub(super) fn reload(&mut self, file: &Path) {
        match Settings::load(file) {
            Ok(settings) => {
                self.reader.configure(&settings);
                self.seeds.store(Arc::new(settings.seeds));
                log::info!("settings reloaded");
            }
            Err(error) => log::warn!(error:%; "settings not reloaded, the old ones stay active"),
        }
    }
}
