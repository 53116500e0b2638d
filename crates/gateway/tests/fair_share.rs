//! Tenants that compete for too few slots, at several instances whose reports are late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondbank_gateway::fair_share::{
    Claim, Decision, MAX_REPORTED, Place, Room, Scope, Tracker, Verdict, Want, part, shares,
};
use almondbank_wire::{codec, mesh};
use quickcheck::{Gen, QuickCheck};

const STEP: Duration = Duration::from_millis(20);
/// Interval at which a waiting request is offered again.
const TURN_INTERVAL: Duration = Duration::from_millis(60);
const SECOND: Duration = Duration::from_secs(1);
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Time that a request may wait.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time at which the load of a hot tenant rises.
const JUMP: Duration = Duration::from_secs(3);
const SLOTS: usize = 70;
/// Requests that as many slots serve after the warm-up: each takes half a second.
const MOST: u64 = 1_680;
const WARM_UP: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(22);
const SIZE: usize = 12;
const SEED: u64 = 7;

fn claim(rank: u8, tenant: &str) -> Claim {
    Claim {
        scope: Scope {
            service: "engine".to_owned(),
            model: "m".to_owned(),
        },
        rank,
        tenant: tenant.to_owned(),
    }
}

fn decide(
    tracker: &Arc<Tracker>,
    place: &mut Option<Place>,
    claim: &Claim,
    (capacity, free): (u64, u64),
    now: Duration,
) -> Decision {
    let room = Room {
        capacity: || capacity,
        free: || free,
        service_time: SERVICE_TIME,
        left: PATIENCE,
    };
    tracker.decide(place, claim, room, now)
}

/// Which instances the requests of a tenant reach.
#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    /// Nine of ten at one instance.
    Uneven,
    /// All at an instance that changes each second.
    Moving,
}

struct Tenant {
    name: String,
    rank: u8,
    /// Requests per second.
    rate: f64,
    /// Factor of the rate from `JUMP` on.
    jump: f64,
    spread: Spread,
    due: f64,
}

/// What a tenant got after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    arrived: u64,
    ended: u64,
    refused: u64,
    /// Longest time from arrival to the start on a runner.
    longest_start: Duration,
}

struct Waiting {
    tenant: usize,
    place: Option<Place>,
    arrived: Duration,
}

struct Sent {
    tenant: usize,
    place: Option<Place>,
    arrived: Duration,
}

/// Instances with reports that arrive a second late, and runners that share one queue.
struct Simulation {
    capacity: usize,
    tenants: Vec<Tenant>,
    instances: Vec<Arc<Tracker>>,
    waiting: Vec<Vec<Waiting>>,
    reports: VecDeque<(Duration, usize, Vec<mesh::Claim>)>,
    /// Requests in flight of each instance by the last report that the others have.
    reported: Vec<u64>,
    sent: Vec<u64>,
    queue: VecDeque<(usize, Sent)>,
    running: Vec<(Duration, usize, Sent)>,
    outcomes: Vec<Outcome>,
    random: u64,
}

impl Simulation {
    fn new(capacity: usize, instances: usize, tenants: Vec<Tenant>) -> Self {
        let name = |index| format!("entry-{index}");
        Self {
            capacity,
            outcomes: vec![Outcome::default(); tenants.len()],
            tenants,
            instances: (0..instances)
                .map(|index| Arc::new(Tracker::new(&name(index))))
                .collect(),
            waiting: (0..instances).map(|_| Vec::new()).collect(),
            reports: VecDeque::new(),
            reported: vec![0; instances],
            sent: vec![0; instances],
            queue: VecDeque::new(),
            running: Vec::new(),
            random: SEED,
        }
    }

    fn run(mut self) -> BTreeMap<String, Outcome> {
        let mut now = Duration::ZERO;
        while now < END {
            now += STEP;
            self.end(now);
            self.report(now);
            let is_turn = now.as_millis().is_multiple_of(TURN_INTERVAL.as_millis());
            for instance in (0..self.instances.len()).filter(|_| is_turn) {
                let waiting = std::mem::take(&mut self.waiting[instance]);
                for request in waiting {
                    self.offer(instance, request, now);
                }
            }
            self.arrive(now);
            while self.running.len() < self.capacity
                && let Some((instance, sent)) = self.queue.pop_front()
            {
                if sent.arrived > WARM_UP {
                    let outcome = &mut self.outcomes[sent.tenant];
                    outcome.longest_start =
                        outcome.longest_start.max(now.saturating_sub(sent.arrived));
                }
                self.running.push((now + SERVICE_TIME, instance, sent));
            }
        }
        let names = self.tenants.into_iter().map(|tenant| tenant.name);
        names.zip(self.outcomes).collect()
    }

    fn end(&mut self, now: Duration) {
        let running = std::mem::take(&mut self.running);
        for (ends, instance, mut sent) in running {
            if ends > now {
                self.running.push((ends, instance, sent));
                continue;
            }
            drop(sent.place.take());
            self.sent[instance] -= 1;
            if now > WARM_UP {
                self.outcomes[sent.tenant].ended += 1;
            }
        }
    }

    // Each instance reports once a second, at a time of its own.
    fn report(&mut self, now: Duration) {
        let steps = now.as_millis() / STEP.as_millis();
        for (index, instance) in self.instances.iter().enumerate() {
            if (steps + index as u128 * 37).is_multiple_of(50) {
                self.reports
                    .push_back((now + SECOND, index, instance.own(now)));
            }
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, claims)) = self.reports.pop_front() else {
                return;
            };
            self.reported[from] = claims.iter().map(|claim| claim.in_flight).sum();
            for (index, instance) in self.instances.iter().enumerate() {
                if index != from {
                    instance.set_peer(&format!("entry-{from}"), &claims, now);
                }
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        for index in 0..self.tenants.len() {
            let drawn = u16::try_from(self.draw(1_000)).unwrap();
            let jitter = 0.5 + f64::from(drawn) / 1_000.0;
            let tenant = &mut self.tenants[index];
            let factor = if now > JUMP { tenant.jump } else { 1.0 };
            tenant.due += tenant.rate * factor * STEP.as_secs_f64() * jitter;
            while self.tenants[index].due >= 1.0 {
                self.tenants[index].due -= 1.0;
                let instance = self.instance(index, now);
                if now > WARM_UP {
                    self.outcomes[index].arrived += 1;
                }
                let request = Waiting {
                    tenant: index,
                    place: None,
                    arrived: now,
                };
                self.offer(instance, request, now);
            }
        }
    }

    fn instance(&mut self, tenant: usize, now: Duration) -> usize {
        let any = self.draw(self.instances.len());
        let is_stray = self.draw(10) == 0;
        match self.tenants[tenant].spread {
            Spread::Even => any,
            Spread::Uneven if is_stray => any,
            Spread::Uneven => tenant % self.instances.len(),
            Spread::Moving => usize::try_from(now.as_secs()).unwrap() * 5 % self.instances.len(),
        }
    }

    fn offer(&mut self, instance: usize, mut request: Waiting, now: Duration) {
        let others: u64 = self.reported.iter().sum::<u64>() - self.reported[instance];
        let free = (self.capacity as u64).saturating_sub(others + self.sent[instance]);
        let tenant = &self.tenants[request.tenant];
        let claim = claim(tenant.rank, &tenant.name);
        let room = (self.capacity as u64, free);
        let tracker = &self.instances[instance];
        let decision = decide(tracker, &mut request.place, &claim, room, now);
        match decision.verdict {
            Verdict::Send => {
                self.sent[instance] += 1;
                let sent = Sent {
                    tenant: request.tenant,
                    place: request.place,
                    arrived: request.arrived,
                };
                self.queue.push_back((instance, sent));
            }
            Verdict::Wait(_) => self.waiting[instance].push(request),
            Verdict::Refuse(_) if now > WARM_UP => self.outcomes[request.tenant].refused += 1,
            Verdict::Refuse(_) => {}
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        // Constants of Knuth's MMIX generator.
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % below
    }
}

fn tenant(name: &str, rate: f64, spread: Spread) -> Tenant {
    Tenant {
        name: name.to_owned(),
        rank: 3,
        rate,
        jump: 1.0,
        spread,
        due: 0.0,
    }
}

const SPREADS: [Spread; 3] = [Spread::Even, Spread::Uneven, Spread::Moving];

// Load: fifteen tenants at their usual load and a hot one at twenty times as much, with slots
// for half of it. Guards against tenants that a hot one starves, and against slots that the hot
// one does not get although nobody else wants them.
#[test]
fn a_hot_tenant_gets_what_the_others_leave() {
    const USUAL: f64 = 8.0;
    for (instances, spread) in [7, 66].into_iter().flat_map(|n| SPREADS.map(|s| (n, s))) {
        let mut tenants = vec![tenant("hot", USUAL, spread)];
        tenants[0].jump = 20.0;
        tenants.extend((0..15).map(|index| tenant(&format!("usual-{index}"), USUAL, spread)));
        let outcomes = Simulation::new(SLOTS, instances, tenants).run();
        let case = format!("{instances} instances, {spread:?}: {outcomes:#?}");
        let hot = outcomes["hot"];
        let usual = outcomes.iter().filter(|(name, _)| *name != "hot");
        let sum = |of: fn(&Outcome) -> u64| -> u64 {
            usual.clone().map(|(_, outcome)| of(outcome)).sum()
        };
        let (arrived, refused) = (
            sum(|outcome| outcome.arrived),
            sum(|outcome| outcome.refused),
        );
        assert!(refused * 100 <= arrived * 3, "{case}");
        for (name, outcome) in usual.clone() {
            assert!(outcome.refused * 10 <= outcome.arrived, "{name}, {case}");
            assert!(outcome.longest_start < SECOND * 3, "{name}, {case}");
        }
        // 10 slots for half a second each, in 12 s: 240 requests. What the others leave is known
        // late, and where the tenants move, also which instance may use it.
        let (least, least_of_all) = match spread {
            Spread::Even | Spread::Uneven => (150, MOST * 95 / 100),
            Spread::Moving => (100, MOST * 87 / 100),
        };
        assert!((least..=300).contains(&hot.ended), "{case}");
        let ended = sum(|outcome| outcome.ended) + hot.ended;
        assert!(ended >= least_of_all, "{case}");
    }
}

// Guards against slots that are left unused because other tenants could want them.
#[test]
fn a_tenant_alone_gets_all_slots() {
    for (instances, spread) in [7, 66].into_iter().flat_map(|n| SPREADS.map(|s| (n, s))) {
        let tenants = vec![tenant("hot", 300.0, spread)];
        let outcomes = Simulation::new(SLOTS, instances, tenants).run();
        let hot = outcomes["hot"];
        let least = match spread {
            Spread::Even | Spread::Uneven => MOST * 95 / 100,
            Spread::Moving => MOST * 85 / 100,
        };
        let case = format!("{instances} instances, {spread:?}: {hot:?}");
        assert!(hot.ended >= least, "{case}");
    }
}

// Guards against a division by arrivals, with which the tenant that asks most gets most.
#[test]
fn two_tenants_over_their_shares_get_the_same() {
    for (instances, spread) in [7, 66].into_iter().flat_map(|n| SPREADS.map(|s| (n, s))) {
        let tenants = vec![
            tenant("very-hot", 800.0, spread),
            tenant("hot", 160.0, Spread::Even),
        ];
        let outcomes = Simulation::new(SLOTS, instances, tenants).run();
        let (very_hot, hot) = (outcomes["very-hot"].ended, outcomes["hot"].ended);
        let case = format!("{instances} instances, {spread:?}: {outcomes:#?}");
        assert!(very_hot + hot >= MOST * 90 / 100, "{case}");
        assert!(very_hot * 100 <= hot * 130, "{case}");
        assert!(hot * 100 <= very_hot * 150, "{case}");
    }
}

// Guards against small tenants that get no slot when there are fewer slots than tenants.
#[test]
fn more_tenants_than_slots_are_served_in_turn() {
    for spread in SPREADS {
        let tenants = (0..10).map(|index| tenant(&format!("t-{index}"), 10.0, spread));
        let outcomes = Simulation::new(4, 7, tenants.collect()).run();
        for (name, outcome) in &outcomes {
            assert!(outcome.ended >= 1, "{spread:?}, {name}: {outcomes:#?}");
        }
    }
}

// Guards against a lower rank that takes slots from a higher one.
#[test]
fn a_higher_rank_goes_first() {
    let mut high = tenant("high", 100.0, Spread::Even);
    high.rank = 1;
    let mut low = tenant("low", 40.0, Spread::Even);
    low.jump = 10.0;
    let tenants = vec![high, low];
    let outcomes = Simulation::new(SLOTS, 7, tenants).run();
    let high = outcomes["high"];
    assert!(high.refused * 100 <= high.arrived, "{outcomes:#?}");
    assert!(outcomes["low"].ended >= 360, "{outcomes:#?}");
}

// Guards against requests that are held until their deadline, and against callers that are all
// told to return at once.
#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let claim = claim(3, "hot");
    let mut places = Vec::new();
    let mut retries = Vec::new();
    for _ in 0..40 {
        let mut place = None;
        let decision = decide(&tracker, &mut place, &claim, (2, 0), SECOND);
        if let Verdict::Refuse(retry_after) = decision.verdict {
            assert!(place.is_none());
            retries.push(retry_after);
        }
        places.push(place);
    }
    // Two run, and eight end in the two seconds that a request may wait.
    assert_eq!(retries.len(), 30);
    assert!(retries.is_sorted());
    assert!(retries[0] >= SECOND * 2);
    assert!(retries[29] >= SECOND * 9);
}

// Guards against newcomers that overtake requests which wait.
#[test]
fn requests_of_a_tenant_are_sent_in_their_order() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let claim = claim(3, "hot");
    let room = (1, 0);
    let (mut first, mut second, mut third) = (None, None, None);
    decide(&tracker, &mut first, &claim, room, SECOND);
    let verdict = decide(&tracker, &mut second, &claim, room, SECOND).verdict;
    assert!(matches!(verdict, Verdict::Wait(_)));
    drop(first);
    let verdict = decide(&tracker, &mut third, &claim, room, SECOND).verdict;
    assert!(matches!(verdict, Verdict::Wait(_)));
    let verdict = decide(&tracker, &mut second, &claim, room, SECOND).verdict;
    assert_eq!(verdict, Verdict::Send);
}

// Guards against claims of peers that are gone and still take up slots.
#[test]
fn the_claims_of_a_silent_peer_end() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let peer = mesh::Claim {
        service: "engine".to_owned(),
        model: "m".to_owned(),
        tenant: "other".to_owned(),
        rank: 1,
        in_flight: 4,
        waiting: 10,
    };
    tracker.set_peer("entry-2", &[peer], SECOND);
    let (mut early, mut late) = (None, None);
    let claim = claim(3, "t");
    let verdict = decide(&tracker, &mut early, &claim, (4, 0), SECOND).verdict;
    assert!(matches!(verdict, Verdict::Refuse(_)));
    let verdict = decide(&tracker, &mut late, &claim, (4, 0), SECOND * 6).verdict;
    assert_eq!(verdict, Verdict::Send);
}

// Guards against memory and reports that grow with the number of tenants.
#[test]
fn ten_thousand_tenants_take_up_bounded_memory() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    for index in 0..10_000 {
        let claim = claim(3, &format!("t-{index}"));
        decide(&tracker, &mut None, &claim, (0, 0), SECOND);
    }
    assert!(tracker.held_claims() <= 1_024);
    assert_eq!(tracker.own(SECOND).len(), MAX_REPORTED);
    decide(&tracker, &mut None, &claim(3, "t"), (0, 0), SECOND * 5);
    assert_eq!(tracker.held_claims(), 1);
}

// Without requests of tenants there is nothing to report, and an older release accepts that.
#[test]
fn nothing_is_reported_without_requests() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    assert!(tracker.own(SECOND).is_empty());
    assert!(tracker.local(SECOND).is_empty());
    let mut place = None;
    decide(&tracker, &mut place, &claim(3, "t"), (4, 4), SECOND);
    assert_eq!(tracker.own(SECOND).len(), 1);
    drop(place);
    assert!(tracker.own(SECOND).is_empty());
}

// Guards against reports that an older release rejects, as it knows no claims.
#[test]
fn a_report_without_claims_does_not_name_them() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let names_claims = |tracker: &Tracker| {
        let summary = mesh::Summary {
            claims: tracker.local(SECOND),
            data_centre: "one".to_owned(),
            demands: Vec::new(),
            kept: Vec::new(),
            loads: Vec::new(),
            members: Vec::new(),
        };
        let encoded = codec::encode(&summary);
        encoded.windows(6).any(|bytes| bytes == b"claims")
    };
    assert!(!names_claims(&tracker));
    let mut place = None;
    decide(&tracker, &mut place, &claim(3, "t"), (4, 4), SECOND);
    assert!(names_claims(&tracker));
}

// Load: an instance that its peers do not hear, while all slots are wanted. Guards against one
// that serves nobody, and against tenants that it does not treat alike.
#[test]
fn an_instance_that_is_cut_off_divides_the_slots_by_itself() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let peer = mesh::Claim {
        service: "engine".to_owned(),
        model: "m".to_owned(),
        tenant: "hot".to_owned(),
        rank: 3,
        in_flight: 8,
        waiting: 50,
    };
    tracker.set_peer("entry-2", &[peer], SECOND);
    let mut places = Vec::new();
    // All that the tenants want is known before they get the slots.
    for (capacity, now) in [(0, SECOND * 6), (8, SECOND * 7)] {
        for _ in 0..10 {
            for tenant in ["hot", "hot", "hot", "quiet"] {
                let mut place = None;
                decide(&tracker, &mut place, &claim(3, tenant), (capacity, 0), now);
                places.push(place);
            }
        }
    }
    let claims = tracker.own(SECOND * 7);
    let in_flight: Vec<_> = claims.iter().map(|claim| claim.in_flight).collect();
    assert_eq!(in_flight, [4, 4]);
}

// Guards against several requests that use the same free slot between two views.
#[test]
fn a_free_slot_is_used_once() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let peer = mesh::Claim {
        service: "engine".to_owned(),
        model: "m".to_owned(),
        tenant: "high".to_owned(),
        rank: 1,
        in_flight: 3,
        waiting: 0,
    };
    tracker.set_peer("entry-2", &[mesh::Claim { waiting: 9, ..peer }], SECOND);
    let low = claim(3, "low");
    let (mut first, mut second) = (None, None);
    // The higher rank wants all four slots, and one is free nevertheless. Two contend for it.
    let verdict = decide(&tracker, &mut first, &low, (4, 1), SECOND).verdict;
    assert!(matches!(verdict, Verdict::Refuse(_)));
    let verdict = decide(&tracker, &mut first, &low, (4, 2), SECOND * 2).verdict;
    assert_eq!(verdict, Verdict::Send);
    let verdict = decide(&tracker, &mut second, &low, (4, 2), SECOND * 2).verdict;
    assert!(matches!(verdict, Verdict::Refuse(_)));
}

// Guards against shares beyond the capacity, against slots that are not given to anybody, and
// against a tenant that gets less than another although it wants more.
#[test]
fn shares_are_max_min_fair() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck takes owned arguments"
    )]
    fn property(capacity: u16, wants: Vec<(u8, u8)>) -> bool {
        let wants: Vec<_> = wants
            .iter()
            .enumerate()
            .map(|(index, (rank, wanted))| {
                Want::new(rank % 3, &index.to_string(), u64::from(*wanted), 0)
            })
            .collect();
        let capacity = u64::from(capacity % 512);
        let shares = shares(capacity, &wants);
        let pairs: Vec<_> = wants.iter().zip(&shares).collect();
        let wanted: u64 = wants.iter().map(|want| want.wanted).sum();
        let is_fair = pairs.iter().all(|(want, share)| {
            let is_short = **share < want.wanted;
            let may_have = |other: &Want, share_of_other: u64| match other.rank.cmp(&want.rank) {
                std::cmp::Ordering::Less => true,
                std::cmp::Ordering::Equal => share_of_other <= **share + 1,
                std::cmp::Ordering::Greater => share_of_other == 0,
            };
            !is_short || pairs.iter().all(|(other, share)| may_have(other, **share))
        });
        shares.iter().sum::<u64>() == capacity.min(wanted)
            && pairs.iter().all(|(want, share)| **share <= want.wanted)
            && is_fair
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(u16, Vec<(u8, u8)>) -> bool);
}

// Guards against instances that together use more than the share of a tenant, or less.
#[test]
fn parts_of_a_share_add_up() {
    fn property(share: u16, wanted: Vec<u8>) -> bool {
        let total: u64 = wanted.iter().copied().map(u64::from).sum();
        let mut before = 0;
        let mut sum = 0;
        for wanted in wanted {
            let wanted = u64::from(wanted);
            sum += part(u64::from(share), before, wanted, total - before - wanted);
            before += wanted;
        }
        sum == if total == 0 { 0 } else { u64::from(share) }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(u16, Vec<u8>) -> bool);
}

// With all slots in use, whatever came and ended before: nobody below its share is held back
// while another above its own is sent.
#[test]
fn nobody_above_its_share_is_sent_before_one_below() {
    fn property(capacity: u8, steps: Vec<(u8, bool)>) -> bool {
        const TENANTS: usize = 4;
        let capacity = u64::from(capacity % 20) + 1;
        let tracker = Arc::new(Tracker::new("entry-1"));
        let mut places: Vec<VecDeque<Place>> = (0..TENANTS).map(|_| VecDeque::new()).collect();
        let mut now = Duration::ZERO;
        for (tenant, is_end) in steps {
            now += STEP;
            let index = usize::from(tenant) % TENANTS;
            if is_end {
                places[index].pop_front();
                continue;
            }
            let claim = claim(3, &index.to_string());
            let mut place = None;
            let decision = decide(&tracker, &mut place, &claim, (capacity, 0), now);
            let basis = decision.basis;
            let is_below = basis.in_flight + basis.ahead < basis.share;
            if is_below != (decision.verdict == Verdict::Send) {
                return false;
            }
            if decision.verdict == Verdict::Send {
                places[index].extend(place);
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE * 20, SEED))
        .quickcheck(property as fn(u8, Vec<(u8, bool)>) -> bool);
}

// The reports name each tenant once for a rank, however many requests it has.
#[test]
fn claims_are_reported_once() {
    let tracker = Arc::new(Tracker::new("entry-1"));
    let mut places: Vec<Option<Place>> = (0..20).map(|_| None).collect();
    for (index, place) in places.iter_mut().enumerate() {
        let claim = claim(u8::from(index % 2 == 0), "t");
        decide(&tracker, place, &claim, (100, 100), SECOND);
    }
    let claims = tracker.own(SECOND);
    let ranks: BTreeSet<_> = claims.iter().map(|claim| claim.rank).collect();
    assert_eq!((claims.len(), ranks.len()), (2, 2));
    assert!(claims.iter().all(|claim| claim.in_flight == 10));
}
