//! The history of operators' requests and responses.

use std::fmt;

/// Identifies the content of a configuration: equal for equal bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId(pub u64);

/// A configuration as an operator sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Its content.
    pub body: ContentId,
}

impl Configuration {
    /// Encodes the configuration.
    pub fn bytes(&self) -> Vec<u8> {
        format!("{} {}", self.version, self.body.0).into_bytes()
    }

    /// Decodes a configuration; `None` if the bytes are none.
    pub fn from_bytes(bytes: &[u8]) -> Option<Configuration> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (version, body) = text.split_once(' ')?;
        Some(Configuration { version: version.parse().ok()?, body: ContentId(body.parse().ok()?) })
    }
}

/// A request of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// Replace the configuration if its current version is the expected one.
    Put {
        /// The expected version.
        expected: u64,
        /// The new configuration.
        configuration: Configuration,
    },
    /// Read the current configuration.
    Get,
}

/// The response of a core machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// 200 to a `Put`.
    Accepted,
    /// 412: another version is current.
    Conflict,
    /// 400: its version is not higher than the current one.
    NotHigher,
    /// 200 or 404 to a `Get`.
    Current(Option<Configuration>),
    /// 5xx: the outcome is unknown.
    Unavailable,
}

/// A request of an operator, with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// The operator.
    pub operator: usize,
    /// The core machine that was called.
    pub machine: usize,
    /// The request.
    pub request: Request,
    /// Position of the invocation in the order of all invocations and responses.
    pub invoked: u64,
    /// Position of the response in that order, and the response; `None` without a definite one.
    pub responded: Option<(u64, Response)>,
}

impl fmt::Display for Operation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "[{:>5} ", self.invoked)?;
        match self.responded {
            Some((at, _)) => write!(out, "{at:>5}]")?,
            None => write!(out, "  ...]")?,
        }
        write!(out, " operator {} at core {}: ", self.operator, self.machine)?;
        match self.request {
            Request::Get => write!(out, "Get")?,
            Request::Put { expected, configuration } => {
                let Configuration { version, body } = configuration;
                write!(out, "Put {version} (body {}) on {expected}", body.0)?;
            }
        }
        match self.responded {
            Some((_, Response::Accepted)) => write!(out, " -> accepted"),
            Some((_, Response::Conflict)) => write!(out, " -> conflict"),
            Some((_, Response::NotHigher)) => write!(out, " -> not higher"),
            Some((_, Response::Current(None))) => write!(out, " -> nothing"),
            Some((_, Response::Current(Some(Configuration { version, body })))) => {
                write!(out, " -> {version} (body {})", body.0)
            }
            Some((_, Response::Unavailable)) | None => write!(out, " -> no definite response"),
        }
    }
}

/// All operations of a run, in the order of their invocations.
#[derive(Clone, Debug, Default)]
pub struct History {
    operations: Vec<Operation>,
    next: u64,
}

impl History {
    /// Records an invocation. Returns the operation's index.
    pub fn call(&mut self, operator: usize, machine: usize, request: Request) -> usize {
        let invoked = self.tick();
        self.operations.push(Operation { operator, machine, request, invoked, responded: None });
        self.operations.len() - 1
    }

    /// Records a response; one without an outcome leaves the operation open.
    pub fn response(&mut self, index: usize, response: Response) {
        let at = self.tick();
        if response != Response::Unavailable {
            self.operations[index].responded.get_or_insert((at, response));
        }
    }

    /// The operations so far, in the order of their invocations.
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    fn tick(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
