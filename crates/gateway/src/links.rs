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
    /// Senders of the replies to adapter requests, by request id.
    pending: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    next_id: AtomicU64,
}

impl Link {
    /// Creates a link, and the receiver of the messages to send on it.
    pub(crate) fn new() -> (Arc<Self>, mpsc::Receiver<mesh::Message>) {
        let (queue, messages) = mpsc::channel(QUEUE);
        let link = Self {
            queue,
            pending: Mutex::default(),
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
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(id, sender);
        let _pending = Pending { link: self, id };
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
        receiver.await.ok()
    }

    /// Queues a message; drops it if the queue is full or closed.
    pub(crate) fn try_send(&self, message: mesh::Message) {
        if self.queue.try_send(message).is_err() {
            log::warn!("message to a peer dropped: the queue of the link is full or closed");
        }
    }

    /// Completes the adapter request that `reply` belongs to.
    pub(crate) fn complete(&self, reply: &mesh::AdapterReply) {
        if let Some(sender) = self.pending.lock().remove(&reply.id) {
            // Fails if the request has ended.
            let _ = sender.send(reply.loaded);
        }
    }
}

/// An adapter request without a reply, which is forgotten when its wait ends.
struct Pending<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.id);
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
