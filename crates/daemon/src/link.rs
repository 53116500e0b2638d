//! The task that maintains the outgoing connection to one other instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::retry;
use almondbank_port::socket::{self, Reader, Writer};
use almondbank_wire::{digest, peer};
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::client_async_with_config;

use crate::error::Code;
use crate::node::Node;
use crate::{Result, listener};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_BASE: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Maintains a connection to the instance at `address` until `node` stops or no
/// member or seed has that address any more.
pub(crate) async fn run(node: Arc<Node>, address: SocketAddr) {
    let mut backoff = retry::Backoff::new(RETRY_BASE, RETRY_MAX);
    loop {
        let connected = tokio::select! {
            () = node.stopped.cancelled() => return,
            connected = connect(&node, address) => connected,
        };
        if let Ok((writer, reader, hello)) = connected {
            backoff.reset();
            if hello.incarnation == node.incarnation {
                return;
            }
            serve(&node, writer, reader, hello).await;
        }
        if !node.peer_addresses().contains(&address) {
            node.links.unclaim(address);
            return;
        }
        tokio::select! {
            () = node.stopped.cancelled() => return,
            () = node.clock.sleep(backoff.next_delay()) => {}
        }
    }
}

async fn connect(node: &Node, address: SocketAddr) -> Result<(Writer, Reader, peer::Hello)> {
    time::timeout(CONNECT_TIMEOUT, handshake(node, address))
        .await
        .map_err(|_| Code::Timeout)?
}

async fn handshake(node: &Node, address: SocketAddr) -> Result<(Writer, Reader, peer::Hello)> {
    let tcp = TcpStream::connect(address)
        .await
        .map_err(|_| Code::Connect)?;
    let _ = tcp.set_nodelay(true);
    let url = format!("ws://{address}/");
    let (stream, _) = client_async_with_config(url, tcp, Some(socket::config()))
        .await
        .map_err(|error| Code::Socket(Box::new(error)))?;
    let (mut writer, mut reader) = socket::split(stream);
    let peer::Message::Challenge(challenge) = reader.receive(CONNECT_TIMEOUT).await? else {
        return Err(Code::Unexpected.into());
    };
    let proof = digest::proof(&node.settings.peer_secret, &challenge.nonce);
    let hello = listener::hello(node, proof);
    writer.send(&peer::Message::Hello(hello)).await?;
    match reader.receive(CONNECT_TIMEOUT).await? {
        peer::Message::Hello(hello) => {
            let expected = listener::acceptor_nonce(&challenge.nonce);
            if !digest::verify(&node.settings.peer_secret, &expected, &hello.proof) {
                return Err(Code::Authentication.into());
            }
            Ok((writer, reader, hello))
        }
        _ => Err(Code::Unexpected.into()),
    }
}

async fn serve(node: &Arc<Node>, mut writer: Writer, mut reader: Reader, hello: peer::Hello) {
    node.members.record_hello(&hello, node.clock.now());
    let (link, mut queue) = node.links.open(&hello.instance, &hello.incarnation);
    let mut usage = node.usage.subscribe();
    let mut editions = node.catalog.subscribe();
    editions.mark_changed();
    let receive = async {
        loop {
            match reader.receive(IDLE_TIMEOUT).await? {
                peer::Message::AdapterReply(reply) => link.adapter_reply(&reply),
                peer::Message::CallReply(reply) => link.call_reply(reply),
                message => listener::handle(node, &hello.incarnation, message)?,
            }
        }
    };
    let send = async {
        loop {
            let message = tokio::select! {
                Some(message) = queue.recv() => message,
                Ok(()) = editions.changed() => {
                    let edition = Arc::clone(&editions.borrow_and_update());
                    if edition.revision == 0 {
                        continue;
                    }
                    peer::Message::Document(peer::Document {
                        revision: edition.revision,
                        document: edition.text.clone(),
                    })
                }
                Ok(()) = usage.changed() => {
                    usage.mark_unchanged();
                    peer::Message::Heartbeat(node.heartbeat_for(&hello.incarnation))
                }
            };
            time::timeout(IDLE_TIMEOUT, writer.send(&message))
                .await
                .map_err(|_| Code::Timeout)??;
        }
    };
    let _: Result<()> = tokio::select! {
        ended = receive => ended,
        ended = send => ended,
        () = node.stopped.cancelled() => Ok(()),
    };
    node.links.close(&hello.instance, &link);
}
