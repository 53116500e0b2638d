//! Tests for the leader's state of a runner. Each guards against an order to
//! load more than the runner has memory for.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_gateway::order::{Action, Order, Report};
use almondbank_gateway::ward::Ward;
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

fn ward(models: Vec<mesh::Model>) -> Ward {
    let address = "127.0.0.1:1".parse().expect("an address");
    let mut ward = Ward::new(&entry(1, models.clone()), address, second(0));
    ward.report(&report(4, models), second(0));
    ward
}

fn held(ward: &Ward, now: Duration) -> Vec<String> {
    let view = ward.view(std::collections::BTreeMap::new(), 0, now);
    view.models.into_iter().chain(view.loading).collect()
}

fn observe(ward: &mut Ward, registration: &mesh::Registration, now: Duration) {
    let address = "127.0.0.1:1".parse().expect("an address");
    ward.observe(registration, address, now);
}

#[test]
fn a_runner_gets_no_orders_before_its_first_report() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let ward = Ward::new(&entry(1, vec![model("a", &[])]), address, second(0));
    let view = ward.view(std::collections::BTreeMap::new(), 0, second(0));
    assert!(view.is_busy);
}

#[test]
fn a_registration_that_lacks_a_loaded_model_does_not_free_memory() {
    let mut ward = ward(vec![model("a", &[])]);
    ward.accept(&order(Action::Load, "b", None, 4), second(1));
    observe(
        &mut ward,
        &entry(2, vec![model("a", &[]), model("b", &[])]),
        second(2),
    );
    assert_eq!(held(&ward, second(2)), ["a", "b"]);
    observe(&mut ward, &entry(3, vec![model("a", &[])]), second(3));
    assert_eq!(held(&ward, second(3)), ["a", "b"]);
    assert!(ward.is_uncertain);
}

#[test]
fn an_unload_ends_only_with_a_registration_that_lacks_the_model() {
    let mut ward = ward(vec![model("a", &[]), model("b", &[])]);
    ward.accept(&order(Action::Unload, "b", None, 4), second(1));
    assert_eq!(held(&ward, second(1)), ["a", "b"]);
    assert!(!ward.holds_model("b"));
    observe(&mut ward, &entry(2, vec![model("a", &[])]), second(2));
    assert_eq!(held(&ward, second(2)), ["a"]);
}

#[test]
fn a_registration_does_not_restore_an_unloaded_adapter() {
    let listing = vec![model("a", &["x", "y"])];
    let mut ward = ward(listing.clone());
    ward.hold(&order(Action::Unload, "a", Some("x"), 4), second(1));
    observe(&mut ward, &entry(1, listing.clone()), second(2));
    observe(&mut ward, &entry(2, listing), second(3));
    assert_eq!(ward.adapters(), 1);
    assert_eq!(ward.sequence, Some(5));
}

#[test]
fn a_registration_from_before_an_order_does_not_end_it() {
    let mut ward = ward(vec![model("a", &[])]);
    ward.accept(&order(Action::Load, "b", None, 4), second(1));
    observe(
        &mut ward,
        &entry(2, vec![model("a", &[]), model("b", &[])]),
        second(2),
    );
    ward.accept(&order(Action::Unload, "b", None, 5), second(3));
    observe(&mut ward, &entry(3, vec![model("a", &[])]), second(4));
    ward.accept(&order(Action::Load, "b", None, 6), second(5));
    observe(
        &mut ward,
        &entry(2, vec![model("a", &[]), model("b", &[])]),
        second(6),
    );
    assert!(!ward.holds_model("b"));
    assert!(ward.has_order_in_progress());
}

#[test]
fn an_adapter_keeps_its_slot_until_its_unload_has_ended() {
    let mut ward = ward(vec![model("a", &["x", "y"])]);
    ward.accept(&order(Action::Unload, "a", Some("x"), 4), second(1));
    assert_eq!(ward.adapters(), 2);
    assert!(!ward.holds_adapter("a", "x"));
    ward.report(&report(5, vec![model("a", &["y"])]), second(2));
    assert_eq!(ward.adapters(), 1);
}

#[test]
fn a_load_of_a_loaded_adapter_does_not_count_as_an_order() {
    let mut ward = ward(vec![model("a", &[])]);
    ward.hold(&order(Action::Load, "a", Some("x"), 4), second(1));
    assert_eq!(ward.sequence, Some(4));
    assert!(ward.holds_adapter("a", "x"));
}

#[test]
fn a_report_from_before_the_last_order_is_ignored() {
    let mut ward = ward(vec![model("a", &[])]);
    ward.accept(&order(Action::Load, "b", None, 4), second(1));
    ward.report(&report(4, vec![model("a", &[])]), second(2));
    assert_eq!(held(&ward, second(2)), ["a", "b"]);
}

#[test]
fn a_new_run_holds_only_what_it_registers() {
    let mut ward = ward(vec![model("a", &[]), model("b", &[])]);
    let mut new_run = entry(9, Vec::new());
    new_run.born_ms = 2;
    observe(&mut ward, &new_run, second(5));
    assert!(held(&ward, second(5)).is_empty());
    assert_eq!(ward.sequence, None);
}

#[test]
fn an_unanswered_order_is_in_progress_once_the_runner_is_busy() {
    let mut ward = ward(vec![model("a", &[])]);
    ward.report(&report(3, vec![model("a", &[])]), second(1));
    ward.note_unanswered(&order(Action::Load, "b", None, 3));
    let mut busy = report(4, vec![model("a", &[])]);
    busy.busy = true;
    ward.report(&busy, second(2));
    assert!(ward.has_order_in_progress());
    assert_eq!(ward.sequence, Some(4));
    let view = ward.view(BTreeMap::new(), 0, second(3));
    assert_eq!(view.loading.as_deref(), Some("b"));
}

// A higher count than the unanswered order leads to means that another leader
// has sent orders.
#[test]
fn an_order_of_another_leader_is_not_taken_for_the_unanswered_one() {
    let mut ward = ward(vec![model("a", &[])]);
    ward.report(&report(3, vec![model("a", &[])]), second(1));
    ward.note_unanswered(&order(Action::Load, "b", None, 3));
    let mut busy = report(6, vec![model("a", &[])]);
    busy.busy = true;
    ward.report(&busy, second(2));
    assert!(!ward.has_order_in_progress());
    assert_eq!(ward.sequence, None);
}
