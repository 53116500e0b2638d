//! Accepting side of the peer connections.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::socket::{self, Reader, Writer};
use almondbank_wire::{digest, peer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time;
use tokio_tungstenite::accept_async_with_config;

use crate::error::Code;
use crate::node::Node;
use crate::term::Request;
use crate::{Result, call};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_CONNECTIONS: usize = 512;
const REPLY_QUEUE_CAPACITY: usize = 256;

/// Accepts connections from other instances until `node` stops.
pub(crate) async fn run(node: Arc<Node>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = node.stopped.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((tcp, _)) = accepted else {
            node.clock.sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            if let Err(error) = serve(&node, tcp).await {
                log::debug!("peer connection closed: {error}");
            }
            drop(permit);
        });
    }
}

/// Hello message of this instance.
pub(crate) fn hello(node: &Node, proof: String) -> peer::Hello {
    peer::Hello {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation.clone(),
        peers: node.peers.to_string(),
        callers: node.callers.to_string(),
        data_centre: node.settings.data_centre.clone(),
        proof,
    }
}

/// Nonce of the accepting side's proof, which differs from that of the connecting
/// side's.
pub(crate) fn acceptor_nonce(nonce: &str) -> String {
    format!("accept {nonce}")
}

async fn serve(node: &Arc<Node>, tcp: TcpStream) -> Result<()> {
    let (mut writer, reader, hello) = time::timeout(HANDSHAKE_TIMEOUT, handshake(node, tcp))
        .await
        .map_err(|_| Code::Timeout)??;
    node.members.record_hello(&hello, node.clock.now());
    node.peer_joined.notify_one();
    send_document(node, &mut writer, &hello).await?;
    let (replies, mut queue) = mpsc::channel(REPLY_QUEUE_CAPACITY);
    let send = async {
        loop {
            let message = tokio::select! {
                Some(message) = queue.recv() => message,
                () = node.clock.sleep(HEARTBEAT_INTERVAL) => {
                    peer::Message::Heartbeat(node.heartbeat_for(&hello.incarnation))
                }
            };
            time::timeout(IDLE_TIMEOUT, writer.send(&message))
                .await
                .map_err(|_| Code::Timeout)??;
        }
    };
    tokio::select! {
        ended = receive(node, reader, &hello, &replies) => ended,
        ended = send => ended,
        () = node.stopped.cancelled() => Ok(()),
    }
}

async fn handshake(node: &Node, tcp: TcpStream) -> Result<(Writer, Reader, peer::Hello)> {
    let _ = tcp.set_nodelay(true);
    let stream = accept_async_with_config(tcp, Some(socket::config()))
        .await
        .map_err(|error| Code::Socket(Box::new(error)))?;
    let (mut writer, mut reader) = socket::split(stream);
    let nonce = format!("{:032x}", rand::random::<u128>());
    let challenge = peer::Challenge {
        nonce: nonce.clone(),
    };
    writer.send(&peer::Message::Challenge(challenge)).await?;
    let peer::Message::Hello(peer_hello) = reader.receive(HANDSHAKE_TIMEOUT).await? else {
        return Err(Code::Unexpected.into());
    };
    if !digest::verify(&node.settings.peer_secret, &nonce, &peer_hello.proof) {
        return Err(Code::Authentication.into());
    }
    let proof = digest::proof(&node.settings.peer_secret, &acceptor_nonce(&nonce));
    writer
        .send(&peer::Message::Hello(hello(node, proof)))
        .await?;
    Ok((writer, reader, peer_hello))
}

async fn send_document(node: &Node, writer: &mut Writer, hello: &peer::Hello) -> Result<()> {
    let edition = node.catalog.current();
    if edition.revision == 0 {
        let heartbeat = node.heartbeat_for(&hello.incarnation);
        writer.send(&peer::Message::Heartbeat(heartbeat)).await?;
        return Ok(());
    }
    let document = peer::Document {
        revision: edition.revision,
        document: edition.text.clone(),
    };
    writer.send(&peer::Message::Document(document)).await?;
    Ok(())
}

async fn receive(
    node: &Arc<Node>,
    mut reader: Reader,
    hello: &peer::Hello,
    replies: &mpsc::Sender<peer::Message>,
) -> Result<()> {
    loop {
        match reader.receive(IDLE_TIMEOUT).await? {
            peer::Message::AdapterRequest(request) => {
                handle_adapter(node, request, replies.clone());
            }
            peer::Message::CallRequest(request) => handle_call(node, request, replies.clone()),
            message => handle(node, &hello.incarnation, message)?,
        }
    }
}

/// Handles a message from `incarnation` that needs no reply.
pub(crate) fn handle(node: &Node, incarnation: &str, message: peer::Message) -> Result<()> {
    match message {
        peer::Message::Heartbeat(heartbeat) => {
            let has_waiting = heartbeat
                .usage
                .iter()
                .any(|usage| !usage.waiting.is_empty());
            node.members
                .record_heartbeat(incarnation, heartbeat, node.clock.now());
            if has_waiting {
                node.leader_wake.notify_one();
            }
        }
        peer::Message::Routes(routes) => {
            node.admission.update(routes);
        }
        peer::Message::Document(document) => {
            match node.catalog.offer(document.revision, &document.document) {
                Ok(true) => log::info!(
                    "applied revision {} received from a peer",
                    document.revision
                ),
                Ok(false) => {}
                Err(error) => log::warn!("rejected a document received from a peer: {error}"),
            }
        }
        _ => return Err(Code::Unexpected.into()),
    }
    Ok(())
}

fn handle_adapter(
    node: &Arc<Node>,
    request: peer::AdapterRequest,
    replies: mpsc::Sender<peer::Message>,
) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let resident = request_adapter(&node, &request.adapter, &request.replica).await;
        let reply = peer::AdapterReply {
            id: request.id,
            resident,
        };
        let _ = replies.send(peer::Message::AdapterReply(reply)).await;
    });
}

/// Requests an adapter from this instance as the leader; returns whether it is
/// resident, and `false` if this instance is not the leader.
pub(crate) async fn request_adapter(node: &Node, adapter: &str, replica: &str) -> bool {
    let Some(term) = node.term.lock().clone() else {
        return false;
    };
    let (sender, receiver) = oneshot::channel();
    let request = Request {
        adapter: adapter.to_owned(),
        replica: replica.to_owned(),
        reply: sender,
    };
    if term.requests.send(request).await.is_err() {
        return false;
    }
    receiver.await.unwrap_or(false)
}

fn handle_call(node: &Arc<Node>, request: peer::CallRequest, replies: mpsc::Sender<peer::Message>) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let reply = call::serve_forwarded(&node, request).await;
        let _ = replies.send(peer::Message::CallReply(reply)).await;
    });
}
