//! Connections that this instance has made to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::id;

/// Messages that wait to be sent on one connection.
const QUEUE: usize = 64;

/// One connection.
#[derive(Debug)]
pub(crate) struct Link {
    queue: mpsc::Sender<mesh::Message>,
    asked: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    next: AtomicU64,
}

impl Link {
    /// Makes a link with the end of its queue.
    pub(crate) fn new() -> (Arc<Self>, mpsc::Receiver<mesh::Message>) {
        let (queue, messages) = mpsc::channel(QUEUE);
        let link = Self {
            queue,
            asked: Mutex::default(),
            next: AtomicU64::new(1),
        };
        (Arc::new(link), messages)
    }

    /// Asks for an adapter; `None` if the connection is lost or its queue is full.
    pub(crate) async fn ask(&self, runner: &str, model: &str, adapter: &str) -> Option<bool> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.asked.lock().insert(id, sender);
        let request = mesh::AdapterRequest {
            id,
            runner: runner.to_owned(),
            model: model.to_owned(),
            adapter: adapter.to_owned(),
        };
        let message = mesh::Message::AdapterRequest(request);
        if self.queue.try_send(message).is_err() {
            self.asked.lock().remove(&id);
            return None;
        }
        receiver.await.ok()
    }

    /// Queues a message; it is dropped if the queue is full.
    pub(crate) fn offer(&self, message: mesh::Message) {
        if self.queue.try_send(message).is_err() {
            log::warn!("message to a peer is dropped: its queue is full");
        }
    }

    /// Passes a reply to whoever asked.
    pub(crate) fn answer(&self, reply: &mesh::AdapterReply) {
        if let Some(asked) = self.asked.lock().remove(&reply.id) {
            // The request that asked may have ended since.
            let _ = asked.send(reply.loaded);
        }
    }
}

/// All connections.
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
    /// Whether nobody dials `address` yet; the caller then does.
    pub(crate) fn claim(&self, address: SocketAddr) -> bool {
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
