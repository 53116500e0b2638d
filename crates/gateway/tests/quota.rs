//! Quotas of tenants over several instances, whose messages, views and failures are played.

mod quota_world;

use std::time::Duration;

use almondbank_gateway::quota::{
    self, Allowance, Answer, Ask, Bucket, Grant, Ledger, Limit, Share, TAKEOVER_TIME, Verdict, View,
};
use almondbank_gateway::runner_limit::Position;
use almondbank_gateway::tenant::{Quota, Unit};
use almondbank_wire::gateway::Quota as Bound;
use quickcheck::QuickCheck;
use quota_world::{Demand, Event, Owner, Place, TENANT, World};

const SECOND: Duration = Duration::from_secs(1);
/// The smallest quota of the load that quotas address; a request costs a third of it.
const SMALL: Quota = Quota {
    unit: Unit::Tokens,
    rate: 29_000.0,
    burst: 29_000.0,
    plain_tokens: 0,
};
const LARGE: Quota = Quota {
    rate: 1_000_000.0,
    burst: 1_000_000.0,
    ..SMALL
};
const BOUND: Bound = Bound {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 110_000.0,
};

/// A bound that leaves nothing beyond the quota.
const EXACT: Bound = Bound {
    overage: 0.0,
    slack: 0.0,
    ..BOUND
};

fn requests(rate: f64, burst: f64) -> Quota {
    Quota {
        unit: Unit::Requests,
        rate,
        burst,
        plain_tokens: 0,
    }
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Plays drawn failures with demand far over the quota; returns the most that was used in a
/// window, as a part of the bound.
fn play_failures(seed: u64, quota: Quota, instances: usize, owner: Owner) -> f64 {
    let mut world = World::new(seed, instances, quota, owner);
    world.play(seconds(2.0), None);
    for _ in 0..9 {
        world.draw_event();
        let demand = world.draw_demand();
        let span = world.draw_span();
        world.play(span, Some(demand));
    }
    world.most_in_a_window(BOUND.window) / quota_world::bound(&quota, &BOUND)
}

/// Plays splits and restarts at intervals in which the instances just notice them.
fn play_changes(seed: u64, quota: Quota, instances: usize, owner: Owner) -> f64 {
    let mut world = World::new(seed, instances, quota, owner);
    world.play(TAKEOVER_TIME + seconds(3.0), None);
    let demand = Demand {
        rate: quota.rate * 8.0,
        costs: (900, 17_700),
        place: Place::Even,
    };
    for _ in 0..12 {
        world.draw_change();
        let span = world.draw_noticed();
        world.play(span, Some(demand));
    }
    world.most_in_a_window(BOUND.window) / quota_world::bound(&quota, &BOUND)
}

// Guards against instances that together use more than the bound when they are split, frozen,
// killed or started, and when messages are late or lost.
#[test]
fn no_window_is_over_the_bound_whatever_fails() {
    fn property(seed: u64, large: bool, instances: u8) -> bool {
        let quota = if large { LARGE } else { SMALL };
        let instances = usize::from(instances % 12 + 2);
        let owner = Owner::Ledger(TAKEOVER_TIME);
        play_failures(seed, quota, instances, owner) <= 1.0
            && play_changes(seed, quota, instances, owner) <= 1.0
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(property as fn(u64, bool, u8) -> bool);
}

// Guards against an equal share that is less than one request and yet admits one at each
// instance.
#[test]
fn no_window_is_over_the_bound_at_many_instances() {
    for seed in 0..4 {
        for quota in [SMALL, LARGE] {
            let part = play_failures(seed, quota, 66, Owner::Ledger(TAKEOVER_TIME));
            assert!(part <= 1.0, "{part} of the bound, seed {seed}");
        }
    }
}

// Shows that the load breaks the bound if a share is raised before the others are lowered.
#[test]
fn an_owner_without_the_takeover_time_breaks_the_bound() {
    let most = |owner| {
        let parts = (0_u64..60).map(|seed| {
            let instances = usize::try_from(seed % 12 + 2).unwrap();
            play_changes(seed, LARGE, instances, owner)
        });
        parts.fold(0.0, f64::max)
    };
    let with = most(Owner::Ledger(TAKEOVER_TIME));
    let without = most(Owner::Ledger(Duration::ZERO));
    let full = most(Owner::Hasty);
    println!(
        "parts of the bound: {with:.3}, without the time {without:.3}, full at once {full:.3}"
    );
    assert!(with <= 1.0 && without > 1.0 && full > 1.0);
}

/// Plays `demand` without failures; returns the parts of the quota and of the demand that were
/// served after the first seconds.
fn play_demand(instances: usize, quota: Quota, demand: Demand, span: f64) -> (f64, f64) {
    let mut world = World::sound(7, instances, quota);
    // The burst is used up, and the usage of each instance known.
    world.play(TAKEOVER_TIME + seconds(3.0), None);
    world.play(seconds(4.0), Some(demand));
    let from = world.now();
    world.play(seconds(span), Some(demand));
    world.play(seconds(0.5), None);
    let (offered, served) = world.count(from);
    (served / (quota.rate * span), served / offered)
}

fn check_use(instances: usize, quota: Quota, costs: (u64, u64)) {
    for place in [Place::Even, Place::One, Place::Moving] {
        let demand = Demand {
            rate: quota.rate * 2.0,
            costs,
            place,
        };
        let (used, _) = play_demand(instances, quota, demand, 30.0);
        println!(
            "{instances} instances, {:.0} a second, {place:?}: {used:.3} used",
            quota.rate
        );
        assert!(
            used >= 0.95,
            "{used} of {} used, {instances} {place:?}",
            quota.rate
        );
    }
}

// Guards against parts of the quota that stay unused at instances without demand.
#[test]
fn a_tenant_that_asks_for_twice_its_quota_uses_it_wherever_it_asks() {
    for instances in [7, 66, 300] {
        check_use(instances, SMALL, (900, 17_700));
    }
}

#[test]
fn a_large_quota_of_small_requests_is_used_wherever_it_is_asked_for() {
    for instances in [7, 66, 300] {
        check_use(instances, requests(2_000.0, 2_000.0), (1, 1));
    }
}

// Guards against asks that cover too few of many small requests at one instance.
#[test]
fn ten_thousand_requests_a_second_are_used_wherever_they_are_asked_for() {
    let quota = requests(10_000.0, 10_000.0);
    for place in [Place::Even, Place::One, Place::Moving] {
        let demand = Demand {
            rate: quota.rate * 2.0,
            costs: (1, 1),
            place,
        };
        let (used, _) = play_demand(300, quota, demand, 8.0);
        println!("300 instances, 10000 a second, {place:?}: {used:.3} used");
        assert!(used >= 0.95, "{used} used, {place:?}");
    }
}

// Guards against refusals of tenants that stay below their quota.
#[test]
fn nothing_below_the_quota_is_refused() {
    for instances in [7, 66, 300] {
        for quota in [SMALL, LARGE] {
            for place in [Place::Even, Place::One, Place::Moving] {
                let demand = Demand {
                    rate: quota.rate / 1.8,
                    costs: (9_300, 9_300),
                    place,
                };
                let (_, served) = play_demand(instances, quota, demand, 8.0);
                let case = format!("{instances} {} {place:?}", quota.rate);
                assert!((served - 1.0).abs() < 1e-9, "{served} served, {case}");
            }
        }
    }
}

// Guards against refusals of a tenant below its quota some of whose requests are larger than
// its burst.
#[test]
fn requests_larger_than_the_burst_are_served_below_the_quota() {
    for instances in [7, 66] {
        for place in [Place::Even, Place::One, Place::Moving] {
            let demand = Demand {
                rate: SMALL.rate / 1.8,
                costs: (900, 50_000),
                place,
            };
            let (_, served) = play_demand(instances, SMALL, demand, 60.0);
            assert!(served >= 0.999, "{served} served, {instances} {place:?}");
        }
    }
}

// Guards against callers that all return at once, and are refused again.
#[test]
fn callers_that_return_as_told_are_served() {
    for instances in [7, 66] {
        let mut world = World::sound(3, instances, SMALL);
        world.play(TAKEOVER_TIME + seconds(3.0), None);
        let from = world.now();
        for number in 0..24 {
            world.offer(number % instances, 9_300);
        }
        world.play(seconds(0.5), None);
        let returns = world.returns(from);
        assert!(returns.len() >= 15, "{} refused", returns.len());
        let mut times: Vec<_> = returns.iter().map(|(at, _)| *at).collect();
        times.sort_unstable();
        let span = times[times.len() - 1].saturating_sub(times[0]);
        assert!(span >= 2 * SECOND, "all return within {span:?}");
        let (count, served) = world.play_returns(returns);
        println!("{instances} instances: {served} of {count} served on their return");
        assert!(served * 10 >= count * 9, "{served} of {count} served");
    }
}

// Guards against a rate at which the burst is less than one request.
#[test]
fn one_request_in_ten_seconds_is_served_and_not_more() {
    let quota = requests(0.1, 0.0);
    for instances in [7, 66] {
        for rate in [0.09, 1.0] {
            let mut world = World::sound(5, instances, quota);
            world.play(TAKEOVER_TIME + seconds(12.0), None);
            let from = world.now();
            let demand = Demand {
                rate,
                costs: (1, 1),
                place: Place::Even,
            };
            world.play(seconds(100.0), Some(demand));
            world.play(seconds(0.5), None);
            let (offered, served) = world.count(from);
            let least = offered.min(9.0);
            assert!((least..=11.0).contains(&served), "{served} of {offered}");
        }
    }
}

// Guards against tokens of the former limit that are still used a window later.
#[test]
fn a_lowered_limit_holds_one_window_later() {
    let mut world = World::sound(9, 7, LARGE);
    let demand = Demand {
        rate: LARGE.rate * 2.0,
        costs: (900, 17_700),
        place: Place::Even,
    };
    world.play(TAKEOVER_TIME + seconds(4.0), Some(demand));
    world.set_quota(SMALL);
    let from = world.now();
    world.play(BOUND.window, Some(demand));
    let (_, served) = world.count(from);
    let bound = quota_world::bound(&SMALL, &BOUND);
    assert!(served <= bound, "{served} of {bound}");
}

// Guards against an owner that is frozen and grants from the time it was away.
#[test]
fn a_suspended_owner_starts_anew() {
    let owns = View {
        owns: [true; quota::SLOTS],
        inherits: [false; quota::SLOTS],
        reachable: 3,
        all: 3,
        report_time: SECOND * 2,
        is_settled: false,
    };
    let mut ledger = Ledger::new(EXACT);
    let mut now = Duration::from_secs(100);
    let ask = Ask {
        costs: vec![9_300],
        ..Ask::default()
    };
    let grants = |ledger: &mut Ledger, now| ledger.grant("entry-1", limit(&SMALL), &ask, now);
    for _ in 0..30 {
        ledger.observe(&owns, now);
        now += SECOND / 5;
    }
    assert!(grants(&mut ledger, now).is_some());
    now += SECOND * 3;
    assert!(grants(&mut ledger, now).is_none());
    ledger.observe(&owns, now);
    assert!(grants(&mut ledger, now).is_none());
}

// Guards against a part that is granted by two owners when the membership changes.
#[test]
fn a_part_shrinks_at_once_and_grows_after_the_takeover_time() {
    let view = |reachable| View {
        owns: [true; quota::SLOTS],
        inherits: [false; quota::SLOTS],
        reachable,
        all: 4,
        report_time: SECOND * 2,
        is_settled: false,
    };
    let mut ledger = Ledger::new(EXACT);
    let mut now = Duration::from_secs(50);
    let mut play = |ledger: &mut Ledger, reachable, span: Duration| {
        let end = now + span;
        while now < end {
            now += SECOND / 10;
            ledger.observe(&view(reachable), now);
        }
        now
    };
    let quota = requests(100.0, 100.0);
    let most = |ledger: &mut Ledger, now| {
        let ask = Ask {
            costs: vec![1; 200],
            ..Ask::default()
        };
        ledger
            .grant("entry-1", limit(&quota), &ask, now)
            .map(|grant| grant.tokens)
    };
    let at = play(&mut ledger, 4, TAKEOVER_TIME / 2);
    assert_eq!(most(&mut ledger, at), None);
    let at = play(&mut ledger, 4, TAKEOVER_TIME);
    assert_eq!(most(&mut ledger, at), Some(100));
    let at = play(&mut ledger, 2, SECOND * 3);
    assert_eq!(most(&mut ledger, at), Some(50));
    let at = play(&mut ledger, 4, SECOND * 3);
    assert_eq!(most(&mut ledger, at), Some(50));
    let at = play(&mut ledger, 4, SECOND * 2);
    assert_eq!(most(&mut ledger, at), Some(50));
    let at = play(&mut ledger, 4, SECOND * 2);
    assert_eq!(most(&mut ledger, at), Some(100));
}

// Guards against a long time without grants after all instances have started at once, and
// against grants before the others can have heard of this instance.
#[test]
fn a_part_grows_sooner_while_all_instances_are_in_touch() {
    let mut ledger = Ledger::new(BOUND);
    let quota = requests(100.0, 100.0);
    let ask = Ask {
        costs: vec![1],
        ..Ask::default()
    };
    let mut now = Duration::from_secs(50);
    let mut first_grant = |reachable: usize, is_settled: bool| {
        let start = now;
        while now < start + TAKEOVER_TIME * 2 {
            now += SECOND / 10;
            let view = View {
                owns: [true; quota::SLOTS],
                inherits: [false; quota::SLOTS],
                reachable,
                all: 4,
                report_time: SECOND * 2,
                is_settled,
            };
            ledger.observe(&view, now);
            if ledger.grant("entry-1", limit(&quota), &ask, now).is_some() {
                break;
            }
        }
        let waited = now.saturating_sub(start);
        // Makes the ledger forget what it owned.
        now += SECOND * 2;
        waited
    };
    assert!((SECOND * 2..SECOND * 3).contains(&first_grant(4, true)));
    assert!(first_grant(3, true) >= TAKEOVER_TIME);
    assert!(first_grant(4, false) >= TAKEOVER_TIME);
}

// Guards against seconds of equal shares after each planned restart of an owner.
#[test]
fn an_owner_whose_predecessor_leaves_grants_at_once_from_an_empty_bucket() {
    let view = View {
        owns: [true; quota::SLOTS],
        inherits: [true; quota::SLOTS],
        reachable: 3,
        all: 3,
        report_time: SECOND * 2,
        is_settled: false,
    };
    let mut ledger = Ledger::new(EXACT);
    let now = Duration::from_secs(50);
    ledger.observe(&view, now);
    let ask = Ask {
        costs: vec![9_300],
        ..Ask::default()
    };
    let mut tokens = |now| {
        let grant = ledger.grant("entry-1", limit(&SMALL), &ask, now);
        grant.map(|grant| grant.tokens)
    };
    assert_eq!(tokens(now), Some(0));
    assert_eq!(tokens(now + SECOND / 2), Some(9_300));
}

fn share(instances: usize, rank: usize) -> Share {
    Share {
        position: Position { rank, instances },
        detection: SECOND,
        is_settled: true,
    }
}

fn limit(quota: &Quota) -> Limit<'_> {
    Limit {
        tenant: TENANT,
        quota,
    }
}

/// Asks for one request of `cost`; returns the allowance that waits for the answer.
fn asked(quota: &Quota, cost: u64, now: Duration) -> Allowance<u32> {
    let mut allowance = Allowance::new(BOUND);
    let answer = allowance.request(limit(quota), cost, || 0, || share(3, 0), 0.5, now);
    assert!(matches!(answer, Answer::Waits(Some(_))), "{answer:?}");
    allowance
}

fn granted(tokens: u64) -> Grant {
    Grant {
        tokens,
        lifetime: quota::GRANT_LIFETIME,
        ..Grant::default()
    }
}

// Guards against tokens that are lost with each request that was refused later.
#[test]
fn refunded_tokens_serve_another_request_until_they_expire() {
    let start = Duration::from_secs(10);
    let mut allowance = asked(&SMALL, 500, start);
    let step = allowance.receive(
        limit(&SMALL),
        start,
        Some(&granted(500)),
        || share(3, 0),
        0.5,
        start,
    );
    let [(0, Verdict::Admitted(permit))] = step.verdicts[..] else {
        panic!("{step:?}");
    };
    let now = start + SECOND / 2;
    assert!(allowance.spend(TENANT, 500, now).is_none());
    allowance.refund(TENANT, &permit, now);
    let (again, _) = allowance.spend(TENANT, 500, now).unwrap();
    allowance.refund(TENANT, &again, now);
    assert!(allowance.spend(TENANT, 500, start + SECOND).is_none());
}

// Guards against asks while the owner has said that there is nothing to grant.
#[test]
fn a_refused_instance_does_not_ask_during_the_pause() {
    let start = Duration::from_secs(10);
    let mut allowance = asked(&SMALL, 500, start);
    let refusal = Grant {
        pause: SECOND / 4,
        retry_after: SECOND,
        spread: SECOND,
        ..Grant::default()
    };
    let step = allowance.receive(
        limit(&SMALL),
        start,
        Some(&refusal),
        || share(3, 0),
        0.5,
        start,
    );
    assert!(matches!(step.verdicts[..], [(0, Verdict::Refused(_))]));
    let mut request = |now| allowance.request(limit(&SMALL), 500, || 1, || share(3, 0), 0.5, now);
    let answer = request(start + SECOND / 5);
    let Answer::Decided(Verdict::Refused(denial), None) = answer else {
        panic!("{answer:?}");
    };
    assert!(denial.retry_after >= SECOND);
    let Answer::Waits(Some(ask)) = request(start + SECOND / 4) else {
        panic!("no ask after the pause");
    };
    assert_eq!((ask.costs, ask.refused), (vec![500], 500));
}

// Guards against one ask for each request.
#[test]
fn one_ask_is_outstanding_and_covers_all_that_wait() {
    let start = Duration::from_secs(10);
    let mut allowance = asked(&SMALL, 500, start);
    for waiter in 1..4 {
        let answer = allowance.request(limit(&SMALL), 500, || waiter, || share(3, 0), 0.5, start);
        assert_eq!(answer, Answer::Waits(None));
    }
    let step = allowance.receive(
        limit(&SMALL),
        start,
        Some(&granted(500)),
        || share(3, 0),
        0.5,
        start,
    );
    assert_eq!(step.verdicts.len(), 1);
    assert_eq!(step.ask.unwrap().costs, [500, 500, 500]);
}

// Guards against a share of an instance that does not know yet how many others there are.
#[test]
fn an_instance_that_has_just_started_has_no_share() {
    let start = Duration::from_secs(10);
    for (is_settled, is_served) in [(false, false), (true, true)] {
        let share = || Share {
            is_settled,
            ..share(3, 0)
        };
        let mut allowance = asked(&LARGE, 500, start);
        allowance.receive(limit(&LARGE), start, None, share, 0.5, start);
        let now = start + SECOND;
        // The share starts when it is used first.
        allowance.request(limit(&LARGE), 500, || 1, share, 0.5, now);
        let answer = allowance.request(limit(&LARGE), 500, || 1, share, 0.5, now + SECOND);
        let served = matches!(answer, Answer::Decided(Verdict::Admitted(_), _));
        assert_eq!(served, is_served);
    }
}

#[test]
fn a_bucket_admits_a_request_larger_than_itself_when_it_is_full() {
    let mut bucket = Bucket::empty(10.0, 20.0, Duration::ZERO);
    assert!(!bucket.take(50.0, SECOND));
    assert_eq!(bucket.wait(50.0, SECOND), SECOND);
    assert!(bucket.take(50.0, SECOND * 2));
    assert_eq!(bucket.wait(5.0, SECOND * 2), seconds(3.5));
}

// Guards against owners that differ between instances, and against one owner of all slots.
#[test]
fn owners_depend_on_the_set_of_instances_alone() {
    let names: Vec<_> = (0..66).map(|number| format!("entry-{number}")).collect();
    let owners = quota::owners(&names);
    assert_eq!(owners, quota::owners(names.iter().rev()));
    let mut distinct: Vec<_> = owners.iter().flatten().collect();
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() >= 3, "{owners:?}");
    let left = names.iter().filter(|name| Some(*name) != owners[0]);
    let later = quota::owners(left);
    for (former, later) in owners.iter().zip(later).skip(1) {
        assert!(*former == later || *former == owners[0]);
    }
}

// Guards against a harness whose events have no effect.
#[test]
fn failures_change_the_owner() {
    let mut world = World::new(1, 5, SMALL, Owner::Ledger(TAKEOVER_TIME));
    world.play(seconds(6.0), None);
    let owner = world.owner_of(0).unwrap();
    world.apply(Event::Freeze(owner, seconds(10.0)));
    world.play(seconds(4.0), None);
    let other = (owner + 1) % 5;
    assert_ne!(world.owner_of(other), Some(owner));
    world.play(seconds(8.0), None);
    assert_eq!(world.owner_of(other), Some(owner));
}
