//! The tasks that connect this instance with the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_port::commit;
use almondbank_port::retry::Backoff;
use almondbank_port::socket::{self, Reader, Writer};
use almondbank_port::table::Transaction;
use almondbank_wire::mesh::{self, Message};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc};
use tokio::time;
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use crate::error::Code;
use crate::gateway::Gateway;
use crate::links::Link;
use crate::{Result, pace, tcp};

/// Environment name in the keys of the system's own rows.
pub(crate) const ENVIRONMENT: &str = "main";

const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(20);
/// Unacknowledged data for this long means that a peer cannot be reached.
const SILENCE: Duration = Duration::from_secs(2);
/// Time without a report after which a connection counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const REDIAL_BASE: Duration = Duration::from_millis(200);
const REDIAL_MAX: Duration = Duration::from_secs(2);
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);
const REGISTER_RETRY: Duration = Duration::from_secs(1);
/// Time between two reads of the rows of all instances.
const SCAN_INTERVAL: Duration = Duration::from_secs(15);
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(1200);
const STATUS_QUEUE: usize = 32;
const REPLY_QUEUE: usize = 64;
/// Time for which a peer may know more before this instance asks for it.
const MAX_LAG: Duration = Duration::from_millis(200);

/// Sender of this instance's reports.
pub(crate) type Reports = broadcast::Sender<Arc<mesh::Status>>;

/// Makes the channel of reports.
pub(crate) fn reports() -> Reports {
    broadcast::Sender::new(STATUS_QUEUE)
}

/// Reports this instance's state at an interval, and at once when a request
/// begins to wait for a model or the environment changes. Where there are many
/// instances, only the keeper hears of that at once.
pub(crate) async fn report(gateway: Arc<Gateway>, reports: Reports) {
    let mut version = gateway.version.subscribe();
    loop {
        let now = gateway.now();
        let instances = gateway.members.share_count(now);
        let mut status = gateway.status();
        status.kept = gateway.kept.take_news();
        count_own(&gateway, &status, now);
        let is_told = status.leaving;
        // Nobody listens while this instance is alone.
        let _ = reports.send(Arc::new(status));
        let next = now + pace::interval(instances);
        let earliest = now + pace::pause(instances);
        loop {
            gateway.clock.sleep(MIN_STATUS_INTERVAL).await;
            let now = gateway.now();
            tokio::select! {
                () = gateway.stopped.cancelled() => return,
                () = gateway.demand.urgent() => {}
                _ = version.changed() => break,
                () = gateway.leaving.cancelled(), if !is_told => break,
                () = gateway.clock.sleep(next.saturating_sub(now)) => break,
            }
            if gateway.now() >= earliest {
                break;
            }
            tell_keeper(&gateway);
        }
    }
}

fn count_own(gateway: &Gateway, status: &mesh::Status, now: Duration) {
    let instance = &gateway.settings.instance;
    gateway.interests.add(instance, &status.demands, now);
}

fn tell_keeper(gateway: &Gateway) {
    let now = gateway.now();
    let status = gateway.status();
    count_own(gateway, &status, now);
    let keeper = gateway.members.keeper(now);
    let link = keeper.and_then(|(instance, _)| gateway.links.get(&instance));
    if let Some(link) = link {
        link.offer(Message::Status(status));
    }
}

/// Registers this instance and dials the others.
pub(crate) async fn discover(gateway: Arc<Gateway>, reports: Reports) {
    gateway.links.claim(gateway.settings.listen.peers);
    for seed in gateway.settings.seeds.clone() {
        dial(&gateway, &reports, seed);
    }
    let mut is_registered = false;
    loop {
        if !is_registered {
            is_registered = register(&gateway).await;
        }
        let is_read = read_members(&gateway, &reports).await;
        let pause = if is_registered && is_read {
            SCAN_INTERVAL
        } else {
            REGISTER_RETRY
        };
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(pause) => {}
        }
    }
}

async fn register(gateway: &Gateway) -> bool {
    let key = key::member(ENVIRONMENT, &gateway.settings.instance);
    let row = key::encode(&gateway.hello());
    let transaction = Transaction::new(format!("{}/register", gateway.incarnation)).put(key, row);
    let deadline = gateway.now() + REGISTER_TIMEOUT;
    let settled = commit::settle(
        &*gateway.ports.table,
        &*gateway.clock,
        &transaction,
        deadline,
    )
    .await;
    match settled {
        Ok(_) => true,
        Err(error) => {
            log::warn!(error:% = error; "instance is not registered");
            false
        }
    }
}

async fn read_members(gateway: &Arc<Gateway>, reports: &Reports) -> bool {
    let rows = match gateway.ports.table.scan(&key::members(ENVIRONMENT)).await {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:% = error; "members are not read");
            return false;
        }
    };
    for row in rows {
        match key::decode::<mesh::Hello>(&row.key, &row.value) {
            Ok(hello) if hello.instance == gateway.settings.instance => {}
            Ok(hello) => {
                gateway.members.learn(&hello);
                if let Ok(address) = hello.peers.parse() {
                    dial(gateway, reports, address);
                }
            }
            Err(error) => log::warn!(error:% = error; "row of a member is malformed"),
        }
    }
    true
}

fn dial(gateway: &Arc<Gateway>, reports: &Reports, address: SocketAddr) {
    if gateway.links.claim(address) {
        tokio::spawn(keep_link(Arc::clone(gateway), reports.clone(), address));
    }
}

async fn keep_link(gateway: Arc<Gateway>, reports: Reports, address: SocketAddr) {
    let mut backoff = Backoff::new(REDIAL_BASE, REDIAL_MAX);
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
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
    let mut news = gateway.news.subscribe();
    let mut held = gateway.held.subscribe();
    let (mut writer, mut reader) = time::timeout(CONNECT_TIMEOUT, connect(address))
        .await
        .map_err(|_| Code::Timeout)??;
    writer.send(&Message::Hello(gateway.hello())).await?;
    let Message::Hello(peer) = reader.receive(SILENCE).await? else {
        return Err(Code::Malformed("no greeting".to_owned()).into());
    };
    backoff.reset();
    gateway.members.learn(&peer);
    log::info!(peer = peer.instance.as_str(), address:% = address; "link open");
    let (link, mut queue) = Link::new();
    gateway.links.open(&peer.instance, &link);
    let send = async {
        loop {
            let message = tokio::select! {
                Some(message) = queue.recv() => message,
                status = statuses.recv() => match status {
                    Ok(status) => Message::Status((*status).clone()),
                    Err(broadcast::error::RecvError::Lagged(count)) => {
                        log::warn!(peer = peer.instance.as_str(), count; "reports skipped");
                        continue;
                    }
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                held = held.recv() => match held {
                    Ok(held) => Message::Held(held),
                    // The next report of the runner brings all that it holds.
                    Err(_) => continue,
                },
                changes = news.recv() => match changes {
                    Ok(_) if gateway.members.is_follower(&peer.instance) => continue,
                    Ok(changes) => Message::Registry((*changes).clone()),
                    // The peer notices the gap and asks.
                    Err(_) => continue,
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
    if gateway.members.learn(&peer)
        && let Ok(address) = peer.peers.parse()
    {
        dial(gateway, reports, address);
    }
    let (replies, mut queue) = mpsc::channel(REPLY_QUEUE);
    let mut behind_since = None;
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
                if let Some(fetch) = lag(gateway, &status, &mut behind_since) {
                    writer.send(&fetch).await?;
                }
            }
            Message::AdapterRequest(request) => answer_adapter(gateway, request, replies.clone()),
            message => accept(gateway, &peer, message),
        }
    }
}

fn hear(gateway: &Gateway, peer: &mesh::Hello, status: &mesh::Status) {
    let now = gateway.now();
    gateway.members.hear(peer, status, now);
    gateway.interests.add(&peer.instance, &status.demands, now);
    gateway
        .book
        .report(&peer.instance, status.loads.clone(), now);
    gateway.kept.learn(status.kept.clone(), now);
}

// Asks for what the peer knows and this instance does not, once that has
// lasted: the store's own feed is usually as fast.
fn lag(
    gateway: &Gateway,
    status: &mesh::Status,
    behind_since: &mut Option<Duration>,
) -> Option<Message> {
    let fetch = mesh::Fetch {
        environment: *gateway.version.borrow(),
        registry: gateway.roster.newest(),
    };
    gateway.heard.send_if_modified(|heard| {
        let is_newer = status.environment > *heard;
        *heard = (*heard).max(status.environment);
        is_newer
    });
    let is_behind = status.environment > fetch.environment || status.registry > fetch.registry;
    if !is_behind {
        *behind_since = None;
        return None;
    }
    let now = gateway.now();
    let since = *behind_since.get_or_insert(now);
    let is_new = fetch.environment == 0 || fetch.registry == 0;
    let is_due = is_new || now.saturating_sub(since) >= MAX_LAG;
    is_due.then_some(Message::Fetch(fetch))
}

// Messages that arrive on either side of a connection.
fn accept(gateway: &Arc<Gateway>, peer: &mesh::Hello, message: Message) {
    match message {
        Message::Fetch(fetch) => answer_fetch(gateway, peer, &fetch),
        Message::Environment(environment) => {
            match gateway.ports.editions.decode(&environment.text) {
                Ok(edition) => gateway.offer(edition, &peer.instance),
                Err(error) => log::warn!(
                    peer = peer.instance.as_str(), error:% = error;
                    "environment of a peer is malformed"
                ),
            }
        }
        Message::Held(held) => gateway.roster.hold(held),
        Message::Registry(registry) => {
            let now = gateway.now();
            let (revision, known) = (registry.revision, gateway.roster.newest());
            let is_taken = gateway.roster.merge(registry, now);
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

// The answers go by the connection that this instance made to the peer.
fn answer_fetch(gateway: &Gateway, peer: &mesh::Hello, fetch: &mesh::Fetch) {
    let Some(link) = gateway.links.get(&peer.instance) else {
        return;
    };
    if let Some(edition) = gateway.edition()
        && edition.environment.version > fetch.environment
    {
        link.offer(Message::Environment(mesh::Environment {
            version: edition.environment.version,
            text: edition.text,
        }));
    }
    if gateway.roster.newest() > fetch.registry {
        link.offer(Message::Registry(mesh::Registry {
            after: None,
            revision: gateway.roster.newest(),
            registrations: gateway.roster.registrations(),
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
        let loaded = match gateway.tenure() {
            Some(tenure) => {
                tenure
                    .ensure_adapter(&request.runner, &request.model, &request.adapter)
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

/// Makes the keeper load an adapter on a runner; returns whether the runner has it.
pub(crate) async fn ensure_adapter(
    gateway: &Gateway,
    runner: &str,
    model: &str,
    adapter: &str,
) -> bool {
    if let Some(tenure) = gateway.tenure() {
        return tenure.ensure_adapter(runner, model, adapter).await;
    }
    let Some((keeper, _)) = gateway.members.keeper(gateway.now()) else {
        return false;
    };
    let Some(link) = gateway.links.get(&keeper) else {
        return false;
    };
    let asked = time::timeout(ADAPTER_TIMEOUT, link.ask(runner, model, adapter)).await;
    matches!(asked, Ok(Some(true)))
}
