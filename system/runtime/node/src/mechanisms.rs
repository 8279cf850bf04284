//! Mechanisms of the program that can be switched off one by one on the command line, to measure the value of each.

use millrudder_settings::Settings;
use std::fmt;

/// Which mechanisms are on. In service all are; `--without NAME` switches one off for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Distances between regions count for the placement of replicas and the choice of stores and dispatchers.
    pub regions: bool,
    /// Few dispatchers send to one receiver of call-backs.
    pub receiver_homes: bool,
    /// Few dispatchers get the messages of one shard that are ordered or whose service has a rate limit.
    pub service_homes: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms { regions: true, receiver_homes: true, service_homes: true }
    }
}

/// `--without` names a mechanism that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no mechanism `{name}` (regions, receiver-homes, service-homes)")]
pub struct UnknownMechanism {
    /// The name.
    pub name: String,
}

impl Mechanisms {
    /// The same, with the mechanism of this name off.
    ///
    /// # Errors
    /// No mechanism has this name.
    pub fn without(self, name: &str) -> Result<Self, UnknownMechanism> {
        match name {
            "regions" => Ok(Mechanisms { regions: false, ..self }),
            "receiver-homes" => Ok(Mechanisms { receiver_homes: false, ..self }),
            "service-homes" => Ok(Mechanisms { service_homes: false, ..self }),
            _ => Err(UnknownMechanism { name: name.to_owned() }),
        }
    }

    /// Removes from the settings what a mechanism that is off would use.
    pub fn apply(self, settings: &mut Settings) {
        if !self.regions {
            settings.zones.clear();
        }
    }
}

impl fmt::Display for Mechanisms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = [
            ("regions", self.regions),
            ("receiver-homes", self.receiver_homes),
            ("service-homes", self.service_homes),
        ];
        let off: Vec<&str> = all.into_iter().filter(|(_, is_on)| !is_on).map(|(name, _)| name).collect();
        match off.is_empty() {
            true => formatter.write_str("all mechanisms"),
            false => write!(formatter, "without {}", off.join(", ")),
        }
    }
}
