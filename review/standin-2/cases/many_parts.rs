//! Many requests at once wait for a model that is being loaded. The prompt of each consists of
//! many short parts, listed in a head that is inside the limits of the desired state.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::cases::memory::{self, Scene};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::system::{self, Options, Vm};

/// More models than the runner has room for.
const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];
/// Memory of a VM. With less than the 260 MB of `guild-match` a smaller crowd shows the fault;
/// other deployments have VMs of 120 MB.
const MEMORY_MB: u64 = 120;
/// Requests that wait at once, at one VM.
const REQUESTS: usize = 450;
/// Length of the list of parts; the heads stay below `maxHeaderBytes`.
const LIST_BYTES: usize = 15_000;

pub fn run(directory: &Path, has_trouble: bool, record: &Record) -> std::io::Result<Outcome> {
    let store = Store::start()?;
    store.put("op", "config", &memory::document(&MODELS));
    let engine = memory::start_runners(&store, &MODELS[..3], record)?;
    let options = Options {
        memory_mb: MEMORY_MB,
        ..Options::default()
    };
    let vms = Vm::start_all(3, directory, &store, options)?;
    if !system::wait_ready(&vms, record) {
        return Ok(Outcome::CouldNotRun);
    }
    // The leader loads the model that has no copy in place of another one, which is missing then.
    thread::sleep(Duration::from_secs(10));
    let address = vms[0].callers;
    let scene = Scene::start(vms, MEMORY_MB, record);
    thread::sleep(Duration::from_secs(2));
    let Some(missing) = engine.missing(&MODELS) else {
        record.say("no model is missing");
        return Ok(Outcome::CouldNotRun);
    };
    let parts = parts(has_trouble);
    let mut open = Vec::new();
    for number in 0..REQUESTS {
        let mut request = memory::request("/pair/x", &format!("pair-{number}"), 13_000);
        let mut add = |name: &str, value: &str| {
            request.headers.push((name.to_owned(), value.to_owned()));
        };
        add("Almondbank-Model", &missing);
        add("Almondbank-Token-Usage", "4000,10");
        add("Almondbank-Prompt-Prefix", &parts);
        let connection = Connection::open(address, Duration::from_secs(14));
        if let Ok(mut connection) = connection
            && connection.send(&request).is_ok()
        {
            open.push(connection);
        }
        thread::sleep(Duration::from_millis(2));
    }
    record.say(&format!(
        "{} requests sent with lists of {} bytes",
        open.len(),
        parts.len()
    ));
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for mut connection in open {
        let answer = connection.receive();
        let status = answer.map_or(0, |response| response.status);
        *statuses.entry(status).or_default() += 1;
    }
    record.say(&format!(
        "they were answered, by status (0: no answer): {statuses:?}"
    ));
    thread::sleep(Duration::from_secs(2));
    Ok(scene.finish())
}

// A prompt of many short parts; without trouble, of one part whose id is as long.
fn parts(has_trouble: bool) -> String {
    if !has_trouble {
        return format!("{}:4000", "a".repeat(LIST_BYTES - 5));
    }
    let mut list = String::new();
    for number in 0.. {
        let _ = write!(list, "{:x}:1,", number % 16);
        if list.len() >= LIST_BYTES {
            break;
        }
    }
    list.truncate(list.len() - 1);
    list
}
