//! Transactions come to a definite outcome although answers are lost.

use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::table::{ABSENT, Outcome, Table, Transaction};
use almondbank_port::{Category, Result, commit};
use almondbank_standin::manual::Manual;
use almondbank_standin::store::{Fault, Store};

const DEADLINE: Duration = Duration::from_secs(10);

// Moves the clock while a future waits on it.
async fn drive<T>(clock: &Manual, future: impl Future<Output = T>) -> T {
    let mover = async {
        loop {
            tokio::task::yield_now().await;
            clock.advance(Duration::from_millis(5));
        }
    };
    tokio::select! {
        biased;
        output = future => output,
        () = mover => unreachable!("the mover never ends"),
    }
}

async fn resolve(clock: &Manual, store: &Store, id: &str) -> Result<Outcome> {
    let transaction = claim(id);
    drive(clock, commit::resolve(store, clock, &transaction, DEADLINE)).await
}

fn claim(id: &str) -> Transaction {
    Transaction::new(id).require("key", ABSENT).put("key", id)
}

#[tokio::test]
async fn a_lost_answer_is_found_by_reading() {
    let (clock, store) = (Manual::default(), Store::default());
    store.inject([Fault::ResponseLost]);
    let outcome = resolve(&clock, &store, "a").await.expect("an outcome");
    assert!(matches!(outcome, Outcome::Committed(_)));
    let outcome = resolve(&clock, &store, "b").await.expect("an outcome");
    assert_eq!(outcome, Outcome::Conflict("key".to_owned()));
}

#[tokio::test]
async fn a_lost_call_is_made_again() {
    let (clock, store) = (Manual::default(), Store::default());
    store.inject([Fault::RequestLost, Fault::RequestLost]);
    let outcome = resolve(&clock, &store, "a").await.expect("an outcome");
    assert!(matches!(outcome, Outcome::Committed(_)));
    assert_eq!(store.writes(), 3);
}

#[tokio::test]
async fn a_delayed_copy_has_no_second_effect() {
    let (clock, store) = (Manual::default(), Store::default());
    store.inject([Fault::Delayed]);
    let outcome = resolve(&clock, &store, "a").await.expect("an outcome");
    let Outcome::Committed(version) = outcome else {
        panic!("{outcome:?}");
    };
    store.apply_delayed();
    let row = store.get("key").await.expect("the table answers");
    assert_eq!(row.map(|row| row.version), Some(version));
}

#[tokio::test]
async fn an_outage_past_the_deadline_is_unknown() {
    let (clock, store) = (Manual::default(), Store::default());
    store.set_down(true);
    let error = resolve(&clock, &store, "a").await.expect_err("no outcome");
    assert_eq!(error.category(), Category::Unknown);
    assert!(clock.now() <= DEADLINE);
}
