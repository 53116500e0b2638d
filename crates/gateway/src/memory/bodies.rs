//! Bodies of requests: who gets memory, who gives way and who is refused.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use almondbank_port::clock::Clock;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use parking_lot::Mutex;
use strum::{Display, IntoStaticStr};
use tokio::sync::Notify;

use super::charge::Charge;
use super::part::Part;
use super::progress::{self, Candidate, Progress};
use super::{SMALL_BODY, kept};

/// Memory of a request whose body is complete, besides its head and body: the connection to its
/// runner with its buffers, and the task. 300 streams whose callers did not read took 120 KB each,
/// with their queues and the callers' connections.
const OVERHEAD: usize = 64 << 10;
/// Smallest buffer of a body that arrives in several pieces.
const MIN_BUFFER: usize = 4 << 10;

/// Reason for which a body was not read to its end.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The body is longer than the limit.
    TooLong,
    /// No memory is free, and none that others give up.
    Full,
    /// The body has given up its memory, since it arrived slower than others.
    Slow,
    /// The connection broke, or the body is malformed.
    Broken,
}

/// All bodies of requests that an instance holds.
#[derive(Debug)]
pub struct Bodies {
    part: Arc<Part>,
    /// Incomplete bodies that hold memory.
    incomplete: Mutex<BTreeMap<u64, Arc<Slot>>>,
    next: AtomicU64,
    evicted: AtomicU64,
    refused: AtomicU64,
}

#[derive(Debug)]
struct Slot {
    /// `None` once the body has given way or is complete.
    filling: Mutex<Option<Filling>>,
    evicted: Notify,
}

#[derive(Debug)]
struct Filling {
    buffer: Vec<u8>,
    charge: Charge,
    progress: Progress,
}

/// An incomplete body. Its memory is given back when it is dropped.
#[derive(Debug)]
pub struct Reading {
    bodies: Arc<Bodies>,
    slot: Arc<Slot>,
    id: u64,
    /// Announced length of the body, or the limit.
    most: usize,
    /// Memory of the request besides the body.
    overhead: usize,
}

impl Bodies {
    /// Creates an empty set of bodies that share `part`.
    #[must_use]
    pub fn new(part: Part) -> Self {
        Self {
            part: Arc::new(part),
            incomplete: Mutex::default(),
            next: AtomicU64::new(0),
            evicted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.part.held()
    }

    /// Number of bodies that have given way to others.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Number of bodies that were refused for want of memory.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether a body of the announced length may be read: a small one, or if so many bytes are
    /// free or held by bodies that are stalled.
    #[must_use]
    pub fn admits(&self, announced: usize, now: Duration) -> bool {
        let free = self.part.free_for_large();
        if announced <= SMALL_BODY || announced <= free {
            return true;
        }
        let stalled = |filling: &Filling| {
            let gives_way = filling.charge.is_large() && filling.progress.is_stalled(now);
            gives_way.then(|| filling.charge.bytes())
        };
        let incomplete = self.incomplete.lock();
        let stalled = incomplete
            .values()
            .filter_map(|slot| slot.filling.lock().as_ref().and_then(stalled));
        let admits = stalled.sum::<usize>() + free >= announced;
        if !admits {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        admits
    }

    /// Adds an incomplete body of at most `most` bytes. The head of its request takes `head` bytes,
    /// which are counted once the body is complete; until then they are those of the connection.
    #[must_use]
    pub fn begin(self: &Arc<Self>, most: usize, head: usize, now: Duration) -> Reading {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let slot = Arc::new(Slot {
            filling: Mutex::new(Some(Filling {
                buffer: Vec::new(),
                charge: Charge::new(Arc::clone(&self.part), SMALL_BODY),
                progress: Progress::new(now),
            })),
            evicted: Notify::new(),
        });
        self.incomplete.lock().insert(id, Arc::clone(&slot));
        Reading {
            bodies: Arc::clone(self),
            slot,
            id,
            most,
            overhead: OVERHEAD + head,
        }
    }

    /// Reads a body to its end. The head of its request takes `head` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, is longer than `limit`, or gets no memory. The rest of the
    /// body is not read.
    pub async fn read<B>(
        self: &Arc<Self>,
        mut body: B,
        limit: usize,
        head: usize,
        clock: &dyn Clock,
    ) -> Result<Bytes, Failure>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let announced = body.size_hint().exact();
        let most = announced.map_or(limit, |length| {
            usize::try_from(length).unwrap_or(usize::MAX)
        });
        if most > limit {
            return Err(Failure::TooLong);
        }
        if announced.is_some() && !self.admits(most, clock.now()) {
            return Err(Failure::Full);
        }
        // Until the first bytes arrive, the body holds no memory.
        let first = next(&mut body).await?.unwrap_or_default();
        if body.is_end_stream() && first.len() <= SMALL_BODY.min(limit) {
            return self.keep(&first, head, clock);
        }
        let reading = self.begin(most, head, clock.now());
        reading.append(&first, clock.now())?;
        drop(first);
        let slot = Arc::clone(&reading.slot);
        let mut evicted = pin!(slot.evicted.notified());
        loop {
            let data = tokio::select! {
                biased;
                () = evicted.as_mut() => return Err(Failure::Slow),
                data = next(&mut body) => data?,
            };
            match data {
                Some(data) => reading.append(&data, clock.now())?,
                None => return reading.finish(clock.now()),
            }
        }
    }

    // Keeps a small body that has arrived at once.
    fn keep(&self, bytes: &Bytes, head: usize, clock: &dyn Clock) -> Result<Bytes, Failure> {
        let mut charge = Charge::new(Arc::clone(&self.part), SMALL_BODY);
        let mut take = || charge.take(bytes.len(), OVERHEAD + head);
        if !take() {
            self.make_room(None, false, clock.now(), take)?;
        }
        Ok(kept::keep(bytes.to_vec(), charge))
    }

    // Ends incomplete bodies until `take` succeeds. A large body competes with the large ones,
    // itself included, and all others give way to a small one.
    fn make_room(
        &self,
        id: Option<u64>,
        is_large: bool,
        now: Duration,
        mut take: impl FnMut() -> bool,
    ) -> Result<(), Failure> {
        while !take() {
            let victim = self.choose(id, is_large, now);
            let victim = victim.filter(|victim| Some(*victim) != id);
            let Some(victim) = victim else {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return Err(Failure::Full);
            };
            self.evict(victim);
        }
        Ok(())
    }

    fn choose(&self, id: Option<u64>, is_large: bool, now: Duration) -> Option<u64> {
        let incomplete = self.incomplete.lock();
        let candidates = incomplete.iter().filter_map(|(number, slot)| {
            let filling = slot.filling.lock();
            let filling = filling.as_ref()?;
            let is_itself = Some(*number) == id;
            let competes = if is_large {
                is_itself || filling.charge.is_large()
            } else {
                !is_itself
            };
            competes.then(|| Candidate {
                id: *number,
                bytes: filling.charge.bytes(),
                rate: filling.progress.rate(now),
            })
        });
        progress::choose(candidates).map(|victim| victim.id)
    }

    fn evict(&self, id: u64) {
        let slot = self.incomplete.lock().remove(&id);
        if let Some(slot) = slot {
            slot.filling.lock().take();
            slot.evicted.notify_one();
            self.evicted.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Reading {
    /// Adds bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the body becomes too long, gets no memory, or has given way to another one.
    pub fn append(&self, bytes: &[u8], now: Duration) -> Result<(), Failure> {
        let (length, held) = {
            let mut filling = self.slot.filling.lock();
            let filling = filling.as_mut().ok_or(Failure::Slow)?;
            filling.progress.record(bytes.len(), now);
            let (length, held) = (filling.buffer.len() + bytes.len(), filling.charge.bytes());
            if length <= held {
                filling.buffer.extend_from_slice(bytes);
                return Ok(());
            }
            (length, held)
        };
        if length > self.most {
            return Err(Failure::TooLong);
        }
        // A small body gets its buffer at once, so that its bytes are copied once.
        let size = if self.most <= SMALL_BODY {
            self.most
        } else {
            length.max(2 * held).max(MIN_BUFFER).min(self.most)
        };
        self.grow_to(size, now)?;
        let mut filling = self.slot.filling.lock();
        let filling = filling.as_mut().ok_or(Failure::Slow)?;
        filling.buffer.extend_from_slice(bytes);
        Ok(())
    }

    fn grow_to(&self, size: usize, now: Duration) -> Result<(), Failure> {
        let take = || {
            let mut filling = self.slot.filling.lock();
            let Some(filling) = filling.as_mut() else {
                return true;
            };
            let taken = filling.charge.grow_to(size);
            if taken {
                let more = size - filling.buffer.len();
                filling.buffer.reserve_exact(more);
            }
            taken
        };
        let is_large = size > SMALL_BODY;
        self.bodies.make_room(Some(self.id), is_large, now, take)
    }

    /// Returns the complete body.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for its request, or it has given way to another one.
    pub fn finish(self, now: Duration) -> Result<Bytes, Failure> {
        let take = || {
            let mut filling = self.slot.filling.lock();
            let filling = filling.as_mut();
            filling.is_none_or(|filling| filling.charge.take(0, self.overhead))
        };
        self.bodies.make_room(Some(self.id), false, now, take)?;
        let filling = self.slot.filling.lock().take();
        let Filling { buffer, charge, .. } = filling.ok_or(Failure::Slow)?;
        Ok(kept::keep(buffer, charge))
    }

    /// Whether the body has given way to another one.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.slot.filling.lock().is_none()
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.bodies.incomplete.lock().remove(&self.id);
    }
}

// Returns the next bytes of a body, or `None` at its end.
async fn next<B>(body: &mut B) -> Result<Option<Bytes>, Failure>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| Failure::Broken)?.into_data();
        if let Ok(data) = data
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
