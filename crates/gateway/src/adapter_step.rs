//! Decides the next order towards an adapter being loaded on a runner.
//!
//! A runner unloads an adapter only once the last request for it has ended, and the
//! adapters that other requests need would wait for that. So only adapters without
//! requests are unloaded, the least recently used one first.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::call::Target;
use crate::id;
use crate::runner::State;

/// Next step to load an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The adapter is loaded.
    Done,
    /// The runner does not hold the model, or takes no adapter orders at present.
    Impossible,
    /// All adapter slots are taken by adapters with requests.
    Full,
    /// Load the adapter.
    Load,
    /// Unload another adapter first.
    Evict(id::Model, id::Adapter),
    /// Wait until an unload has ended.
    Wait,
}

/// Returns the next step. `in_use` holds the adapters that have requests on the
/// runner, and `slots` is the number of adapters that it can hold.
#[must_use]
pub fn next(
    state: &mut State,
    model: &str,
    adapter: &str,
    in_use: &BTreeSet<Target>,
    slots: usize,
    now: Duration,
) -> Step {
    // Runners reject adapter orders while a model order is in progress.
    if !state.holds_model(model) || state.has_order_in_progress() || now < state.blocked_until {
        return Step::Impossible;
    }
    for target in in_use {
        if let Some(adapter) = &target.adapter {
            state.touch_adapter(&target.model, adapter, now);
        }
    }
    state.touch_adapter(model, adapter, now);
    if state.holds_adapter(model, adapter) {
        return Step::Done;
    }
    if state.is_unloading_adapter(model, adapter) {
        return Step::Wait;
    }
    if state.used_slots() < slots {
        return Step::Load;
    }
    if state.has_unloading_adapter() {
        return Step::Wait;
    }
    match state.least_recently_used_adapter(in_use) {
        Some((model, adapter)) => Step::Evict(model, adapter),
        None => Step::Full,
    }
}
