//! Clients that the operators do not control name models that do not exist, each request
//! another one. Every request is inside the limits of the desired state, and each is refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::cases::memory::{self, Scene};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::system::{self, Options, Vm};

/// Memory of a VM, as on `guild-match`.
const MEMORY_MB: u64 = 260;
const MODEL: &str = "known";
/// Requests of the clients that nobody controls, each with a name of this length. Their heads
/// stay below `maxHeaderBytes`.
const REQUESTS: usize = 15_000;
const NAME_BYTES: usize = 15_000;
const CLIENTS: usize = 4;
/// Time between two requests of one of them.
const PAUSE: Duration = Duration::from_millis(8);
const MAX_TIME: Duration = Duration::from_secs(80);

pub fn run(directory: &Path, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let store = Store::start()?;
    store.put("op", "config", &memory::document(&[MODEL]));
    memory::start_runners(&store, &[MODEL], record)?;
    let options = Options {
        memory_mb: MEMORY_MB,
        ..Options::default()
    };
    let vms = Vm::start_all(3, directory, &store, options)?;
    if !system::wait_ready(&vms, record) {
        return Ok(Outcome::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(4));

    let callers: Vec<_> = vms.iter().map(|vm| vm.callers).collect();
    let scene = Scene::start(vms, MEMORY_MB, record);
    let sent = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (callers, sent) = (callers.clone(), Arc::clone(&sent));
            thread::spawn(move || pair(number, &callers, &sent, has_trouble, began))
        })
        .collect();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for client in clients {
        for (status, count) in client.join().unwrap_or_default() {
            *statuses.entry(status).or_default() += count;
        }
    }
    record.say(&format!(
        "requests of the other clients, by status (0: no answer): {statuses:?}"
    ));
    thread::sleep(Duration::from_secs(3));
    Ok(scene.finish())
}

// A client that nobody controls. Without trouble, it names the model that exists and sends the
// same number of bytes in another header.
fn pair(
    number: usize,
    callers: &[SocketAddr],
    sent: &AtomicUsize,
    has_trouble: bool,
    began: Instant,
) -> BTreeMap<u16, usize> {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let mut at = number;
    while sent.load(Ordering::Relaxed) < REQUESTS && began.elapsed() < MAX_TIME {
        at += 1;
        let address = callers[at % callers.len()];
        let Ok(mut connection) = Connection::open(address, Duration::from_secs(4)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while began.elapsed() < MAX_TIME {
            let count = sent.fetch_add(1, Ordering::Relaxed);
            if count >= REQUESTS {
                break;
            }
            let name = format!("{count:08}-{}", "m".repeat(NAME_BYTES - 9));
            let mut request = memory::request("/pair/x", &format!("pair-{count}"), 4000);
            let mut add = |name: &str, value: &str| {
                request.headers.push((name.to_owned(), value.to_owned()));
            };
            if has_trouble {
                add("Almondbank-Model", &name);
            } else {
                add("Almondbank-Model", MODEL);
                add("X-Padding", &name);
            }
            add("Almondbank-Token-Usage", "100,10");
            let answer = connection
                .send(&request)
                .and_then(|()| connection.receive());
            let status = answer.as_ref().map_or(0, |response| response.status);
            *statuses.entry(status).or_default() += 1;
            thread::sleep(PAUSE);
            match answer {
                Ok(response) if !response.header("connection").eq_ignore_ascii_case("close") => {}
                _ => break,
            }
        }
    }
    statuses
}
