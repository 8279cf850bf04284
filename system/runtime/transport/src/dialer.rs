//! Keeps a connection to an address open.

use crate::connect_backoff::ConnectBackoff;
use crate::connection::{run, LinkEvent};
use crate::outbox::Outbox;
use speedy::{LittleEndian, Readable};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// A connection that is opened anew whenever it ends; dropped, it ends for good.
pub struct Dialer {
    current: Rc<RefCell<Outbox>>,
    task: JoinHandle<()>,
}

impl Dialer {
    /// Starts to connect to `address`, again and again until it is dropped. `report` gets each connection's events, with its
    /// outbox.
    pub fn start<M, F>(address: SocketAddr, mut report: F) -> Self
    where
        M: for<'a> Readable<'a, LittleEndian> + 'static,
        F: FnMut(&Outbox, LinkEvent<M>) + 'static,
    {
        let current = Rc::new(RefCell::new(Outbox::default()));
        let slot = Rc::clone(&current);
        let task = tokio::task::spawn_local(async move {
            let mut backoff = ConnectBackoff::default();
            loop {
                let started = Instant::now();
                let was_connected = connect_once(address, backoff.timeout(), &slot, &mut report).await;
                sleep(backoff.attempt_ended(was_connected, started.elapsed())).await;
            }
        });
        Dialer { current, task }
    }

    /// The outbox of the connection that is open now, or of the last one, which is closed.
    pub fn outbox(&self) -> Outbox {
        self.current.borrow().clone()
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.current.borrow().close();
        self.task.abort();
    }
}

/// Drives one connection from its opening to its end; false if it did not open.
async fn connect_once<M, F>(
    address: SocketAddr,
    connect_timeout: Duration,
    slot: &Rc<RefCell<Outbox>>,
    report: &mut F,
) -> bool
where
    M: for<'a> Readable<'a, LittleEndian>,
    F: FnMut(&Outbox, LinkEvent<M>),
{
    let stream = match connect(address, connect_timeout).await {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!(address:%, error:%; "connection attempt failed");
            return false;
        }
    };
    let outbox = Outbox::default();
    slot.replace(outbox.clone());
    report(&outbox, LinkEvent::Opened);
    let reason = run(stream, &outbox, |message| report(&outbox, LinkEvent::Message(message))).await;
    log::debug!(address:%, error:% = reason; "connection closed");
    report(&outbox, LinkEvent::Closed(reason));
    true
}

async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
