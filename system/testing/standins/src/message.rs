//! A message as a client sends it.

use crate::http::header;
use crate::identity::{OrderKey, RequestId};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http;
use hyper::{Method, Request};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// How a body is written on the connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Framing {
    /// With `Content-Length`.
    #[default]
    Length,
    /// In chunks of so many bytes, the last one shorter.
    Chunked {
        /// Bytes of each chunk; 0 counts as 1.
        chunk_bytes: usize,
    },
}

/// A message as a client sends it.
#[derive(Clone, Debug)]
pub struct Message {
    /// The method, usually `POST`.
    pub method: Method,
    /// `Host`.
    pub host: String,
    /// The path with its query.
    pub target: String,
    /// `X-Request-Id`.
    pub request_id: RequestId,
    /// `X-Delay-Ms`.
    pub delay: Option<Duration>,
    /// `X-Order-Key`.
    pub order_key: Option<OrderKey>,
    /// `X-Callback-Url`.
    pub callback_url: Option<String>,
    /// `X-Deadline-Ms`.
    pub deadline: Option<Duration>,
    /// The body.
    pub body: Bytes,
    /// How the body is written.
    pub framing: Framing,
}

impl Message {
    /// A `POST` without a body to a path of a host.
    pub fn new(host: impl Into<String>, target: impl Into<String>, request_id: impl Into<RequestId>) -> Self {
        Self {
            method: Method::POST,
            host: host.into(),
            target: target.into(),
            request_id: request_id.into(),
            delay: None,
            order_key: None,
            callback_url: None,
            deadline: None,
            body: Bytes::new(),
            framing: Framing::Length,
        }
    }

    /// With a body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// With its body in chunks of so many bytes.
    pub fn in_chunks(mut self, chunk_bytes: usize) -> Self {
        self.framing = Framing::Chunked { chunk_bytes };
        self
    }

    /// Not to run before `delay` has passed.
    pub fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = Some(delay);
        self
    }

    /// Concerning the thing that `key` names.
    pub fn with_order_key(mut self, key: impl Into<OrderKey>) -> Self {
        self.order_key = Some(key.into());
        self
    }

    /// Whose end is to be told at `url`.
    pub fn with_callback(mut self, url: impl Into<String>) -> Self {
        self.callback_url = Some(url.into());
        self
    }

    /// For which the client gives so long.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// The same message as another try, which has an id of its own.
    pub fn as_try(&self, request_id: impl Into<RequestId>) -> Self {
        Self { request_id: request_id.into(), ..self.clone() }
    }

    /// The message as a request.
    pub(crate) fn to_request(&self) -> Result<Request<MessageBody>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.target)
            .header(hyper::header::HOST, &self.host)
            .header(header::REQUEST_ID, self.request_id.as_str());
        let delay = self.delay.map(milliseconds);
        let deadline = self.deadline.map(milliseconds);
        let optional = [
            (header::DELAY_MS, delay.as_deref()),
            (header::DEADLINE_MS, deadline.as_deref()),
            (header::ORDER_KEY, self.order_key.as_ref().map(OrderKey::as_str)),
            (header::CALLBACK_URL, self.callback_url.as_deref()),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        request.body(MessageBody::new(&self.body, self.framing))
    }
}

fn milliseconds(duration: Duration) -> String {
    duration.as_millis().to_string()
}

/// A body that is written with its length or in chunks.
pub(crate) struct MessageBody {
    frames: VecDeque<Bytes>,
    framing: Framing,
}

impl MessageBody {
    fn new(body: &Bytes, framing: Framing) -> Self {
        let chunk_bytes = match framing {
            Framing::Length => body.len(),
            Framing::Chunked { chunk_bytes } => chunk_bytes,
        };
        let frames = body.chunks(chunk_bytes.max(1)).map(|chunk| body.slice_ref(chunk)).collect();
        Self { frames, framing }
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.frames.pop_front().map(|chunk| Ok(Frame::data(chunk))))
    }

    // The library is never told that the body has ended already: it would then leave out the length of an empty one.

    fn size_hint(&self) -> SizeHint {
        match self.framing {
            Framing::Length => SizeHint::with_exact(self.frames.iter().map(|frame| frame.len() as u64).sum()),
            // Without a length the library writes chunks.
            Framing::Chunked { .. } => SizeHint::default(),
        }
    }
}
