//! Connections between this instance and its peers.

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
use crate::fetch::Versions;
use crate::gateway::Gateway;
use crate::links::Link;
use crate::memory::connections::{Connection, Purpose};
use crate::report::Reports;
use crate::span::millis;
use crate::supervisor::Task;
use crate::{Result, adapter_request, crash_report, quota, report, supervisor, tcp};

/// Timeout for the handshake, sends and unacknowledged data.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a message after which a peer's connection is closed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const RECONNECT_BASE: Duration = Duration::from_millis(200);
const RECONNECT_MAX: Duration = Duration::from_secs(2);
const REPLY_QUEUE: usize = 64;

/// Starts a task that maintains a link to `address`, unless one exists.
pub(crate) fn dial(gateway: &Arc<Gateway>, reports: &Reports, address: SocketAddr) {
    if gateway.links.mark_dialled(address) {
        let reports = reports.clone();
        supervisor::spawn(gateway, Task::Link, move |gateway| {
            maintain_link(gateway, reports.clone(), address)
        });
    }
}

// Maintains a link to a new member if the topology includes it.
fn dial_member(gateway: &Arc<Gateway>, reports: &Reports, member: &mesh::Hello) {
    if let Ok(address) = member.peers.parse() {
        gateway.update_topology();
        dial(gateway, reports, address);
    }
}

async fn maintain_link(gateway: Arc<Gateway>, reports: Reports, address: SocketAddr) {
    let mut backoff = Backoff::new(RECONNECT_BASE, RECONNECT_MAX);
    let mut included = gateway.topology.subscribe();
    let mut excluded = gateway.topology.subscribe();
    let mut is_first = true;
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            // Cannot fail: the gateway holds the sender.
            _ = included.wait_for(|topology| topology.includes(address)) => {}
        }
        if std::mem::take(&mut is_first) {
            let spread = gateway.topology.borrow().first_dial_spread(address);
            let delay = spread.mul_f64(rand::random::<f64>());
            gateway.clock.sleep(delay).await;
            if !gateway.topology.borrow().includes(address) {
                continue;
            }
        }
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            _ = excluded.wait_for(|topology| !topology.includes(address)) => {
                log::info!(address:% = address; "link closed: not in the topology");
            }
            ended = run_link(&gateway, &reports, address, &mut backoff) => {
                if let Err(error) = ended {
                    log::debug!(peer:% = address, error:% = error; "link could not be opened or failed");
                }
            }
        }
        gateway.clock.sleep(backoff.next_delay()).await;
    }
}

async fn run_link(
    gateway: &Arc<Gateway>,
    reports: &Reports,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<()> {
    let mut statuses = reports.subscribe();
    let mut fanout = gateway.fanout.subscribe();
    let (mut writer, mut reader) = time::timeout(CONNECT_TIMEOUT, connect(gateway, address))
        .await
        .map_err(|_| Code::Timeout)??;
    writer.send(&Message::Hello(gateway.hello())).await?;
    let Message::Hello(peer) = reader.receive(PEER_TIMEOUT).await? else {
        return Err(Code::Malformed("expected a hello as the first message".to_owned()).into());
    };
    backoff.reset();
    gateway.members.insert(&peer);
    log::info!(peer = peer.instance.as_str(), address:% = address; "link open");
    gateway.metrics.link();
    let (link, mut queue) = Link::new();
    gateway.links.open(&peer.instance, &link);
    if let Some(quarantine) = gateway.quarantine.snapshot(gateway.now()) {
        link.try_send(Message::Quarantine(quarantine));
    }
    // A peer that has just started waits for this before it serves.
    link.try_send(Message::Status(gateway.status_without_counts()));
    let send = async {
        loop {
            let message = tokio::select! {
                Some(message) = queue.recv() => message,
                status = statuses.recv() => match status {
                    Ok(status) if gateway.relation(&peer) == Relation::Local => {
                        Message::Status((*status).clone())
                    }
                    Ok(status) => Message::Status(report::without_lists(&status)),
                    Err(broadcast::error::RecvError::Lagged(count)) => {
                        log::warn!(peer = peer.instance.as_str(), count; "status messages skipped: the link is too slow");
                        continue;
                    }
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                envelope = fanout.recv() => match envelope {
                    Ok(envelope) if should_send(gateway, &envelope, &peer) => envelope.message.clone(),
                    // A peer that misses a message fetches it or gets a newer one.
                    Ok(_) | Err(_) => continue,
                },
            };
            time::timeout(PEER_TIMEOUT, writer.send(&message))
                .await
                .map_err(|_| Code::Timeout)??;
        }
    };
    let receive = async {
        loop {
            // On this connection, the peer sends only replies and fetches.
            let message = reader.next().await?;
            match message {
                Message::AdapterReply(reply) => link.complete(&reply),
                Message::QuotaGrant(grant) => link.complete_ask(grant),
                message => handle(gateway, &peer, message),
            }
        }
    };
    let ended: Result<()> = tokio::select! {
        ended = send => ended,
        ended = receive => ended,
    };
    gateway.links.close(&peer.instance, &link);
    log::info!(peer = peer.instance.as_str(), address:% = address; "link closed");
    ended
}

// Registrations are not sent to other data centres, which have their own followers,
// nor to peers that are followers themselves.
fn should_send(gateway: &Gateway, envelope: &Envelope, peer: &mesh::Hello) -> bool {
    let relation = gateway.relation(peer);
    let is_redundant = matches!(envelope.message, Message::Registry(_))
        && (relation != Relation::Local || gateway.members.is_follower(&peer.instance));
    !is_redundant && envelope.should_send_to(relation)
}

async fn connect(gateway: &Gateway, address: SocketAddr) -> Result<(Writer, Reader)> {
    let connector = &gateway.ports.peer_connector;
    let stream = connector
        .connect(address, CONNECT_TIMEOUT, PEER_TIMEOUT)
        .await?;
    tcp::resize(&stream, tcp::LINK);
    let url = format!("ws://{address}/mesh");
    let (stream, _) = client_async_with_config(url, stream, Some(socket::config()))
        .await
        .map_err(|error| Code::Connect(error.to_string()))?;
    Ok(socket::split(stream))
}

/// Accepts connections from peers.
pub(crate) async fn listen(gateway: Arc<Gateway>, listener: Arc<TcpListener>, reports: Reports) {
    loop {
        let accepted = tokio::select! {
            () = gateway.stopped.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a peer connection");
                gateway.clock.sleep(RECONNECT_BASE).await;
                continue;
            }
        };
        let connections = &gateway.memory.connections;
        let Some(connection) = connections.admit(Purpose::Peers, gateway.now()) else {
            continue;
        };
        let gateway = Arc::clone(&gateway);
        let reports = reports.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = gateway.stopped.cancelled() => {}
                ended = serve(&gateway, stream, connection, &reports) => {
                    if let Err(error) = ended {
                        log::debug!(error:% = error; "peer connection ended");
                    }
                }
            }
        });
    }
}

// `connection` is counted until the peer has introduced itself.
async fn serve(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
    connection: Connection,
    reports: &Reports,
) -> Result<()> {
    tcp::configure(&stream, PEER_TIMEOUT).map_err(|error| Code::Broken(error.to_string()))?;
    tcp::resize(&stream, tcp::LINK);
    let handshake = async {
        let stream = accept_async_with_config(stream, Some(socket::config()))
            .await
            .map_err(|error| Code::Broken(error.to_string()))?;
        let (mut writer, mut reader) = socket::split(stream);
        let Message::Hello(peer) = reader.receive(PEER_TIMEOUT).await? else {
            return Err(Code::Malformed("expected a hello as the first message".to_owned()).into());
        };
        writer.send(&Message::Hello(gateway.hello())).await?;
        Ok::<_, crate::Error>((writer, reader, peer))
    };
    let handshake = time::timeout(PEER_TIMEOUT, handshake);
    let (mut writer, mut reader, peer) = tokio::select! {
        ended = handshake => ended.map_err(|_| Code::Timeout)??,
        () = connection.closed() => return Err(Code::Timeout.into()),
    };
    drop(connection);
    if gateway.members.insert(&peer) {
        dial_member(gateway, reports, &peer);
    }
    let (replies, mut queue) = mpsc::channel(REPLY_QUEUE);
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
                apply_status(gateway, &peer, &status);
                let versions = Versions {
                    environment: status.environment,
                    registry: status.registry,
                };
                if let Some(fetch) = fetch_if_behind(gateway, &peer, versions) {
                    writer.send(&fetch).await?;
                }
            }
            Message::Summary(summary) => {
                let versions = apply_summary(gateway, reports, &peer, &summary);
                if gateway.is_hierarchical() && !gateway.is_local_data_centre(&peer.data_centre) {
                    gateway.broadcast(Message::Summary(summary), Origin::Remote);
                    if let Some(fetch) = fetch_if_behind(gateway, &peer, versions) {
                        writer.send(&fetch).await?;
                    }
                }
            }
            Message::AdapterRequest(request) => {
                adapter_request::serve(gateway, request, replies.clone());
            }
            Message::QuotaAsk(ask) => {
                let grant = quota::serve(gateway, &peer.instance, ask);
                writer.send(&Message::QuotaGrant(grant)).await?;
            }
            message => handle(gateway, &peer, message),
        }
    }
}

fn apply_status(gateway: &Gateway, peer: &mesh::Hello, status: &mesh::Status) {
    let now = gateway.now();
    gateway
        .members
        .update(&report::from_status(peer, status), now);
    if status.ready {
        gateway.join.record_newest(status.environment);
    }
    if status.leaving {
        // Its quota slots have no owner until this is known.
        gateway.update_topology();
    }
    let demands = gateway.known_demands(&status.demands);
    if gateway.is_hierarchical() && gateway.is_local_data_centre(&peer.data_centre) {
        let kept = &status.kept;
        gateway.collector.add(&peer.instance, &demands, kept);
    }
    gateway.demand_rates.add(&peer.instance, &demands, now);
    gateway
        .in_flight
        .set_peer(&peer.instance, status.loads.clone(), now);
    gateway.claims.set_peer(&peer.instance, &status.claims, now);
    gateway.prefixes.merge(status.kept.clone(), now);
    gateway.notices.merge_brittle(&status.brittle, now);
}

// Applies the summary of another data centre that `peer` has sent; returns the versions
// that `peer` itself has. Only these can be requested from it: of two delegates that are
// behind, each would ask the other for what the instances of its data centre have.
fn apply_summary(
    gateway: &Arc<Gateway>,
    reports: &Reports,
    peer: &mesh::Hello,
    summary: &mesh::Summary,
) -> Versions {
    let mut versions = Versions::default();
    if gateway.is_local_data_centre(&summary.data_centre) {
        return versions;
    }
    let now = gateway.now();
    for report in &summary.members {
        if gateway.members.insert(&report.hello) {
            dial_member(gateway, reports, &report.hello);
        }
        gateway.members.update(report, now);
        announce(gateway, report.environment);
        if report.hello.instance == peer.instance {
            versions = Versions {
                environment: report.environment,
                registry: report.registry,
            };
        }
    }
    let loads = summary.loads.clone();
    gateway
        .in_flight
        .set_data_centre(&summary.data_centre, loads, now);
    let demands = gateway.known_demands(&summary.demands);
    gateway
        .demand_rates
        .add(&summary.data_centre, &demands, now);
    gateway
        .claims
        .set_data_centre(&summary.data_centre, &summary.claims, now);
    gateway.prefixes.merge(summary.kept.clone(), now);
    versions
}

// Returns the request to send to a peer that reports newer versions, if one is due.
fn fetch_if_behind(gateway: &Gateway, peer: &mesh::Hello, reported: Versions) -> Option<Message> {
    announce(gateway, reported.environment);
    let version = *gateway.version.borrow();
    let is_starting = gateway.serving_environment().is_none();
    let known = Versions {
        // An instance that does not serve yet fetches at once, as if it had none.
        environment: if is_starting && reported.environment > version {
            0
        } else {
            version
        },
        registry: gateway.registry.newest_revision(),
    };
    let behind = gateway
        .fetches
        .start(&peer.instance, known, reported, gateway.now())?;
    gateway.metrics.fetch();
    log::info!(
        peer = peer.instance.as_str(), environment = known.environment,
        newest_environment = reported.environment, registry = known.registry,
        newest_registry = reported.registry, behind_ms = millis(behind);
        "newer versions requested from a peer"
    );
    Some(Message::Fetch(mesh::Fetch {
        environment: known.environment,
        registry: known.registry,
    }))
}

// Wakes the task that reads the environment if the store must have a newer one.
fn announce(gateway: &Gateway, environment: u64) {
    gateway.announced.send_if_modified(|announced| {
        let is_newer = environment > *announced;
        *announced = (*announced).max(environment);
        is_newer
    });
}

// Handles fetches, and environments, models and registrations that a peer sends.
fn handle(gateway: &Arc<Gateway>, peer: &mesh::Hello, message: Message) {
    match message {
        Message::Fetch(fetch) => handle_fetch(gateway, peer, &fetch),
        Message::Environment(environment) => install_from_peer(gateway, peer, &environment),
        Message::Held(held) => {
            gateway.registry.apply_held(held.clone());
            rebroadcast(gateway, peer, Message::Held(held));
        }
        Message::Quarantine(quarantine) => {
            if crash_report::receive(gateway, &peer.instance, &quarantine) {
                rebroadcast(gateway, peer, Message::Quarantine(quarantine));
            }
        }
        Message::Registry(registry) => {
            let now = gateway.now();
            let (revision, known) = (registry.revision, gateway.registry.newest_revision());
            let is_taken = gateway.registry.merge(registry, now);
            log::debug!(
                peer = peer.instance.as_str(), revision, known, taken = is_taken;
                "registrations received from a peer"
            );
        }
        message => log::warn!(
            peer = peer.instance.as_str(), message:? = message;
            "unexpected message from a peer"
        ),
    }
}

fn install_from_peer(gateway: &Gateway, peer: &mesh::Hello, environment: &mesh::Environment) {
    let is_newer = environment.version > *gateway.version.borrow();
    gateway.metrics.environment_received(is_newer);
    if !is_newer {
        log::debug!(
            peer = peer.instance.as_str(), version = environment.version,
            bytes = environment.text.len();
            "environment from a peer is not newer"
        );
        return;
    }
    match gateway.ports.documents.decode(&environment.text) {
        Ok(document) => gateway.install(document, &peer.instance),
        Err(error) => log::warn!(
            peer = peer.instance.as_str(), error:% = error;
            "environment from a peer is malformed"
        ),
    }
}

// Forwards a peer's message to the instances that it has no link to.
fn rebroadcast(gateway: &Gateway, peer: &mesh::Hello, message: Message) {
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

// Replies on the connection that this instance opened to the peer.
fn handle_fetch(gateway: &Gateway, peer: &mesh::Hello, fetch: &mesh::Fetch) {
    let Some(link) = gateway.links.get(&peer.instance) else {
        return;
    };
    if let Some(document) = gateway.document()
        && document.environment.version > fetch.environment
    {
        link.try_send(Message::Environment(mesh::Environment {
            version: document.environment.version,
            text: document.text,
        }));
    }
    if gateway.registry.newest_revision() > fetch.registry {
        link.try_send(Message::Registry(mesh::Registry {
            after: None,
            revision: gateway.registry.newest_revision(),
            registrations: gateway.registry.registrations(),
            removed: Vec::new(),
        }));
    }
}
