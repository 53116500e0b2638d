//! Reads the response stream of a runner up to its first event.
//!
//! Until then the caller has received nothing, so that a stream which breaks may begin anew
//! at any runner, and another response may take its place.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http;

use crate::error::Code;
use crate::framing::Framing;
use crate::sse::Scanner;
use crate::{Result, relay, sse};

/// Media type of a body of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// What a stream must be to be passed on.
pub(crate) struct Opening<'a> {
    pub(crate) head: &'a http::response::Parts,
    pub(crate) framing: Framing,
    /// Id of the event that the first one has to follow.
    pub(crate) after: Option<u64>,
    /// Whether the caller has received events already.
    pub(crate) is_resumed: bool,
    /// Time left for a body that sends bytes without an event.
    pub(crate) time: Duration,
}

impl Opening<'_> {
    /// Reads the bytes up to the end of the first event, or the first chunk if the body has no
    /// events; `None` if the body is empty. `elapsed` returns the time since the request was
    /// sent.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, or is not what the caller can be sent next.
    pub(crate) async fn read(
        &self,
        body: &mut Incoming,
        elapsed: impl Fn() -> Duration,
    ) -> Result<Option<Bytes>> {
        if !has_events(self.head, self.framing) {
            if self.is_resumed {
                return Err(Code::Malformed("not a stream of events".to_owned()).into());
            }
            return relay::next(body).await;
        }
        let mut scanner = Scanner::default();
        let mut buffer = BytesMut::new();
        while let Some(bytes) = relay::next(body).await? {
            let has_event = scanner.scan(&bytes).has_event;
            buffer.extend_from_slice(&bytes);
            if has_event {
                return self.check(buffer.freeze()).map(Some);
            }
            sse::check_size(buffer.len())?;
            if elapsed() > self.time {
                return Err(Code::Malformed("bytes without an event".to_owned()).into());
            }
        }
        if scanner.is_inside_event() || self.framing == Framing::Connection {
            return Err(Code::Broken("the stream ended before an event".to_owned()).into());
        }
        Ok(Some(buffer.freeze()).filter(|bytes| !bytes.is_empty()))
    }

    // A runner that begins anew would repeat events.
    fn check(&self, events: Bytes) -> Result<Bytes> {
        let first = sse::ids(&events).next();
        if let (Some(after), Some(first)) = (self.after, first)
            && first <= after
        {
            let text = format!("event {first} does not follow event {after}");
            return Err(Code::Malformed(text).into());
        }
        Ok(events)
    }
}

/// Whether the body consists of events. Other bodies are only checked if nothing but the
/// connection delimits them.
pub(crate) fn has_events(head: &http::response::Parts, framing: Framing) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next());
    media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM))
        || framing == Framing::Connection
}
