//! Accepted connections: which are admitted, and which give way to new ones.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};
use tokio_util::sync::CancellationToken;

use super::part::Part;
use crate::tcp;

/// Memory of a connection without its requests and responses, in bytes: the buffers of the HTTP
/// library, the task, and its receive buffer. Without the last one, idle ones took 20 KB, those
/// with a head of 16 KB 31 KB.
const BYTES_PER_CONNECTION: usize = (24 << 10) + KERNEL_FACTOR * tcp::ACCEPTED.receive;
/// The kernel doubles the sizes of buffers.
const KERNEL_FACTOR: usize = 2;
/// Memory that a larger receive buffer takes besides.
const BYTES_OF_GROWTH: usize = KERNEL_FACTOR * (tcp::GROWN.receive - tcp::ACCEPTED.receive);
/// Memory of a response that is not read, besides its queue: the send buffer, which takes a whole
/// segment of the largest size, and the receive buffer of the connection to its runner.
const BYTES_PER_BLOCKED: usize = (64 << 10) + KERNEL_FACTOR * tcp::OPENED.receive;
/// Descriptors reserved for everything except accepted connections. Runners, peers and the store
/// need about 500 in the largest deployment.
const RESERVED_FILES: usize = 600;
/// Descriptors of a connection: its own, and that of the runner that serves its request.
const FILES_PER_CONNECTION: usize = 2;
/// Fewest connections in all.
const MIN_CONNECTIONS: usize = 64;
/// Parts of all connections that the listeners have, in sum.
const ALL_PARTS: usize = 64;
/// Time without progress after which a caller that does not read may give way.
const BLOCKED_TIME: Duration = Duration::from_secs(2);
/// Connections that are chosen at once, so that a flood of new ones does not search all others
/// for each.
const CHOSEN_AT_ONCE: usize = 64;

/// Listener that a connection was accepted by.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Requests of callers.
    Callers,
    /// Readiness checks.
    Ready,
    /// Directory of addresses.
    Directory,
    /// Metrics.
    Metrics,
    /// Links of other instances.
    Peers,
}

impl Purpose {
    // Each listener has its own part, so that callers cannot block the others.
    fn parts(self) -> usize {
        match self {
            Self::Callers => 53,
            Self::Ready => 2,
            Self::Directory | Self::Peers => 4,
            Self::Metrics => 1,
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// The head of a request has begun.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request is served.
    Busy,
}

const PHASES: [Phase; 4] = [Phase::Idle, Phase::Head, Phase::Body, Phase::Busy];

/// Limits on the time that a connection waits.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Longest time between two requests.
    pub idle: Duration,
    /// Longest time from the first byte of a head to its end.
    pub head: Duration,
}

/// All accepted connections.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    /// Larger receive buffers.
    growth: Part,
    /// Bytes for larger receive buffers and for responses that are not read.
    sockets: usize,
    inner: Mutex<Inner>,
    count: AtomicUsize,
    evicted: AtomicU64,
    refused: AtomicU64,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    open: BTreeMap<Purpose, BTreeMap<u64, Arc<State>>>,
    /// Those that give way next, each with the state in which it was chosen.
    chosen: BTreeMap<Purpose, VecDeque<(u64, u64)>>,
}

/// State of one connection.
#[derive(Debug)]
struct State {
    /// Phase, in the lowest two bits, and the time at which it began, in milliseconds.
    phase: AtomicU64,
    /// Time at which the caller has stopped to read, in milliseconds, or 0.
    blocked: AtomicU64,
    closed: CancellationToken,
}

/// An accepted connection, until it is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    purpose: Purpose,
    id: u64,
    state: Arc<State>,
    has_grown: AtomicBool,
}

impl Connections {
    /// Creates a table for as many connections as `memory` bytes and `max_files` descriptors
    /// allow. Larger buffers in the kernel may take `sockets` bytes.
    #[must_use]
    pub fn new(memory: usize, sockets: usize, max_files: usize) -> Self {
        let files = max_files - RESERVED_FILES.min(max_files / 2);
        let most = (files / FILES_PER_CONNECTION).min(memory / BYTES_PER_CONNECTION);
        Self {
            most: most.max(MIN_CONNECTIONS),
            // The other half is for responses that are not read.
            growth: Part::new(sockets / 2, 0),
            sockets,
            inner: Mutex::default(),
            count: AtomicUsize::new(0),
            evicted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Returns the most connections of a listener.
    #[must_use]
    pub fn most(&self, purpose: Purpose) -> usize {
        (self.most * purpose.parts() / ALL_PARTS).max(1)
    }

    /// Returns the most connections of all listeners.
    #[must_use]
    pub fn total(&self) -> usize {
        Purpose::iter().map(|purpose| self.most(purpose)).sum()
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Bytes that are counted for the open connections.
    #[must_use]
    pub fn held(&self) -> usize {
        self.count() * BYTES_PER_CONNECTION
    }

    /// Bytes that are counted for larger receive buffers and for responses that are not read.
    #[must_use]
    pub fn held_in_sockets(&self) -> usize {
        let inner = self.inner.lock();
        let blocked = inner.states().filter(|state| state.is_blocked()).count();
        self.growth.held() + blocked * BYTES_PER_BLOCKED
    }

    /// Number of connections that were closed for others.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Number of connections that were closed when they were accepted.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Adds a connection. At the cap the one that has waited longest for a request gives way,
    /// then one that sends a body, then one that does not read its response. Returns `None` if
    /// there is none of them.
    pub fn admit(self: &Arc<Self>, purpose: Purpose, now: Duration) -> Option<Connection> {
        let mut inner = self.inner.lock();
        let open = inner.open.get(&purpose).map_or(0, BTreeMap::len);
        if open >= self.most(purpose) {
            let Some(victim) = inner.choose(purpose, now) else {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            };
            victim.closed.cancel();
            self.count.fetch_sub(1, Ordering::Relaxed);
            self.evicted.fetch_add(1, Ordering::Relaxed);
        }
        let id = inner.next;
        inner.next += 1;
        let state = Arc::new(State {
            phase: AtomicU64::new(encode(Phase::Idle, now)),
            blocked: AtomicU64::new(0),
            closed: CancellationToken::new(),
        });
        let open = inner.open.entry(purpose).or_default();
        open.insert(id, Arc::clone(&state));
        self.count.fetch_add(1, Ordering::Relaxed);
        Some(Connection {
            connections: Arc::clone(self),
            purpose,
            id,
            state,
            has_grown: AtomicBool::new(false),
        })
    }

    /// Closes connections whose callers do not read, those first that have not for longest, while
    /// together they hold more than there is for them.
    pub fn relieve(&self, now: Duration) {
        let inner = self.inner.lock();
        let mut blocked: Vec<_> = inner
            .states()
            .filter(|state| state.is_blocked() && !state.closed.is_cancelled())
            .collect();
        let most = self.sockets.saturating_sub(self.growth.held()) / BYTES_PER_BLOCKED;
        let excess = blocked.len().saturating_sub(most);
        if excess == 0 {
            return;
        }
        blocked.sort_unstable_by_key(|state| state.blocked.load(Ordering::Relaxed));
        for state in blocked.into_iter().take(excess) {
            if state.blocked_since(now).is_some() {
                state.closed.cancel();
                self.evicted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Closes connections that have waited too long.
    pub fn expire(&self, timeouts: Timeouts, now: Duration) {
        let inner = self.inner.lock();
        for state in inner.states() {
            let (phase, since) = decode(state.phase.load(Ordering::Relaxed));
            let waited = now.saturating_sub(since);
            let is_late = match phase {
                // The rest of the response before is on its way.
                _ if state.is_blocked() => false,
                Phase::Idle => waited > timeouts.idle,
                Phase::Head => waited > timeouts.head,
                Phase::Body | Phase::Busy => false,
            };
            if is_late {
                state.closed.cancel();
            }
        }
    }
}

impl Inner {
    fn states(&self) -> impl Iterator<Item = &Arc<State>> {
        self.open.values().flat_map(BTreeMap::values)
    }

    // Removes the connection that gives way.
    fn choose(&mut self, purpose: Purpose, now: Duration) -> Option<Arc<State>> {
        let open = self.open.get_mut(&purpose)?;
        let chosen = self.chosen.entry(purpose).or_default();
        for _ in 0..2 {
            while let Some((id, phase)) = chosen.pop_front() {
                let still_waits = |state: &Arc<State>| {
                    let is_unchanged = state.phase.load(Ordering::Relaxed) == phase;
                    let is_used = state.is_blocked() || decode(phase).0 == Phase::Busy;
                    is_unchanged && (!is_used || state.blocked_since(now).is_some())
                };
                if open.get(&id).is_some_and(still_waits) {
                    return open.remove(&id);
                }
            }
            *chosen = candidates(open, now);
        }
        None
    }
}

// Returns the connections that give way first, in order.
fn candidates(open: &BTreeMap<u64, Arc<State>>, now: Duration) -> VecDeque<(u64, u64)> {
    let rank = |id: u64, state: &State| {
        let phase = state.phase.load(Ordering::Relaxed);
        let (kind, since) = decode(phase);
        let (class, since) = match kind {
            _ if state.is_blocked() => (2, state.blocked_since(now)?),
            Phase::Idle | Phase::Head => (0, since),
            Phase::Body => (1, since),
            Phase::Busy => return None,
        };
        Some((class, since, id, phase))
    };
    let mut ranked: Vec<_> = open
        .iter()
        .filter_map(|(id, state)| rank(*id, state))
        .collect();
    ranked.sort_unstable();
    // The other classes are looked at only while none waits for a request.
    let waiting = ranked.iter().take_while(|(class, ..)| *class == 0).count();
    ranked
        .iter()
        .take(waiting.clamp(1, CHOSEN_AT_ONCE))
        .map(|(_, _, id, phase)| (*id, *phase))
        .collect()
}

impl State {
    fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Relaxed) > 0
    }

    fn blocked_since(&self, now: Duration) -> Option<Duration> {
        let blocked = Duration::from_millis(self.blocked.load(Ordering::Relaxed));
        let is_long = !blocked.is_zero() && now.saturating_sub(blocked) >= BLOCKED_TIME;
        is_long.then_some(blocked)
    }
}

impl Connection {
    /// Begins a phase.
    pub fn begin(&self, phase: Phase, now: Duration) {
        let phase = encode(phase, now);
        self.state.phase.store(phase, Ordering::Relaxed);
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        decode(self.state.phase.load(Ordering::Relaxed)).0
    }

    /// Records that the caller does not read at present.
    pub fn block(&self, now: Duration) {
        let blocked = &self.state.blocked;
        if blocked.load(Ordering::Relaxed) == 0 {
            blocked.store(millis(now).max(1), Ordering::Relaxed);
        }
    }

    /// Records that the caller has read.
    pub fn unblock(&self) {
        self.state.blocked.store(0, Ordering::Relaxed);
    }

    /// Takes memory for a larger receive buffer, which is given back when the connection is
    /// dropped: the kernel does not take back a window. Returns whether there was enough, or the
    /// connection has taken it before.
    pub fn grow(&self) -> bool {
        self.has_grown.load(Ordering::Relaxed) || {
            let taken = self.connections.growth.take(BYTES_OF_GROWTH);
            self.has_grown.store(taken, Ordering::Relaxed);
            taken
        }
    }

    /// Listener that has accepted the connection.
    #[must_use]
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Whether the caller does not read at present.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.state.is_blocked()
    }

    /// Completes when the connection is to be closed.
    pub async fn closed(&self) {
        self.state.closed.cancelled().await;
    }

    /// Whether the connection is to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.closed.is_cancelled()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.has_grown.load(Ordering::Relaxed) {
            self.connections.growth.give_back(BYTES_OF_GROWTH, false);
        }
        let mut inner = self.connections.inner.lock();
        let open = inner.open.get_mut(&self.purpose);
        if open.is_some_and(|open| open.remove(&self.id).is_some()) {
            self.connections.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn encode(phase: Phase, now: Duration) -> u64 {
    let kind = PHASES.iter().position(|other| *other == phase);
    let kind = kind.and_then(|kind| u64::try_from(kind).ok());
    millis(now) << 2 | kind.unwrap_or_default()
}

fn decode(phase: u64) -> (Phase, Duration) {
    let kind = usize::try_from(phase & 3).unwrap_or_default();
    (PHASES[kind], Duration::from_millis(phase >> 2))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX >> 2)
}
