//! Checks the frames of one HTTP/2 connection, in both directions, for abusive or broken peers: floods, unfinished
//! messages and readers that stall. There is no I/O and no clock: bytes and times are passed in.
//!
//! The h2 library has its own limits (streams, header lists, resets before a stream was accepted). This module adds
//! limits that depend on time, and tells the causes apart, so that each has its own counter.

/// The client's connection preface (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEADER_BYTES: usize = 9;
/// CONTINUATION frames of one header block. A header list within its limit fits into one HEADERS frame and a few
/// CONTINUATIONs of 16 KiB; an endless row of them is an attack (CVE-2024-27316).
const MAX_CONTINUATIONS: u32 = 8;
/// Control frames allowed for each call: window updates for the stream and the connection, a SETTINGS ACK, and the
/// PINGs with which gRPC clients measure the bandwidth-delay product.
const CONTROL_FRAMES_PER_CALL: f64 = 8.0;
/// The burst that a token bucket allows, in seconds of its rate.
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
/// Frame flags of RFC 9113, section 6.
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
/// Error codes of RFC 9113, section 7.
const PROTOCOL_ERROR: u32 = 1;
const REFUSED_STREAM: u32 = 7;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// Too many PINGs beyond those allowed for calls (CVE-2019-9512).
    Ping,
    /// Too many SETTINGS (CVE-2019-9515).
    Settings,
    /// Too many calls cancelled right after they were made (CVE-2023-44487).
    Reset,
    /// Too many CONTINUATIONs in one header block (CVE-2024-27316).
    Continuation,
    /// Too many other frames without use: PRIORITY, empty DATA, needless window updates, unknown types (CVE-2019-9513,
    /// CVE-2019-9518).
    Other,
    /// The preface or a header block was not complete in time.
    TooSlow,
    /// The peer does not read what is written to it.
    Stalled,
}

/// Limits on one connection; times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Control frames per second beyond those allowed for calls.
    pub control_frames: f64,
    /// Cancelled calls per second; bursts of twice as many are allowed.
    pub resets: f64,
    /// Time for the preface, and for each header block.
    pub request_time: f64,
    /// Time for the peer to read what is written.
    pub answer_time: f64,
}

/// A token bucket that refills with time and can also be credited.
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

    /// Adds tokens, up to the burst.
    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.per_s * BURST_S);
    }

    /// Takes one token; false if there was none.
    fn spend(&mut self, now: f64) -> bool {
        self.earn((now - self.refilled_at).max(0.0) / 1_000.0 * self.per_s);
        self.refilled_at = now;
        self.tokens -= 1.0;
        self.tokens >= 0.0
    }
}

/// Parses frame headers from a byte stream that arrives in arbitrary pieces. Payloads are skipped except for their
/// first 4 bytes.
#[derive(Clone, Copy, Debug, Default)]
struct FrameScanner {
    head: [u8; FRAME_HEADER_BYTES],
    /// Bytes of the current frame's header that have arrived.
    head_len: usize,
    /// Bytes of the payload that have not arrived.
    payload_left: usize,
    /// The payload's first 4 bytes; in RST_STREAM they are the error code.
    first_bytes: [u8; 4],
    /// How many of `first_bytes` have arrived.
    first_len: usize,
}

/// One whole frame, without its payload but for the first 4 bytes.
#[derive(Clone, Copy, Debug)]
struct Frame {
    stream: u32,
    kind: u8,
    flags: u8,
    length: usize,
    first_bytes: u32,
}

impl FrameScanner {
    /// Consumes bytes up to the end of the current frame; returns their number, and the frame if it is complete.
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

/// The frame and time limits of one connection.
pub struct Meter {
    bounds: Bounds,
    opened: f64,
    /// Bytes of the preface that have arrived.
    preface_len: usize,
    inbound: FrameScanner,
    outbound: FrameScanner,
    control: TokenBucket,
    resets: TokenBucket,
    /// A header block that is not complete: when it began, and its CONTINUATIONs so far.
    header_block: Option<(f64, u32)>,
    /// Since when the socket's buffer has been full, if it is.
    write_blocked_since: Option<f64>,
    calls: u64,
    /// The stream whose response headers were written last.
    last_answered_stream: u32,
    refused: Refusals,
}

/// Streams that the h2 library refused by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Over the limit on concurrent streams.
    pub streams: u64,
    /// Over the limit on a header list's size.
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

    /// Counts bytes read from the peer.
    ///
    /// # Errors
    /// The cause to close the connection for, if they exceed a limit.
    pub fn on_read(&mut self, mut bytes: &[u8], now: f64) -> Result<(), CloseCause> {
        let start = (PREFACE.len() - self.preface_len).min(bytes.len());
        // h2 checks the preface's content; here only its length counts.
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

    /// Counts one frame against the limits.
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
            // The answer to a frame of ours.
            kind::SETTINGS | kind::PING if frame.flags & ACK != 0 => {
                return self.spend(now, CloseCause::Other)
            }
            kind::PING => CloseCause::Ping,
            kind::SETTINGS => CloseCause::Settings,
            _ => CloseCause::Other,
        };
        self.spend(now, cause)
    }

    /// Takes one control frame from the allowance, or fails with `cause`.
    fn spend(&mut self, now: f64, cause: CloseCause) -> Result<(), CloseCause> {
        if self.control.spend(now) {
            Ok(())
        } else {
            Err(cause)
        }
    }

    /// Counts bytes that the socket has taken for writing. From them it reads which streams h2 refused, because h2 does
    /// not report that.
    pub fn on_written(&mut self, mut bytes: &[u8]) {
        self.write_blocked_since = None;
        while !bytes.is_empty() {
            let (taken, frame) = self.outbound.take(bytes);
            bytes = &bytes[taken..];
            match frame {
                Some(frame) if frame.kind == kind::HEADERS => self.last_answered_stream = frame.stream,
                Some(frame) if frame.kind == kind::RST_STREAM => {
                    self.refused.streams += u64::from(frame.first_bytes == REFUSED_STREAM);
                    // For a header list that is too large, h2 sends status 431 and then resets the stream.
                    let answered = frame.stream == self.last_answered_stream;
                    self.refused.headers += u64::from(answered && frame.first_bytes == PROTOCOL_ERROR);
                }
                _ => {}
            }
        }
    }

    /// The socket's buffer is full.
    pub fn on_write_blocked(&mut self, now: f64) {
        self.write_blocked_since.get_or_insert(now);
    }

    /// Checks the time limits; must be called regularly.
    ///
    /// # Errors
    /// The cause to close the connection for, if a time limit has passed.
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

    /// The number of calls so far.
    #[cfg(test)]
    fn calls(&self) -> u64 {
        self.calls
    }

    /// The streams refused since the last call of this function.
    pub fn take_refusals(&mut self) -> Refusals {
        std::mem::take(&mut self.refused)
    }
}

#[cfg(test)]
mod tests;
