//! Connections to the other instances, by instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use almondbank_wire::{id, peer};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for one connection.
const QUEUE: usize = 256;

/// The outgoing connections.
#[derive(Debug, Default)]
pub(crate) struct Links {
    inner: Mutex<BTreeMap<id::Instance, Arc<Link>>>,
    dialled: Mutex<BTreeSet<SocketAddr>>,
}

/// One outgoing connection.
#[derive(Debug)]
pub(crate) struct Link {
    /// Incarnation at the other end.
    pub(crate) incarnation: id::Incarnation,
    sender: mpsc::Sender<peer::Message>,
    next: AtomicU64,
    pending: Mutex<BTreeMap<u64, Pending>>,
}

#[derive(Debug)]
enum Pending {
    Adapter(oneshot::Sender<bool>),
    Call(oneshot::Sender<peer::CallReply>),
}

impl Links {
    /// Claims the task of dialling `address`; false if another task has it.
    pub(crate) fn claim(&self, address: SocketAddr) -> bool {
        self.dialled.lock().insert(address)
    }

    /// Gives the task of dialling `address` up.
    pub(crate) fn unclaim(&self, address: SocketAddr) {
        self.dialled.lock().remove(&address);
    }

    /// Registers a connection that was just made.
    pub(crate) fn open(
        &self,
        instance: &str,
        incarnation: &str,
    ) -> (Arc<Link>, mpsc::Receiver<peer::Message>) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        let link = Arc::new(Link {
            incarnation: incarnation.to_owned(),
            sender,
            next: AtomicU64::new(0),
            pending: Mutex::default(),
        });
        let mut inner = self.inner.lock();
        inner.insert(instance.to_owned(), Arc::clone(&link));
        (link, receiver)
    }

    /// Forgets a connection that broke; whoever waits for a reply hears so.
    pub(crate) fn close(&self, instance: &str, link: &Arc<Link>) {
        let mut inner = self.inner.lock();
        if inner
            .get(instance)
            .is_some_and(|open| Arc::ptr_eq(open, link))
        {
            inner.remove(instance);
        }
        drop(inner);
        link.pending.lock().clear();
    }

    pub(crate) fn get(&self, instance: &str) -> Option<Arc<Link>> {
        self.inner.lock().get(instance).cloned()
    }
}

impl Link {
    /// Queues a message; drops it if the connection is congested.
    pub(crate) fn offer(&self, message: peer::Message) -> bool {
        self.sender.try_send(message).is_ok()
    }

    /// Asks the leader at the other end for an adapter; `false` also if the
    /// connection breaks.
    pub(crate) async fn ask_adapter(&self, adapter: &str, replica: &str) -> bool {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(id, Pending::Adapter(sender));
        let request = peer::AdapterRequest {
            id,
            adapter: adapter.to_owned(),
            replica: replica.to_owned(),
        };
        let _cleanup = Cleanup { link: self, id };
        if !self.offer(peer::Message::AdapterRequest(request)) {
            return false;
        }
        receiver.await.unwrap_or(false)
    }

    /// Forwards a call. `Err` means that it was never queued; `Ok(None)` that
    /// the connection broke before the reply.
    pub(crate) async fn call(
        &self,
        mut request: peer::CallRequest,
    ) -> Result<Option<peer::CallReply>, NotQueued> {
        let id = self.next_id();
        request.id = id;
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(id, Pending::Call(sender));
        let _cleanup = Cleanup { link: self, id };
        if !self.offer(peer::Message::CallRequest(request)) {
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
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}

/// A message that did not fit into the connection's queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotQueued;

struct Cleanup<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for Cleanup<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.id);
    }
}
