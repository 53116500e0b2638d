//! Tests for the leader's state of a runner. Each guards against an order to
//! load more than the runner has memory for.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_gateway::order::{Action, Order, Report};
use almondbank_gateway::runner::State;
use almondbank_wire::mesh;

fn model(name: &str, adapters: &[&str]) -> mesh::Model {
    mesh::Model {
        name: name.to_owned(),
        version: 1,
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
    }
}

fn entry(revision: u64, models: Vec<mesh::Model>) -> mesh::Registration {
    mesh::Registration {
        runner: "r".to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "one".to_owned(),
        slots: 4,
        draining: false,
        leaves_in_ms: None,
        beat: revision,
        born_ms: 1,
        models,
        software: None,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        revision,
    }
}

fn report(sequence: u64, models: Vec<mesh::Model>) -> Report {
    Report {
        sequence,
        models,
        ..Report::default()
    }
}

fn order(action: Action, model: &str, adapter: Option<&str>, sequence: u64) -> Order {
    Order {
        runner: "r".to_owned(),
        action,
        model: model.to_owned(),
        adapter: adapter.map(str::to_owned),
        sequence,
        holder: "h".to_owned(),
        fencing: 1,
    }
}

fn second(second: u64) -> Duration {
    Duration::from_secs(second)
}

fn state(models: Vec<mesh::Model>) -> State {
    let address = "127.0.0.1:1".parse().expect("an address");
    let mut state = State::new(&entry(1, models.clone()), address, second(0));
    state.apply_report(&report(4, models), second(0));
    state
}

fn held(state: &State, now: Duration) -> Vec<String> {
    let view = state.view(std::collections::BTreeMap::new(), 0, now);
    view.models.into_iter().chain(view.loading).collect()
}

fn observe(state: &mut State, registration: &mesh::Registration, now: Duration) {
    let address = "127.0.0.1:1".parse().expect("an address");
    state.observe(registration, address, now);
}

#[test]
fn a_runner_gets_no_orders_before_its_first_report() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let state = State::new(&entry(1, vec![model("a", &[])]), address, second(0));
    let view = state.view(std::collections::BTreeMap::new(), 0, second(0));
    assert!(view.is_busy);
}

#[test]
fn a_registration_that_lacks_a_loaded_model_does_not_free_memory() {
    let mut state = state(vec![model("a", &[])]);
    state.record_accepted(&order(Action::Load, "b", None, 4), second(1));
    observe(
        &mut state,
        &entry(2, vec![model("a", &[]), model("b", &[])]),
        second(2),
    );
    assert_eq!(held(&state, second(2)), ["a", "b"]);
    observe(&mut state, &entry(3, vec![model("a", &[])]), second(3));
    assert_eq!(held(&state, second(3)), ["a", "b"]);
    assert!(state.is_uncertain);
}

#[test]
fn an_unload_ends_only_with_a_registration_that_lacks_the_model() {
    let mut state = state(vec![model("a", &[]), model("b", &[])]);
    state.record_accepted(&order(Action::Unload, "b", None, 4), second(1));
    assert_eq!(held(&state, second(1)), ["a", "b"]);
    assert!(!state.holds_model("b"));
    observe(&mut state, &entry(2, vec![model("a", &[])]), second(2));
    assert_eq!(held(&state, second(2)), ["a"]);
}

#[test]
fn a_registration_does_not_restore_an_unloaded_adapter() {
    let listing = vec![model("a", &["x", "y"])];
    let mut state = state(listing.clone());
    state.record_unchanged(&order(Action::Unload, "a", Some("x"), 4), second(1));
    observe(&mut state, &entry(1, listing.clone()), second(2));
    observe(&mut state, &entry(2, listing), second(3));
    assert_eq!(state.used_slots(), 1);
    assert_eq!(state.sequence, Some(5));
}

#[test]
fn a_registration_from_before_an_order_does_not_end_it() {
    let mut state = state(vec![model("a", &[])]);
    state.record_accepted(&order(Action::Load, "b", None, 4), second(1));
    observe(
        &mut state,
        &entry(2, vec![model("a", &[]), model("b", &[])]),
        second(2),
    );
    state.record_accepted(&order(Action::Unload, "b", None, 5), second(3));
    observe(&mut state, &entry(3, vec![model("a", &[])]), second(4));
    state.record_accepted(&order(Action::Load, "b", None, 6), second(5));
    observe(
        &mut state,
        &entry(2, vec![model("a", &[]), model("b", &[])]),
        second(6),
    );
    assert!(!state.holds_model("b"));
    assert!(state.has_order_in_progress());
}

#[test]
fn an_adapter_keeps_its_slot_until_its_unload_has_ended() {
    let mut state = state(vec![model("a", &["x", "y"])]);
    state.record_accepted(&order(Action::Unload, "a", Some("x"), 4), second(1));
    assert_eq!(state.used_slots(), 2);
    assert!(!state.holds_adapter("a", "x"));
    state.apply_report(&report(5, vec![model("a", &["y"])]), second(2));
    assert_eq!(state.used_slots(), 1);
}

#[test]
fn a_load_of_a_loaded_adapter_does_not_count_as_an_order() {
    let mut state = state(vec![model("a", &[])]);
    state.record_unchanged(&order(Action::Load, "a", Some("x"), 4), second(1));
    assert_eq!(state.sequence, Some(4));
    assert!(state.holds_adapter("a", "x"));
}

#[test]
fn a_report_from_before_the_last_order_is_ignored() {
    let mut state = state(vec![model("a", &[])]);
    state.record_accepted(&order(Action::Load, "b", None, 4), second(1));
    state.apply_report(&report(4, vec![model("a", &[])]), second(2));
    assert_eq!(held(&state, second(2)), ["a", "b"]);
}

#[test]
fn a_new_run_holds_only_what_it_registers() {
    let mut state = state(vec![model("a", &[]), model("b", &[])]);
    let mut new_run = entry(9, Vec::new());
    new_run.born_ms = 2;
    observe(&mut state, &new_run, second(5));
    assert!(held(&state, second(5)).is_empty());
    assert_eq!(state.sequence, None);
}

#[test]
fn an_unanswered_order_is_in_progress_once_the_runner_is_busy() {
    let mut state = state(vec![model("a", &[])]);
    state.apply_report(&report(3, vec![model("a", &[])]), second(1));
    state.record_unanswered(&order(Action::Load, "b", None, 3));
    let mut busy = report(4, vec![model("a", &[])]);
    busy.busy = true;
    state.apply_report(&busy, second(2));
    assert!(state.has_order_in_progress());
    assert_eq!(state.sequence, Some(4));
    let view = state.view(BTreeMap::new(), 0, second(3));
    assert_eq!(view.loading.as_deref(), Some("b"));
}

// A higher count than the unanswered order leads to means that another leader
// has sent orders.
#[test]
fn an_order_of_another_leader_is_not_taken_for_the_unanswered_one() {
    let mut state = state(vec![model("a", &[])]);
    state.apply_report(&report(3, vec![model("a", &[])]), second(1));
    state.record_unanswered(&order(Action::Load, "b", None, 3));
    let mut busy = report(6, vec![model("a", &[])]);
    busy.busy = true;
    state.apply_report(&busy, second(2));
    assert!(!state.has_order_in_progress());
    assert_eq!(state.sequence, None);
}

#[test]
fn a_drain_ends_with_the_unload_or_after_its_longest_time() {
    let mut state = state(vec![model("a", &[]), model("b", &[])]);
    state.reserve("c", second(1));
    assert!(state.start_drain("a", second(1)));
    assert!(!state.start_drain("a", second(2)));
    assert!(!state.is_drain_over("a", second(3)));
    assert!(state.is_drain_over("a", second(4)));
    state.record_accepted(&order(Action::Unload, "a", None, 4), second(4));
    assert!(!state.is_drain_over("a", second(9)));
}
