//! A part of prompts crashes each runner that begins to write an answer on it.
//!
//! In the variant `begun` the runner has written half an event, in two pieces, before it crashes.
//! In the variant `long` it has written the head of the answer only, and prompts have many parts.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::caller::{self, Call};
use crate::http::{self, Message};
use crate::runner::{Config, Runner, Work};
use crate::system::{self, Record, System};

const MODEL: &str = "m0";
const GATEWAYS: usize = 3;
const RUNNERS: usize = 9;
/// Shared parts of a long prompt between the first one and the one that may crash runners.
const LONG: usize = 34;
/// Part that crashes runners, and the one that sound requests have in its place.
const CRASHING: &str = "dead";
const SOUND: &str = "bead";
const PREFILL: Duration = Duration::from_millis(150);
const EVENTS: u64 = 7;
const EVENT_GAP: Duration = Duration::from_millis(60);
/// Time for which a runner that has crashed is down.
const DOWN: Duration = Duration::from_millis(2_500);
const DEADLINE: Duration = Duration::from_millis(4_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes from the last of which on the time of the rules counts.
const CRASHES: usize = 5;
/// Sound requests before and after that the rule needs.
const MIN_SOUND: usize = 20;
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
const CRASHING_INTERVAL: Duration = Duration::from_millis(600);
/// Time of sound requests only, and of both.
const BEFORE: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(40);

/// What the runners and the consumers have seen.
#[derive(Default)]
struct Seen {
    crashes: Vec<Duration>,
    /// Times at which requests with the crashing part reached runners.
    reached: Vec<Duration>,
    /// Sound requests: when the first try was sent, and whether a stream began.
    sound: Vec<(Duration, bool)>,
}

/// When a runner crashes, and how long prompts are.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Variant {
    Begun,
    Long,
}

pub fn play(record: &Arc<Record>, is_disturbed: bool, variant: Variant) -> Verdict {
    run(record, is_disturbed, variant).map_err(|error| error.to_string())?
}

fn work(record: Arc<Record>, seen: Arc<Mutex<Seen>>, is_disturbed: bool, variant: Variant) -> Arc<Work> {
    Arc::new(move |runner: &Runner, request: &Message, writer: &mut TcpStream| {
        let run = runner.run();
        let parts = request.header("almondbank-prompt-prefix");
        let is_crashing = parts.contains(CRASHING);
        let (id, at) = (request.header("almondbank-attempt-id"), record.elapsed());
        if is_crashing {
            record.line(&format!("request {id} with the part reaches {}", runner.config.id));
            seen.lock().unwrap().reached.push(at);
        }
        if http::is_closed_within(writer, PREFILL) || !runner.is_run(run) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        runner.stream_head(request, writer)?;
        for event in 1..=EVENTS {
            let crashes = is_crashing && is_disturbed;
            if !crashes || variant == Variant::Begun {
                http::write_chunk(writer, &format!("id: {event}\n"))?;
                http::write_chunk(writer, &format!("data: {}", runner.config.id))?;
            }
            if crashes {
                // What was written leaves the machine first.
                std::thread::sleep(Duration::from_millis(5));
                let is_first = runner.is_run(run);
                if is_first {
                    record.line(&format!("{} crashes on {id}", runner.config.id));
                    seen.lock().unwrap().crashes.push(record.elapsed());
                    let runner = runner.clone();
                    runner.crash();
                    std::thread::spawn(move || runner.restart(DOWN));
                }
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            http::write_chunk(writer, "\n\n")?;
            if http::is_closed_within(writer, EVENT_GAP) || !runner.is_run(run) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        http::write_chunk(writer, "")
    })
}

fn run(record: &Arc<Record>, is_disturbed: bool, variant: Variant) -> io::Result<Verdict> {
    let routes = [system::route("review", "stream", "engines", 4_000, 600, false)];
    let system = System::start(GATEWAYS, &system::desired(&routes, &[MODEL], 6.0))?;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let config = Config {
            id: format!("i-{number}"),
            service: "engines".to_owned(),
            software: "v1".to_owned(),
            models: vec![MODEL.to_owned()],
        };
        let work = work(Arc::clone(record), Arc::clone(&seen), is_disturbed, variant);
        runners.push(Runner::start(config, &system.host(100 + number), &system.store, work)?);
    }
    if !system.wait_ready() {
        return Ok(Err("the gateways are not ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(2));
    let entries: Vec<_> = system.gateways.iter().map(|gateway| gateway.callers).collect();
    let start = record.elapsed();
    let consumers = {
        let (record, seen, entries) = (Arc::clone(record), Arc::clone(&seen), entries.clone());
        std::thread::spawn(move || consume(&record, &seen, &entries, (SOUND, SOUND_INTERVAL), variant, start + LENGTH))
    };
    std::thread::sleep(BEFORE);
    record.line("requests with the part begin to come");
    consume(record, &seen, &entries, (CRASHING, CRASHING_INTERVAL), variant, start + LENGTH);
    let _ = consumers.join();
    std::thread::sleep(DEADLINE);
    let verdict = check(record, &seen.lock().unwrap(), start + BEFORE);
    Ok(verdict)
}

// Sends requests with `part` to the gateways in turn; no two are alike.
fn consume(
    record: &Arc<Record>,
    seen: &Arc<Mutex<Seen>>,
    entries: &[SocketAddr],
    (part, interval): (&'static str, Duration),
    variant: Variant,
    end: Duration,
) {
    let between = match variant {
        Variant::Begun => String::new(),
        Variant::Long => (0..LONG).map(|number| format!("{:x}:10,", 0xa000 + number)).collect(),
    };
    let mut number = 0;
    while record.elapsed() < end {
        number += 1;
        let entry = entries[number % entries.len()];
        let call = Call {
            path: format!("/review/{part}/{number}"),
            attempt: format!("{part}{number:05}"),
            model: MODEL.to_owned(),
            parts: format!("aaaa:60,{between}{part}:30,{:x}:10", 0xc0000 + number),
            deadline: DEADLINE,
            resumes: None,
        };
        let (record, seen) = (Arc::clone(record), Arc::clone(seen));
        std::thread::spawn(move || {
            let sent_at = record.elapsed();
            let got = caller::send(entry, &call);
            let (events, whole) = (got.events.len(), got.is_complete);
            record.line(&format!("{}: status {}, {events} events, complete {whole}", call.attempt, got.status));
            if part == SOUND {
                seen.lock().unwrap().sound.push((sent_at, events > 0));
            }
        });
        std::thread::sleep(interval);
    }
}

fn check(record: &Record, seen: &Seen, trouble: Duration) -> Verdict {
    let share = |from: Duration, to: Duration| {
        let sent = seen.sound.iter().filter(|(at, _)| (from..to).contains(at));
        let (mut all, mut begun) = (0, 0);
        for (_, has_begun) in sent {
            all += 1;
            begun += usize::from(*has_begun);
        }
        (begun, all)
    };
    let before = share(Duration::ZERO, trouble);
    record.line(&format!("sound requests that began before the trouble: {before:?}"));
    record.line(&format!("{} crashes", seen.crashes.len()));
    let Some(fifth) = seen.crashes.get(CRASHES - 1) else {
        record.line(&format!("sound requests that began since: {:?}", share(trouble, Duration::MAX)));
        return Ok(true);
    };
    let late = seen.reached.iter().filter(|at| **at > *fifth + CONTACT).count();
    record.line(&format!("{late} requests with the part reached runners later than {CONTACT:?} after the fifth crash"));
    let after = share(*fifth + 2 * CONTACT, Duration::MAX);
    record.line(&format!("sound requests that began from {:?} after it: {after:?}", 2 * CONTACT));
    if before.1 < MIN_SOUND || after.1 < MIN_SOUND {
        return Err("too few sound requests".to_owned());
    }
    // Less than half as large a share.
    Ok(2 * after.0 * before.1 >= before.0 * after.1)
}
