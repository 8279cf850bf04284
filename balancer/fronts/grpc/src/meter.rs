//! Watches the frames of one HTTP/2 connection, both ways, for peers that cost more than they bring: floods, half
//! messages, readers that stall. No I/O and no clock: bytes and times go in, a verdict comes out.
//!
//! h2 has bounds of its own (streams, header lists, resets that wait to be accepted). This adds those that depend on
//! time, and names the cause, so that each has its counter.

/// RFC 9113, section 3.4.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEADER_BYTES: usize = 9;
/// A header list within its bound fits into one HEADERS frame and a few CONTINUATIONs of 16 KiB (CVE-2024-27316:
/// endless ones).
const MAX_CONTINUATIONS: u32 = 8;
/// Control frames that a call brings with it: window updates of both levels, a SETTINGS ACK, and the PINGs by which
/// gRPC's clients measure the bandwidth-delay product.
const CONTROL_FRAMES_PER_CALL: f64 = 8.0;
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
pub enum CloseCause {
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
struct TokenBucket {
    tokens: f64,
    per_s: f64,
    refilled_at: f64,
}

impl TokenBucket {
    fn new(per_s: f64, now: f64) -> Self {
        TokenBucket { tokens: per_s * BURST_S, per_s, refilled_at: now }
    }

    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.per_s * BURST_S);
    }

    fn spend(&mut self, now: f64) -> bool {
        self.earn((now - self.refilled_at).max(0.0) / 1_000.0 * self.per_s);
        self.refilled_at = now;
        self.tokens -= 1.0;
        self.tokens >= 0.0
    }
}

/// Frame heads out of bytes as they come; payloads are passed over, but for the first bytes.
#[derive(Clone, Copy, Debug, Default)]
struct FrameScanner {
    head: [u8; FRAME_HEADER_BYTES],
    head_len: usize,
    /// Bytes of the payload still to come.
    payload_left: usize,
    /// The payload's first 4 bytes: the error code of RST_STREAM.
    first_bytes: [u8; 4],
    first_len: usize,
}

#[derive(Clone, Copy, Debug)]
struct Frame {
    stream: u32,
    kind: u8,
    flags: u8,
    length: usize,
    first_bytes: u32,
}

impl FrameScanner {
    /// Takes bytes up to a frame's end; gives that frame and how many bytes were taken.
    fn take(&mut self, bytes: &[u8]) -> (usize, Option<Frame>) {
        let mut taken = 0;
        if self.head_len < FRAME_HEADER_BYTES {
            let part = (FRAME_HEADER_BYTES - self.head_len).min(bytes.len());
            self.head[self.head_len..self.head_len + part].copy_from_slice(&bytes[..part]);
            self.head_len += part;
            taken = part;
            if self.head_len < FRAME_HEADER_BYTES {
                return (taken, None);
            }
            self.payload_left = self.length();
            self.first_len = 0;
            self.first_bytes = [0; 4];
        }
        let part = self.payload_left.min(bytes.len() - taken);
        for byte in &bytes[taken..taken + part.min(4_usize.saturating_sub(self.first_len))] {
            self.first_bytes[self.first_len] = *byte;
            self.first_len += 1;
        }
        self.payload_left -= part;
        taken += part;
        if self.payload_left > 0 {
            return (taken, None);
        }
        self.head_len = 0;
        let [.., a, b, c, d] = self.head;
        let frame = Frame {
            stream: u32::from_be_bytes([a, b, c, d]),
            kind: self.head[3],
            flags: self.head[4],
            length: self.length(),
            first_bytes: u32::from_be_bytes(self.first_bytes),
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
    preface_len: usize,
    inbound: FrameScanner,
    outbound: FrameScanner,
    control: TokenBucket,
    resets: TokenBucket,
    /// A header block is open: since when, and its CONTINUATIONs.
    header_block: Option<(f64, u32)>,
    /// A write finds no room since then.
    write_blocked_since: Option<f64>,
    calls: u64,
    /// The stream whose headers went out last.
    last_answered_stream: u32,
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
            preface_len: 0,
            inbound: FrameScanner::default(),
            outbound: FrameScanner::default(),
            control: TokenBucket::new(bounds.control_frames, now),
            resets: TokenBucket::new(bounds.resets, now),
            header_block: None,
            write_blocked_since: None,
            calls: 0,
            last_answered_stream: 0,
            refused: Refusals::default(),
        }
    }

    /// Bytes have come.
    ///
    /// # Errors
    /// They are more than this connection may cost.
    pub fn on_read(&mut self, mut bytes: &[u8], now: f64) -> Result<(), CloseCause> {
        let start = (PREFACE.len() - self.preface_len).min(bytes.len());
        // Whether it is the preface at all is h2's to say.
        self.preface_len += start;
        bytes = &bytes[start..];
        while !bytes.is_empty() {
            let (taken, frame) = self.inbound.take(bytes);
            bytes = &bytes[taken..];
            if let Some(frame) = frame {
                self.check_frame(frame, now)?;
            }
        }
        Ok(())
    }

    fn check_frame(&mut self, frame: Frame, now: f64) -> Result<(), CloseCause> {
        let cause = match frame.kind {
            kind::HEADERS => {
                self.calls += 1;
                self.control.earn(CONTROL_FRAMES_PER_CALL);
                self.header_block = (frame.flags & END_HEADERS == 0).then_some((now, 0));
                return Ok(());
            }
            kind::CONTINUATION => {
                let (since, before) = self.header_block.unwrap_or((now, 0));
                self.header_block = (frame.flags & END_HEADERS == 0).then_some((since, before + 1));
                return if before < MAX_CONTINUATIONS { Ok(()) } else { Err(CloseCause::Continuation) };
            }
            kind::RST_STREAM => {
                return if self.resets.spend(now) { Ok(()) } else { Err(CloseCause::Reset) };
            }
            kind::DATA if frame.length > 0 || frame.flags & END_STREAM != 0 => return Ok(()),
            // The answer to our own.
            kind::SETTINGS | kind::PING if frame.flags & ACK != 0 => {
                return self.spend(now, CloseCause::Other)
            }
            kind::PING => CloseCause::Ping,
            kind::SETTINGS => CloseCause::Settings,
            _ => CloseCause::Other,
        };
        self.spend(now, cause)
    }

    fn spend(&mut self, now: f64, cause: CloseCause) -> Result<(), CloseCause> {
        if self.control.spend(now) {
            Ok(())
        } else {
            Err(cause)
        }
    }

    /// Bytes have been written, the peer's machine has taken them.
    pub fn on_written(&mut self, mut bytes: &[u8]) {
        self.write_blocked_since = None;
        while !bytes.is_empty() {
            let (taken, frame) = self.outbound.take(bytes);
            bytes = &bytes[taken..];
            match frame {
                Some(frame) if frame.kind == kind::HEADERS => self.last_answered_stream = frame.stream,
                Some(frame) if frame.kind == kind::RST_STREAM => {
                    self.refused.streams += u64::from(frame.first_bytes == REFUSED_STREAM);
                    // h2 answers 431 to a header list that is too large, and then resets the stream.
                    let answered = frame.stream == self.last_answered_stream;
                    self.refused.headers += u64::from(answered && frame.first_bytes == PROTOCOL_ERROR);
                }
                _ => {}
            }
        }
    }

    /// A write found no room.
    pub fn on_write_blocked(&mut self, now: f64) {
        self.write_blocked_since.get_or_insert(now);
    }

    /// What only time tells; to be asked now and then.
    ///
    /// # Errors
    /// The connection has had its time.
    pub fn check_timeouts(&self, now: f64) -> Result<(), CloseCause> {
        let bounds = &self.bounds;
        let preface_late = self.preface_len < PREFACE.len() && now - self.opened >= bounds.request_time;
        let header_block_late =
            self.header_block.is_some_and(|(since, _)| now - since >= bounds.request_time);
        match () {
            () if preface_late || header_block_late => Err(CloseCause::TooSlow),
            () if self.write_blocked_since.is_some_and(|since| now - since >= bounds.answer_time) => {
                Err(CloseCause::Stalled)
            }
            () => Ok(()),
        }
    }

    /// Calls that have come so far.
    #[cfg(test)]
    fn calls(&self) -> u64 {
        self.calls
    }

    /// Streams refused since this was last asked.
    pub fn take_refusals(&mut self) -> Refusals {
        std::mem::take(&mut self.refused)
    }
}

#[cfg(test)]
mod tests;
