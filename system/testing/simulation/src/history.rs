//! What operators asked and what they were answered.

use std::fmt;

/// Name of a configuration's bytes: equal for equal bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId(pub u64);

/// A configuration as an operator sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Configuration {
    /// Its own number.
    pub version: u64,
    pub body: ContentId,
}

impl Configuration {
    /// The bytes that travel.
    pub fn bytes(&self) -> Vec<u8> {
        format!("{} {}", self.version, self.body.0).into_bytes()
    }

    /// The configuration of these bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Configuration> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (version, body) = text.split_once(' ')?;
        Some(Configuration { version: version.parse().ok()?, body: ContentId(body.parse().ok()?) })
    }
}

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// Put a configuration into force on top of a version.
    Put {
        expected: u64,
        configuration: Configuration,
    },
    Get,
}

/// What a machine answers.
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
    /// 5xx: nothing is said.
    Unavailable,
}

/// One call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Who asked.
    pub operator: usize,
    /// Which core machine was asked.
    pub machine: usize,
    pub request: Request,
    /// Place of the call among all calls and answers.
    pub invoked: u64,
    /// Place of the answer, and what it said; nothing where no clear answer came.
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
            Some((_, Response::Unavailable)) | None => write!(out, " -> no clear response"),
        }
    }
}

/// All calls of a run, in the order in which they began.
#[derive(Clone, Debug, Default)]
pub struct History {
    operations: Vec<Operation>,
    next: u64,
}

impl History {
    /// An operator calls. Gives the operation's index.
    pub fn call(&mut self, operator: usize, machine: usize, request: Request) -> usize {
        let invoked = self.tick();
        self.operations.push(Operation { operator, machine, request, invoked, responded: None });
        self.operations.len() - 1
    }

    /// An answer arrived; one that says nothing leaves the operation open.
    pub fn response(&mut self, index: usize, response: Response) {
        let at = self.tick();
        if response != Response::Unavailable {
            self.operations[index].responded.get_or_insert((at, response));
        }
    }

    /// The operations so far.
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    fn tick(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
