//! State that the tasks of one gateway share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use almondbank_control::membership;
use almondbank_port::clock::Clock;
use almondbank_port::table::Table;
use almondbank_wire::gateway::Settings;
use almondbank_wire::mesh;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, broadcast, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::brittle::Room;
use crate::budget::Budget;
use crate::connector::Connector;
use crate::demand::{self, Counter};
use crate::demand_rate::Estimator as DemandEstimator;
use crate::environment::Environment;
use crate::event_gap::Estimator as EventGapEstimator;
use crate::fanout::{self, Envelope, Origin, Relation};
use crate::feed::{Document, Documents, Registrations};
use crate::handover::Handover;
use crate::health::Health;
use crate::in_flight::Tracker;
use crate::join::Join;
use crate::links::Links;
use crate::listening::Listening;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::notices::Notices;
use crate::order::Orders;
use crate::pool::Pool;
use crate::prefill::Estimator as PrefillEstimator;
use crate::prefix::Index;
use crate::protocol::Protocol;
use crate::read_pacer::Pacer;
use crate::registry::{Registry, Runner};
use crate::service_time::Estimator as ServiceTimeEstimator;
use crate::summary::Collector;
use crate::term::Term;
use crate::topology::Topology;
use crate::trial::Trials;
use crate::{Result, fair_share, fetch, id, memory, quarantine, quota, reach, software};

/// Messages that are queued for forwarding to a peer.
const FORWARD_QUEUE: usize = 64;

/// Time after the start within which other instances may be live that have not reported
/// yet.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// External interfaces that a gateway depends on.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Encoding of request and response heads.
    pub protocol: Arc<dyn Protocol>,
    /// Source of the environment.
    pub documents: Arc<dyn Documents>,
    /// Source of the runners' registrations.
    pub registrations: Arc<dyn Registrations>,
    /// Client for orders to runners.
    pub orders: Arc<dyn Orders>,
    /// Opens connections for requests to runners.
    pub connector: Arc<dyn Connector>,
    /// Opens connections to other instances.
    pub peer_connector: Arc<dyn Connector>,
    /// Table with the gateways' rows.
    pub table: Arc<dyn Table>,
    /// Time source.
    pub clock: Arc<dyn Clock>,
}

/// State that the tasks of one gateway share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) clock: Arc<dyn Clock>,
    /// Time at which this instance started.
    pub(crate) started: Duration,
    pub(crate) ports: Ports,
    document: RwLock<Option<Document>>,
    /// Start of this instance, until it may serve.
    pub(crate) join: Join,
    /// Version of the active environment, or 0.
    pub(crate) version: watch::Sender<u64>,
    /// Version of the environment that the store listed last.
    stored_version: Mutex<Option<u64>>,
    /// Newest version of the environment that a peer reported.
    pub(crate) announced: watch::Sender<u64>,
    /// Paces the requests for newer versions to the peers.
    pub(crate) fetches: fetch::Pacer,
    pub(crate) registry: Arc<Registry>,
    pub(crate) in_flight: Arc<Tracker>,
    /// What tenants claim of the runners' slots.
    pub(crate) claims: Arc<fair_share::Tracker>,
    pub(crate) prefixes: Index,
    pub(crate) health: Arc<Health>,
    /// Requests and prompt parts that crash runners.
    pub(crate) quarantine: quarantine::Tracker,
    /// Requests that are sent although they may crash runners.
    pub(crate) trials: Arc<Trials>,
    /// What runners have said in their responses.
    pub(crate) notices: Arc<Notices>,
    /// Software versions that began streams.
    pub(crate) software: software::History,
    /// Paces the reads of the versions that began the streams of other instances.
    pub(crate) stream_reads: Pacer,
    /// Which services are in reach.
    pub(crate) reach: Arc<reach::Tracker>,
    /// Notified when a service is lost or regained.
    pub(crate) reach_changed: Arc<Notify>,
    /// Memory for callers and their requests.
    pub(crate) memory: memory::Budget,
    /// Hands requests over to peers.
    pub(crate) handover: Handover,
    pub(crate) prefill: PrefillEstimator,
    pub(crate) service_times: ServiceTimeEstimator,
    pub(crate) event_gaps: EventGapEstimator,
    pub(crate) budget: Budget,
    /// Quotas of tenants.
    pub(crate) quota: quota::Service,
    pub(crate) demand: Arc<Counter>,
    pub(crate) demand_rates: DemandEstimator,
    pub(crate) members: Members,
    pub(crate) links: Links,
    /// Listeners that are bound.
    pub(crate) listening: Listening,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    /// Whether this instance reads the store's feed successfully.
    pub(crate) follows: AtomicBool,
    /// Messages to forward on the links.
    pub(crate) fanout: broadcast::Sender<Arc<Envelope>>,
    /// Notified when the store has lost its history, and with it perhaps rows that this
    /// instance has written.
    pub(crate) history_lost: Notify,
    /// Links that this instance is to keep.
    pub(crate) topology: watch::Sender<Topology>,
    /// Reports for the next summary of this data centre.
    pub(crate) collector: Collector,
    /// Term of this instance as the leader, while it is the leader.
    term: Mutex<Option<Arc<Term>>>,
    /// Version of the lease row under which this instance has resigned, or 0.
    resigned: AtomicU64,
    /// Notified when the term of this instance starts, is renewed or ends, which its peers
    /// are to learn at once.
    pub(crate) term_changed: Notify,
    /// Cancelled when the instance starts to shut down.
    pub(crate) leaving: CancellationToken,
    /// Cancelled when new requests are refused and idle caller connections closed.
    pub(crate) closing: CancellationToken,
    /// Time at which pending requests are aborted, once this instance shuts down.
    pub(crate) abort_at: OnceLock<Duration>,
    /// Cancelled when requests without a response are aborted.
    pub(crate) aborting: CancellationToken,
    /// Cancelled when all tasks must end.
    pub(crate) stopped: CancellationToken,
    /// Tasks of accepted connections and relayed streams.
    pub(crate) work: TaskTracker,
}

impl Gateway {
    pub(crate) fn new(settings: Settings, ports: Ports) -> Result<Self> {
        let clock = Arc::clone(&ports.clock);
        let incarnation = membership::incarnation(&settings.instance);
        let peer_connector = Arc::clone(&ports.peer_connector);
        let registry = Registry::new(settings.reconcile_window);
        let registry = registry.with_protocol(Arc::clone(&ports.protocol));
        Ok(Self {
            handover: Handover::new(&incarnation, &clock, peer_connector),
            memory: memory::Budget::new(settings.memory, settings.max_files),
            reach: Arc::default(),
            reach_changed: Arc::default(),
            incarnation,
            document: RwLock::default(),
            join: Join::default(),
            version: watch::Sender::new(0),
            stored_version: Mutex::default(),
            announced: watch::Sender::new(0),
            fetches: fetch::Pacer::default(),
            registry: Arc::new(registry),
            in_flight: Arc::default(),
            claims: Arc::new(fair_share::Tracker::new(&settings.instance)),
            prefixes: Index::default(),
            health: Arc::default(),
            quarantine: quarantine::Tracker::default(),
            trials: Arc::default(),
            notices: Arc::new(Notices::new(&settings.instance)),
            software: software::History::default(),
            stream_reads: Pacer::default(),
            prefill: PrefillEstimator::default(),
            service_times: ServiceTimeEstimator::default(),
            event_gaps: EventGapEstimator::default(),
            budget: Budget::new(settings.retry),
            quota: quota::Service::new(settings.quota),
            demand: Arc::default(),
            demand_rates: DemandEstimator::default(),
            members: Members::new(&settings.data_centre),
            links: Links::default(),
            listening: Listening::default(),
            pool: Pool::new(Arc::clone(&clock), Arc::clone(&ports.connector)),
            metrics: Metrics::new()?,
            follows: AtomicBool::new(false),
            fanout: broadcast::Sender::new(FORWARD_QUEUE),
            history_lost: Notify::new(),
            topology: watch::Sender::new(Topology::default()),
            collector: Collector::default(),
            term: Mutex::default(),
            resigned: AtomicU64::new(0),
            term_changed: Notify::new(),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            abort_at: OnceLock::new(),
            aborting: CancellationToken::new(),
            stopped: CancellationToken::new(),
            work: TaskTracker::new(),
            started: clock.now(),
            clock,
            ports,
            settings,
        })
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether a request that may last for `time` would be aborted, as this instance shuts down.
    pub(crate) fn stops_within(&self, time: Duration) -> bool {
        let abort_at = self.abort_at.get();
        self.closing.is_cancelled() && abort_at.is_some_and(|at| self.now() + time > *at)
    }

    /// Returns all instances that serve callers, this one included.
    pub(crate) fn serving_instances(&self) -> impl Iterator<Item = id::Instance> {
        let peers = self.members.serving(self.now()).into_iter();
        let own = self.settings.instance.clone();
        peers.map(|peer| peer.instance).chain([own])
    }

    /// Returns the active environment, if any is known.
    pub(crate) fn environment(&self) -> Option<Arc<Environment>> {
        let document = self.document.read();
        document
            .as_ref()
            .map(|document| Arc::clone(&document.environment))
    }

    /// Whether no runner of any service is in reach.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.now();
        self.environment().is_some_and(|environment| {
            let services = environment.services.keys();
            let used = services.filter(|service| self.registry.has_usable(service, now));
            self.reach.has_lost_all(used)
        })
    }

    /// Whether this instance may lead: peers reach it, which report what their callers ask for,
    /// and it reaches runners that run models.
    pub(crate) fn may_lead(&self) -> bool {
        let reaches_runners = |environment: Arc<Environment>| {
            let engines = environment.engines().map(|(service, _)| service);
            environment.engines().next().is_some() && !self.reach.has_lost_all(engines)
        };
        self.listening.is_complete() && self.environment().is_some_and(reaches_runners)
    }

    /// Returns the environment that requests of callers are served by, if any.
    pub(crate) fn serving_environment(&self) -> Option<Arc<Environment>> {
        let environment = self.environment();
        environment.filter(|active| self.join.may_serve(active.version, self.now()))
    }

    /// Returns the active environment with its source text.
    pub(crate) fn document(&self) -> Option<Document> {
        self.document.read().clone()
    }

    /// Returns the demand for models of the active environment; none without one.
    pub(crate) fn known_demands(&self, demands: &[mesh::Demand]) -> Vec<mesh::Demand> {
        let environment = self.environment();
        environment.map_or_else(Vec::new, |environment| demand::known(demands, &environment))
    }

    /// Activates the environment in `document` if it is newer than the active one.
    pub(crate) fn install(&self, document: Document, source: &str) {
        let version = document.environment.version;
        let mut current = self.document.write();
        let from = current
            .as_ref()
            .map_or(0, |document| document.environment.version);
        if version <= from {
            return;
        }
        *current = Some(document);
        drop(current);
        log::info!(from, version, source; "environment activated");
        self.version.send_replace(version);
    }

    /// Version of the environment that the store listed last, if it was read.
    pub(crate) fn stored_version(&self) -> Option<u64> {
        *self.stored_version.lock()
    }

    /// Records the version of the environment that the store lists.
    pub(crate) fn record_stored(&self, version: u64) {
        *self.stored_version.lock() = Some(version);
    }

    /// Whether this instance accepts requests of callers.
    pub(crate) fn is_ready(&self) -> bool {
        let environment = self.serving_environment();
        let may_serve = |environment: Arc<Environment>| {
            self.quota.may_serve(self, environment.tenants.as_ref())
        };
        !self.leaving.is_cancelled()
            && self.listening.is_complete()
            && self.registry.is_loaded()
            && environment.is_some_and(may_serve)
    }

    /// Whether this instance reads the store's feed successfully.
    pub(crate) fn follows(&self) -> bool {
        self.follows.load(Ordering::Relaxed)
    }

    pub(crate) fn hello(&self) -> mesh::Hello {
        mesh::Hello {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation.clone(),
            peers: self.settings.listen.peers.to_string(),
            callers: self.settings.listen.callers.to_string(),
            data_centre: self.settings.data_centre.clone(),
        }
    }

    /// Returns the term of this instance, if it is the leader and may send orders.
    pub(crate) fn term(&self) -> Option<Arc<Term>> {
        self.term
            .lock()
            .as_ref()
            .filter(|term| term.authority.may_order())
            .cloned()
    }

    /// Whether this instance holds the lease or has yet to release it.
    pub(crate) fn holds_lease(&self) -> bool {
        self.term.lock().is_some()
    }

    /// Starts or ends the term of this instance as the leader.
    pub(crate) fn set_term(&self, term: Option<&Arc<Term>>) {
        if term.is_some() {
            self.resigned.store(0, Ordering::Relaxed);
        }
        *self.term.lock() = term.cloned();
        self.term_changed.notify_one();
    }

    /// Reports to the peers that this instance sends no more orders under the lease
    /// row's `version`.
    pub(crate) fn announce_resignation(&self, version: u64) {
        self.resigned.store(version, Ordering::Relaxed);
        self.term_changed.notify_one();
    }

    /// Time until this instance may send a request to `runner` by what the runner has said
    /// in its responses.
    pub(crate) fn notice_wait(&self, runner: &Runner, now: Duration) -> Duration {
        let room = || self.room(runner, now);
        self.notices.wait(runner.into(), room, now)
    }

    /// Counts a request to `runner`; returns whether it may be sent by what the runner has
    /// said in its responses.
    pub(crate) fn take_turn(&self, runner: &Runner, now: Duration) -> bool {
        let room = || self.room(runner, now);
        self.notices.take(runner.into(), room, now)
    }

    fn room(&self, runner: &Runner, now: Duration) -> Room {
        let own = &self.settings.instance;
        Room {
            position: self.members.share_position(own, runner.id(), now),
            slots: runner.registration.slots,
            in_flight: self.in_flight.own_requests(runner.id()),
            is_full: self.in_flight.all_requests(runner.id(), now) >= runner.registration.slots,
        }
    }

    /// Forwards a message to the instances that have not received it, given its
    /// origin.
    pub(crate) fn broadcast(&self, message: mesh::Message, origin: Origin) {
        // Fails if there are no links.
        let _ = self.fanout.send(Arc::new(Envelope { message, origin }));
    }

    /// Whether the data centres are connected by delegates instead of a full mesh.
    pub(crate) fn is_hierarchical(&self) -> bool {
        self.topology.borrow().is_hierarchical
    }

    /// Whether `data_centre` is the data centre of this instance.
    pub(crate) fn is_local_data_centre(&self, data_centre: &str) -> bool {
        self.settings.data_centre == data_centre
    }

    /// Whether the instance receives this one's full status directly.
    pub(crate) fn is_local(&self, instance: &str) -> bool {
        !self.is_hierarchical() || self.members.is_local(instance)
    }

    /// Returns the relation of a linked peer to this instance.
    pub(crate) fn relation(&self, peer: &mesh::Hello) -> Relation {
        let is_open = |instance: &str| self.links.get(instance).is_some();
        let data_centre = &self.settings.data_centre;
        fanout::relation(&self.topology.borrow(), data_centre, peer, is_open)
    }

    /// Whether this instance has started so lately that others may be live although they have
    /// not reported yet.
    pub(crate) fn is_settling(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) < SETTLE_TIME
    }

    /// Recomputes the links to keep, and the owners of the quota slots.
    pub(crate) fn update_topology(&self) {
        let own = self.settings.listen.peers;
        let now = self.now();
        let is_settling = self.is_settling(now);
        let owners = self.quota.refresh(self, now);
        let topology = self.members.topology(own, &owners, is_settling, now);
        self.topology.send_if_modified(|current| {
            if *current == topology {
                return false;
            }
            if current.is_delegate != topology.is_delegate || current.remotes != topology.remotes {
                log::info!(
                    tiered = topology.is_hierarchical, speaker = topology.is_delegate,
                    bridges:? = topology.remotes;
                    "topology changed"
                );
            }
            *current = topology;
            true
        });
    }

    /// Builds the status message for the peers; resets the demand counters.
    pub(crate) fn status(&self) -> mesh::Status {
        mesh::Status {
            loads: self.in_flight.own(),
            demands: self.demand.take(),
            claims: self.claims.own(self.now()),
            ..self.status_without_counts()
        }
    }

    /// Builds the status message without loads, demand and cached prefixes.
    pub(crate) fn status_without_counts(&self) -> mesh::Status {
        let term = self.term();
        let resigned = self.resigned.load(Ordering::Relaxed);
        mesh::Status {
            // Peers send no callers here if it could only hand their requests over.
            ready: self.is_ready() && !self.is_cut_off(),
            leaving: self.leaving.is_cancelled(),
            environment: *self.version.borrow(),
            registry: self.registry.newest_revision(),
            keeper: term.as_ref().map_or(0, |term| term.authority.fencing()),
            lease_version: term.map_or(resigned, |term| term.authority.lease_version()),
            follows: self.follows(),
            brittle: self.notices.brittle_services(self.now()),
            loads: Vec::new(),
            demands: Vec::new(),
            kept: Vec::new(),
            claims: Vec::new(),
        }
    }
}
