//! Instances that share a quota over a network whose messages are delayed and lost.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_gateway::quota::{
    self, Allowance, Answer, Ask, Grant, Ledger, Limit, Share, Verdict, View,
};
use almondbank_gateway::runner_limit::Position;
use almondbank_gateway::tenant::Quota;
use almondbank_wire::gateway::Quota as Bound;

pub const TENANT: &str = "studio";
const STEP: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const OBSERVE_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a report after which an instance counts as out of reach.
const DETECTION: Duration = Duration::from_millis(1600);
/// Time after its last report for which an instance counts in the division.
const SHARE_TTL: Duration = Duration::from_secs(30);
const REGISTER_TIME: Duration = Duration::from_secs(1);
const BOUND: Bound = Bound {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 110_000.0,
};

/// Most that may be used in one window.
pub fn bound(quota: &Quota, bound: &Bound) -> f64 {
    let window = quota.rate * bound.window.as_secs_f64() + quota.burst;
    window * (1.0 + bound.overage) + bound.slack
}

/// How owners grant.
#[derive(Clone, Copy, Debug)]
pub enum Owner {
    /// As the gateway does, with this takeover time.
    Ledger(Duration),
    /// At once, from a full bucket.
    Hasty,
}

/// At which instances requests arrive.
#[derive(Clone, Copy, Debug)]
pub enum Place {
    Even,
    One,
    /// At another one each second.
    Moving,
}

/// Requests that arrive.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Tokens per second.
    pub rate: f64,
    /// Least and greatest cost of a request.
    pub costs: (u64, u64),
    pub place: Place,
}

/// What happens to instances.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Divides the instances; those with the same bit reach each other.
    Split(u64),
    Heal,
    Freeze(usize, Duration),
    /// Starts the process anew, which has forgotten everything.
    Restart(usize),
    Kill(usize),
    /// Messages between the instances take this long in addition.
    Slow(Duration),
    /// This part of the messages is lost, in percent.
    Lose(u64),
}

/// What an instance grants.
struct Granter {
    owner: Owner,
    ledger: Ledger,
    owns: bool,
}

enum Message {
    Report(usize),
    Ask(usize, u64, Ask),
    Grant(u64, Option<Grant>),
}

struct Node {
    name: String,
    is_alive: bool,
    frozen_until: Duration,
    started: Duration,
    granter: Granter,
    allowance: Allowance<usize>,
    /// Time of the last report, by instance.
    heard: Vec<Option<Duration>>,
    owner: Option<usize>,
    view: View,
    /// Whether an owner has granted tokens to it since its start.
    has_had_owner: bool,
    /// Outstanding ask: its id, when it was sent, and when it times out.
    asked: Option<(u64, Duration, Duration)>,
    observe_at: Duration,
    report_at: Duration,
}

struct Request {
    sent: Duration,
    cost: u64,
    node: usize,
    /// When and how it was decided.
    decided: Option<(Duration, Verdict)>,
}

/// Instances that share the quota of one tenant.
pub struct World {
    now: Duration,
    random: u64,
    quota: Quota,
    owner: Owner,
    nodes: Vec<Node>,
    /// Whether instances report to each other; otherwise each knows that all others are live.
    has_reports: bool,
    groups: u64,
    delay: Duration,
    loss: u64,
    messages: BTreeMap<(Duration, u64), (usize, usize, Message)>,
    next_id: u64,
    requests: Vec<Request>,
    /// Tokens of demand that have not become a request.
    due: f64,
    next_cost: u64,
}

impl Granter {
    fn new(owner: Owner) -> Self {
        let takeover = match owner {
            Owner::Ledger(takeover) => takeover,
            Owner::Hasty => Duration::ZERO,
        };
        Self {
            owner,
            ledger: Ledger::with_takeover(BOUND, takeover),
            owns: false,
        }
    }

    fn observe(&mut self, view: &View, now: Duration) {
        let owns = view.owns[quota::slot(TENANT)];
        let is_new = !std::mem::replace(&mut self.owns, owns) && owns;
        if is_new && matches!(self.owner, Owner::Hasty) {
            // As if it had granted nothing for a while.
            self.ledger = Ledger::with_takeover(BOUND, Duration::ZERO);
            for step in (0..20).rev() {
                self.ledger
                    .observe(view, now.saturating_sub(OBSERVE_INTERVAL * step));
            }
        }
        self.ledger.observe(view, now);
    }

    fn grant(&mut self, asker: usize, quota: &Quota, ask: &Ask, now: Duration) -> Option<Grant> {
        let limit = Limit {
            tenant: TENANT,
            quota,
        };
        self.ledger.grant(&name(asker), limit, ask, now)
    }
}

impl Node {
    fn new(number: usize, instances: usize, owner: Owner, now: Duration) -> Self {
        Self {
            name: name(number),
            is_alive: true,
            frozen_until: Duration::ZERO,
            started: now,
            granter: Granter::new(owner),
            allowance: Allowance::new(BOUND),
            heard: vec![None; instances],
            owner: None,
            view: View::default(),
            has_had_owner: false,
            asked: None,
            observe_at: now,
            report_at: now,
        }
    }

    fn runs(&self, now: Duration) -> bool {
        self.is_alive && self.frozen_until <= now
    }
}

impl World {
    pub fn new(seed: u64, instances: usize, quota: Quota, owner: Owner) -> Self {
        let now = Duration::from_secs(1000);
        let nodes = (0..instances).map(|number| Node::new(number, instances, owner, now));
        Self {
            now,
            random: seed,
            quota,
            owner,
            nodes: nodes.collect(),
            has_reports: true,
            groups: 0,
            delay: Duration::ZERO,
            loss: 0,
            messages: BTreeMap::new(),
            next_id: 0,
            requests: Vec::new(),
            due: 0.0,
            next_cost: 0,
        }
    }

    /// Creates instances that nothing happens to, whose reports are left out.
    pub fn sound(seed: u64, instances: usize, quota: Quota) -> Self {
        let takeover = Owner::Ledger(quota::TAKEOVER_TIME);
        let mut world = Self::new(seed, instances, quota, takeover);
        world.has_reports = false;
        world
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
    }

    /// Instance that an instance takes for the owner.
    pub fn owner_of(&self, node: usize) -> Option<usize> {
        self.nodes[node].owner
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn draw_index(&mut self) -> usize {
        let count = u64::try_from(self.nodes.len()).unwrap();
        usize::try_from(self.draw(count)).unwrap()
    }

    fn draw_fraction(&mut self) -> f64 {
        float(self.draw(1_000_000)) / 1e6
    }

    pub fn draw_span(&mut self) -> Duration {
        Duration::from_millis(200 + self.draw(6_000))
    }

    pub fn draw_demand(&mut self) -> Demand {
        let places = [Place::Even, Place::One, Place::Moving];
        let place = places[usize::try_from(self.draw(3)).unwrap()];
        let most = [5_000, 17_700, 50_000][usize::try_from(self.draw(3)).unwrap()];
        Demand {
            rate: self.quota.rate * float(self.draw(8)),
            costs: (900, most),
            place,
        }
    }

    /// Draws one of the events, and plays it.
    pub fn draw_event(&mut self) {
        let node = match self.draw(2) {
            0 => self.draw_index(),
            _ => self.nodes[0].owner.unwrap_or_default(),
        };
        let event = match self.draw(9) {
            0 | 1 => Event::Split(self.draw(u64::MAX)),
            2 | 3 => Event::Heal,
            4 => Event::Freeze(node, Duration::from_millis(300 + self.draw(9_000))),
            5 => Event::Restart(node),
            6 => Event::Kill(node),
            7 => Event::Slow(Duration::from_millis(self.draw(400))),
            _ => Event::Lose(self.draw(20)),
        };
        self.apply(event);
    }

    /// Draws a change of who reaches whom, and plays it.
    pub fn draw_change(&mut self) {
        let event = match self.draw(3) {
            0 => Event::Split(self.draw(u64::MAX)),
            1 => Event::Heal,
            _ => {
                let alone = self.nodes[0].owner.unwrap_or_default();
                Event::Split(1 << (alone % 64))
            }
        };
        self.apply(event);
    }

    /// Draws a time after which the instances have just noticed a change.
    pub fn draw_noticed(&mut self) -> Duration {
        DETECTION + Duration::from_millis(200 + self.draw(800))
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Split(groups) => self.groups = groups,
            Event::Heal => {
                self.groups = 0;
                self.delay = Duration::ZERO;
                self.loss = 0;
            }
            Event::Freeze(node, time) => self.nodes[node].frozen_until = self.now + time,
            Event::Restart(node) => {
                let instances = self.nodes.len();
                self.nodes[node] = Node::new(node, instances, self.owner, self.now);
            }
            Event::Kill(node) => self.nodes[node].is_alive = false,
            Event::Slow(delay) => self.delay = delay,
            Event::Lose(part) => self.loss = part,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let bit = |node: usize| self.groups >> (node % 64) & 1;
        bit(from) == bit(to)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.reaches(from, to) || self.draw(100) < self.loss {
            return;
        }
        let delay = Duration::from_millis(1 + self.draw(20)) + self.delay;
        self.next_id += 1;
        let key = (self.now + delay, self.next_id);
        self.messages.insert(key, (from, to, message));
    }

    /// Plays the time until `span` has passed.
    pub fn play(&mut self, span: Duration, demand: Option<Demand>) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for node in 0..self.nodes.len() {
                if self.nodes[node].runs(self.now) {
                    self.tick(node);
                }
            }
            if let Some(demand) = demand {
                self.arrive(demand);
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.messages, later);
        for ((at, id), (from, to, message)) in due {
            let node = &self.nodes[to];
            if node.is_alive && node.frozen_until > self.now {
                // It waits in the buffer of the connection.
                let key = (node.frozen_until.max(at), id);
                self.messages.insert(key, (from, to, message));
            } else if node.is_alive && self.reaches(from, to) {
                self.take(from, to, message);
            }
        }
    }

    fn take(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Report(sender) => self.nodes[to].heard[sender] = Some(now),
            Message::Ask(sender, id, ask) => {
                let grant = self.nodes[to].granter.grant(sender, &self.quota, &ask, now);
                self.send(to, sender, Message::Grant(id, grant));
            }
            Message::Grant(id, grant) => {
                let _ = from;
                if let Some((asked, at, _)) = self.nodes[to].asked
                    && asked == id
                {
                    self.receive(to, at, grant);
                }
            }
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now;
        if let Some((_, at, until)) = self.nodes[node].asked
            && until <= now
        {
            self.receive(node, at, None);
        }
        if self.has_reports && self.nodes[node].report_at <= now {
            self.nodes[node].report_at = now + REPORT_INTERVAL;
            for other in 0..self.nodes.len() {
                if other != node {
                    self.send(node, other, Message::Report(node));
                }
            }
        }
        if self.nodes[node].observe_at <= now {
            self.nodes[node].observe_at = now + OBSERVE_INTERVAL;
            self.observe(node);
        }
    }

    fn observe(&mut self, number: usize) {
        let now = self.now;
        let node = &self.nodes[number];
        let is_live = |other: usize| {
            let heard = node.heard[other];
            !self.has_reports
                || other == number
                || heard.is_some_and(|at| now.saturating_sub(at) < DETECTION)
        };
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|other| is_live(*other))
            .collect();
        let names = live.iter().map(|other| &self.nodes[*other].name);
        let owner = quota::owners(names)[quota::slot(TENANT)];
        let owner = live
            .iter()
            .find(|other| Some(&self.nodes[**other].name) == owner);
        let owner = owner.copied();
        let view = View {
            owns: [owner == Some(number); quota::SLOTS],
            inherits: [false; quota::SLOTS],
            reachable: live.len(),
            all: self.sharers(number),
            report_time: REPORT_INTERVAL + OBSERVE_INTERVAL,
            is_settled: true,
        };
        let node = &mut self.nodes[number];
        node.owner = owner;
        node.view = view;
        node.granter.observe(&view, now);
    }

    fn sharers(&self, number: usize) -> usize {
        let heard = self.nodes[number].heard.iter().enumerate();
        let counts = heard.filter(|(other, heard)| {
            *other == number || heard.is_none_or(|at| self.now.saturating_sub(at) < SHARE_TTL)
        });
        counts.count()
    }

    fn share(&self, number: usize) -> Share {
        Share {
            position: Position {
                rank: number,
                instances: self.sharers(number),
            },
            detection: if self.nodes[number].has_had_owner {
                DETECTION
            } else {
                Duration::ZERO
            },
            is_settled: self.now.saturating_sub(self.nodes[number].started) >= REGISTER_TIME,
        }
    }

    fn arrive(&mut self, demand: Demand) {
        self.due += demand.rate * STEP.as_secs_f64();
        let (least, most) = demand.costs;
        loop {
            if self.next_cost == 0 {
                self.next_cost = least + self.draw(most - least + 1);
            }
            if self.due < float(self.next_cost) {
                return;
            }
            self.due -= float(self.next_cost);
            let cost = std::mem::take(&mut self.next_cost);
            let node = match demand.place {
                Place::Even => self.draw_index(),
                Place::One => 1 % self.nodes.len(),
                Place::Moving => usize::try_from(self.now.as_secs()).unwrap() % self.nodes.len(),
            };
            self.offer(node, cost);
        }
    }

    /// Sends one request to an instance.
    pub fn offer(&mut self, number: usize, cost: u64) -> usize {
        let now = self.now;
        let id = self.requests.len();
        self.requests.push(Request {
            sent: now,
            cost,
            node: number,
            decided: None,
        });
        if !self.nodes[number].runs(now) {
            return id;
        }
        let (share, draw, quota) = (self.share(number), self.draw_fraction(), self.quota);
        let allowance = &mut self.nodes[number].allowance;
        if let Some((permit, ask)) = allowance.spend(TENANT, cost, now) {
            self.requests[id].decided = Some((now, Verdict::Admitted(permit)));
            self.ask(number, ask);
            return id;
        }
        let limit = Limit {
            tenant: TENANT,
            quota: &quota,
        };
        match allowance.request(limit, cost, || id, || share, draw, now) {
            Answer::Decided(verdict, ask) => {
                self.requests[id].decided = Some((now, verdict));
                self.ask(number, ask);
            }
            Answer::Waits(ask) => self.ask(number, ask),
        }
        id
    }

    fn ask(&mut self, number: usize, ask: Option<Ask>) {
        let Some(ask) = ask else {
            return;
        };
        let now = self.now;
        match self.nodes[number].owner {
            None => self.receive(number, now, None),
            Some(owner) if owner == number => {
                let grant = self.nodes[number]
                    .granter
                    .grant(number, &self.quota, &ask, now);
                self.receive(number, now, grant);
            }
            Some(owner) => {
                self.next_id += 1;
                let id = self.next_id;
                self.nodes[number].asked = Some((id, now, now + ask.timeout));
                self.send(number, owner, Message::Ask(number, id, ask));
            }
        }
    }

    fn receive(&mut self, number: usize, asked_at: Duration, grant: Option<Grant>) {
        let (share, draw, quota) = (self.share(number), self.draw_fraction(), self.quota);
        let limit = Limit {
            tenant: TENANT,
            quota: &quota,
        };
        let now = self.now;
        let node = &mut self.nodes[number];
        node.asked = None;
        node.has_had_owner |= grant.is_some();
        let step = node
            .allowance
            .receive(limit, asked_at, grant.as_ref(), || share, draw, now);
        for (id, verdict) in step.verdicts {
            self.requests[id].decided = Some((now, verdict));
        }
        self.ask(number, step.ask);
    }

    /// Tokens of the requests that were sent since `from`, and of those that were admitted.
    pub fn count(&self, from: Duration) -> (f64, f64) {
        let sent = || {
            self.requests
                .iter()
                .filter(move |request| request.sent > from)
        };
        let sum = |cost: u64, request: &Request| cost + request.cost;
        let served = sent().filter(|request| request.admitted_at().is_some());
        (float(sent().fold(0, sum)), float(served.fold(0, sum)))
    }

    /// Most tokens that were used by requests sent and admitted within one window.
    pub fn most_in_a_window(&self, window: Duration) -> f64 {
        let admitted = self.requests.iter().filter_map(|request| {
            let at = request.admitted_at()?;
            Some((at, request.cost))
        });
        let mut admitted: Vec<_> = admitted.collect();
        admitted.sort_unstable();
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for (at, cost) in &admitted {
            sum += cost;
            while admitted[first].0 + window < *at {
                sum -= admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        float(most)
    }

    /// When the callers that were refused since `from` return, and with which request.
    pub fn returns(&self, from: Duration) -> Vec<(Duration, usize)> {
        let sent = self.requests.iter().enumerate();
        let sent = sent.filter(|(_, request)| request.sent >= from);
        let returns = sent.filter_map(|(id, request)| match request.decided {
            Some((at, Verdict::Refused(denial))) => Some((at + denial.retry_after, id)),
            _ => None,
        });
        returns.collect()
    }

    /// Plays the returns of refused callers; returns their number and that of the served ones.
    pub fn play_returns(&mut self, mut returns: Vec<(Duration, usize)>) -> (usize, usize) {
        returns.sort_unstable();
        let mut offered = Vec::new();
        for (at, id) in returns {
            self.play(at.saturating_sub(self.now), None);
            let (node, cost) = (self.requests[id].node, self.requests[id].cost);
            offered.push(self.offer(node, cost));
        }
        self.play(Duration::from_secs(1), None);
        let served = offered
            .iter()
            .filter(|id| self.requests[**id].admitted_at().is_some());
        (offered.len(), served.count())
    }
}

impl Request {
    fn admitted_at(&self) -> Option<Duration> {
        match self.decided {
            Some((at, Verdict::Admitted(_))) => Some(at),
            _ => None,
        }
    }
}

fn name(number: usize) -> String {
    format!("entry-{number}")
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}
