//! Watches the frames of one HTTP/2 connection, both ways, for peers that cost more than they bring: floods, half
//! messages, readers that stall. No I/O and no clock: bytes and times go in, a verdict comes out.
//!
//! h2 has bounds of its own (streams, header lists, resets that wait to be accepted). This adds those that depend on
//! time, and names the cause, so that each has its counter.

/// RFC 9113, section 3.4.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEAD: usize = 9;
/// A header list within its bound fits into one HEADERS frame and a few CONTINUATIONs of 16 KiB (CVE-2024-27316:
/// endless ones).
const MOST_CONTINUATIONS: u32 = 8;
/// Control frames that a call brings with it: window updates of both levels, a SETTINGS ACK, and the PINGs by which
/// gRPC's clients measure the bandwidth-delay product.
const FRAMES_PER_CALL: f64 = 8.0;
/// How many seconds of its allowance a connection may use at once.
const BURST_S: f64 = 2.0;

/// Frame types of RFC 9113, section 6.
mod kind {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    #[cfg(test)]
    pub const WINDOW_UPDATE: u8 = 8;
    pub const CONTINUATION: u8 = 9;
}
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
/// RFC 9113, section 7.
const PROTOCOL_ERROR: u32 = 1;
const REFUSED_STREAM: u32 = 7;

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// PINGs beyond those that calls bring with them (CVE-2019-9512).
    Ping,
    /// SETTINGS (CVE-2019-9515).
    Settings,
    /// Calls cancelled as soon as they are made (CVE-2023-44487).
    Reset,
    /// A header block without end (CVE-2024-27316).
    Continuation,
    /// PRIORITY, empty DATA, needless window updates, unknown frames (CVE-2019-9513, CVE-2019-9518).
    Other,
    /// No preface, or a header block that does not end in time.
    TooSlow,
    /// What is written to it is not taken.
    Stalled,
}

/// Bounds on one connection; times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Frames a second beyond what calls bring with them.
    pub control_frames: f64,
    /// Calls a second that may be cancelled, and twice as many at once.
    pub resets: f64,
    /// For the preface, and for a header block.
    pub request_time: f64,
    /// For the peer to take what is written.
    pub answer_time: f64,
}

/// Tokens that come back with time, or are earned.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    per_s: f64,
    at: f64,
}

impl Bucket {
    fn new(per_s: f64, now: f64) -> Self {
        Bucket { tokens: per_s * BURST_S, per_s, at: now }
    }

    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.per_s * BURST_S);
    }

    fn spend(&mut self, now: f64) -> bool {
        self.earn((now - self.at).max(0.0) / 1_000.0 * self.per_s);
        self.at = now;
        self.tokens -= 1.0;
        self.tokens >= 0.0
    }
}

/// Frame heads out of bytes as they come; payloads are passed over, but for the first bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Scanner {
    head: [u8; FRAME_HEAD],
    have: usize,
    /// Bytes of the payload still to come.
    left: usize,
    /// The payload's first 4 bytes: the error code of RST_STREAM.
    first: [u8; 4],
    payload: usize,
}

#[derive(Clone, Copy, Debug)]
struct Frame {
    stream: u32,
    kind: u8,
    flags: u8,
    length: usize,
    first: u32,
}

impl Scanner {
    /// Takes bytes up to a frame's end; gives that frame and how many bytes were taken.
    fn take(&mut self, bytes: &[u8]) -> (usize, Option<Frame>) {
        let mut taken = 0;
        if self.have < FRAME_HEAD {
            let part = (FRAME_HEAD - self.have).min(bytes.len());
            self.head[self.have..self.have + part].copy_from_slice(&bytes[..part]);
            self.have += part;
            taken = part;
            if self.have < FRAME_HEAD {
                return (taken, None);
            }
            self.left = self.length();
            self.payload = 0;
            self.first = [0; 4];
        }
        let part = self.left.min(bytes.len() - taken);
        for byte in &bytes[taken..taken + part.min(4_usize.saturating_sub(self.payload))] {
            self.first[self.payload] = *byte;
            self.payload += 1;
        }
        self.left -= part;
        taken += part;
        if self.left > 0 {
            return (taken, None);
        }
        self.have = 0;
        let [.., a, b, c, d] = self.head;
        let frame = Frame {
            stream: u32::from_be_bytes([a, b, c, d]),
            kind: self.head[3],
            flags: self.head[4],
            length: self.length(),
            first: u32::from_be_bytes(self.first),
        };
        (taken, Some(frame))
    }

    fn length(&self) -> usize {
        usize::from(self.head[0]) << 16 | usize::from(self.head[1]) << 8 | usize::from(self.head[2])
    }
}

pub struct Meter {
    bounds: Bounds,
    opened: f64,
    /// Bytes of the preface that have come.
    preface: usize,
    inbound: Scanner,
    outbound: Scanner,
    control: Bucket,
    resets: Bucket,
    /// A header block is open: since when, and its CONTINUATIONs.
    block: Option<(f64, u32)>,
    /// A write finds no room since then.
    blocked: Option<f64>,
    calls: u64,
    /// The stream whose headers went out last.
    answered: u32,
    refused: Refusals,
}

/// Streams that were refused by h2 itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Over the bound on calls at once.
    pub streams: u64,
    /// Over the bound on a header list.
    pub headers: u64,
}

impl Meter {
    pub fn new(bounds: Bounds, now: f64) -> Self {
        Meter {
            bounds,
            opened: now,
            preface: 0,
            inbound: Scanner::default(),
            outbound: Scanner::default(),
            control: Bucket::new(bounds.control_frames, now),
            resets: Bucket::new(bounds.resets, now),
            block: None,
            blocked: None,
            calls: 0,
            answered: 0,
            refused: Refusals::default(),
        }
    }

    /// Bytes have come.
    ///
    /// # Errors
    /// They are more than this connection may cost.
    pub fn read(&mut self, mut bytes: &[u8], now: f64) -> Result<(), Cause> {
        let start = (PREFACE.len() - self.preface).min(bytes.len());
        // Whether it is the preface at all is h2's to say.
        self.preface += start;
        bytes = &bytes[start..];
        while !bytes.is_empty() {
            let (taken, frame) = self.inbound.take(bytes);
            bytes = &bytes[taken..];
            if let Some(frame) = frame {
                self.judge(frame, now)?;
            }
        }
        Ok(())
    }

    fn judge(&mut self, frame: Frame, now: f64) -> Result<(), Cause> {
        let cause = match frame.kind {
            kind::HEADERS => {
                self.calls += 1;
                self.control.earn(FRAMES_PER_CALL);
                self.block = (frame.flags & END_HEADERS == 0).then_some((now, 0));
                return Ok(());
            }
            kind::CONTINUATION => {
                let (since, before) = self.block.unwrap_or((now, 0));
                self.block = (frame.flags & END_HEADERS == 0).then_some((since, before + 1));
                return if before < MOST_CONTINUATIONS { Ok(()) } else { Err(Cause::Continuation) };
            }
            kind::RST_STREAM => {
                return if self.resets.spend(now) { Ok(()) } else { Err(Cause::Reset) };
            }
            kind::DATA if frame.length > 0 || frame.flags & END_STREAM != 0 => return Ok(()),
            // The answer to our own.
            kind::SETTINGS | kind::PING if frame.flags & ACK != 0 => return self.spend(now, Cause::Other),
            kind::PING => Cause::Ping,
            kind::SETTINGS => Cause::Settings,
            _ => Cause::Other,
        };
        self.spend(now, cause)
    }

    fn spend(&mut self, now: f64, cause: Cause) -> Result<(), Cause> {
        if self.control.spend(now) {
            Ok(())
        } else {
            Err(cause)
        }
    }

    /// Bytes have been written, the peer's machine has taken them.
    pub fn wrote(&mut self, mut bytes: &[u8]) {
        self.blocked = None;
        while !bytes.is_empty() {
            let (taken, frame) = self.outbound.take(bytes);
            bytes = &bytes[taken..];
            match frame {
                Some(frame) if frame.kind == kind::HEADERS => self.answered = frame.stream,
                Some(frame) if frame.kind == kind::RST_STREAM => {
                    self.refused.streams += u64::from(frame.first == REFUSED_STREAM);
                    // h2 answers 431 to a header list that is too large, and then resets the stream.
                    let answered = frame.stream == self.answered;
                    self.refused.headers += u64::from(answered && frame.first == PROTOCOL_ERROR);
                }
                _ => {}
            }
        }
    }

    /// A write found no room.
    pub fn write_blocked(&mut self, now: f64) {
        self.blocked.get_or_insert(now);
    }

    /// What only time tells; to be asked now and then.
    ///
    /// # Errors
    /// The connection has had its time.
    pub fn check(&self, now: f64) -> Result<(), Cause> {
        let bounds = &self.bounds;
        let silent = self.preface < PREFACE.len() && now - self.opened >= bounds.request_time;
        let half = self.block.is_some_and(|(since, _)| now - since >= bounds.request_time);
        match () {
            () if silent || half => Err(Cause::TooSlow),
            () if self.blocked.is_some_and(|since| now - since >= bounds.answer_time) => Err(Cause::Stalled),
            () => Ok(()),
        }
    }

    /// Calls that have come so far.
    #[cfg(test)]
    fn calls(&self) -> u64 {
        self.calls
    }

    /// Streams refused since this was last asked.
    pub fn take_refused(&mut self) -> Refusals {
        std::mem::take(&mut self.refused)
    }
}

#[cfg(test)]
mod tests;
