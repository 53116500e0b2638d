//! Consumers leave while their streams, which a runner broke off, wait for another runner.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::caller::{self, Call};
use crate::http::{self, Message};
use crate::runner::{Config, Runner, Work};
use crate::system::{self, Record, System};

const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
const GATEWAYS: usize = 2;
const STREAMS: usize = 40;
/// Consumers that leave, and when, after they have sent their request.
const LEAVING: usize = 12;
const LEAVE_AFTER: Duration = Duration::from_millis(1_500);
const PREFILL: Duration = Duration::from_millis(300);
const EVENTS: u64 = 8;
const EVENT_GAP: Duration = Duration::from_millis(300);
/// Time from the first request to the crash, and for which the runner is down.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(4_000);
const DEADLINE: Duration = Duration::from_millis(13_000);
/// Time after a consumer's leave in which its request may still reach a runner.
const SLACK: Duration = Duration::from_millis(500);
/// What the rule calls a few requests.
const FEW: usize = 5;

#[derive(Default)]
struct Seen {
    /// Requests that reached a runner: the attempt and the time.
    reached: Vec<(String, Duration)>,
    /// Consumers that left: the attempt and the time.
    left: Vec<(String, Duration)>,
    complete: usize,
}

pub fn play(record: &Arc<Record>, is_disturbed: bool) -> Verdict {
    run(record, is_disturbed).map_err(|error| error.to_string())?
}

fn work(record: Arc<Record>, seen: Arc<Mutex<Seen>>) -> Arc<Work> {
    Arc::new(move |runner: &Runner, request: &Message, writer: &mut TcpStream| {
        let run = runner.run();
        let id = request.header("almondbank-attempt-id").to_owned();
        let resumed: u64 = request.header("last-event-id").parse().unwrap_or(0);
        record.line(&format!("{id} reaches {}, to go on after event {resumed}", runner.config.id));
        seen.lock().unwrap().reached.push((id, record.elapsed()));
        if http::is_closed_within(writer, PREFILL) || !runner.is_run(run) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        runner.stream_head(request, writer)?;
        for event in resumed + 1..=EVENTS {
            http::write_chunk(writer, &format!("id: {event}\ndata: by {}\n\n", runner.config.id))?;
            if http::is_closed_within(writer, EVENT_GAP) || !runner.is_run(run) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        http::write_chunk(writer, "")
    })
}

fn run(record: &Arc<Record>, is_disturbed: bool) -> io::Result<Verdict> {
    let routes = [system::route("review", "stream", "engines", 13_000, 4_000, true)];
    let system = System::start(GATEWAYS, &system::desired(&routes, &MODELS, 6.0))?;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut runners = Vec::new();
    for (number, model) in MODELS.into_iter().enumerate() {
        let config = Config {
            id: format!("i-{number}"),
            service: "engines".to_owned(),
            software: "v1".to_owned(),
            models: vec![model.to_owned()],
        };
        let work = work(Arc::clone(record), Arc::clone(&seen));
        runners.push(Runner::start(config, &system.host(100 + number), &system.store, work)?);
    }
    if !system.wait_ready() {
        return Ok(Err("the gateways are not ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(2));
    record.line("streams begin");
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let entry = system.gateways[number % GATEWAYS].callers;
            let (record, seen) = (Arc::clone(record), Arc::clone(&seen));
            let leaves = number < LEAVING;
            std::thread::spawn(move || consume(&record, &seen, entry, number, leaves))
        })
        .collect();
    std::thread::sleep(CRASH_AFTER);
    if is_disturbed {
        record.line("i-0 crashes");
        runners[0].restart(DOWN)?;
        record.line("i-0 is back, empty");
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    std::thread::sleep(Duration::from_secs(1));
    let verdict = check(record, &seen.lock().unwrap());
    Ok(verdict)
}

fn consume(record: &Record, seen: &Mutex<Seen>, entry: SocketAddr, number: usize, leaves: bool) {
    let call = Call {
        path: format!("/review/{number}"),
        attempt: format!("s{number:02}"),
        model: MODELS[0].to_owned(),
        parts: format!("aaaa:60,{:x}:40", 0xb000 + number),
        deadline: DEADLINE,
        resumes: None,
    };
    if !leaves {
        let got = caller::send(entry, &call);
        let (events, whole) = (got.events.len(), got.is_complete);
        record.line(&format!("{}: status {}, {events} events, complete {whole}", call.attempt, got.status));
        seen.lock().unwrap().complete += usize::from(got.status == 200 && whole);
        return;
    }
    let Ok(stream) = caller::open(entry, &call) else { return };
    std::thread::sleep(LEAVE_AFTER);
    let _ = stream.shutdown(Shutdown::Both);
    drop(stream);
    record.line(&format!("the consumer of {} has closed its connection", call.attempt));
    seen.lock().unwrap().left.push((call.attempt, record.elapsed()));
}

fn check(record: &Record, seen: &Seen) -> Verdict {
    let reached_late = |(attempt, left): &&(String, Duration)| {
        let mut reached = seen.reached.iter();
        reached.any(|(of, at)| of == attempt && *at > *left + SLACK)
    };
    let late = seen.left.iter().filter(reached_late).count();
    record.line(&format!(
        "{} consumers left; requests of {late} of them reached a runner over {SLACK:?} later; \
         {} of the others got the whole stream",
        seen.left.len(), seen.complete
    ));
    if seen.complete == 0 {
        return Err("no stream is complete".to_owned());
    }
    Ok(late <= FEW)
}
