//! Computes the decisions of one placement round.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondbank_wire::order::Tier;
use almondbank_wire::rank::Rank;
use almondbank_wire::{document, id};

use crate::demand::{Demand, Target};
use crate::observation::Observation;
use crate::placement::{Decision, Load, Placed, Usage, View, load_time};
use crate::{budget, demand, idle};

const RANK_WEIGHTS: [f64; 3] = [100.0, 10.0, 1.0];
const SCALE_UP_WAITING_PER_REPLICA: u64 = 8;
const SHRINK_DELAY: Duration = Duration::from_mins(1);
const OVERDUE_FACTOR: u32 = 3;
const OVERDUE_SLACK: Duration = Duration::from_secs(5);

pub(crate) struct Round<'a> {
    view: &'a View<'a>,
    free: BTreeMap<&'a str, u64>,
    unloading: BTreeSet<id::Replica>,
    /// Replicas that are to stay loaded.
    wanted_by_target: BTreeMap<Target, Vec<&'a Placed>>,
    /// All replicas, including those being unloaded.
    all_by_target: BTreeMap<Target, Vec<&'a Placed>>,
    by_runner: BTreeMap<&'a str, Vec<&'a Placed>>,
    remote_loads: u32,
    pub(crate) decisions: Vec<Decision>,
}

struct Candidate {
    target: Target,
    priority: f64,
    may_evict: bool,
}

impl<'a> Round<'a> {
    pub(crate) fn new(view: &'a View<'a>) -> Self {
        let mut reserved: BTreeMap<&str, u64> = BTreeMap::new();
        let mut wanted_by_target: BTreeMap<Target, Vec<&Placed>> = BTreeMap::new();
        let mut all: BTreeMap<Target, Vec<&Placed>> = BTreeMap::new();
        let mut by_runner: BTreeMap<&str, Vec<&Placed>> = BTreeMap::new();
        let mut remote_loads = 0;
        for placed in view.replicas.values() {
            *reserved.entry(&placed.row.runner).or_default() += placed.reserved_bytes();
            all.entry(placed.target()).or_default().push(placed);
            by_runner
                .entry(&placed.row.runner)
                .or_default()
                .push(placed);
            if !placed.is_wanted() {
                continue;
            }
            if placed.tier == Tier::Remote && is_loading(view, placed) {
                remote_loads += 1;
            }
            wanted_by_target
                .entry(placed.target())
                .or_default()
                .push(placed);
        }
        Self {
            view,
            free: free_memory(view, &reserved),
            unloading: BTreeSet::new(),
            wanted_by_target,
            all_by_target: all,
            by_runner,
            remote_loads,
            decisions: Vec::new(),
        }
    }

    fn unload(&mut self, replica: &str) {
        if self.unloading.insert(replica.to_owned()) {
            self.decisions.push(Decision::Unload(replica.to_owned()));
        }
    }

    // Unloads replicas whose version or runner is no longer in the document.
    pub(crate) fn unload_unserved(&mut self) {
        let unserved: Vec<_> = self
            .wanted_by_target
            .values()
            .flatten()
            .filter(|placed| !self.is_served(placed))
            .map(|placed| placed.row.replica.clone())
            .collect();
        for replica in unserved {
            self.unload(&replica);
        }
    }

    fn is_served(&self, placed: &Placed) -> bool {
        let document = self.view.document;
        let model = document.models.get(&placed.row.model);
        let served = model.is_some_and(|model| model.versions.contains(&placed.row.version));
        served && document.runners.contains_key(&placed.row.runner)
    }

    // Cancels loads that take much longer than expected, and loads that finished
    // without a resident replica. A replacement is loaded only after the runner
    // has reported the cancelled replica as absent.
    pub(crate) fn unload_overdue(&mut self) {
        let overdue: Vec<_> = self
            .wanted_by_target
            .values()
            .flatten()
            .filter(|placed| self.is_overdue(placed) || self.has_failed(placed))
            .map(|placed| placed.row.replica.clone())
            .collect();
        for replica in overdue {
            self.unload(&replica);
        }
    }

    // Unloads replicas that are resident after their unload has finished: a
    // restarted runner has lost the executed order ids, so a late copy of the
    // load order loads the replica again.
    pub(crate) fn unload_reloaded(&mut self) {
        let reloaded: Vec<_> = self
            .view
            .replicas
            .values()
            .filter(|placed| {
                let unload = placed.row.unload.as_deref();
                let seen = fresh_report(self.view, &placed.row.runner);
                unload.zip(seen).is_some_and(|(unload, seen)| {
                    seen.has_finished(unload) && seen.resident(&placed.row.replica).is_some()
                })
            })
            .map(|placed| placed.row.replica.clone())
            .collect();
        for replica in reloaded {
            self.unload(&replica);
        }
    }

    fn is_overdue(&self, placed: &Placed) -> bool {
        let Some(model) = self.view.document.models.get(&placed.row.model) else {
            return false;
        };
        let allowed = load_time(model, placed.tier) * OVERDUE_FACTOR + OVERDUE_SLACK;
        let elapsed = self.view.now.saturating_sub(placed.since);
        let reachable = fresh_report(self.view, &placed.row.runner).is_some();
        reachable && is_loading(self.view, placed) && elapsed > allowed
    }

    fn has_failed(&self, placed: &Placed) -> bool {
        fresh_report(self.view, &placed.row.runner).is_some_and(|seen| {
            seen.resident(&placed.row.replica).is_none() && seen.has_finished(&placed.row.load)
        })
    }

    // Unloads idle targets whose keep-alive has expired, and surplus replicas.
    pub(crate) fn shrink(&mut self) {
        let mut surplus = Vec::new();
        for (target, replicas) in &self.wanted_by_target {
            let ready: Vec<_> = replicas
                .iter()
                .filter(|placed| is_ready(self.view, placed))
                .filter(|placed| !self.unloading.contains(&placed.row.replica))
                .collect();
            let max = self.model(target).map_or(0, |model| model.max_replicas);
            let max = usize::try_from(max).unwrap_or(usize::MAX);
            let desired = self.desired_replicas(target, ready.len()).min(max);
            let extra = ready.len().saturating_sub(desired);
            surplus.extend(
                ready
                    .iter()
                    .rev()
                    .take(extra)
                    .map(|placed| placed.row.replica.clone()),
            );
        }
        for replica in surplus {
            self.unload(&replica);
        }
    }

    fn desired_replicas(&self, target: &Target, ready: usize) -> usize {
        let Some(usage) = self.view.usages.get(target) else {
            return 1;
        };
        if !is_idle(self.view, target) {
            let has_surplus = usage
                .surplus_since
                .is_some_and(|since| self.view.now.saturating_sub(since) > SHRINK_DELAY);
            return if has_surplus {
                ready.saturating_sub(1).max(1)
            } else {
                ready.max(1)
            };
        }
        let idle = self.view.now.saturating_sub(usage.last);
        let window = usage.history.window();
        let in_pause =
            !window.prewarm.is_zero() && idle > idle::MIN_KEEP_ALIVE && idle < window.prewarm;
        usize::from(idle < window.keep_alive && !in_pause)
    }

    pub(crate) fn load_candidates(&mut self, budget: &mut budget::Budget) {
        let mut candidates = self.candidates();
        candidates.sort_by(|a, b| b.priority.total_cmp(&a.priority));
        for candidate in candidates {
            self.load(&candidate, budget);
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (target, demand) in self.view.demands {
            let Some(model) = self.model(target) else {
                continue;
            };
            let count = self.reachable_replicas(target);
            let below_max = count < model.max_replicas;
            let needed = if count == 0 {
                !demand.is_idle()
            } else {
                self.all_ready(target)
                    && demand.waiting_total() > SCALE_UP_WAITING_PER_REPLICA * u64::from(count)
            };
            if below_max && needed {
                let priority = waiting_weight(demand) / model.load_time.as_secs_f64().max(0.001);
                candidates.push(Candidate {
                    target: target.clone(),
                    priority,
                    may_evict: count == 0,
                });
            }
        }
        candidates.extend(self.prewarm_candidates());
        candidates
    }

    fn prewarm_candidates(&self) -> impl Iterator<Item = Candidate> {
        let due = |(target, usage): &(&Target, &Usage)| {
            let window = usage.history.window();
            let idle = self.view.now.saturating_sub(usage.last);
            let in_window = idle >= window.prewarm && idle < window.keep_alive;
            !window.prewarm.is_zero()
                && in_window
                && is_idle(self.view, target)
                && self.reachable_replicas(target) == 0
                && self.model(target).is_some()
        };
        self.view
            .usages
            .iter()
            .filter(due)
            .map(|(target, _)| Candidate {
                target: target.clone(),
                priority: 0.0,
                may_evict: false,
            })
    }

    fn model(&self, target: &Target) -> Option<&'a document::Model> {
        let model = self.view.document.models.get(&target.model)?;
        model.versions.contains(&target.version).then_some(model)
    }

    // Includes replicas that are being unloaded. Replicas on runners that are
    // leaving or have no recent report are left out, so that they do not prevent
    // a replacement.
    fn reachable_replicas(&self, target: &Target) -> u32 {
        let reachable = |placed: &&&Placed| fresh_report(self.view, &placed.row.runner).is_some();
        let count = self.of_target(target).iter().filter(reachable).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn of_target(&self, target: &Target) -> &[&'a Placed] {
        self.all_by_target.get(target).map_or(&[], Vec::as_slice)
    }

    fn of_runner(&self, runner: &str) -> &[&'a Placed] {
        self.by_runner.get(runner).map_or(&[], Vec::as_slice)
    }

    fn all_ready(&self, target: &Target) -> bool {
        self.wanted_by_target
            .get(target)
            .is_some_and(|replicas| replicas.iter().all(|placed| is_ready(self.view, placed)))
    }

    fn load(&mut self, candidate: &Candidate, budget: &mut budget::Budget) {
        let Some(model) = self.model(&candidate.target) else {
            return;
        };
        let needed = model.bytes.saturating_add(model.pool_bytes);
        let Some((runner, tier)) = self.best_runner(&candidate.target, needed) else {
            if candidate.may_evict {
                self.evict(&candidate.target, needed);
            }
            return;
        };
        if tier == Tier::Remote {
            if !budget.take(self.remote_loads) {
                return;
            }
            self.remote_loads += 1;
        }
        if let Some(free) = self.free.get_mut(runner) {
            *free -= needed;
        }
        self.decisions.push(Decision::Load(Load {
            target: candidate.target.clone(),
            runner: runner.to_owned(),
            bytes: model.bytes,
            pool_bytes: model.pool_bytes,
            tier,
        }));
    }

    // Prefers the fastest checkpoint tier, then the most free memory.
    fn best_runner(&self, target: &Target, needed: u64) -> Option<(&'a str, Tier)> {
        self.free
            .iter()
            .filter(|(name, free)| **free >= needed && !self.has_replica_of(name, target))
            .map(|(name, free)| (*name, self.tier(name, target), *free))
            .min_by_key(|(name, tier, free)| (*tier, Reverse(*free), *name))
            .map(|(name, tier, _)| (name, tier))
    }

    fn has_replica_of(&self, runner: &str, target: &Target) -> bool {
        self.of_target(target)
            .iter()
            .any(|placed| placed.row.runner == runner)
    }

    fn tier(&self, runner: &str, target: &Target) -> Tier {
        self.view
            .observations
            .get(runner)
            .map_or(Tier::Remote, |seen| {
                seen.tier(&target.model, &target.version)
            })
    }

    // Unloads idle replicas, least recently used first, on the runner where the
    // fewest unloads free enough memory. Memory of replicas that are already
    // being unloaded counts as free.
    fn evict(&mut self, target: &Target, needed: u64) {
        let plans = self.free.iter().filter_map(|(runner, free)| {
            if self.has_replica_of(runner, target) {
                return None;
            }
            let freed = self.bytes_being_freed(runner);
            let victims = self.victims(runner, needed, free + freed)?;
            Some((victims.len(), *runner, victims))
        });
        let Some((_, _, victims)) = plans.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1))) else {
            return;
        };
        for replica in victims {
            self.unload(&replica);
        }
    }

    fn bytes_being_freed(&self, runner: &str) -> u64 {
        self.of_runner(runner)
            .iter()
            .filter(|placed| !placed.is_wanted() || self.unloading.contains(&placed.row.replica))
            .map(|placed| placed.reserved_bytes())
            .sum()
    }

    fn victims(&self, runner: &str, needed: u64, mut available: u64) -> Option<Vec<id::Replica>> {
        let mut idle: Vec<_> = self
            .of_runner(runner)
            .iter()
            .filter(|placed| placed.is_wanted())
            .filter(|placed| !self.unloading.contains(&placed.row.replica))
            .filter(|placed| is_ready(self.view, placed) && is_idle(self.view, &placed.target()))
            .collect();
        idle.sort_by_key(|placed| {
            let usage = self.view.usages.get(&placed.target());
            usage.map_or(Duration::ZERO, |usage| usage.last)
        });
        let mut victims = Vec::new();
        for placed in idle {
            if available >= needed {
                break;
            }
            available += placed.reserved_bytes();
            victims.push(placed.row.replica.clone());
        }
        (available >= needed).then_some(victims)
    }
}

// Memory of each reachable runner, less the larger of what its rows reserve and
// what it reports as used. The report includes replicas without a row, on a
// runner that was removed from the document and added again.
fn free_memory<'a>(view: &View<'a>, reserved: &BTreeMap<&str, u64>) -> BTreeMap<&'a str, u64> {
    let mut free = BTreeMap::new();
    for (name, runner) in &view.document.runners {
        let Some(seen) = fresh_report(view, name) else {
            continue;
        };
        let memory = runner.memory_bytes.min(seen.report.memory_bytes);
        let reserved = reserved.get(name.as_str()).copied().unwrap_or(0);
        let taken = reserved.max(seen.report.used_bytes);
        free.insert(name.as_str(), memory.saturating_sub(taken));
    }
    free
}

fn waiting_weight(demand: &Demand) -> f64 {
    let weight = |(rank, waiting): (&Rank, &demand::Waiting)| {
        let count = u32::try_from(waiting.count).unwrap_or(u32::MAX);
        RANK_WEIGHTS[rank.index()] * f64::from(count)
    };
    demand.waiting.iter().map(weight).sum()
}

fn is_idle(view: &View<'_>, target: &Target) -> bool {
    view.demands.get(target).is_none_or(Demand::is_idle)
}

fn fresh_report<'a>(view: &View<'a>, runner: &str) -> Option<&'a Observation> {
    view.observations
        .get(runner)
        .filter(|seen| seen.is_fresh(view.now) && !seen.report.leaving)
}

fn is_ready(view: &View<'_>, placed: &Placed) -> bool {
    fresh_report(view, &placed.row.runner).is_some_and(|seen| seen.is_ready(&placed.row.replica))
}

// A replica counts as loading until a recent report shows it as ready.
fn is_loading(view: &View<'_>, placed: &Placed) -> bool {
    !is_ready(view, placed)
}
