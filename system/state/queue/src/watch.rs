//! Watchdog: looks for messages that are due and call-backs that are owed, which nothing that is known here holds back,
//! and puts them on their way again.
//!
//! Each of them is a mistake somewhere: in what wakes a service, or at a dispatcher that forgot what it was granted. So
//! each is told to the shell as well, to be counted and logged.

use crate::api::{Output, StrayCause};
use crate::grants::order_key;
use crate::lead::{Lease, Stage};
use crate::node::StoreNode;
use crate::schedule::ServiceIndex;
use crate::time::Time;
use crate::timers::Timer;
use millrudder_protocol::MessageId;

/// Every message is looked at once in about so many looks.
const LOOKS_PER_ROUND: u64 = 3;
/// Messages that are looked at in one look at the least.
const LEAST_PER_LOOK: u64 = 256;
/// What is late by so much (ms) is late for no good reason: a timer goes off within one turn of the process.
const LATE_MS: u64 = 500;

impl StoreNode {
    pub(crate) fn set_watch_timer(&mut self) {
        if self.config.watch_interval_ms > 0 {
            self.timers.set(self.now.plus(self.config.watch_interval_ms), Timer::Watch);
        }
    }

    /// One look.
    pub(crate) fn watch(&mut self) {
        self.set_watch_timer();
        self.watch_services();
        self.watch_callbacks();
        for id in self.next_watched() {
            if let Some(cause) = self.stray(id) {
                self.put_right(id, cause);
            }
        }
    }

    fn note_stray(&mut self, id: MessageId, cause: StrayCause) {
        self.out.push(Output::Stray { id, cause });
    }

    /// Services are granted from whenever something changes; one that can be granted from now was not woken.
    fn watch_services(&mut self) {
        let indexes: Vec<ServiceIndex> = self.services.indexes().collect();
        for index in indexes {
            let service = self.services.get_mut(index);
            let waits_for_permit = service.permit_at.is_some_and(|at| at.plus(LATE_MS) > self.now);
            let first = service.first_ready(self.now);
            if waits_for_permit || self.services.wanted.contains(&index) {
                continue;
            }
            while self.grant_first(index) {
                if let Some(key) = first {
                    self.note_stray(key.id, StrayCause::NotGranted);
                }
            }
        }
    }

    /// Call-backs that a dispatcher has said nothing of for too long, and receivers that were not woken.
    fn watch_callbacks(&mut self) {
        let before = self.now.minus(self.config.callback_lease_ms);
        for id in self.callbacks.out_since(before) {
            self.forget_callback_lease(id);
            self.callbacks.give_back(id, self.now);
            self.note_stray(id, StrayCause::CallbackForgotten);
        }
        self.callbacks.want_all();
    }

    /// The next messages to look at, in the order of their names; begins anew behind the last one.
    fn next_watched(&mut self) -> Vec<MessageId> {
        let count = (self.table.count() / LOOKS_PER_ROUND).max(LEAST_PER_LOOK);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let ids: Vec<MessageId> = self.table.ids_after(self.watched).take(count).collect();
        self.watched = ids.last().copied().filter(|_| ids.len() == count);
        ids
    }

    /// Why a message lies though nothing holds it back; `None` for all that are where they belong.
    fn stray(&self, id: MessageId) -> Option<StrayCause> {
        let entry = self.table.get(id)?;
        let lead = entry.lead.as_ref()?;
        if !self.is_serving(id.shard) {
            return None;
        }
        let is_kept = lead.durable >= lead.version;
        let is_late = |at: Time| self.now.since(at) > LATE_MS;
        match lead.stage {
            Stage::Storing if is_kept && lead.waiting.is_empty() => Some(StrayCause::NotScheduled),
            Stage::Resting { until } if is_late(until) => Some(StrayCause::NotWoken),
            Stage::Queued if self.is_first_of_key(id) => Some(StrayCause::NotScheduled),
            Stage::Out(lease) if self.is_held_by_nobody(id, lease) => Some(StrayCause::LeaseForgotten),
            Stage::Over if is_kept && entry.owes_callback() && !self.callbacks.is_owed(id) => {
                Some(StrayCause::CallbackNotOwed)
            }
            _ => None,
        }
    }

    fn is_first_of_key(&self, id: MessageId) -> bool {
        let key = self.table.get(id).and_then(order_key);
        key.is_some_and(|key| self.keys.may_go(key, id))
    }

    /// Its dispatcher's life is not known any more, or the time in which it should have listed the lease is over.
    fn is_held_by_nobody(&self, id: MessageId, lease: Lease) -> bool {
        let hold = self.dispatchers.get(lease.dispatcher).and_then(|life| life.leases.get(&id));
        hold.is_none_or(|hold| hold.is_over(self.now.minus(LATE_MS)))
    }

    fn put_right(&mut self, id: MessageId, cause: StrayCause) {
        self.note_stray(id, cause);
        match cause {
            StrayCause::NotScheduled => self.schedule(id),
            StrayCause::NotWoken => self.wake(id),
            StrayCause::LeaseForgotten => {
                let wait_ms = self.note_unknown_end(id);
                self.grant_again(id, wait_ms);
            }
            StrayCause::CallbackNotOwed => self.owe_callback(id),
            StrayCause::NotGranted | StrayCause::CallbackForgotten => {}
        }
    }
}
