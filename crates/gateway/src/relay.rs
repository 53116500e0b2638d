//! Relays a runner's response stream to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use strum::Display;
use tokio::sync::mpsc;

use crate::attempt::Attempt;
use crate::body::{Body, Chunk};
use crate::error::Code;
use crate::framing::Framing;
use crate::memory::outlet::{MAX_PIECE, Outlet};
use crate::outcome::Stream;
use crate::registry::Runner;
use crate::span::millis;
use crate::sse::{Scanner, Splitter};
use crate::{Error, Result, crash_report, opening};

/// Most pieces that are queued for a slow caller, whose bytes are counted besides.
const QUEUE: usize = 64;
/// How the relay of a stream ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum End {
    Complete,
    CallerLeft,
    Expired,
    Broken,
}

/// Spawns a task that relays a stream; returns the response for the caller.
pub(crate) fn start(attempt: Attempt, stream: Stream) -> Response<Body> {
    let parts = attempt.gateway.ports.protocol.response_head(&stream.head);
    let (chunks, queue) = mpsc::channel(QUEUE);
    let tracker = attempt.gateway.work.clone();
    let relay = Relay {
        splitter: attempt.exchange.route.resumable.then(Splitter::default),
        scanner: Scanner::default(),
        outlet: attempt.gateway.memory.responses.outlet(),
        attempt,
        chunks,
        bytes: 0,
        begun_at: Duration::ZERO,
        has_event: false,
        framing: stream.framing,
        longest_gap: Duration::ZERO,
    };
    tracker.spawn(relay.run(stream));
    Response::from_parts(parts, Body::Chunks(queue))
}

/// Reads the next chunk of a body, or `None` at its end.
///
/// # Errors
///
/// Fails if the body ends early.
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
    /// Holds back incomplete events, on routes whose streams may be resumed at
    /// another runner.
    splitter: Option<Splitter>,
    scanner: Scanner,
    chunks: mpsc::Sender<Result<Chunk>>,
    /// Counts the bytes that wait for the caller.
    outlet: Outlet,
    bytes: usize,
    /// Time of the first event of the current runner.
    begun_at: Duration,
    /// Whether a runner has sent a whole event.
    has_event: bool,
    /// What delimits the body of the current runner's response.
    framing: Framing,
    /// Longest time between two chunks from the runners.
    longest_gap: Duration,
}

impl Relay {
    // Whatever the relay waits for, it ends at the deadline, and with its caller. Runners
    // stop, since their connections are closed.
    async fn run(mut self, stream: Stream) {
        let clock = Arc::clone(&self.attempt.gateway.clock);
        let chunks = self.chunks.clone();
        let remaining = self.remaining();
        let end = tokio::select! {
            biased;
            () = clock.sleep(remaining) => End::Expired,
            // A caller may leave as soon as it has the announced length.
            end = self.relay(stream) => end,
            () = chunks.closed() => End::CallerLeft,
        };
        let error = match end {
            End::Complete | End::CallerLeft => None,
            End::Expired => Some(Code::Timeout),
            End::Broken => Some(Code::Broken(
                "stream from the runner ended early".to_owned(),
            )),
        };
        if let Some(error) = error {
            // Fails if the caller does not read. It sees the end of the queue then.
            let _ = self.chunks.try_send(Err(error.into()));
        }
        self.log_end(end);
    }

    async fn relay(&mut self, stream: Stream) -> End {
        let mut stream = Box::new(stream);
        loop {
            let runner = stream.delivery.chosen.runner.clone();
            let end = self.relay_stream(stream).await;
            if end != End::Broken {
                return end;
            }
            match self.resume(&runner).await {
                Some(next) => stream = next,
                None => return End::Broken,
            }
        }
    }

    // Relays the stream of one runner. Its connection is closed before this
    // returns, so that the runner stops before another one resumes the stream.
    async fn relay_stream(&mut self, mut stream: Box<Stream>) -> End {
        let mut chunk = stream.first.take();
        self.begun_at = self.attempt.gateway.now();
        self.framing = stream.framing;
        self.scanner = Scanner::default();
        let mut event_at = self.attempt.gateway.now();
        loop {
            let Some(bytes) = chunk else {
                if let Err(error) = self.check_end(&stream) {
                    self.record_break(&stream, &error);
                    return End::Broken;
                }
                return self.complete(*stream).await;
            };
            let now = self.attempt.gateway.now();
            if self.attempt.exchange.remaining(now).is_zero() {
                // Bytes that follow each other without a pause hide the timer.
                return End::Expired;
            }
            if self.scanner.scan(&bytes).has_event {
                event_at = now;
                self.has_event = true;
            } else if now.saturating_sub(event_at) > self.attempt.exchange.stall_timeout() {
                let error = Code::Malformed("bytes without the end of an event".to_owned());
                self.record_break(&stream, &error.into());
                return End::Broken;
            }
            match self.send(bytes).await {
                Ok(true) => {}
                Ok(false) => return End::CallerLeft,
                Err(error) => {
                    self.record_break(&stream, &error);
                    return End::Broken;
                }
            }
            let sent_at = self.attempt.gateway.now();
            let received = next(&mut stream.body).await;
            self.record_gap(&stream, sent_at);
            match received {
                Ok(next) => chunk = next,
                Err(error) => {
                    self.record_break(&stream, &error);
                    return End::Broken;
                }
            }
        }
    }

    // Fails if the body of a runner's response has ended, but was broken off.
    fn check_end(&self, stream: &Stream) -> Result<()> {
        let has_events = opening::has_events(&stream.head, stream.framing);
        if has_events && self.scanner.is_inside_event() {
            return Err(Code::Broken("the stream ended inside an event".to_owned()).into());
        }
        stream.delivery.check_body(stream.framing)
    }

    fn record_gap(&mut self, stream: &Stream, since: Duration) {
        let gateway = &self.attempt.gateway;
        let now = gateway.now();
        let gap = now.saturating_sub(since);
        self.longest_gap = self.longest_gap.max(gap);
        let runner = stream.delivery.chosen.runner.id();
        gateway.event_gaps.observe(runner, gap, now);
        let service = &self.attempt.exchange.service;
        gateway.reach.record_contact(service, now);
    }

    // Returns false if the caller has disconnected.
    async fn send(&mut self, bytes: Bytes) -> Result<bool> {
        let bytes = match &mut self.splitter {
            Some(splitter) => splitter.push(&bytes)?,
            None => bytes,
        };
        if bytes.is_empty() {
            return Ok(true);
        }
        self.bytes += bytes.len();
        Ok(self.queue(&bytes).await)
    }

    // Returns false if the caller has disconnected.
    async fn queue(&mut self, bytes: &[u8]) -> bool {
        for piece in bytes.chunks(MAX_PIECE) {
            let piece = self.outlet.hold(piece).await;
            if self.chunks.send(Ok(Chunk::Data(piece))).await.is_err() {
                return false;
            }
        }
        true
    }

    async fn complete(&mut self, stream: Stream) -> End {
        let rest = self.splitter.as_mut().map(Splitter::take_rest);
        if let Some(rest) = rest.filter(|rest| !rest.is_empty())
            && !self.queue(&rest).await
        {
            return End::CallerLeft;
        }
        let gateway = &self.attempt.gateway;
        if self.has_event {
            let delivery = &stream.delivery;
            let (runner, sent_at) = (&delivery.chosen.runner, delivery.sent_at);
            crash_report::report_response(gateway, &self.attempt.exchange, runner, sent_at);
        }
        let body = &self.attempt.exchange.body;
        stream.delivery.complete(gateway, body, &stream.head);
        // Fails if the caller needs no end, since it has the announced length.
        let _ = self.chunks.send(Ok(Chunk::End)).await;
        End::Complete
    }

    async fn resume(&mut self, runner: &Runner) -> Option<Box<Stream>> {
        let after = match &mut self.splitter {
            Some(splitter) => {
                splitter.take_rest();
                splitter.last_id()
            }
            None => None,
        };
        // Without ids the position in the stream is not known.
        if let Some(after) = after {
            match self.attempt.resume(runner, after).await {
                Ok(stream) => {
                    log::info!(
                        request = self.attempt.exchange.call.attempt.as_str(), after;
                        "stream resumed"
                    );
                    return Some(stream);
                }
                Err(refusal) => log::info!(
                    request = self.attempt.exchange.call.attempt.as_str(), after,
                    reason:% = refusal.reason;
                    "stream cannot be resumed"
                ),
            }
        }
        None
    }

    fn remaining(&self) -> Duration {
        let now = self.attempt.gateway.now();
        self.attempt.exchange.remaining(now)
    }

    fn record_break(&self, stream: &Stream, error: &Error) {
        let runner = stream.delivery.chosen.runner.id();
        log::info!(
            request = self.attempt.exchange.call.attempt.as_str(), runner = runner.as_str(),
            error:% = error, bytes = self.bytes;
            "stream from the runner broke"
        );
        let gateway = &self.attempt.gateway;
        gateway.health.record_failure(runner, gateway.now());
        let exchange = &self.attempt.exchange;
        let delivery = &stream.delivery;
        let (runner, sent_at) = (&delivery.chosen.runner, delivery.sent_at);
        crash_report::report_crash(gateway, exchange, runner, sent_at, Some(self.begun_at));
    }

    fn log_end(&self, end: End) {
        let exchange = &self.attempt.exchange;
        let duration = self.attempt.gateway.now().saturating_sub(exchange.arrived);
        log::info!(
            request = exchange.call.attempt.as_str(), outcome:% = end, framing:% = self.framing, bytes = self.bytes,
            duration_ms = millis(duration), longest_gap_ms = millis(self.longest_gap);
            "stream ended"
        );
    }
}
