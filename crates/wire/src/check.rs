//! Converts raw documents to validated ones and collects all validation errors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::document::{Adapter, Caller, Document, Model, Runner, Service, Target, default_target};
use crate::generated::document as raw;
use crate::rank::{self, Rank};
use crate::{Finding, digest, id};

const MAX_PERCENT: u8 = 100;

/// Collects validation errors while it converts a document.
#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) findings: Vec<Finding>,
}

impl Checker {
    pub(crate) fn document(&mut self, raw: raw::Document) -> Document {
        self.check_name("/environment", &raw.environment);
        let mut document = Document {
            environment: raw.environment,
            targets: self.targets(raw.ranks),
            runners: self.runners(raw.runners),
            models: self.models(raw.models),
            ..Document::default()
        };
        document.adapters = self.adapters(raw.adapters, &document.models);
        document.services = self.services(raw.services);
        document.callers = self.callers(raw.callers, &document);
        self.check_model_sizes(&document);
        document
    }

    fn targets(&mut self, raw: Vec<raw::Rank>) -> BTreeMap<Rank, Target> {
        let mut targets = BTreeMap::new();
        for (at, item) in raw.into_iter().enumerate() {
            let path = format!("/ranks/{at}");
            let Some(rank) = self.parse_rank(&format!("{path}/rank"), item.rank) else {
                continue;
            };
            let default = default_target(rank);
            let target = Target {
                deadline: item
                    .deadline_ms
                    .map_or(default.deadline, Duration::from_millis),
                floor_percent: item.floor_percent.unwrap_or(default.floor_percent),
            };
            if target.floor_percent > MAX_PERCENT {
                self.report(&format!("{path}/floor_percent"), "is more than 100");
            }
            if target.deadline.is_zero() {
                self.report(&format!("{path}/deadline_ms"), "is zero");
            }
            if targets.insert(rank, target).is_some() {
                self.report(&path, "names a rank again");
            }
        }
        let floors: u32 = rank::ALL
            .iter()
            .map(|rank| {
                targets
                    .get(rank)
                    .copied()
                    .unwrap_or_else(|| default_target(*rank))
            })
            .map(|target| u32::from(target.floor_percent))
            .sum();
        if floors > u32::from(MAX_PERCENT) {
            self.report("/ranks", "floors add up to more than 100 percent");
        }
        targets
    }

    fn runners(&mut self, raw: Vec<raw::Runner>) -> BTreeMap<id::Runner, Runner> {
        let mut runners = BTreeMap::new();
        for (at, item) in raw.into_iter().enumerate() {
            let path = format!("/runners/{at}");
            self.check_name(&format!("{path}/name"), &item.name);
            if item.slots == 0 {
                self.report(&format!("{path}/slots"), "is zero");
            }
            let Some(address) = self.parse_address(&format!("{path}/address"), &item.address)
            else {
                continue;
            };
            let runner = Runner {
                address,
                data_centre: item.data_centre,
                memory_bytes: item.memory_bytes,
                slots: item.slots,
                checks_fencing: item.checks_fencing,
            };
            if runners.insert(item.name, runner).is_some() {
                self.report(&path, "names a runner again");
            }
        }
        let addresses: BTreeSet<_> = runners.values().map(|runner| runner.address).collect();
        if addresses.len() < runners.len() {
            self.report("/runners", "give two runners the same address");
        }
        runners
    }

    fn models(&mut self, raw: Vec<raw::Model>) -> BTreeMap<id::Model, Model> {
        let mut models = BTreeMap::new();
        for (at, item) in raw.into_iter().enumerate() {
            let path = format!("/models/{at}");
            self.check_name(&format!("{path}/name"), &item.name);
            if item.versions.is_empty() {
                self.report(&format!("{path}/versions"), "is empty");
            }
            for (index, version) in item.versions.iter().enumerate() {
                self.check_name(&format!("{path}/versions/{index}"), version);
            }
            let distinct: BTreeSet<_> = item.versions.iter().collect();
            if distinct.len() < item.versions.len() {
                self.report(&format!("{path}/versions"), "names a version again");
            }
            if item.max_replicas == 0 {
                self.report(&format!("{path}/max_replicas"), "is zero");
            }
            if item.bytes.checked_add(item.adapter_pool_bytes).is_none() {
                self.report(&format!("{path}/bytes"), "is too large");
            }
            let model = Model {
                bytes: item.bytes,
                pool_bytes: item.adapter_pool_bytes,
                versions: item.versions,
                max_replicas: item.max_replicas,
                load_time: Duration::from_millis(item.load_ms),
            };
            if models.insert(item.name, model).is_some() {
                self.report(&path, "names a model again");
            }
        }
        models
    }

    fn adapters(
        &mut self,
        raw: Vec<raw::Adapter>,
        models: &BTreeMap<id::Model, Model>,
    ) -> BTreeMap<id::Adapter, Adapter> {
        let mut adapters = BTreeMap::new();
        for (at, item) in raw.into_iter().enumerate() {
            let path = format!("/adapters/{at}");
            self.check_name(&format!("{path}/name"), &item.name);
            match models.get(&item.model) {
                None => self.report(&format!("{path}/model"), "is not a model of this document"),
                Some(model) if item.bytes > model.pool_bytes => {
                    self.report(&format!("{path}/bytes"), "is more than the adapter pool");
                }
                Some(_) => {}
            }
            if models.contains_key(&item.name) {
                self.report(&format!("{path}/name"), "is the name of a model");
            }
            let adapter = Adapter {
                model: item.model,
                bytes: item.bytes,
            };
            if adapters.insert(item.name, adapter).is_some() {
                self.report(&path, "names an adapter again");
            }
        }
        adapters
    }

    fn services(&mut self, raw: Vec<raw::Service>) -> BTreeMap<String, Service> {
        let mut services = BTreeMap::new();
        for (at, item) in raw.into_iter().enumerate() {
            let path = format!("/services/{at}");
            self.check_name(&format!("{path}/name"), &item.name);
            if item.addresses.is_empty() {
                self.report(&format!("{path}/addresses"), "is empty");
            }
            let mut addresses = Vec::new();
            for (index, text) in item.addresses.iter().enumerate() {
                addresses.extend(self.parse_address(&format!("{path}/addresses/{index}"), text));
            }
            let mut calls = BTreeMap::new();
            for (index, call) in item.calls.into_iter().enumerate() {
                let call_path = format!("{path}/calls/{index}");
                self.check_name(&format!("{call_path}/name"), &call.name);
                if calls.insert(call.name, call.repeatable).is_some() {
                    self.report(&call_path, "names a call again");
                }
            }
            let service = Service { addresses, calls };
            if services.insert(item.name, service).is_some() {
                self.report(&path, "names a service again");
            }
        }
        services
    }

    fn callers(&mut self, raw: Vec<raw::Caller>, document: &Document) -> BTreeMap<String, Caller> {
        let mut callers = BTreeMap::new();
        for (at, item) in raw.into_iter().enumerate() {
            let path = format!("/callers/{at}");
            self.check_name(&format!("{path}/name"), &item.name);
            let mut grants = BTreeMap::new();
            for (index, grant) in item.grants.into_iter().enumerate() {
                let grant_path = format!("{path}/grants/{index}");
                let known = document.models.contains_key(&grant.target)
                    || document.adapters.contains_key(&grant.target)
                    || document.services.contains_key(&grant.target);
                if !known {
                    self.report(
                        &format!("{grant_path}/target"),
                        "is no model, adapter or service of this document",
                    );
                }
                if let Some(rank) = self.parse_rank(&format!("{grant_path}/rank"), grant.rank) {
                    grants.insert(grant.target, rank);
                }
            }
            let Ok(key) = digest::parse(&item.key_sha256) else {
                self.report(
                    &format!("{path}/key_sha256"),
                    "is not 64 hexadecimal digits",
                );
                continue;
            };
            let caller = Caller {
                name: item.name,
                grants,
            };
            if callers.insert(key, caller).is_some() {
                self.report(
                    &format!("{path}/key_sha256"),
                    "is the key of another caller",
                );
            }
        }
        callers
    }

    fn check_model_sizes(&mut self, document: &Document) {
        let Some(largest) = document.runners.values().map(|r| r.memory_bytes).max() else {
            return;
        };
        let too_large: Vec<_> = document
            .models
            .iter()
            .filter(|(_, model)| model.bytes.saturating_add(model.pool_bytes) > largest)
            .map(|(name, _)| name.clone())
            .collect();
        for name in too_large {
            self.report("/models", &format!("model {name} fits on no runner"));
        }
    }

    fn parse_rank(&mut self, path: &str, number: u8) -> Option<Rank> {
        match Rank::try_from(number) {
            Ok(rank) => Some(rank),
            Err(error) => {
                self.report(path, &error.to_string());
                None
            }
        }
    }

    fn parse_address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.report(path, "is not an IP address and port");
        }
        address
    }

    fn check_name(&mut self, path: &str, text: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > 64 || !text.chars().all(allowed) {
            self.report(
                path,
                "is not 1 to 64 letters, digits, dots, hyphens and underscores",
            );
        }
    }

    fn report(&mut self, path: &str, reason: &str) {
        self.findings.push(Finding::new(path, reason));
    }
}
