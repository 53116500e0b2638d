//! A stream that a runner broke off inside its first event goes on at a runner of another
//! software version, and is taken up later at the first version.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{self, Call, Got};
use crate::http;
use crate::runner::{Config, Runner, Work};
use crate::system::{self, Record, System};

/// The first one is at two runners at the start.
const MODELS: [&str; 3] = ["m0", "m1", "m2"];
const STREAMS: usize = 16;
/// Events of a whole stream.
const EVENTS: u64 = 8;
const EVENT_GAP: Duration = Duration::from_millis(450);
/// Time for which a runner that has crashed is down.
const DOWN: Duration = Duration::from_millis(2_000);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const MAX_TRIES: usize = 6;
/// Time of the runner until its first event.
const PREFILL: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(13_000);
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn play(record: &Record, is_disturbed: bool) -> Verdict {
    run(record, is_disturbed).map_err(|error| error.to_string())?
}

/// Runs a stream; its first event comes in two pieces.
fn work(record: Arc<AtomicUsize>) -> Arc<Work> {
    Arc::new(move |runner: &Runner, request, writer: &mut TcpStream| {
        let run = runner.run();
        let resumed: u64 = request.header("last-event-id").parse().unwrap_or(0);
        if http::is_closed_within(writer, PREFILL) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        runner.stream_head(request, writer)?;
        for event in resumed + 1..=EVENTS {
            http::write_chunk(writer, &format!("id: {event}\n"))?;
            if event == resumed + 1 {
                record.fetch_add(1, Ordering::SeqCst);
            }
            if http::is_closed_within(writer, EVENT_GAP) || !runner.is_run(run) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let config = &runner.config;
            let text = format!("data: {} event {event} by {}\n\n", config.software, config.id);
            http::write_chunk(writer, &text)?;
        }
        http::write_chunk(writer, "")
    })
}

fn run(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    let routes = [system::route("review", "stream", "engines", 13_000, 4_000, true)];
    let system = System::start(2, &system::desired(&routes, &MODELS, 6.0))?;
    let begun = Arc::new(AtomicUsize::new(0));
    let start = |number: usize, software: &str, model: &str| {
        let config = Config {
            id: format!("i-{number}"),
            service: "engines".to_owned(),
            software: software.to_owned(),
            models: vec![model.to_owned()],
        };
        Runner::start(config, &system.host(100 + number), &system.store, work(Arc::clone(&begun)))
    };
    let old = start(1, "v1", MODELS[0])?;
    let new = start(2, "v2", MODELS[0])?;
    let _others = [start(3, "v2", MODELS[1])?, start(4, "v2", MODELS[2])?];
    if !system.wait_ready() {
        return Ok(Err("the gateways are not ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(2));
    record.line("streams begin");
    let entry = system.gateways[0].callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| std::thread::spawn(move || take(entry, number)))
        .collect();
    let wait_for = |count| {
        for _ in 0..400 {
            if begun.load(Ordering::SeqCst) >= count {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for(STREAMS);
    std::thread::sleep(Duration::from_millis(100));
    if is_disturbed {
        record.line("i-1 (v1) crashes, inside the first event of its streams");
        old.restart(DOWN)?;
        record.line("i-1 is back, empty");
        std::thread::sleep(Duration::from_millis(400));
        record.line("i-2 (v2) crashes");
        new.restart(DOWN)?;
        record.line("i-2 is back, empty");
    }
    let streams: Vec<_> = streams.into_iter().map(|stream| stream.join().unwrap_or_default()).collect();
    Ok(check(record, &streams))
}

// A consumer, which takes its stream up until it is complete or its time is over.
fn take(entry: SocketAddr, number: usize) -> Vec<Got> {
    let end = Instant::now() + DEADLINE;
    let mut call = Call {
        path: "/review/stream".to_owned(),
        attempt: format!("s{number}-try0"),
        model: MODELS[0].to_owned(),
        parts: format!("aa:60,{:x}:40", 0xb000 + number),
        deadline: DEADLINE,
        resumes: None,
    };
    let mut tries: Vec<Got> = Vec::new();
    for attempt in 1..=MAX_TRIES {
        let got = caller::send(entry, &call);
        let is_over = got.status == 200 && got.is_complete;
        let pause = got.retry_after.unwrap_or(RETRY_PAUSE);
        if let Some((event, _)) = got.events.last() {
            let first = call.resumes.take().map_or(call.attempt.clone(), |(_, first)| first);
            call.resumes = Some((*event, first));
        }
        tries.push(got);
        let left = end.saturating_duration_since(Instant::now());
        if is_over || left.is_zero() {
            break;
        }
        std::thread::sleep(pause.min(left / 3));
        call.attempt = format!("s{number}-try{attempt}");
        call.deadline = end.saturating_duration_since(Instant::now());
    }
    tries
}

fn check(record: &Record, streams: &[Vec<Got>]) -> Verdict {
    let (mut mixed, mut complete) = (0, 0);
    for (number, tries) in streams.iter().enumerate() {
        let mut versions = std::collections::BTreeSet::new();
        for (attempt, got) in tries.iter().enumerate() {
            let texts: Vec<_> = got.events.iter().map(|(id, text)| format!("{id}={text}")).collect();
            record.line(&format!(
                "s{number}-try{attempt}: status {}, complete {}, events [{}]",
                got.status, got.is_complete, texts.join("; ")
            ));
            let software = |text: &String| text.split(' ').next().unwrap_or_default().to_owned();
            versions.extend(got.events.iter().map(|(_, text)| software(text)));
        }
        mixed += usize::from(versions.len() > 1);
        complete += usize::from(tries.last().is_some_and(|got| got.status == 200 && got.is_complete));
    }
    record.line(&format!("{mixed} streams hold events of two versions; {complete} are complete"));
    if streams.iter().flatten().all(|got| got.events.is_empty()) {
        return Err("no stream has begun".to_owned());
    }
    Ok(mixed <= ALLOWED)
}
