//! Requests that wait for a model hold all connections that a process accepts. Those of other
//! callers are closed unread, although the process says that it is ready.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::cases::memory;
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::system::{self, Options, Vm};

/// More models than the runner has room for.
const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];
/// Descriptors of a process. With fewer than the 4,100 of `guild-match` a smaller crowd shows the
/// fault: the program accepts 207 connections of callers with these, and 1,449 with those.
const MAX_FILES: u64 = 1_000;
const CROWD: usize = 240;
/// Other callers, each of which opens a new connection for each try.
const OTHERS: usize = 10;
/// Time for which a client of the crowd tries again.
const PATIENCE: Duration = Duration::from_secs(13);
const TRY_PAUSE: Duration = Duration::from_millis(200);
/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);

pub fn run(directory: &Path, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let store = Store::start()?;
    store.put("op", "config", &memory::document(&MODELS));
    let engine = memory::start_runners(&store, &MODELS[..3], record)?;
    let options = Options {
        max_files: MAX_FILES,
        ..Options::default()
    };
    let vms = Vm::start_all(3, directory, &store, options)?;
    if !system::wait_ready(&vms, record) {
        return Ok(Outcome::CouldNotRun);
    }
    // The leader loads the model that has no copy in place of another one, which is missing then.
    thread::sleep(Duration::from_secs(10));
    let Some(missing) = engine.missing(&MODELS) else {
        record.say("no model is missing");
        return Ok(Outcome::CouldNotRun);
    };
    let address = vms[0].callers;
    let stopped = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            let (stopped, record) = (Arc::clone(&stopped), record.clone());
            thread::spawn(move || {
                let mut tries = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    let attempt = format!("book-{number}-{}", tries.len());
                    let at = Instant::now();
                    let answer = Connection::open(address, Duration::from_millis(1500)).and_then(
                        |mut connection| {
                            connection.send(&memory::request("/book/x", &attempt, 1500))?;
                            connection.receive()
                        },
                    );
                    record.line(&match &answer {
                        Ok(response) => format!("{attempt} was answered: {}", response.status),
                        Err(error) => format!("{attempt} got no answer: {error}"),
                    });
                    tries.push((at, answer.is_ok()));
                    thread::sleep(TRY_PAUSE);
                }
                tries
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    // Without trouble, the crowd asks for a model that the runner holds.
    let held = MODELS.iter().find(|model| **model != missing);
    let model = if has_trouble {
        Some(missing.as_str())
    } else {
        held.copied()
    };
    let model = model.unwrap_or_default().to_owned();
    let crowd: Vec<_> = (0..CROWD)
        .map(|number| {
            let model = model.clone();
            thread::spawn(move || ask(number, address, &model))
        })
        .collect();
    let mut is_ready = true;
    for _ in 0..20 {
        is_ready &= vms[0].is_ready();
        thread::sleep(Duration::from_millis(200));
    }
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for client in crowd {
        let status = client.join().unwrap_or_default();
        *statuses.entry(status).or_default() += 1;
    }
    record.say(&format!(
        "the crowd was answered, by last status (0: no answer): {statuses:?}"
    ));
    thread::sleep(Duration::from_secs(2));
    stopped.store(true, Ordering::Relaxed);

    let mut tries: Vec<_> = others
        .into_iter()
        .flat_map(|other| other.join().unwrap_or_default())
        .collect();
    tries.sort_unstable();
    let taken = tries.iter().filter(|(_, is_taken)| *is_taken);
    let taken: Vec<_> = taken.map(|(at, _)| *at).collect();
    let gaps = taken.windows(2).map(|pair| pair[1].duration_since(pair[0]));
    let longest = gaps.max().unwrap_or_default();
    record.say(&format!(
        "connections of {OTHERS} other callers: {} of {} taken",
        taken.len(),
        tries.len()
    ));
    record.say(&format!(
        "longest time in which none was: {longest:?}; the process said all the while that it was ready: {is_ready}"
    ));
    if taken.len() < 2 {
        return Ok(Outcome::CouldNotRun);
    }
    Ok(if longest > CONTACT && is_ready {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

// One client of the crowd. It tries again if its connection is closed unread.
fn ask(number: usize, address: SocketAddr, model: &str) -> u16 {
    let began = Instant::now();
    let mut tries = 0;
    while began.elapsed() < PATIENCE {
        tries += 1;
        let attempt = format!("pair-{number}-{tries}");
        let mut request = memory::request("/pair/x", &attempt, 13_000);
        request
            .headers
            .push(("Almondbank-Model".to_owned(), model.to_owned()));
        request
            .headers
            .push(("Almondbank-Token-Usage".to_owned(), "100,10".to_owned()));
        let answer =
            Connection::open(address, Duration::from_secs(14)).and_then(|mut connection| {
                connection.send(&request)?;
                connection.receive()
            });
        if let Ok(response) = answer {
            return response.status;
        }
        thread::sleep(Duration::from_millis(20));
    }
    0
}
