//! Passes a runner's stream on to the caller as it arrives.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http;
use tokio::sync::mpsc;

use crate::body::Body;
use crate::error::Code;
use crate::exchange::Exchange;
use crate::forward::Delivery;
use crate::gateway::Gateway;
use crate::{Error, Result};

/// Pieces on their way to a caller that reads slowly.
const QUEUE: usize = 16;

/// A stream that is being passed on.
pub(crate) struct Relay {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) exchange: Arc<Exchange>,
    pub(crate) delivery: Delivery,
    pub(crate) head: http::response::Parts,
}

/// Waits for the first piece, then passes the stream on in a task of its own.
///
/// # Errors
///
/// Fails if the stream breaks before its first piece.
pub(crate) async fn start(mut relay: Relay, mut body: Incoming) -> Result<Body> {
    let first = next(&mut body).await?;
    relay.note_first_piece();
    let (sender, pieces) = mpsc::channel(QUEUE);
    let tracker = relay.gateway.work.clone();
    tracker.spawn(relay.run(first, body, sender));
    Ok(Body::Pieces(pieces))
}

async fn next(body: &mut Incoming) -> Result<Option<Bytes>> {
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

impl Relay {
    fn note_first_piece(&mut self) {
        let now = self.gateway.now();
        self.delivery.entry.start();
        if let Some(target) = &self.exchange.call.target {
            let elapsed = now.saturating_sub(self.delivery.sent_at);
            let to_read = self.delivery.chosen.queued_tokens;
            self.gateway.speed.observe(&target.model, to_read, elapsed);
        }
    }

    async fn run(
        self,
        first: Option<Bytes>,
        mut body: Incoming,
        pieces: mpsc::Sender<Result<Bytes>>,
    ) {
        let mut piece = first;
        let mut bytes_passed = 0;
        let outcome = loop {
            let Some(bytes) = piece else { break "complete" };
            bytes_passed += bytes.len();
            if pieces.send(Ok(bytes)).await.is_err() {
                break "caller left";
            }
            let left = self.exchange.remaining(self.gateway.now());
            let received = tokio::select! {
                received = next(&mut body) => received,
                () = pieces.closed() => break "caller left",
                () = self.gateway.clock.sleep(left) => Err(timeout()),
            };
            match received {
                Ok(next) => piece = next,
                Err(error) => {
                    log::info!(
                        request = self.exchange.call.attempt.as_str(),
                        runner = self.delivery.chosen.runner.id().as_str(),
                        error:% = error, bytes_passed;
                        "stream broke off"
                    );
                    let runner = self.delivery.chosen.runner.id();
                    self.gateway.health.fail(runner, self.gateway.now());
                    // The caller may have left at the same moment.
                    let _ = pieces.send(Err(error)).await;
                    break "broken";
                }
            }
        };
        self.log_end(outcome, bytes_passed);
        if outcome == "complete" {
            let Self {
                gateway,
                exchange,
                delivery,
                head,
            } = self;
            delivery.keep(&gateway, &exchange.body, &head);
        }
    }

    fn log_end(&self, outcome: &str, bytes_passed: usize) {
        let duration = self.gateway.now().saturating_sub(self.exchange.arrived);
        log::info!(
            request = self.exchange.call.attempt.as_str(), outcome, bytes_passed,
            duration_ms = millis(duration);
            "stream ended"
        );
    }
}

fn timeout() -> Error {
    Code::Timeout.into()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
