//! Runs a small deployment in one process on loopback and prints what it does.
//!
//! Starts the fakes and three instances, applies one document, and sends a request of
//! each kind: cold, warm, streamed, to an adapter, and a service call that is repeated.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondbank::Daemon;
use almondbank_port::clock::{Clock, System};
use almondbank_standin::client::Client;
use almondbank_standin::engine::{Config, Engine};
use almondbank_standin::fixture::{self, Model};
use almondbank_standin::platform::Platform;
use almondbank_standin::runner::{Behaviour, Runner};
use almondbank_standin::service::Service;
use almondbank_wire::settings;
use serde_json::json;

type Outcome<T> = Result<T, Box<dyn Error>>;

const LOAD_TIME: Duration = Duration::from_millis(800);
const INSTANCES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

#[tokio::main]
async fn main() -> Outcome<()> {
    let loopback: SocketAddr = "127.0.0.1:0".parse()?;
    let clock: Arc<dyn Clock> = Arc::new(System::new());
    let platform = Platform::new(INSTANCES.map(str::to_owned));
    let platform_server = platform.serve(loopback).await?;
    let service = Service::new();
    let service_server = service.serve(loopback).await?;

    let mut runners = Vec::new();
    let mut servers = Vec::new();
    for (name, checks_fencing) in [("matchmind-1", true), ("matchmind-2", false)] {
        let config = Config {
            memory_bytes: 100,
            checks_fencing,
            load_time: LOAD_TIME,
            cached: Vec::new(),
        };
        let engine = Engine::new(format!("{name}-0"), config);
        let runner = Runner::new(name, engine, Behaviour::default(), Arc::clone(&clock));
        let server = runner.serve(loopback).await?;
        runners.push(fixture::Runner {
            name: name.to_owned(),
            address: server.address,
            memory_bytes: 100,
            slots: 16,
            checks_fencing,
        });
        servers.push(server);
    }

    let mut daemons = Vec::new();
    for instance in INSTANCES {
        let text = fixture::settings(instance, "trial", platform_server.address, "");
        let settings = settings::parse(&text)?;
        daemons.push(Daemon::start(settings, Arc::clone(&clock)).await?);
    }
    println!("three instances serve callers:");
    for daemon in &daemons {
        println!("  http://{}", daemon.callers());
    }

    let mut matcher = Model::new("matcher", 800);
    matcher.adapters = vec!["tango".to_owned()];
    let models = [matcher, Model::new("chatter", 800)];
    let text = fixture::document("trial", &runners, &models, Some(service_server.address));
    let operator = Client::new(fixture::OPERATOR_KEY);
    let entry = daemons[0].callers();
    let accepted = operator
        .post(
            entry,
            "/operator/v1/environments/trial/document",
            &[],
            &json!({"base": 0, "document": text}),
        )
        .await?;
    println!("document accepted: {}", accepted.text());
    wait_until_ready(entry).await?;

    let caller = Client::new(fixture::CALLER_KEY);
    print_chat(&caller, entry, "cold start", "chatter", false).await?;
    print_chat(&caller, entry, "warm", "chatter", false).await?;
    print_chat(&caller, daemons[1].callers(), "streamed", "chatter", true).await?;
    print_chat(&caller, entry, "adapter, cold", "tango", false).await?;
    print_chat(&caller, entry, "adapter, warm", "tango", false).await?;

    let ticket = caller.ticket(entry).await?;
    let key = format!("{ticket}/booking-1");
    let body = json!({"studio": "Tbilisi", "slot": "18:00"});
    let booking = caller.call(entry, "floorbook/book", &key, &body).await?;
    let repeated = caller
        .call(daemons[2].callers(), "floorbook/book", &key, &body)
        .await?;
    println!("booking: {}", booking.text());
    println!("same key at another instance: {}", repeated.text());
    println!("runs counted by the service: {:?}", service.runs());

    for daemon in daemons {
        daemon.shutdown().await;
    }
    Ok(())
}

async fn wait_until_ready(entry: SocketAddr) -> Outcome<()> {
    let caller = Client::new(fixture::CALLER_KEY);
    while caller.get(entry, "/v1/models").await?.status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

async fn print_chat(
    caller: &Client,
    entry: SocketAddr,
    label: &str,
    model: &str,
    stream: bool,
) -> Outcome<()> {
    let start = Instant::now();
    let response = caller.chat(entry, model, "hello", stream).await?;
    let elapsed = start.elapsed().as_millis();
    println!(
        "{label:>14}: {model} answered {:?} with status {} after {elapsed} ms",
        response.content(),
        response.status,
    );
    Ok(())
}
