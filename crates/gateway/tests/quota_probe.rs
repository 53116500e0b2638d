//! An instance whose last ask had no answer finds its owner again.

use std::time::Duration;

use almondbank_gateway::quota::{Allowance, Answer, Ask, Grant, Limit, Share, Source, Verdict};
use almondbank_gateway::runner_limit::Position;
use almondbank_gateway::tenant::{Quota, Unit};
use almondbank_wire::gateway::Quota as Bound;

const TENANT: &str = "t";
const QUOTA: Quota = Quota {
    unit: Unit::Requests,
    rate: 1000.0,
    burst: 1000.0,
    plain_tokens: 0,
};
const BOUND: Bound = Bound {
    window: Duration::from_secs(8),
    overage: 0.0,
    slack: 0.0,
};
const LIMIT: Limit<'static> = Limit {
    tenant: TENANT,
    quota: &QUOTA,
};
const DRAW: f64 = 0.5;

fn share() -> Share {
    Share {
        position: Position {
            rank: 0,
            instances: 2,
        },
        detection: Duration::from_secs(4),
        is_settled: true,
    }
}

fn request(allowance: &mut Allowance<u32>, limit: Limit<'_>, waiter: u32, now: Duration) -> Answer {
    allowance.request(limit, 1, || waiter, share, DRAW, now)
}

/// An allowance whose ask at `now` had no answer.
fn without_answer(now: Duration) -> Allowance<u32> {
    let mut allowance = Allowance::new(BOUND);
    let answer = request(&mut allowance, LIMIT, 0, now);
    assert!(matches!(answer, Answer::Waits(Some(_))), "{answer:?}");
    let step = allowance.receive(LIMIT, now, None, share, DRAW, now);
    assert!(matches!(step.verdicts[..], [(0, Verdict::Refused(_))]));
    allowance
}

fn asked(answer: Answer) -> Ask {
    match answer {
        Answer::Waits(Some(ask)) => ask,
        answer => panic!("{answer:?}"),
    }
}

#[test]
fn a_request_long_after_an_unanswered_ask_is_not_refused_while_the_owner_answers() {
    let began = Duration::from_secs(10);
    let mut allowance = without_answer(began);
    let now = began + Duration::from_secs(5);
    let ask = asked(request(&mut allowance, LIMIT, 1, now));
    assert_eq!((ask.costs, ask.on_share), (vec![1], true));
    let grant = Grant {
        tokens: 1,
        lifetime: Duration::from_secs(1),
        ..Grant::default()
    };
    let step = allowance.receive(LIMIT, now, Some(&grant), share, DRAW, now);
    let [(1, Verdict::Admitted(permit))] = step.verdicts[..] else {
        panic!("{step:?}");
    };
    assert!(matches!(permit.source, Source::Owner(_)));
}

#[test]
fn a_request_long_after_an_unanswered_ask_is_decided_if_the_owner_does_not_answer_again() {
    let began = Duration::from_secs(10);
    let mut allowance = without_answer(began);
    let now = began + Duration::from_secs(5);
    asked(request(&mut allowance, LIMIT, 1, now));
    // Others do not wait for that answer.
    let other = request(&mut allowance, LIMIT, 2, now);
    assert!(matches!(other, Answer::Decided(Verdict::Refused(_), None)));
    let step = allowance.receive(LIMIT, now, None, share, DRAW, now);
    assert!(matches!(step.verdicts[..], [(1, Verdict::Refused(_))]));
    // Nor is the owner asked for each of them.
    let next = request(&mut allowance, LIMIT, 3, now);
    assert!(matches!(next, Answer::Decided(Verdict::Refused(_), None)));
}
