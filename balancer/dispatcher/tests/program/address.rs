//! Loopback addresses for the programs that tests start.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

static ISSUED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A loopback address that no other test uses: a host of this process's own, and a port that is free there and has not
/// been issued before. The port is not bound until the program binds it, so the system alone may choose it twice.
pub fn unused() -> SocketAddr {
    let pid = std::process::id();
    let host = format!("127.{}.{}.{}", 128 + pid / 65_536 % 64, pid / 256 % 256, pid % 256);
    loop {
        let address = TcpListener::bind((host.as_str(), 0)).unwrap().local_addr().unwrap();
        // A test that fails elsewhere leaves the set whole.
        if ISSUED.lock().unwrap_or_else(PoisonError::into_inner).insert(address) {
            return address;
        }
    }
}
