//! Watchdog: scans for orphaned messages and call-backs and schedules them again. They are orphaned if they are
//! due but no timer, queue or dispatcher would ever move them on.
//!
//! Each orphan is the symptom of a bug, for example a service that was not marked runnable, or a dispatcher
//! that lost a grant. Each is therefore also reported to the shell, which counts and logs it.

use super::StoreNode;
use crate::api::{OrphanCause, Output};
use crate::entry::Entry;
use crate::message_table::MessageTable;
use crate::primary_entry::{Lease, Stage};
use crate::scheduling::ServiceIndex;
use crate::time::Instant;
use crate::timers::Timer;
use millrudder_protocol::MessageId;
use std::time::Duration;

/// Every message is checked about once in this many scans.
const SCANS_PER_PASS: u64 = 3;
/// Minimum number of messages that one scan checks.
const MIN_MESSAGES_PER_SCAN: u64 = 256;
/// A message that is overdue by more than this is orphaned; timers normally fire within one iteration of the
/// event loop.
const ORPHANED_AFTER: Duration = Duration::from_millis(500);

/// State of the scan for orphaned messages.
#[derive(Clone, Debug, Default)]
pub(super) struct Watchdog {
    /// A scan is due. It runs after all other due timers have fired.
    is_due: bool,
    /// The last message that was checked; `None` at the start of a pass.
    position: Option<MessageId>,
}

impl Watchdog {
    pub fn set_due(&mut self) {
        self.is_due = true;
    }

    /// Returns whether a scan is due, and resets the flag.
    pub fn take_due(&mut self) -> bool {
        std::mem::take(&mut self.is_due)
    }

    /// Returns the next messages to check, in the order of their identifiers. A new pass starts after the last
    /// message.
    fn next_batch(&mut self, table: &MessageTable) -> Vec<MessageId> {
        let count = (table.count() / SCANS_PER_PASS).max(MIN_MESSAGES_PER_SCAN);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let ids: Vec<MessageId> = table.ids_after(self.position).take(count).collect();
        self.position = ids.last().copied().filter(|_| ids.len() == count);
        ids
    }
}

impl StoreNode {
    pub(super) fn set_watchdog_timer(&mut self) {
        if !self.context.config.watchdog_interval.is_zero() {
            self.context
                .timers
                .set(self.context.now + self.context.config.watchdog_interval, Timer::Watchdog);
        }
    }

    /// Runs one scan.
    pub(super) fn run_watchdog(&mut self) {
        self.set_watchdog_timer();
        self.check_services();
        self.check_callbacks();
        for id in self.watchdog.next_batch(&self.table) {
            if let Some(cause) = self.orphan_cause(id) {
                self.reschedule_orphan(id, cause);
            }
        }
    }

    fn report_orphan(&mut self, id: MessageId, cause: OrphanCause) {
        self.context.outputs.push(Output::Orphaned { id, cause });
    }

    /// Grants from services that could grant a message although they were not marked runnable, and reports
    /// their messages.
    fn check_services(&mut self) {
        let indexes: Vec<ServiceIndex> = self.services.indexes().collect();
        for index in indexes {
            let service = self.services.get_mut(index);
            let waits_for_permit =
                service.permit_at().is_some_and(|at| at + ORPHANED_AFTER > self.context.now);
            let first = service.first_ready(self.context.now);
            if waits_for_permit || self.services.is_runnable(index) {
                continue;
            }
            while self.grant_first_ready(index) {
                if let Some(key) = first {
                    self.report_orphan(key.id, OrphanCause::NotGranted);
                }
            }
        }
    }

    /// Reschedules call-backs that a dispatcher has not reported on for too long, and tries all receivers again
    /// in case one was not marked runnable.
    fn check_callbacks(&mut self) {
        let before = self.context.now - self.context.config.callback_timeout;
        for id in self.callbacks.granted_before(before) {
            self.remove_callback_lease(id);
            self.callbacks.release(id, self.context.now);
            self.report_orphan(id, OrphanCause::CallbackForgotten);
        }
        self.callbacks.mark_all_runnable();
    }

    /// Why a message is orphaned, or `None` if it is not.
    fn orphan_cause(&self, id: MessageId) -> Option<OrphanCause> {
        let entry = self.table.get(id)?;
        let primary = entry.primary.as_ref()?;
        if !self.primary_terms.is_serving(id.shard) {
            return None;
        }
        let is_durable = primary.is_durable();
        let is_late = |at: Instant| self.context.now.saturating_duration_since(at) > ORPHANED_AFTER;
        match primary.stage() {
            Stage::Persisting if is_durable && !primary.has_pending_effects() => {
                Some(OrphanCause::NotScheduled)
            }
            Stage::BackingOff { until } if is_late(until) => Some(OrphanCause::NotWoken),
            Stage::WaitingForKey if self.is_first_of_key(id) => Some(OrphanCause::NotScheduled),
            Stage::InFlight(lease) if self.has_no_holder(id, lease) => Some(OrphanCause::LeaseForgotten),
            Stage::Ended if is_durable && entry.has_pending_callback() && !self.callbacks.is_pending(id) => {
                Some(OrphanCause::CallbackNotScheduled)
            }
            _ => None,
        }
    }

    fn is_first_of_key(&self, id: MessageId) -> bool {
        let key = self.table.get(id).and_then(Entry::order_key);
        key.is_some_and(|key| self.keys.may_activate(key, id))
    }

    /// Whether no dispatcher holds the lease: its incarnation is unknown, or it has failed to announce the
    /// lease in time.
    fn has_no_holder(&self, id: MessageId, lease: Lease) -> bool {
        let confirmation =
            self.dispatchers.get(lease.dispatcher).and_then(|incarnation| incarnation.confirmation_of(id));
        confirmation.is_none_or(|confirmation| confirmation.has_lapsed(self.context.now - ORPHANED_AFTER))
    }

    fn reschedule_orphan(&mut self, id: MessageId, cause: OrphanCause) {
        self.report_orphan(id, cause);
        match cause {
            OrphanCause::NotScheduled => self.schedule(id),
            OrphanCause::NotWoken => self.handle_backoff_over(id),
            OrphanCause::LeaseForgotten => {
                let wait = self.count_unknown_outcome(id);
                self.reschedule(id, wait);
            }
            OrphanCause::CallbackNotScheduled => self.enqueue_callback(id),
            OrphanCause::NotGranted | OrphanCause::CallbackForgotten => {}
        }
    }
}
