//! Ports on loopback that no other test takes meanwhile.
//!
//! A block of ports is locked by a file for as long as it is held. All blocks lie below the ports that Linux gives to
//! outgoing connections, so a process that is stopped and started again finds its ports free.

use serde::{Serialize, Serializer};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use thiserror::Error;

const FIRST_PORT: u16 = 10_000;
/// Linux gives outgoing connections ports from 32,768 on.
const END_PORT: u16 = 32_000;
const PORTS_PER_BLOCK: u16 = 32;
/// The first half of a block are named ports, the second half is the internal range.
const NAMED_PORTS: u16 = 16;
const BLOCKS: u16 = (END_PORT - FIRST_PORT) / PORTS_PER_BLOCK;
const LOCK_FOLDER: &str = "millrudder-port-locks";

/// Why no ports could be had.
#[derive(Debug, Error)]
pub enum PortError {
    /// A lock file could not be made.
    #[error("cannot lock ports with {path}")]
    Lock {
        /// The lock file or its folder.
        path: PathBuf,
        /// What the machine said.
        source: io::Error,
    },
    /// Every block is taken.
    #[error("all {BLOCKS} blocks of ports are taken")]
    AllTaken,
}

/// Ports from the first to the second, both included; `[first, last]` in the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl Serialize for PortRange {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        [self.first, self.last].serialize(serializer)
    }
}

/// A block of ports, free on loopback and locked against other tests until it is dropped.
#[derive(Debug)]
pub struct PortBlock {
    first: u16,
    _lock: File,
}

impl PortBlock {
    /// Reserves a block.
    ///
    /// # Errors
    /// If none is free, or a lock file cannot be made.
    pub fn reserve() -> Result<Self, PortError> {
        let folder = std::env::temp_dir().join(LOCK_FOLDER);
        fs::create_dir_all(&folder).map_err(|source| PortError::Lock { path: folder.clone(), source })?;
        let start = std::process::id() % u32::from(BLOCKS);
        for offset in 0..u32::from(BLOCKS) {
            let number = ((start + offset) % u32::from(BLOCKS)) as u16;
            if let Some(block) = Self::try_reserve(&folder, number)? {
                return Ok(block);
            }
        }
        Err(PortError::AllTaken)
    }

    fn try_reserve(folder: &Path, number: u16) -> Result<Option<Self>, PortError> {
        let path = folder.join(format!("{number}.lock"));
        let opened = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
        let lock = opened.map_err(|source| PortError::Lock { path: path.clone(), source })?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(None),
            Err(TryLockError::Error(source)) => return Err(PortError::Lock { path, source }),
        }
        let first = FIRST_PORT + number * PORTS_PER_BLOCK;
        let free = (first..first + PORTS_PER_BLOCK).all(is_free);
        Ok(free.then_some(Self { first, _lock: lock }))
    }

    /// A port with a use of its own, from 0 to 15.
    ///
    /// # Panics
    /// If `index` is above 15.
    pub fn named(&self, index: u16) -> u16 {
        assert!(index < NAMED_PORTS, "a block has {NAMED_PORTS} named ports");
        self.first + index
    }

    /// The range for processes to talk to each other, 16 ports.
    pub fn internal(&self) -> PortRange {
        PortRange { first: self.first + NAMED_PORTS, last: self.first + PORTS_PER_BLOCK - 1 }
    }
}

fn is_free(port: u16) -> bool {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
