//! Bounded table of the replies to recent requests, used to apply a resubmitted request only once.

use std::collections::{BTreeMap, VecDeque};

use speedy::{Context, Readable, Reader, Writable, Writer};

use crate::RequestId;

/// Number of retained replies. Must be the same at all members, since it determines whether a resubmitted request is
/// applied again.
///
/// A caller retries for some seconds. At one command per five milliseconds, the table covers five seconds. A later
/// retry is applied again, so commands must be conditional on the state that they expect.
pub(crate) const RETAINED_REPLIES: usize = 1024;

/// Replies to the most recent requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replies {
    /// Requests in the order of insertion, oldest first.
    order: VecDeque<RequestId>,
    replies: BTreeMap<RequestId, Vec<u8>>,
}

/// The encoded form of a reply with its request.
#[derive(Readable, Writable)]
struct RetainedReply {
    request_id: RequestId,
    reply: Vec<u8>,
}

impl Replies {
    /// The encoded reply to a request.
    pub(crate) fn get(&self, request_id: RequestId) -> Option<&[u8]> {
        self.replies.get(&request_id).map(Vec::as_slice)
    }

    /// Inserts a reply and removes the oldest one beyond the bound.
    pub(crate) fn insert(&mut self, request_id: RequestId, reply: Vec<u8>) {
        if self.replies.insert(request_id, reply).is_some() {
            return;
        }
        self.order.push_back(request_id);
        if self.order.len() > RETAINED_REPLIES {
            let oldest = self.order.pop_front();
            oldest.map(|request_id| self.replies.remove(&request_id));
        }
    }

    fn retained(&self) -> Vec<RetainedReply> {
        let reply = |request_id: &RequestId| self.get(*request_id).map(<[u8]>::to_vec).unwrap_or_default();
        let retained =
            |request_id: &RequestId| RetainedReply { request_id: *request_id, reply: reply(request_id) };
        self.order.iter().map(retained).collect()
    }
}

impl<C: Context> Writable<C> for Replies {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        self.retained().write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for Replies {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let mut replies = Replies::default();
        for RetainedReply { request_id, reply } in Vec::<RetainedReply>::read_from(reader)? {
            replies.insert(request_id, reply);
        }
        Ok(replies)
    }

    fn minimum_bytes_needed() -> usize {
        <Vec<RetainedReply> as Readable<'a, C>>::minimum_bytes_needed()
    }
}
