//! All processes are restarted in turn, as for an update. Then, in a drill, the store is away for
//! a moment and comes back from a copy that was made before. The runners do not check fencing
//! tokens.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::{Connection, Request};
use crate::record::{Order, Record};
use crate::runner::{Config, Runner};
use crate::store::Store;
use crate::system::{self, Options, Vm};

const HOST: &str = "desk.example";
const RUNNERS: usize = 1;
const ADAPTERS: usize = 16;
/// Clients of each VM, which ask for the adapters in turn.
const CLIENTS: usize = 1;
const PAUSE: Duration = Duration::from_millis(10);
/// Time between two restarts, and time for which the store is away.
const GAP: Duration = Duration::from_millis(1500);
const AWAY: Duration = Duration::from_millis(900);
/// Orders that arrive within this time after the store is back do not count here (`thawMs`).
const THAW: Duration = Duration::from_millis(300);
const ROUNDS: usize = 7;
/// Stale orders that are printed.
const MAX_SAID: usize = 3;

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"ask\",\"host\":\"{HOST}\",\"prefix\":\"/ask/\",\
         \"kind\":\"idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":1,\
         \"service\":\"engines\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"engines\",\"healthPath\":\"/health\",\"maxConnections\":360,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":250000,\"weightsMb\":230000,\"adapterSlots\":8,\
         \"loadsPerS\":1.6,\"models\":[{{\"name\":\"m1\",\"weightsMb\":70000,\"loadTimeS\":6,\
         \"adapters\":{ADAPTERS},\"adapterMb\":10}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

pub fn run(directory: &Path, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let store = Store::start()?;
    store.put("op", "config", &document());
    for number in 1..=RUNNERS {
        let config = Config {
            id: format!("engine-{number}"),
            service: "engines".to_owned(),
            slots: 64,
            work: Duration::from_millis(5),
            models: vec!["m1".to_owned()],
            load_time: Duration::from_secs(6),
            checks_fencing: false,
        };
        Runner::start(config, &store, record)?;
    }
    let options = Options {
        checks_fencing: false,
        // The larger machines of this deployment.
        cpu_share: 0.5,
        ..Options::default()
    };
    let mut vms = Vm::start_all(3, directory, &store, options)?;
    if !system::wait_ready(&vms, record) {
        return Ok(Outcome::CouldNotRun);
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (place, vm) in vms.iter().enumerate() {
        for number in 0..CLIENTS {
            let (address, stopped, record) = (vm.callers, Arc::clone(&stopped), record.clone());
            let name = format!("ask-{place}-{number}");
            clients.push(thread::spawn(move || {
                ask(&name, address, &stopped, &record)
            }));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let mut outcome = Outcome::Held;
    for round in 1..=ROUNDS {
        let Some(leader) = record.orders().last().map(|order| order.holder.clone()) else {
            record.say("there were no orders");
            outcome = Outcome::CouldNotRun;
            break;
        };
        let copy = store.copy();
        record.say(&format!(
            "round {round}: {leader} leads; the store is copied"
        ));
        let copied = Instant::now();
        restart_all(&mut vms, &leader, record);
        thread::sleep(Duration::from_millis(700));
        let mut back = Instant::now();
        if has_trouble {
            store.leave();
            record.say("the store is away");
            thread::sleep(AWAY);
            store.come_back(&copy);
            back = Instant::now();
            record.say(&format!(
                "the store is back from a copy of {:.1} s ago",
                copied.elapsed().as_secs_f64()
            ));
            // What the operator wrote is written again; the runners write theirs themselves.
            store.put("op", "config", &document());
        }
        thread::sleep(Duration::from_secs(5));
        if has_stale_order(&record.orders(), back, record) {
            outcome = Outcome::Broken;
            break;
        }
    }
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let orders = record.orders();
    record.say(&format!("orders: {}", orders.len()));
    // Also without trouble, none may have an older token than the one before.
    if outcome == Outcome::Held
        && has_stale_order(&orders, Instant::now() - Duration::from_secs(600), record)
    {
        outcome = Outcome::Broken;
    }
    Ok(outcome)
}

// Restarts the processes one after the other, the one of the leader last.
fn restart_all(vms: &mut [Vm], leader: &str, record: &Record) {
    let mut order: Vec<_> = (0..vms.len()).collect();
    order.sort_by_key(|place| vms[*place].name == leader);
    let mut waiting = Vec::new();
    for place in order {
        record.line(&format!("SIGTERM to {}", vms[place].name));
        vms[place].terminate();
        waiting.push(place);
        let until = Instant::now() + GAP;
        while Instant::now() < until {
            start_again(vms, &mut waiting, record);
        }
    }
    while !waiting.is_empty() {
        start_again(vms, &mut waiting, record);
    }
}

// Starts the processes that have ended.
fn start_again(vms: &mut [Vm], waiting: &mut Vec<usize>, record: &Record) {
    waiting.retain(|place| {
        if !vms[*place].has_ended() {
            return true;
        }
        record.line(&format!("{} starts again", vms[*place].name));
        let _ = vms[*place].run();
        false
    });
    thread::sleep(Duration::from_millis(20));
}

// Whether a runner got an order with a lower fencing token after a higher one, later than
// `THAW` after the store is back.
fn has_stale_order(orders: &[Order], back: Instant, record: &Record) -> bool {
    let mut highest: BTreeMap<&str, &Order> = BTreeMap::new();
    let mut stale = 0;
    for order in orders {
        let former = highest.get(order.runner.as_str()).copied();
        if let Some(former) = former.filter(|former| order.fencing < former.fencing) {
            if order.at > back + THAW {
                stale += 1;
                if stale > MAX_SAID {
                    continue;
                }
                record.say(&format!(
                    "{} got an order of {} with token {}, {:.3} s after one of {} with token {}, and {:.3} s after the store was back",
                    order.runner,
                    order.holder,
                    order.fencing,
                    order.at.duration_since(former.at).as_secs_f64(),
                    former.holder,
                    former.fencing,
                    order.at.duration_since(back).as_secs_f64(),
                ));
            }
            continue;
        }
        highest.insert(&order.runner, order);
    }
    if stale > 0 {
        record.say(&format!(
            "orders with a lower token after a higher one: {stale}"
        ));
    }
    stale > 0
}

fn ask(name: &str, address: SocketAddr, stopped: &AtomicBool, record: &Record) {
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Ok(mut connection) = Connection::open(address, Duration::from_secs(3)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !stopped.load(Ordering::Relaxed) {
            count += 1;
            let attempt = format!("{name}-{count}");
            let headers = [
                ("Host", HOST.to_owned()),
                ("Almondbank-Attempt-Id", attempt.clone()),
                ("Almondbank-Deadline-Ms", "3000".to_owned()),
                (
                    "Almondbank-Model",
                    format!("m1/a{}", 1 + count * 7 % ADAPTERS),
                ),
                ("Almondbank-Token-Usage", "100,10".to_owned()),
            ];
            let request = Request {
                method: "POST".to_owned(),
                target: "/ask/x".to_owned(),
                headers: headers
                    .map(|(name, value)| (name.to_owned(), value))
                    .to_vec(),
                body: b"{}".to_vec(),
            };
            let answer = connection
                .send(&request)
                .and_then(|()| connection.receive());
            record.line(&match &answer {
                Ok(response) => format!("{attempt} was answered: {}", response.status),
                Err(error) => format!("{attempt} got no answer: {error}"),
            });
            thread::sleep(PAUSE);
            match answer {
                Ok(response) if !response.header("connection").eq_ignore_ascii_case("close") => {}
                _ => break,
            }
        }
    }
}
