//! Mechanisms of the program that a trial can switch off one by one, to measure what each is worth.

use millrudder_settings::Settings;
use std::fmt;

/// All are on in service; `--without NAME` switches one off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Distances between regions count: for where replicas are, who is written to, granted to and accepts.
    pub regions: bool,
    /// Few dispatchers speak with one receiver of call-backs.
    pub receiver_homes: bool,
    /// Few dispatchers get the messages that one shard grants: ordered ones, and those of a service with a ceiling.
    pub service_homes: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms { regions: true, receiver_homes: true, service_homes: true }
    }
}

/// No mechanism has this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no mechanism `{name}` (regions, receiver-homes, service-homes)")]
pub struct UnknownMechanism {
    pub name: String,
}

impl Mechanisms {
    /// Switches one off.
    ///
    /// # Errors
    /// None has this name.
    pub fn without(self, name: &str) -> Result<Self, UnknownMechanism> {
        match name {
            "regions" => Ok(Mechanisms { regions: false, ..self }),
            "receiver-homes" => Ok(Mechanisms { receiver_homes: false, ..self }),
            "service-homes" => Ok(Mechanisms { service_homes: false, ..self }),
            _ => Err(UnknownMechanism { name: name.to_owned() }),
        }
    }

    /// Changes the settings to what the process is to see.
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
