//! Bounded memory of the replies to recent requests.

use std::collections::{BTreeMap, VecDeque};

use speedy::{Context, Readable, Reader, Writable, Writer};

use crate::RequestId;

/// How many replies are remembered. All members must use the same number, since it decides whether a request that
/// comes again runs again.
///
/// A request comes again while its caller waits, which is seconds: at five milliseconds a command this is the memory
/// of five seconds. One that comes later still runs again, so commands must say what they build on.
pub(crate) const REMEMBERED_REPLIES: usize = 1024;

/// Replies to the most recent requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Replies {
    /// The oldest first.
    order: VecDeque<RequestId>,
    replies: BTreeMap<RequestId, Vec<u8>>,
}

/// A reply as it is written.
#[derive(Readable, Writable)]
struct Remembered {
    request_id: RequestId,
    reply: Vec<u8>,
}

impl Replies {
    /// The encoded reply to a request.
    pub(crate) fn get(&self, request_id: RequestId) -> Option<&[u8]> {
        self.replies.get(&request_id).map(Vec::as_slice)
    }

    /// Remembers a reply and forgets the oldest one beyond the bound.
    pub(crate) fn remember(&mut self, request_id: RequestId, reply: Vec<u8>) {
        if self.replies.insert(request_id, reply).is_some() {
            return;
        }
        self.order.push_back(request_id);
        if self.order.len() > REMEMBERED_REPLIES {
            let oldest = self.order.pop_front();
            oldest.map(|request_id| self.replies.remove(&request_id));
        }
    }

    fn remembered(&self) -> Vec<Remembered> {
        let reply = |request_id: &RequestId| self.get(*request_id).map(<[u8]>::to_vec).unwrap_or_default();
        let remembered =
            |request_id: &RequestId| Remembered { request_id: *request_id, reply: reply(request_id) };
        self.order.iter().map(remembered).collect()
    }
}

impl<C: Context> Writable<C> for Replies {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        self.remembered().write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for Replies {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let mut replies = Replies::default();
        for Remembered { request_id, reply } in Vec::<Remembered>::read_from(reader)? {
            replies.remember(request_id, reply);
        }
        Ok(replies)
    }

    fn minimum_bytes_needed() -> usize {
        <Vec<Remembered> as Readable<'a, C>>::minimum_bytes_needed()
    }
}
