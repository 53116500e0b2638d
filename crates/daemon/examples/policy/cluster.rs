//! End-to-end measurements on seven daemons in one process, with fakes of the services
//! that they depend on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondbank::Daemon;
use almondbank_port::clock::{Clock, System};
use almondbank_standin::client::Client;
use almondbank_standin::engine::{Config, Engine};
use almondbank_standin::fixture::{self, Model};
use almondbank_standin::platform::{Faults, Platform};
use almondbank_standin::runner::{Behaviour, Runner};
use almondbank_standin::server::Server;
use almondbank_standin::service::Service;
use almondbank_wire::settings;
use serde_json::{Value, json};
use tokio::time;

use crate::Outcome;
use crate::table::Row;

const INSTANCES: usize = 7;
const BURST: usize = 200;
const LOAD_TIME: Duration = Duration::from_secs(2);
const BOOKINGS: usize = 500;
const OUTAGE_TIME: Duration = Duration::from_mins(1);

struct Cluster {
    platform: Arc<Platform>,
    runners: Vec<Arc<Runner>>,
    document_runners: Vec<fixture::Runner>,
    service: SocketAddr,
    daemons: Vec<Daemon>,
    _servers: Vec<Server>,
}

pub async fn measure() -> Outcome<Vec<Row>> {
    let cluster = Cluster::start().await?;
    let mut rows = vec![
        cluster.measure_documents().await?,
        cluster.measure_burst().await?,
    ];
    rows.extend(cluster.measure_bookings().await?);
    rows.push(cluster.measure_outage().await?);
    Ok(rows)
}

impl Cluster {
    async fn start() -> Outcome<Self> {
        let loopback: SocketAddr = "127.0.0.1:0".parse()?;
        let clock: Arc<dyn Clock> = Arc::new(System::new());
        let platform = Platform::new((0..INSTANCES).map(|at| format!("entry-{at}")));
        let platform_server = platform.serve(loopback).await?;
        let address = platform_server.address;
        let service_server = Service::new().serve(loopback).await?;
        let service = service_server.address;
        let mut servers = vec![platform_server, service_server];
        let mut runners = Vec::new();
        let mut document_runners = Vec::new();
        for at in 0..9 {
            let name = format!("runner-{at}");
            let checks_fencing = at % 2 == 0;
            let config = Config {
                memory_bytes: 60,
                checks_fencing,
                load_time: LOAD_TIME,
                cached: Vec::new(),
            };
            let engine = Engine::new(format!("{name}-0"), config);
            let behaviour = Behaviour {
                slots: 256,
                ..Behaviour::default()
            };
            let runner = Runner::new(&name, engine, behaviour, Arc::clone(&clock));
            let server = runner.serve(loopback).await?;
            document_runners.push(fixture::Runner {
                name,
                address: server.address,
                memory_bytes: 60,
                slots: 256,
                checks_fencing,
            });
            runners.push(runner);
            servers.push(server);
        }
        let mut daemons = Vec::new();
        for at in 0..INSTANCES {
            let name = format!("entry-{at}");
            let text = fixture::settings(&name, "trial", address, "");
            let settings = settings::parse(&text)?;
            daemons.push(Daemon::start(settings, Arc::clone(&clock)).await?);
        }
        time::sleep(Duration::from_secs(4)).await;
        Ok(Self {
            platform,
            runners,
            document_runners,
            service,
            daemons,
            _servers: servers,
        })
    }

    fn entry(&self, at: usize) -> SocketAddr {
        self.daemons[at % INSTANCES].callers()
    }

    fn total_loads(&self) -> u64 {
        let loads = self
            .runners
            .iter()
            .map(|r| r.engine.lock().counters().loads);
        loads.sum()
    }

    async fn apply(&self, base: u64, models: usize) -> Outcome<()> {
        let models: Vec<_> = (0..models)
            .map(|at| Model::new(format!("model-{at}"), 2_000))
            .collect();
        let text = fixture::document("trial", &self.document_runners, &models, Some(self.service));
        let body = json!({"base": base, "document": text});
        let path = "/operator/v1/environments/trial/document";
        let operator = Client::new(fixture::OPERATOR_KEY);
        let response = operator.post(self.entry(0), path, &[], &body).await?;
        if response.status == 200 {
            Ok(())
        } else {
            Err(response.text().into())
        }
    }

    async fn wait_for_revision(&self, revision: u64) -> Outcome<()> {
        let operator = Client::new(fixture::OPERATOR_KEY);
        for at in 0..INSTANCES {
            loop {
                let status = operator.get(self.entry(at), "/operator/v1/status").await?;
                if status.json()["revision"].as_u64() >= Some(revision) {
                    break;
                }
                time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(())
    }

    async fn measure_documents(&self) -> Outcome<Row> {
        let mut longest = Duration::ZERO;
        for base in 0..20 {
            let start = Instant::now();
            self.apply(base, 30).await?;
            self.wait_for_revision(base + 1).await?;
            longest = longest.max(start.elapsed());
        }
        // Gives the leader time to read the newest document before the next measurement.
        time::sleep(Duration::from_secs(3)).await;
        Ok(Row::new(
            "document in force at 7 instances, longest of 20 changes",
            format!("{} ms", longest.as_millis()),
            "poll only: 1,000 ms interval",
            "5,000 ms",
            Some(longest <= Duration::from_secs(5)),
        ))
    }

    async fn measure_burst(&self) -> Outcome<Row> {
        let before = self.total_loads();
        let mut tasks = Vec::new();
        for n in 0..BURST {
            let entry = self.entry(n);
            tasks.push(tokio::spawn(async move {
                let start = Instant::now();
                let caller = Client::new(fixture::CALLER_KEY);
                let response = caller.chat(entry, "model-0", "hello", true).await;
                let served = response.is_ok_and(|response| response.status == 200);
                (served, start.elapsed())
            }));
        }
        let mut times = Vec::new();
        for task in tasks {
            let (served, elapsed) = task.await?;
            if served {
                times.push(elapsed);
            }
        }
        times.sort();
        let p99 = times
            .get(times.len() * 99 / 100)
            .copied()
            .unwrap_or_default();
        let loads = self.total_loads() - before;
        let met = times.len() == BURST && loads == 1 && p99 <= LOAD_TIME * 110 / 100;
        Ok(Row::new(
            "burst of 200 first requests at 7 instances, load of 2 s: loads, p99",
            format!("{loads}, {} ms ({} served)", p99.as_millis(), times.len()),
            "a load per router: 7",
            "1, 2,200 ms",
            Some(met),
        ))
    }

    async fn measure_bookings(&self) -> Outcome<Vec<Row>> {
        let mut rows = Vec::new();
        for ticketed in [true, false] {
            let writes = self.platform.store.writes();
            let (answered, p50, p99) = self.send_bookings(ticketed, "up").await?;
            // The writes include lease renewals.
            let writes = self.platform.store.writes() - writes;
            self.set_down(true);
            let (answered_down, _, _) = self.send_bookings(ticketed, "down").await?;
            self.set_down(false);
            time::sleep(Duration::from_secs(1)).await;
            let method = if ticketed { "ticket" } else { "claim row" };
            rows.push(Row::new(
                format!("500 bookings by {method}: p50, p99, table writes each, answered with the table up, down"),
                format!(
                    "{} us, {} us, {:.2}, {answered}, {answered_down}",
                    p50.as_micros(),
                    p99.as_micros(),
                    f64::from(u32::try_from(writes)?) / f64::from(u32::try_from(BOOKINGS)?),
                ),
                "-",
                "-",
                None,
            ));
        }
        Ok(rows)
    }

    async fn send_bookings(
        &self,
        ticketed: bool,
        name: &str,
    ) -> Outcome<(usize, Duration, Duration)> {
        let caller = Client::new(fixture::CALLER_KEY);
        let ticket = caller.ticket(self.entry(0)).await?;
        let mut times = Vec::new();
        for n in 0..BOOKINGS {
            let key = if ticketed {
                format!("{ticket}/{name}-{n}")
            } else {
                format!("{name}-{n}")
            };
            let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "50")];
            let start = Instant::now();
            let path = "/v1/services/floorbook/book";
            let response = caller
                .post(self.entry(0), path, &headers, &Value::Null)
                .await?;
            if response.status == 200 {
                times.push(start.elapsed());
            }
        }
        times.sort();
        let at = |percent: usize| times.get(times.len() * percent / 100).copied();
        Ok((
            times.len(),
            at(50).unwrap_or_default(),
            at(99).unwrap_or_default(),
        ))
    }

    // Alternates requests for a cold model, a different one each time, and for a warm model.
    async fn measure_outage(&self) -> Outcome<Row> {
        self.set_down(true);
        let before = self.total_loads();
        let caller = Client::new(fixture::CALLER_KEY);
        let start = Instant::now();
        let (mut cold_served, mut cold_sent, mut warm_served, mut warm_sent) = (0, 0, 0, 0);
        while start.elapsed() < OUTAGE_TIME {
            cold_sent += 1;
            let body = json!({"model": format!("model-{}", 1 + cold_sent % 29),
                "messages": [{"role": "user", "content": "x"}]});
            let headers = [("x-deadline-ms", "1800")];
            let path = "/v1/chat/completions";
            let response = caller
                .post(self.entry(cold_sent), path, &headers, &body)
                .await?;
            cold_served += u32::from(response.status == 200);
            warm_sent += 1;
            let response = caller
                .chat(self.entry(cold_sent), "model-0", "x", false)
                .await?;
            warm_served += u32::from(response.status == 200);
            time::sleep(Duration::from_millis(200)).await;
        }
        self.set_down(false);
        Ok(Row::new(
            "table down for 60 s: loads begun, cold requests served, warm requests served",
            format!(
                "{}, {cold_served} of {cold_sent}, {warm_served} of {warm_sent}",
                self.total_loads() - before
            ),
            "-",
            "warm: all",
            Some(warm_served == warm_sent),
        ))
    }

    fn set_down(&self, down: bool) {
        self.platform.set_faults(Faults {
            down,
            ..Faults::default()
        });
    }
}
