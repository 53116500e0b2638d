//! One round of placement decisions.

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
const WAITING_PER_REPLICA: u64 = 8;
const QUIET_BEFORE_SHRINK: Duration = Duration::from_mins(1);
const OVERDUE_FACTOR: u32 = 3;
const OVERDUE_SLACK: Duration = Duration::from_secs(5);

pub(crate) struct Round<'a> {
    view: &'a View<'a>,
    free: BTreeMap<&'a str, u64>,
    unloading: BTreeSet<id::Replica>,
    /// Wanted replicas.
    by_target: BTreeMap<Target, Vec<&'a Placed>>,
    /// All replicas, also those that are being unloaded.
    placed: BTreeMap<Target, Vec<&'a Placed>>,
    by_runner: BTreeMap<&'a str, Vec<&'a Placed>>,
    remote_loads: u32,
    pub(crate) decisions: Vec<Decision>,
}

struct Candidate {
    target: Target,
    worth: f64,
    may_evict: bool,
}

impl<'a> Round<'a> {
    pub(crate) fn new(view: &'a View<'a>) -> Self {
        let mut reserved: BTreeMap<&str, u64> = BTreeMap::new();
        let mut by_target: BTreeMap<Target, Vec<&Placed>> = BTreeMap::new();
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
            by_target.entry(placed.target()).or_default().push(placed);
        }
        Self {
            view,
            free: free_memory(view, &reserved),
            unloading: BTreeSet::new(),
            by_target,
            placed: all,
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

    // Unloads what the document no longer serves.
    pub(crate) fn unload_unserved(&mut self) {
        let unserved: Vec<_> = self
            .by_target
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

    // Cancels loads that take far longer than expected, and ones that the runner
    // finished without a resident replica; the replacement waits for the
    // runner's report that the cancelled one is gone.
    pub(crate) fn unload_overdue(&mut self) {
        let overdue: Vec<_> = self
            .by_target
            .values()
            .flatten()
            .filter(|placed| self.is_overdue(placed) || self.has_failed(placed))
            .map(|placed| placed.row.replica.clone())
            .collect();
        for replica in overdue {
            self.unload(&replica);
        }
    }

    // A replica that is there after its unload was loaded by a copy of its load
    // order that a restarted runner did not know.
    pub(crate) fn unload_again(&mut self) {
        let back: Vec<_> = self
            .view
            .replicas
            .values()
            .filter(|placed| {
                let unload = placed.row.unload.as_deref();
                let seen = fresh(self.view, &placed.row.runner);
                unload.zip(seen).is_some_and(|(unload, seen)| {
                    seen.has_finished(unload) && seen.resident(&placed.row.replica).is_some()
                })
            })
            .map(|placed| placed.row.replica.clone())
            .collect();
        for replica in back {
            self.unload(&replica);
        }
    }

    fn is_overdue(&self, placed: &Placed) -> bool {
        let Some(model) = self.view.document.models.get(&placed.row.model) else {
            return false;
        };
        let allowed = load_time(model, placed.tier) * OVERDUE_FACTOR + OVERDUE_SLACK;
        let elapsed = self.view.now.saturating_sub(placed.since);
        let reachable = fresh(self.view, &placed.row.runner).is_some();
        reachable && is_loading(self.view, placed) && elapsed > allowed
    }

    fn has_failed(&self, placed: &Placed) -> bool {
        fresh(self.view, &placed.row.runner).is_some_and(|seen| {
            seen.resident(&placed.row.replica).is_none() && seen.has_finished(&placed.row.load)
        })
    }

    // Unloads idle targets past their keep-alive, and replicas beyond the need.
    pub(crate) fn shrink(&mut self) {
        let mut surplus = Vec::new();
        for (target, replicas) in &self.by_target {
            let ready: Vec<_> = replicas
                .iter()
                .filter(|placed| is_ready(self.view, placed))
                .filter(|placed| !self.unloading.contains(&placed.row.replica))
                .collect();
            let max = self.model(target).map_or(0, |model| model.max_replicas);
            let max = usize::try_from(max).unwrap_or(usize::MAX);
            let wanted = self.wanted(target, ready.len()).min(max);
            let extra = ready.len().saturating_sub(wanted);
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

    fn wanted(&self, target: &Target, ready: usize) -> usize {
        let Some(usage) = self.view.usages.get(target) else {
            return 1;
        };
        if !is_idle(self.view, target) {
            let quiet = usage
                .quiet_since
                .is_some_and(|since| self.view.now.saturating_sub(since) > QUIET_BEFORE_SHRINK);
            return if quiet {
                ready.saturating_sub(1).max(1)
            } else {
                ready.max(1)
            };
        }
        let idle = self.view.now.saturating_sub(usage.last);
        let window = usage.history.window();
        let away =
            !window.prewarm.is_zero() && idle > idle::MIN_KEEP_ALIVE && idle < window.prewarm;
        usize::from(idle < window.keep_alive && !away)
    }

    pub(crate) fn load_cold(&mut self, budget: &mut budget::Budget) {
        let mut candidates = self.candidates();
        candidates.sort_by(|a, b| b.worth.total_cmp(&a.worth));
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
            let held = self.held(target);
            let room = held < model.max_replicas;
            let needed = if held == 0 {
                !demand.is_idle()
            } else {
                self.all_ready(target)
                    && demand.waiting_total() > WAITING_PER_REPLICA * u64::from(held)
            };
            if room && needed {
                let worth = worth(demand) / model.load_time.as_secs_f64().max(0.001);
                candidates.push(Candidate {
                    target: target.clone(),
                    worth,
                    may_evict: held == 0,
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
            let awaited = idle >= window.prewarm && idle < window.keep_alive;
            !window.prewarm.is_zero()
                && awaited
                && is_idle(self.view, target)
                && self.held(target) == 0
                && self.model(target).is_some()
        };
        self.view
            .usages
            .iter()
            .filter(due)
            .map(|(target, _)| Candidate {
                target: target.clone(),
                worth: 0.0,
                may_evict: false,
            })
    }

    fn model(&self, target: &Target) -> Option<&'a document::Model> {
        let model = self.view.document.models.get(&target.model)?;
        model.versions.contains(&target.version).then_some(model)
    }

    // Replicas that count as decided: those on runners that have fallen silent
    // no longer help and do not hold a replacement back.
    fn held(&self, target: &Target) -> u32 {
        let reachable = |placed: &&&Placed| fresh(self.view, &placed.row.runner).is_some();
        let count = self.of_target(target).iter().filter(reachable).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn of_target(&self, target: &Target) -> &[&'a Placed] {
        self.placed.get(target).map_or(&[], Vec::as_slice)
    }

    fn of_runner(&self, runner: &str) -> &[&'a Placed] {
        self.by_runner.get(runner).map_or(&[], Vec::as_slice)
    }

    fn all_ready(&self, target: &Target) -> bool {
        self.by_target
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

    // The nearest checkpoint goes first, then the most free memory.
    fn best_runner(&self, target: &Target, needed: u64) -> Option<(&'a str, Tier)> {
        self.free
            .iter()
            .filter(|(name, free)| **free >= needed && !self.holds(name, target))
            .map(|(name, free)| (*name, self.tier(name, target), *free))
            .min_by_key(|(name, tier, free)| (*tier, Reverse(*free), *name))
            .map(|(name, tier, _)| (name, tier))
    }

    fn holds(&self, runner: &str, target: &Target) -> bool {
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

    // Unloads idle replicas, least recently used first, on the runner where
    // the fewest make room. Replicas that are being unloaded already count as room.
    fn evict(&mut self, target: &Target, needed: u64) {
        let plans = self.free.iter().filter_map(|(runner, free)| {
            if self.holds(runner, target) {
                return None;
            }
            let coming = self.coming(runner);
            let victims = self.victims(runner, needed, free + coming)?;
            Some((victims.len(), *runner, victims))
        });
        let Some((_, _, victims)) = plans.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1))) else {
            return;
        };
        for replica in victims {
            self.unload(&replica);
        }
    }

    fn coming(&self, runner: &str) -> u64 {
        self.of_runner(runner)
            .iter()
            .filter(|placed| !placed.is_wanted() || self.unloading.contains(&placed.row.replica))
            .map(|placed| placed.reserved_bytes())
            .sum()
    }

    fn victims(&self, runner: &str, needed: u64, mut room: u64) -> Option<Vec<id::Replica>> {
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
            if room >= needed {
                break;
            }
            room += placed.reserved_bytes();
            victims.push(placed.row.replica.clone());
        }
        (room >= needed).then_some(victims)
    }
}

// Memory that neither a row nor the runner's own report takes. The report also
// covers replicas that have no row, on a runner that came back to the document.
fn free_memory<'a>(view: &View<'a>, reserved: &BTreeMap<&str, u64>) -> BTreeMap<&'a str, u64> {
    let mut free = BTreeMap::new();
    for (name, runner) in &view.document.runners {
        let Some(seen) = fresh(view, name) else {
            continue;
        };
        let memory = runner.memory_bytes.min(seen.report.memory_bytes);
        let reserved = reserved.get(name.as_str()).copied().unwrap_or(0);
        let taken = reserved.max(seen.report.used_bytes);
        free.insert(name.as_str(), memory.saturating_sub(taken));
    }
    free
}

fn worth(demand: &Demand) -> f64 {
    let weigh = |(rank, waiting): (&Rank, &demand::Waiting)| {
        let count = u32::try_from(waiting.count).unwrap_or(u32::MAX);
        RANK_WEIGHTS[rank.index()] * f64::from(count)
    };
    demand.waiting.iter().map(weigh).sum()
}

fn is_idle(view: &View<'_>, target: &Target) -> bool {
    view.demands.get(target).is_none_or(Demand::is_idle)
}

fn fresh<'a>(view: &View<'a>, runner: &str) -> Option<&'a Observation> {
    view.observations
        .get(runner)
        .filter(|seen| seen.is_fresh(view.now) && !seen.report.leaving)
}

fn is_ready(view: &View<'_>, placed: &Placed) -> bool {
    fresh(view, &placed.row.runner).is_some_and(|seen| seen.is_ready(&placed.row.replica))
}

fn is_loading(view: &View<'_>, placed: &Placed) -> bool {
    !is_ready(view, placed)
}
