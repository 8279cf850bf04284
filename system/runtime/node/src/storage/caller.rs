//! Callers of a store.

use millrudder_protocol::StoreId;

/// Who is at the other end of a connection that was opened to this store.
#[derive(Clone, Copy)]
pub enum Caller {
    /// A process that means this store, and has sent nothing more.
    Unidentified,
    /// A dispatcher.
    Dispatcher,
    /// Another store.
    Store {
        /// Its identity.
        id: StoreId,
    },
}
