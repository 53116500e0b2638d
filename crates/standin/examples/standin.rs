//! Runs one fake as a separate process and prints `address=IP:PORT`.
//!
//! Usage: `standin platform VM...`, `standin service`, or
//! `standin runner NAME MEMORY_BYTES CHECKS_FENCING LOAD_MS`. The environment
//! variable `STANDIN_PORT` sets the port; by default a free port is used.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::System;
use almondbank_standin::engine::{Config, Engine};
use almondbank_standin::platform::Platform;
use almondbank_standin::runner::{Behaviour, Runner};
use almondbank_standin::service::Service;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let port = std::env::var("STANDIN_PORT").unwrap_or_else(|_| "0".to_owned());
    let loopback: SocketAddr = format!("127.0.0.1:{port}").parse()?;
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (kind, rest) = arguments
        .split_first()
        .ok_or("no kind given; expected platform, service or runner")?;
    let server = match (kind.as_str(), rest) {
        ("platform", vms) => Platform::new(vms.iter().cloned()).serve(loopback).await?,
        ("service", []) => Service::new().serve(loopback).await?,
        ("runner", [name, memory_bytes, checks_fencing, load_ms]) => {
            let config = Config {
                memory_bytes: memory_bytes.parse()?,
                checks_fencing: checks_fencing.parse()?,
                load_time: Duration::from_millis(load_ms.parse()?),
                cached: Vec::new(),
            };
            let nonce: u64 = rand::random();
            let engine = Engine::new(format!("{name}-{nonce:016x}"), config);
            let clock = Arc::new(System::new());
            let runner = Runner::new(name, engine, Behaviour::default(), clock);
            runner.serve(loopback).await?
        }
        _ => return Err("unknown kind or wrong arguments".into()),
    };
    println!("address={}", server.address);
    std::future::pending::<()>().await;
    Ok(())
}
