//! Passes a runner's stream on to the caller as it arrives.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use strum::Display;
use tokio::sync::mpsc;

use crate::attempt::Attempt;
use crate::body::Body;
use crate::error::Code;
use crate::forward::millis;
use crate::outcome::Stream;
use crate::sse::Splitter;
use crate::{Error, Result};

/// Pieces on their way to a caller that reads slowly.
const QUEUE: usize = 16;

/// How passing on one runner's stream ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum End {
    Complete,
    CallerLeft,
    Expired,
    Broken,
}

/// Passes a stream on in a task of its own.
pub(crate) fn start(attempt: Attempt, source: Stream) -> Response<Body> {
    let parts = attempt.gateway.ports.protocol.response_head(&source.head);
    let (pieces, queue) = mpsc::channel(QUEUE);
    let tracker = attempt.gateway.work.clone();
    let relay = Relay {
        splitter: attempt.exchange.route.resumable.then(Splitter::default),
        attempt,
        pieces,
        bytes: 0,
    };
    tracker.spawn(relay.run(source));
    Response::from_parts(parts, Body::Pieces(queue))
}

/// The next piece of a body, or `None` at its end.
///
/// # Errors
///
/// Fails if the body breaks off.
pub(crate) async fn next(body: &mut Incoming) -> Result<Option<Bytes>> {
    loop {
        let Some(frame) = body.frame().await else {
            return Ok(None);
        };
        let frame = frame.map_err(|error| Code::Broken(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            return Ok(Some(bytes));
        }
    }
}

struct Relay {
    attempt: Attempt,
    /// Holds back what is not a whole event, on routes whose streams may go on
    /// at another runner.
    splitter: Option<Splitter>,
    pieces: mpsc::Sender<Result<Bytes>>,
    bytes: usize,
}

impl Relay {
    async fn run(mut self, source: Stream) {
        let mut source = Box::new(source);
        let end = loop {
            let runner = source.delivery.chosen.runner.id().clone();
            let end = self.pass(source).await;
            if end != End::Broken {
                break end;
            }
            match self.resume(&runner).await {
                Some(next) => source = next,
                None => break End::Broken,
            }
        };
        self.log_end(end);
    }

    // Passes on the stream of one runner. Its connection is closed before this
    // returns, so that the runner does not go on while another continues.
    async fn pass(&mut self, mut source: Box<Stream>) -> End {
        let mut piece = source.first.take();
        loop {
            let Some(bytes) = piece else {
                return self.complete(*source).await;
            };
            if !self.send(bytes).await {
                return End::CallerLeft;
            }
            let left = self.left();
            let received = tokio::select! {
                received = next(&mut source.body) => received,
                () = self.pieces.closed() => return End::CallerLeft,
                () = self.attempt.gateway.clock.sleep(left) => {
                    self.fail(Code::Timeout.into()).await;
                    return End::Expired;
                }
            };
            match received {
                Ok(next) => piece = next,
                Err(error) => {
                    self.note_break(&source, &error);
                    return End::Broken;
                }
            }
        }
    }

    async fn send(&mut self, bytes: Bytes) -> bool {
        let bytes = match &mut self.splitter {
            Some(splitter) => splitter.push(&bytes),
            None => bytes,
        };
        if bytes.is_empty() {
            return true;
        }
        self.bytes += bytes.len();
        self.pieces.send(Ok(bytes)).await.is_ok()
    }

    async fn complete(&mut self, source: Stream) -> End {
        let rest = self.splitter.as_mut().map(Splitter::take_rest);
        if let Some(rest) = rest.filter(|rest| !rest.is_empty())
            && self.pieces.send(Ok(rest)).await.is_err()
        {
            return End::CallerLeft;
        }
        let gateway = &self.attempt.gateway;
        let body = &self.attempt.exchange.body;
        source.delivery.keep(gateway, body, &source.head);
        End::Complete
    }

    async fn resume(&mut self, runner: &str) -> Option<Box<Stream>> {
        let after = match &mut self.splitter {
            Some(splitter) => {
                splitter.take_rest();
                splitter.last_id()
            }
            None => None,
        };
        let is_resumable = self.splitter.is_some() && (after.is_some() || self.bytes == 0);
        if is_resumable {
            match self.attempt.resume(runner, after).await {
                Ok(source) => {
                    log::info!(
                        request = self.attempt.exchange.call.attempt.as_str(), after;
                        "stream resumed"
                    );
                    return Some(source);
                }
                Err(refusal) => log::info!(
                    request = self.attempt.exchange.call.attempt.as_str(), after,
                    reason:% = refusal.reason;
                    "stream cannot be resumed"
                ),
            }
        }
        self.fail(Code::Broken("the runner's stream broke off".to_owned()).into())
            .await;
        None
    }

    async fn fail(&self, error: Error) {
        // The caller may have left at the same moment.
        let _ = self.pieces.send(Err(error)).await;
    }

    fn left(&self) -> Duration {
        let now = self.attempt.gateway.now();
        self.attempt.exchange.remaining(now)
    }

    fn note_break(&self, source: &Stream, error: &Error) {
        let runner = source.delivery.chosen.runner.id();
        log::info!(
            request = self.attempt.exchange.call.attempt.as_str(), runner = runner.as_str(),
            error:% = error, bytes = self.bytes;
            "stream broke off"
        );
        let gateway = &self.attempt.gateway;
        gateway.health.record_failure(runner, gateway.now());
    }

    fn log_end(&self, end: End) {
        let exchange = &self.attempt.exchange;
        let duration = self.attempt.gateway.now().saturating_sub(exchange.arrived);
        log::info!(
            request = exchange.call.attempt.as_str(), outcome:% = end, bytes = self.bytes,
            duration_ms = millis(duration);
            "stream ended"
        );
    }
}
