//! Resources that a machine or process may use.

use crate::document::LimitsDocument;

/// Fraction of a core's time when the file names none.
const DEFAULT_CPU_FRACTION: f64 = 1.0;
/// Speed of the core, relative to one, when the file names none.
const DEFAULT_CORES: f64 = 1.0;
/// Memory of a process in bytes when the file names none: the smallest machine in use has a little more.
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
/// File descriptors of a process when the file names none: what a shell commonly allows.
const DEFAULT_FILE_DESCRIPTORS: u32 = 1_024;
/// Bandwidth of the machine's own link in megabits per second when the file names none.
const DEFAULT_LINK_MEGABITS_PER_SECOND: f64 = 1_000.0;

/// Resources that a process may use. Processor, link and disk are shared by the processes of a machine; memory and file
/// descriptors are limited for each process.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Fraction of a core's time, from 0 to 1.
    pub cpu_fraction: f64,
    /// How many times as fast as one core the machine's processor runs.
    pub cores: f64,
    /// Memory of this process in bytes.
    pub memory_bytes: u64,
    /// File descriptors of this process.
    pub file_descriptors: u32,
    /// Bandwidth of the machine's link in megabits per second.
    pub link_megabits_per_second: f64,
    /// Disk of the machine in bytes; 0 where it has none.
    pub disk_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cpu_fraction: DEFAULT_CPU_FRACTION,
            cores: DEFAULT_CORES,
            memory_bytes: DEFAULT_MEMORY_BYTES,
            file_descriptors: DEFAULT_FILE_DESCRIPTORS,
            link_megabits_per_second: DEFAULT_LINK_MEGABITS_PER_SECOND,
            disk_bytes: 0,
        }
    }
}

impl From<LimitsDocument> for Limits {
    fn from(document: LimitsDocument) -> Self {
        let default = Self::default();
        let link = document.link_mbps.map(|megabits| megabits.0);
        Self {
            cpu_fraction: document.cpu_share.map_or(default.cpu_fraction, |share| share.0),
            cores: document.cores.map_or(default.cores, |cores| cores.0),
            memory_bytes: document.memory_mb.map_or(default.memory_bytes, |megabytes| megabytes.0),
            file_descriptors: document.max_fds.unwrap_or(default.file_descriptors),
            link_megabits_per_second: link.unwrap_or(default.link_megabits_per_second),
            disk_bytes: document.disk_mb.map_or(default.disk_bytes, |megabytes| megabytes.0),
        }
    }
}
