//! Hands requests over to a peer that reaches the runners.
//!
//! The peer serves the request as if it had come from the caller, and the response is
//! returned as it is. A request is handed over once: a peer that cannot serve it says so,
//! and has not run it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use http_body_util::Full;
use hyper::{Request, http};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use strum::IntoStaticStr;
use tokio::time;

use crate::body::Relayed;
use crate::connector::Connector;
use crate::exchange::Exchange;
use crate::id;
use crate::members::Members;
use crate::pool::{Connection, Failure, Pool};
use crate::protocol::{self, Protocol};
use crate::refusal::Reason;
use crate::span::millis;

/// Most peers that a request is offered to.
const MAX_OFFERS: usize = 3;
/// Time without requests for a peer that could not serve one of the same service.
const DECLINED_TTL: Duration = Duration::from_secs(1);
/// Shortest remaining time with which a request is offered to a peer.
const MIN_REMAINING: Duration = Duration::from_millis(50);
/// Time reserved for returning the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Outcome of handing a request over.
#[derive(IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// The head and the body of the peer's response.
    Responded(Box<http::response::Parts>, Relayed),
    /// No peer has taken the request, which has not run.
    Declined,
    /// The request may have run.
    Unknown(Reason),
}

/// Which peers may take a request, and how.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer<'a> {
    /// The only peer that may take it; any may otherwise.
    pub(crate) only: Option<&'a id::Instance>,
    /// The only software version at which it may run, if there is one.
    pub(crate) software: Option<&'a str>,
}

/// Hands requests of one instance over to its peers.
#[derive(Debug)]
pub(crate) struct Handover {
    incarnation: id::Incarnation,
    clock: Arc<dyn Clock>,
    pool: Pool,
    /// Peers that could not serve a request of a service, and until when they are avoided.
    declined: Mutex<BTreeMap<(id::Instance, id::Service), Duration>>,
}

impl Handover {
    pub(crate) fn new(
        incarnation: &str,
        clock: &Arc<dyn Clock>,
        connector: Arc<dyn Connector>,
    ) -> Self {
        Self {
            incarnation: incarnation.to_owned(),
            clock: Arc::clone(clock),
            pool: Pool::new(Arc::clone(clock), connector),
            declined: Mutex::default(),
        }
    }

    /// Offers the request to peers until one responds, or only to the one that `offer` names.
    pub(crate) async fn send(
        &self,
        protocol: &dyn Protocol,
        members: &Members,
        exchange: &Exchange,
        offer: Offer<'_>,
    ) -> Outcome {
        let mut peers = self.peers(members, &exchange.service);
        peers.retain(|(peer, _)| offer.only.is_none_or(|only| peer == only));
        for (peer, address) in peers.into_iter().take(MAX_OFFERS) {
            let remaining = exchange.remaining(self.clock.now());
            if remaining <= MIN_REMAINING {
                return Outcome::Declined;
            }
            let offering = self.offer(protocol, exchange, (&peer, address), offer.software);
            let outcome = time::timeout(remaining.saturating_sub(RESPONSE_MARGIN), offering);
            match outcome.await.unwrap_or(Outcome::Unknown(Reason::Timeout)) {
                Outcome::Declined => self.record_declined(&peer, &exchange.service),
                outcome => return outcome,
            }
        }
        Outcome::Declined
    }

    // Peers in the order in which the request is offered to them, those of this data centre
    // first.
    fn peers(&self, members: &Members, service: &str) -> Vec<(id::Instance, SocketAddr)> {
        let now = self.clock.now();
        let mut declined = self.declined.lock();
        declined.retain(|_, until| now < *until);
        let mut serving = members.serving(now);
        serving.shuffle(&mut rand::rng());
        serving.sort_by_key(|peer| !peer.is_local);
        serving
            .into_iter()
            .map(|peer| (peer.instance, peer.callers))
            .filter(|(peer, _)| !declined.contains_key(&(peer.clone(), service.to_owned())))
            .collect()
    }

    fn record_declined(&self, peer: &str, service: &str) {
        let until = self.clock.now() + DECLINED_TTL;
        let key = (peer.to_owned(), service.to_owned());
        self.declined.lock().insert(key, until);
    }

    async fn offer(
        &self,
        protocol: &dyn Protocol,
        exchange: &Exchange,
        (peer, address): (&str, SocketAddr),
        software: Option<&str>,
    ) -> Outcome {
        let request = exchange.call.attempt.as_str();
        let mut connection = match self.pool.connect(peer, address).await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(request, peer, error:% = error; "failed to connect to a peer");
                return Outcome::Declined;
            }
        };
        let remaining = exchange.remaining(self.clock.now());
        log::info!(
            request, peer, service = exchange.service.as_str(), left_ms = millis(remaining);
            "request handed over"
        );
        let transfer = self.transfer(protocol, exchange, &mut connection, software);
        match transfer.await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                if protocol.declines(&head) {
                    return Outcome::Declined;
                }
                let latency = self.clock.now().saturating_sub(exchange.arrived);
                log::info!(
                    request, peer, status = head.status.as_u16(), latency_ms = millis(latency);
                    "peer responded"
                );
                let clock = Arc::clone(&self.clock);
                let remaining = exchange.remaining(clock.now());
                let expiry = async move { clock.sleep(remaining).await };
                let request = exchange.body.clone();
                let body = Relayed::new(body, connection, Box::pin(expiry), request);
                Outcome::Responded(Box::new(head), body)
            }
            Err(Failure::NotSent) => Outcome::Declined,
            Err(Failure::Broken(error)) => {
                log::info!(request, peer, error:% = error; "connection to a peer failed");
                Outcome::Unknown(Reason::Broken)
            }
        }
    }

    async fn transfer(
        &self,
        protocol: &dyn Protocol,
        exchange: &Exchange,
        connection: &mut Connection,
        software: Option<&str>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, Failure> {
        let remaining = exchange
            .remaining(self.clock.now())
            .saturating_sub(RESPONSE_MARGIN);
        let body = exchange.body.clone();
        let handover = protocol::Handover {
            from: &self.incarnation,
            remaining,
            tenant: exchange.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            software,
        };
        let head = protocol.encode_handover(&exchange.head, body.len(), &handover);
        let head = head.map_err(|error| {
            log::warn!(error:% = error; "failed to encode the head of a request for a peer");
            Failure::NotSent
        })?;
        connection
            .send(Request::from_parts(head, Full::new(body)))
            .await
    }
}
