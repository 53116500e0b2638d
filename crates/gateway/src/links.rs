//! Connections that this instance has opened to its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::id;

/// Number of messages that are queued for one connection.
const QUEUE: usize = 64;

/// Handle to one open connection.
#[derive(Debug)]
pub(crate) struct Link {
    queue: mpsc::Sender<mesh::Message>,
    adapter_requests: Pending<bool>,
    asks: Pending<mesh::QuotaGrant>,
    next_id: AtomicU64,
}

impl Link {
    /// Creates a link, and the receiver of the messages to send on it.
    pub(crate) fn new() -> (Arc<Self>, mpsc::Receiver<mesh::Message>) {
        let (queue, messages) = mpsc::channel(QUEUE);
        let link = Self {
            queue,
            adapter_requests: Pending::default(),
            asks: Pending::default(),
            next_id: AtomicU64::new(1),
        };
        (Arc::new(link), messages)
    }

    /// Requests the load of an adapter and waits for the reply: whether it is loaded.
    /// Returns `None` if the connection is closed or its queue is full.
    pub(crate) async fn request_adapter(
        &self,
        runner: &str,
        model: &str,
        adapter: &str,
    ) -> Option<bool> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let reply = self.adapter_requests.expect(id);
        let request = mesh::AdapterRequest {
            id,
            runner: runner.to_owned(),
            model: model.to_owned(),
            adapter: adapter.to_owned(),
        };
        let message = mesh::Message::AdapterRequest(request);
        if self.queue.try_send(message).is_err() {
            return None;
        }
        reply.receive().await
    }

    /// Asks for tokens of a tenant and waits for the answer. Returns `None` if the connection
    /// is closed or its queue is full.
    pub(crate) async fn ask(&self, ask: mesh::QuotaAsk) -> Option<mesh::QuotaGrant> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let reply = self.asks.expect(id);
        let message = mesh::Message::QuotaAsk(mesh::QuotaAsk { id, ..ask });
        if self.queue.try_send(message).is_err() {
            return None;
        }
        reply.receive().await
    }

    /// Queues a message; drops it if the queue is full or closed.
    pub(crate) fn try_send(&self, message: mesh::Message) {
        if self.queue.try_send(message).is_err() {
            log::warn!("message to a peer dropped: the queue of the link is full or closed");
        }
    }

    /// Completes the adapter request that `reply` belongs to.
    pub(crate) fn complete(&self, reply: &mesh::AdapterReply) {
        self.adapter_requests.complete(reply.id, reply.loaded);
    }

    /// Completes the ask that `grant` belongs to.
    pub(crate) fn complete_ask(&self, grant: mesh::QuotaGrant) {
        self.asks.complete(grant.id, grant);
    }
}

/// Requests without a reply, by id.
#[derive(Debug)]
struct Pending<T> {
    senders: Mutex<BTreeMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self {
            senders: Mutex::default(),
        }
    }
}

impl<T> Pending<T> {
    fn expect(&self, id: u64) -> Reply<'_, T> {
        let (sender, receiver) = oneshot::channel();
        self.senders.lock().insert(id, sender);
        Reply {
            pending: self,
            id,
            receiver,
        }
    }

    fn complete(&self, id: u64, reply: T) {
        if let Some(sender) = self.senders.lock().remove(&id) {
            // Fails if the request has ended.
            let _ = sender.send(reply);
        }
    }
}

/// A reply that is expected, which is forgotten when the wait for it ends.
struct Reply<'a, T> {
    pending: &'a Pending<T>,
    id: u64,
    receiver: oneshot::Receiver<T>,
}

impl<T> Reply<'_, T> {
    async fn receive(mut self) -> Option<T> {
        (&mut self.receiver).await.ok()
    }
}

impl<T> Drop for Reply<'_, T> {
    fn drop(&mut self) {
        self.pending.senders.lock().remove(&self.id);
    }
}

/// All links of this instance.
#[derive(Debug, Default)]
pub(crate) struct Links {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    dialled: BTreeSet<SocketAddr>,
    open: BTreeMap<id::Instance, Arc<Link>>,
}

impl Links {
    /// Marks `address` as dialled; returns whether it was not marked before.
    pub(crate) fn mark_dialled(&self, address: SocketAddr) -> bool {
        self.inner.lock().dialled.insert(address)
    }

    pub(crate) fn open(&self, instance: &str, link: &Arc<Link>) {
        let mut inner = self.inner.lock();
        inner.open.insert(instance.to_owned(), Arc::clone(link));
    }

    pub(crate) fn close(&self, instance: &str, link: &Arc<Link>) {
        let mut inner = self.inner.lock();
        let is_current = inner
            .open
            .get(instance)
            .is_some_and(|open| Arc::ptr_eq(open, link));
        if is_current {
            inner.open.remove(instance);
        }
    }

    pub(crate) fn get(&self, instance: &str) -> Option<Arc<Link>> {
        let inner = self.inner.lock();
        let link = inner.open.get(instance);
        link.filter(|link| !link.queue.is_closed()).cloned()
    }
}
