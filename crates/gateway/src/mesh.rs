//! The tasks that connect this instance with the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::retry::Backoff;
use almondbank_port::socket::{self, Reader, Writer};
use almondbank_wire::mesh::{self, Message};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc};
use tokio::time;
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use crate::error::Code;
use crate::fanout::{Envelope, Origin, Relation};
use crate::gateway::Gateway;
use crate::links::Link;
use crate::report::Reports;
use crate::{Result, report, tcp};

/// Environment name in the keys of the system's own rows.
pub(crate) const ENVIRONMENT: &str = "main";

/// Unacknowledged data for this long means that a peer cannot be reached.
const SILENCE: Duration = Duration::from_secs(2);
/// Time without a report after which a connection counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const REDIAL_BASE: Duration = Duration::from_millis(200);
const REDIAL_MAX: Duration = Duration::from_secs(2);
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(1200);
const REPLY_QUEUE: usize = 64;
/// Time for which a peer may know more before this instance asks for it.
const MAX_LAG: Duration = Duration::from_millis(200);

pub(crate) fn dial(gateway: &Arc<Gateway>, reports: &Reports, address: SocketAddr) {
    if gateway.links.claim(address) {
        tokio::spawn(keep_link(Arc::clone(gateway), reports.clone(), address));
    }
}

async fn keep_link(gateway: Arc<Gateway>, reports: Reports, address: SocketAddr) {
    let mut backoff = Backoff::new(REDIAL_BASE, REDIAL_MAX);
    let mut wanted = gateway.topology.subscribe();
    let mut unwanted = gateway.topology.subscribe();
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            // The sender lives as long as the gateway.
            _ = wanted.wait_for(|topology| topology.includes(address)) => {}
        }
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            _ = unwanted.wait_for(|topology| !topology.includes(address)) => {
                log::info!(address:% = address; "link no longer kept");
            }
            ended = link(&gateway, &reports, address, &mut backoff) => {
                if let Err(error) = ended {
                    log::debug!(peer:% = address, error:% = error; "link ended");
                }
            }
        }
        gateway.clock.sleep(backoff.next_delay()).await;
    }
}

async fn link(
    gateway: &Arc<Gateway>,
    reports: &Reports,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<()> {
    let mut statuses = reports.subscribe();
    let mut fanout = gateway.fanout.subscribe();
    let (mut writer, mut reader) = time::timeout(CONNECT_TIMEOUT, connect(address))
        .await
        .map_err(|_| Code::Timeout)??;
    writer.send(&Message::Hello(gateway.hello())).await?;
    let Message::Hello(peer) = reader.receive(SILENCE).await? else {
        return Err(Code::Malformed("no greeting".to_owned()).into());
    };
    backoff.reset();
    gateway.members.insert(&peer);
    log::info!(peer = peer.instance.as_str(), address:% = address; "link open");
    let (link, mut queue) = Link::new();
    gateway.links.open(&peer.instance, &link);
    let send = async {
        loop {
            let message = tokio::select! {
                Some(message) = queue.recv() => message,
                status = statuses.recv() => match status {
                    Ok(status) if gateway.relation(&peer) == Relation::Local => {
                        Message::Status((*status).clone())
                    }
                    Ok(status) => Message::Status(report::bare(&status)),
                    Err(broadcast::error::RecvError::Lagged(count)) => {
                        log::warn!(peer = peer.instance.as_str(), count; "reports skipped");
                        continue;
                    }
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                envelope = fanout.recv() => match envelope {
                    Ok(envelope) if is_due(gateway, &envelope, &peer) => envelope.message.clone(),
                    // What is skipped the peer misses and asks for, or it comes anew.
                    Ok(_) | Err(_) => continue,
                },
            };
            time::timeout(SILENCE, writer.send(&message))
                .await
                .map_err(|_| Code::Timeout)??;
        }
    };
    let receive = async {
        loop {
            // The peer speaks on this connection only when it is asked.
            let message = reader.next().await?;
            match message {
                Message::AdapterReply(reply) => link.answer(&reply),
                message => accept(gateway, &peer, message),
            }
        }
    };
    let ended: Result<()> = tokio::select! {
        ended = send => ended,
        ended = receive => ended,
    };
    gateway.links.close(&peer.instance, &link);
    log::info!(peer = peer.instance.as_str(), address:% = address; "link lost");
    ended
}

// Each data centre follows the registrations by itself, and instances that follow
// the store need none.
fn is_due(gateway: &Gateway, envelope: &Envelope, peer: &mesh::Hello) -> bool {
    let relation = gateway.relation(peer);
    let is_known = matches!(envelope.message, Message::Registry(_))
        && (relation != Relation::Local || gateway.members.is_follower(&peer.instance));
    !is_known && envelope.should_send_to(relation)
}

async fn connect(address: SocketAddr) -> Result<(Writer, Reader)> {
    let stream = tcp::connect(address, CONNECT_TIMEOUT, SILENCE).await?;
    let url = format!("ws://{address}/mesh");
    let (stream, _) = client_async_with_config(url, stream, Some(socket::config()))
        .await
        .map_err(|error| Code::Connect(error.to_string()))?;
    Ok(socket::split(stream))
}

/// Accepts connections of the others.
pub(crate) async fn listen(gateway: Arc<Gateway>, listener: TcpListener, reports: Reports) {
    loop {
        let accepted = tokio::select! {
            () = gateway.stopped.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "peer connection is not accepted");
                gateway.clock.sleep(REDIAL_BASE).await;
                continue;
            }
        };
        let gateway = Arc::clone(&gateway);
        let reports = reports.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = gateway.stopped.cancelled() => {}
                ended = serve(&gateway, stream, &reports) => {
                    if let Err(error) = ended {
                        log::debug!(error:% = error; "peer connection ended");
                    }
                }
            }
        });
    }
}

async fn serve(gateway: &Arc<Gateway>, stream: TcpStream, reports: &Reports) -> Result<()> {
    tcp::configure(&stream, SILENCE).map_err(|error| Code::Broken(error.to_string()))?;
    let greet = async {
        let stream = accept_async_with_config(stream, Some(socket::config()))
            .await
            .map_err(|error| Code::Broken(error.to_string()))?;
        let (mut writer, mut reader) = socket::split(stream);
        let Message::Hello(peer) = reader.receive(SILENCE).await? else {
            return Err(Code::Malformed("no greeting".to_owned()).into());
        };
        writer.send(&Message::Hello(gateway.hello())).await?;
        Ok::<_, crate::Error>((writer, reader, peer))
    };
    let (mut writer, mut reader, peer) = time::timeout(SILENCE, greet)
        .await
        .map_err(|_| Code::Timeout)??;
    if gateway.members.insert(&peer)
        && let Ok(address) = peer.peers.parse()
    {
        dial(gateway, reports, address);
    }
    let (replies, mut queue) = mpsc::channel(REPLY_QUEUE);
    let mut behind = None;
    loop {
        let message = tokio::select! {
            message = reader.receive::<Message>(REPORT_TIMEOUT) => message?,
            Some(reply) = queue.recv() => {
                writer.send(&reply).await?;
                continue;
            }
        };
        match message {
            Message::Status(status) => {
                hear(gateway, &peer, &status);
                let news = News {
                    environment: status.environment,
                    registry: status.registry,
                };
                if let Some(fetch) = lag(gateway, news, &mut behind) {
                    writer.send(&fetch).await?;
                }
            }
            Message::Summary(summary) => {
                let news = learn(gateway, reports, &summary);
                if gateway.is_hierarchical() && !gateway.is_local_data_centre(&peer.data_centre) {
                    gateway.broadcast(Message::Summary(summary), Origin::Remote);
                    if let Some(fetch) = lag(gateway, news, &mut behind) {
                        writer.send(&fetch).await?;
                    }
                }
            }
            Message::AdapterRequest(request) => answer_adapter(gateway, request, replies.clone()),
            message => accept(gateway, &peer, message),
        }
    }
}

fn hear(gateway: &Gateway, peer: &mesh::Hello, status: &mesh::Status) {
    let now = gateway.now();
    gateway.members.update(&report::of(peer, status), now);
    if gateway.is_hierarchical() && gateway.is_local_data_centre(&peer.data_centre) {
        gateway.collector.add(&peer.instance, status);
    }
    gateway
        .demand_rates
        .add(&peer.instance, &status.demands, now);
    gateway
        .in_flight
        .set_peer(&peer.instance, status.loads.clone(), now);
    gateway.prefixes.merge(status.kept.clone(), now);
}

/// What the sender of a message knows.
#[derive(Clone, Copy)]
struct News {
    environment: u64,
    registry: u64,
}

impl News {
    fn is_ahead_of(&self, known: &mesh::Fetch) -> bool {
        self.environment > known.environment || self.registry > known.registry
    }
}

// Takes over what another data centre told; returns the newest that its
// instances know.
fn learn(gateway: &Arc<Gateway>, reports: &Reports, summary: &mesh::Summary) -> News {
    let mut news = News {
        environment: 0,
        registry: 0,
    };
    if gateway.is_local_data_centre(&summary.data_centre) {
        return news;
    }
    let now = gateway.now();
    for report in &summary.members {
        if gateway.members.insert(&report.hello)
            && let Ok(address) = report.hello.peers.parse()
        {
            dial(gateway, reports, address);
        }
        gateway.members.update(report, now);
        news.environment = news.environment.max(report.environment);
        news.registry = news.registry.max(report.registry);
    }
    let loads = summary.loads.clone();
    gateway
        .in_flight
        .set_data_centre(&summary.data_centre, loads, now);
    gateway
        .demand_rates
        .add(&summary.data_centre, &summary.demands, now);
    gateway.prefixes.merge(summary.kept.clone(), now);
    news
}

// Asks for what the peer knows and this instance does not, once that has
// lasted: the store's own feed is usually as fast.
fn lag(gateway: &Gateway, news: News, behind: &mut Option<(Duration, News)>) -> Option<Message> {
    let fetch = mesh::Fetch {
        environment: *gateway.version.borrow(),
        registry: gateway.registry.newest_revision(),
    };
    gateway.heard.send_if_modified(|heard| {
        let is_newer = news.environment > *heard;
        *heard = (*heard).max(news.environment);
        is_newer
    });
    // Only what was missing then counts: something newer is missing all the time
    // where changes are frequent.
    *behind = behind.filter(|(_, missing)| missing.is_ahead_of(&fetch));
    if !news.is_ahead_of(&fetch) {
        return None;
    }
    let now = gateway.now();
    let (since, _) = *behind.get_or_insert((now, news));
    let is_new = fetch.environment == 0 || fetch.registry == 0;
    let is_due = is_new || now.saturating_sub(since) >= MAX_LAG;
    is_due.then_some(Message::Fetch(fetch))
}

// Messages that arrive on either side of a connection.
fn accept(gateway: &Arc<Gateway>, peer: &mesh::Hello, message: Message) {
    match message {
        Message::Fetch(fetch) => answer_fetch(gateway, peer, &fetch),
        Message::Environment(environment) => {
            match gateway.ports.documents.decode(&environment.text) {
                Ok(document) => gateway.offer(document, &peer.instance),
                Err(error) => log::warn!(
                    peer = peer.instance.as_str(), error:% = error;
                    "environment of a peer is malformed"
                ),
            }
        }
        Message::Held(held) => {
            gateway.registry.apply_held(held.clone());
            spread(gateway, peer, Message::Held(held));
        }
        Message::Registry(registry) => {
            let now = gateway.now();
            let (revision, known) = (registry.revision, gateway.registry.newest_revision());
            let is_taken = gateway.registry.merge(registry, now);
            log::debug!(
                peer = peer.instance.as_str(), revision, known, taken = is_taken;
                "registrations from a peer"
            );
        }
        message => log::warn!(
            peer = peer.instance.as_str(), message:? = message;
            "message of a peer is out of place"
        ),
    }
}

// Passes on what a peer told to the instances that it does not reach.
fn spread(gateway: &Gateway, peer: &mesh::Hello, message: Message) {
    if !gateway.is_hierarchical() {
        return;
    }
    let origin = if gateway.is_local_data_centre(&peer.data_centre) {
        Origin::Local
    } else {
        Origin::Remote
    };
    gateway.broadcast(message, origin);
}

// The answers go by the connection that this instance made to the peer.
fn answer_fetch(gateway: &Gateway, peer: &mesh::Hello, fetch: &mesh::Fetch) {
    let Some(link) = gateway.links.get(&peer.instance) else {
        return;
    };
    if let Some(document) = gateway.document()
        && document.environment.version > fetch.environment
    {
        link.offer(Message::Environment(mesh::Environment {
            version: document.environment.version,
            text: document.text,
        }));
    }
    if gateway.registry.newest_revision() > fetch.registry {
        link.offer(Message::Registry(mesh::Registry {
            after: None,
            revision: gateway.registry.newest_revision(),
            registrations: gateway.registry.registrations(),
            removed: Vec::new(),
        }));
    }
}

fn answer_adapter(
    gateway: &Arc<Gateway>,
    request: mesh::AdapterRequest,
    replies: mpsc::Sender<Message>,
) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let loaded = match gateway.term() {
            Some(term) => {
                term.ensure_adapter(&request.runner, &request.model, &request.adapter)
                    .await
            }
            None => false,
        };
        let reply = mesh::AdapterReply {
            id: request.id,
            loaded,
        };
        // The connection that asked may be gone; the requester then times out.
        let _ = replies.send(Message::AdapterReply(reply)).await;
    });
}

/// Makes the leader load an adapter on a runner; returns whether the runner has it.
pub(crate) async fn ensure_adapter(
    gateway: &Gateway,
    runner: &str,
    model: &str,
    adapter: &str,
) -> bool {
    if let Some(term) = gateway.term() {
        return term.ensure_adapter(runner, model, adapter).await;
    }
    let Some((leader, _)) = gateway.members.leader(gateway.now()) else {
        return false;
    };
    let Some(link) = gateway.links.get(&leader) else {
        return false;
    };
    let asked = time::timeout(ADAPTER_TIMEOUT, link.ask(runner, model, adapter)).await;
    matches!(asked, Ok(Some(true)))
}
