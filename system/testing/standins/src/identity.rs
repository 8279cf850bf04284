//! Names of what the protocol speaks about, each a type of its own.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// The name as it is written on the wire.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as it is written on the wire.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// One incarnation of a worker (`instanceId`).
    InstanceId
}
name_type! {
    /// What a message is called once it is accepted (`X-Message-Id`, else the request's id).
    MessageId
}
name_type! {
    /// One try of a client (`X-Request-Id`).
    RequestId
}
name_type! {
    /// The thing that messages on a `fifo` route concern (`X-Order-Key`).
    OrderKey
}
name_type! {
    /// A service, called `backend` on the wire.
    ServiceName
}
name_type! {
    /// A zone of machines.
    ZoneName
}
name_type! {
    /// A machine of the system (`nodeName`).
    NodeName
}
name_type! {
    /// A process of the system, as a test names it.
    ProcessName
}
