//! `commit::resolve` finds the outcome of a transaction despite lost responses.

use std::collections::BTreeSet;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::table::{ABSENT, Outcome, Table, Transaction};
use almondbank_port::{Category, Result, commit};
use almondbank_standin::manual::Manual;
use almondbank_standin::store::{Fault, Store};

const DEADLINE: Duration = Duration::from_secs(10);

// Advances the manual clock until `future` completes.
async fn drive<T>(clock: &Manual, future: impl Future<Output = T>) -> T {
    let advance = async {
        loop {
            tokio::task::yield_now().await;
            clock.advance(Duration::from_millis(5));
        }
    };
    tokio::select! {
        biased;
        output = future => output,
        () = advance => unreachable!("the clock advances forever"),
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
async fn a_lost_response_is_resolved_by_reading_the_row() {
    let (clock, store) = (Manual::default(), Store::default());
    store.inject([Fault::ResponseLost]);
    let outcome = resolve(&clock, &store, "a").await.expect("an outcome");
    assert!(matches!(outcome, Outcome::Committed(_)));
    let outcome = resolve(&clock, &store, "b").await.expect("an outcome");
    assert_eq!(outcome, Outcome::Conflict("key".to_owned()));
}

#[tokio::test]
async fn a_lost_request_is_retried() {
    let (clock, store) = (Manual::default(), Store::default());
    store.inject([Fault::RequestLost, Fault::RequestLost]);
    let outcome = resolve(&clock, &store, "a").await.expect("an outcome");
    assert!(matches!(outcome, Outcome::Committed(_)));
    assert_eq!(store.writes(), 3);
}

#[tokio::test]
async fn a_delayed_duplicate_is_not_applied_again() {
    let (clock, store) = (Manual::default(), Store::default());
    store.inject([Fault::Delayed]);
    let outcome = resolve(&clock, &store, "a").await.expect("an outcome");
    let Outcome::Committed(version) = outcome else {
        panic!("{outcome:?}");
    };
    store.apply_delayed();
    let row = store.get("key").await.expect("the table responds");
    assert_eq!(row.map(|row| row.version), Some(version));
}

#[tokio::test]
async fn an_outage_past_the_deadline_has_an_unknown_outcome() {
    let (clock, store) = (Manual::default(), Store::default());
    store.set_down(true);
    let error = resolve(&clock, &store, "a").await.expect_err("no outcome");
    assert_eq!(error.category(), Category::Unknown);
    assert!(clock.now() <= DEADLINE);
}

#[test]
fn ids_of_transactions_hold_no_line_breaks_and_differ() {
    let ids = [
        "a\nb", "a\\nb", "a\\\nb", "a\r\nb", "a\nb\n", "\n", "\u{85}", "ü", "a/b-1",
    ];
    let stored: BTreeSet<_> = ids.map(|id| Transaction::new(id).id().to_owned()).into();
    assert_eq!(stored.len(), ids.len());
    assert!(stored.iter().all(|id| !id.chars().any(char::is_control)));
    assert_eq!(Transaction::new("entry-1-0f/3/4").id(), "entry-1-0f/3/4");
}
