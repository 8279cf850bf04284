//! Call-backs that stores granted: their leases, attempts and reports.

use super::{send_reports, Delivery};
use crate::callbacks::{self, CallBackDecision, GrantedCallBack};
use crate::interface::*;
use crate::reports::LeaseKey;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::StoreId;

impl Delivery {
    pub(super) fn on_call_back(
        &mut self,
        now: u64,
        store: StoreId,
        key: LeaseKey,
        end: End,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        if self.reports.has_ended(key) {
            return;
        }
        let url = message.callback_url.as_deref().and_then(callbacks::parse_url);
        let body = callbacks::body(&message.request_id, end);
        let already_accepted = self.reports.is_call_back_done(key.id);
        let (Some(url), Some(body), false) = (url, body, already_accepted) else {
            // The receiver has accepted it already, or the URL is unusable, or this end is not called back.
            let due = self.reports.add(now, store, key, callbacks::report(key, true, 0));
            return send_reports(vec![due], out);
        };
        let mut decisions = Vec::new();
        if self.shutting_down {
            let message = callbacks::report(key, false, 0);
            decisions.push(CallBackDecision::Report { store, key, message });
        } else {
            let granted = GrantedCallBack { store, key, url, body };
            let attempts = &mut self.attempts;
            self.callbacks.grant(now, granted, &mut || attempts.next_id(), &mut decisions);
        }
        self.carry_out_call_backs(now, decisions, out);
    }

    pub(super) fn on_call_back_result(
        &mut self,
        now: u64,
        attempt: AttemptId,
        result: CallBackResult,
        out: &mut Vec<Output>,
    ) {
        let mut decisions = Vec::new();
        let attempts = &mut self.attempts;
        self.callbacks.end(now, attempt, result, &mut || attempts.next_id(), &mut decisions);
        self.carry_out_call_backs(now, decisions, out);
    }

    /// Sends the call-backs that waited for the end of their receiver's pause.
    pub(super) fn resume_call_backs(&mut self, now: u64, out: &mut Vec<Output>) {
        let mut decisions = Vec::new();
        let attempts = &mut self.attempts;
        self.callbacks.resume(now, &mut || attempts.next_id(), &mut decisions);
        self.carry_out_call_backs(now, decisions, out);
    }

    pub(super) fn carry_out_call_backs(
        &mut self,
        now: u64,
        decisions: Vec<CallBackDecision>,
        out: &mut Vec<Output>,
    ) {
        for decision in decisions {
            match decision {
                CallBackDecision::Send { attempt, url, body } => {
                    let timeout_ms = callbacks::TIMEOUT_MS;
                    out.push(Output::SendCallBack { attempt, url, body, timeout_ms });
                }
                CallBackDecision::Report { store, key, message } => {
                    let due = self.reports.add(now, store, key, message);
                    send_reports(vec![due], out);
                }
            }
        }
    }
}
