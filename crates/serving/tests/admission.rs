//! Admission: order by rank and deadline, floors, queue limits.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::demand::Target;
use almondbank_serving::admission::{Controller, Limits, Permit, Request};
use almondbank_serving::prefix::Prefix;
use almondbank_standin::manual::Manual;
use almondbank_wire::peer;
use almondbank_wire::problem::{Code, Problem};
use almondbank_wire::rank::Rank;
use tokio::task::JoinHandle;

const LIMITS: Limits = Limits {
    requests: 100,
    bytes: 1_000,
};

fn controller(clock: &Manual) -> Arc<Controller> {
    Arc::new(Controller::new(Arc::new(clock.clone()), LIMITS))
}

fn routes(sequence: u64, slots: u32, ready: bool, ready_in_ms: u64) -> peer::Routes {
    peer::Routes {
        fencing: 1,
        sequence,
        replicas: vec![peer::Route {
            replica: "replica".to_owned(),
            model: "model".to_owned(),
            version: "v1".to_owned(),
            runner: "runner".to_owned(),
            ready,
            ready_in_ms,
            adapters: Vec::new(),
        }],
        credits: vec![peer::Credit {
            runner: "runner".to_owned(),
            slots,
        }],
    }
}

fn request(rank: Rank, deadline: Duration) -> Request {
    Request {
        target: Target {
            model: "model".to_owned(),
            version: "v1".to_owned(),
        },
        adapter: None,
        rank,
        deadline,
        bytes: 1,
        prefix: Prefix::default(),
    }
}

type Waiting = JoinHandle<Result<Permit, Problem>>;

async fn enter(controller: &Arc<Controller>, rank: Rank, deadline: Duration) -> Waiting {
    let controller = Arc::clone(controller);
    let waiting = tokio::spawn(async move { controller.admit(request(rank, deadline)).await });
    settle().await;
    waiting
}

async fn settle() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

async fn admitted(waiting: Waiting) -> Permit {
    waiting
        .await
        .expect("the task does not panic")
        .expect("the request is admitted")
}

async fn refused(waiting: Waiting) -> Problem {
    waiting
        .await
        .expect("the task does not panic")
        .expect_err("the request is refused")
}

#[tokio::test]
async fn the_most_urgent_rank_and_the_earliest_deadline_go_first() {
    let clock = Manual::default();
    let controller = controller(&clock);
    controller.update(routes(1, 1, true, 0));
    let seconds = Duration::from_secs;
    let holder = admitted(enter(&controller, Rank::First, seconds(99)).await).await;
    let third = enter(&controller, Rank::Third, seconds(10)).await;
    let late = enter(&controller, Rank::First, seconds(50)).await;
    let early = enter(&controller, Rank::First, seconds(40)).await;
    let second = enter(&controller, Rank::Second, seconds(20)).await;
    drop(holder);
    for next in [early, late, second, third] {
        settle().await;
        assert!(next.is_finished());
        drop(admitted(next).await);
    }
}

#[tokio::test]
async fn a_request_is_refused_at_its_deadline() {
    let clock = Manual::default();
    let controller = controller(&clock);
    let waiting = enter(&controller, Rank::First, Duration::from_secs(5)).await;
    clock.advance(Duration::from_secs(5));
    let problem = refused(waiting).await;
    assert_eq!(
        problem,
        Problem::not_run(Code::Deadline, problem.detail.clone())
    );
    assert_eq!(controller.waiting(), 0);
}

#[tokio::test]
async fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let clock = Manual::default();
    let controller = controller(&clock);
    controller.update(routes(1, 1, false, 30_000));
    let waiting = enter(&controller, Rank::First, Duration::from_secs(5)).await;
    assert!(waiting.is_finished());
    assert_eq!(refused(waiting).await.code, Code::Deadline);
}

#[tokio::test]
async fn a_full_queue_refuses() {
    let clock = Manual::default();
    let controller = controller(&clock);
    let mut waiting = Vec::new();
    for _ in 0..LIMITS.requests {
        waiting.push(enter(&controller, Rank::Third, Duration::from_secs(5)).await);
    }
    let over = enter(&controller, Rank::First, Duration::from_secs(5)).await;
    assert_eq!(refused(over).await.code, Code::QueueFull);
    for waiting in waiting {
        waiting.abort();
    }
    settle().await;
    assert_eq!(controller.waiting(), 0);
}

#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() {
    let clock = Manual::default();
    let controller = controller(&clock);
    let waiting = enter(&controller, Rank::First, Duration::from_secs(5)).await;
    // The permit is already sent when the caller disconnects.
    controller.update(routes(1, 1, true, 0));
    waiting.abort();
    let _ = waiting.await;
    settle().await;
    assert_eq!(controller.running(), 0);
    drop(admitted(enter(&controller, Rank::First, Duration::from_secs(9)).await).await);
}

#[tokio::test]
async fn older_routes_are_ignored() {
    let clock = Manual::default();
    let controller = controller(&clock);
    assert!(controller.update(routes(2, 1, true, 0)));
    assert!(!controller.update(routes(1, 9, false, 0)));
    assert!(!controller.update(routes(2, 9, false, 0)));
    assert_eq!(
        controller.ready(&request(Rank::First, Duration::ZERO).target),
        1
    );
}

// The other ranks get their floors during a flood of the first rank.
#[tokio::test]
async fn floors_hold_during_a_flood() {
    floors_hold(1).await;
}

// With several slots, some are reserved as headroom for the first rank. During a
// flood of that rank, the headroom must not starve the others.
#[tokio::test]
async fn floors_hold_despite_headroom() {
    floors_hold(4).await;
}

async fn floors_hold(slots: u32) {
    let clock = Manual::default();
    let controller = controller(&clock);
    controller.set_floors([0, 10, 5]);
    controller.update(routes(1, slots, true, 0));
    let far = Duration::from_hours(1);
    let mut waiting = Vec::new();
    for _ in 0..60 {
        waiting.push((Rank::First, enter(&controller, Rank::First, far).await));
    }
    for rank in [Rank::Second, Rank::Third] {
        for _ in 0..15 {
            waiting.push((rank, enter(&controller, rank, far).await));
        }
    }
    let mut served = [0_u32; 3];
    while served.iter().sum::<u32>() < 60 {
        settle().await;
        let (done, rest): (Vec<_>, _) = waiting
            .into_iter()
            .partition(|(_, task): &(Rank, Waiting)| task.is_finished());
        waiting = rest;
        let mut permits = Vec::new();
        for (rank, task) in done {
            permits.push(admitted(task).await);
            served[rank.index()] += 1;
        }
        clock.advance(Duration::from_millis(100));
    }
    assert!(served[1] >= 5, "{served:?}");
    assert!(served[2] >= 2, "{served:?}");
    assert!(served[0] >= 45, "{served:?}");
    for (_, task) in waiting {
        task.abort();
    }
}
