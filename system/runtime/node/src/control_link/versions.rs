//! Versions of the control state.

/// Versions of the control state that a process has adopted, or that a core machine has confirmed as the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdoptedVersions {
    /// Version of the configuration; zero before there is one.
    pub configuration_version: u64,
    /// Epoch of the placement; zero before there is one.
    pub placement_epoch: u64,
}

impl AdoptedVersions {
    /// True if no version of `other` is newer than this one's.
    pub fn covers(self, other: AdoptedVersions) -> bool {
        self.configuration_version >= other.configuration_version
            && self.placement_epoch >= other.placement_epoch
    }
}
