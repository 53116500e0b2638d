//! Outgoing connections to the other instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use almondbank_wire::{id, peer};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

/// Capacity of a connection's send queue, in messages.
const QUEUE_CAPACITY: usize = 256;

/// The open connections by instance, and the addresses with a connection task.
#[derive(Debug, Default)]
pub(crate) struct Links {
    open: Mutex<BTreeMap<id::Instance, Arc<Link>>>,
    claimed: Mutex<BTreeSet<SocketAddr>>,
}

/// An open outgoing connection.
#[derive(Debug)]
pub(crate) struct Link {
    /// Incarnation of the connected instance.
    pub(crate) incarnation: id::Incarnation,
    sender: mpsc::Sender<peer::Message>,
    next_id: AtomicU64,
    pending: Mutex<BTreeMap<u64, Pending>>,
}

#[derive(Debug)]
enum Pending {
    Adapter(oneshot::Sender<bool>),
    Call(oneshot::Sender<peer::CallReply>),
}

impl Links {
    /// Reserves `address` for one connection task; returns `false` if it is reserved
    /// already.
    pub(crate) fn claim(&self, address: SocketAddr) -> bool {
        self.claimed.lock().insert(address)
    }

    /// Releases the reservation of `address`.
    pub(crate) fn unclaim(&self, address: SocketAddr) {
        self.claimed.lock().remove(&address);
    }

    /// Registers a new connection; it replaces an earlier one to the same instance.
    pub(crate) fn open(
        &self,
        instance: &str,
        incarnation: &str,
    ) -> (Arc<Link>, mpsc::Receiver<peer::Message>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let link = Arc::new(Link {
            incarnation: incarnation.to_owned(),
            sender,
            next_id: AtomicU64::new(0),
            pending: Mutex::default(),
        });
        let mut open = self.open.lock();
        open.insert(instance.to_owned(), Arc::clone(&link));
        (link, receiver)
    }

    /// Removes a closed connection and fails the requests that wait for a reply.
    pub(crate) fn close(&self, instance: &str, link: &Arc<Link>) {
        let mut open = self.open.lock();
        if open
            .get(instance)
            .is_some_and(|current| Arc::ptr_eq(current, link))
        {
            open.remove(instance);
        }
        drop(open);
        link.pending.lock().clear();
    }

    pub(crate) fn get(&self, instance: &str) -> Option<Arc<Link>> {
        self.open.lock().get(instance).cloned()
    }
}

impl Link {
    /// Queues a message; returns `false` and drops it if the queue is full or closed.
    pub(crate) fn try_send(&self, message: peer::Message) -> bool {
        self.sender.try_send(message).is_ok()
    }

    /// Requests an adapter from the leader at the other end; returns whether it is
    /// resident, and `false` if the connection closes before the reply.
    pub(crate) async fn request_adapter(&self, adapter: &str, replica: &str) -> bool {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(id, Pending::Adapter(sender));
        let request = peer::AdapterRequest {
            id,
            adapter: adapter.to_owned(),
            replica: replica.to_owned(),
        };
        let _cleanup = Deregistration { link: self, id };
        if !self.try_send(peer::Message::AdapterRequest(request)) {
            return false;
        }
        receiver.await.unwrap_or(false)
    }

    /// Forwards a call. Returns `Err` if it was not queued, and `Ok(None)` if the
    /// connection closed before the reply.
    pub(crate) async fn call(
        &self,
        mut request: peer::CallRequest,
    ) -> Result<Option<peer::CallReply>, NotQueued> {
        let id = self.next_id();
        request.id = id;
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(id, Pending::Call(sender));
        let _cleanup = Deregistration { link: self, id };
        if !self.try_send(peer::Message::CallRequest(request)) {
            return Err(NotQueued);
        }
        Ok(receiver.await.ok())
    }

    pub(crate) fn adapter_reply(&self, reply: &peer::AdapterReply) {
        if let Some(Pending::Adapter(sender)) = self.pending.lock().remove(&reply.id) {
            let _ = sender.send(reply.resident);
        }
    }

    pub(crate) fn call_reply(&self, reply: peer::CallReply) {
        if let Some(Pending::Call(sender)) = self.pending.lock().remove(&reply.id) {
            let _ = sender.send(reply);
        }
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// The connection's queue was full or closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotQueued;

/// Removes a pending request when dropped, also if the wait for its reply is
/// cancelled.
struct Deregistration<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for Deregistration<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.id);
    }
}
