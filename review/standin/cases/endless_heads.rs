//! A runner answers with interim heads without end. The gateways read them, and little else.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{self, Call};
use crate::http::{self, Message};
use crate::runner::{Config, Runner, Work};
use crate::system::{self, Record, System};

/// Each runner holds the model of its number. The first one is faulty.
const MODELS: [&str; 9] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"];
const GATEWAYS: usize = 2;
/// Bytes a second that the faulty runner sends, which the link of a machine carries.
const LINK_BYTES: f64 = 1e9 / 8.0;
const HEAD: &[u8] = b"HTTP/1.1 103 \r\n\r\n";
/// Heads that are written at a time.
const HEADS: usize = 3_600;
/// Time limit of the route, and the longer one of its consumers.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Time after the former by which the answer is due.
const SLACK: Duration = Duration::from_millis(500);
/// Time within which a sound runner's answer is whole, with room to spare.
const SOON: Duration = Duration::from_millis(600);
/// Requests without an answer that break the rule, if they are over a quarter of those that
/// were unanswered at the limit.
const MIN_MISSING: usize = 8;
const MIN_PART: usize = 4;
/// Time between two requests, and the requests between two readiness checks.
const INTERVAL: Duration = Duration::from_millis(65);
const CHECK_EACH: usize = 16;
/// Time of requests without the disruption, and of all.
const BEFORE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(30);

/// What a consumer saw of its request.
struct Seen {
    at: Duration,
    /// Whether the faulty runner alone holds its model.
    is_for_faulty: bool,
    is_served: bool,
    /// Time until the end of the answer, or until the consumer left.
    time: Duration,
}

pub fn play(record: &Arc<Record>, is_disturbed: bool) -> Verdict {
    run(record, is_disturbed).map_err(|error| error.to_string())?
}

/// Bytes that all connections of the faulty runner send together.
struct Link {
    sent: AtomicUsize,
    start: Instant,
}

impl Link {
    fn send(&self, writer: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        while self.sent.load(Ordering::SeqCst) as f64 > self.start.elapsed().as_secs_f64() * LINK_BYTES {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.sent.fetch_add(bytes.len(), Ordering::SeqCst);
        writer.write_all(bytes)
    }
}

fn answer(runner: &Runner, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
    if http::is_closed_within(writer, Duration::from_millis(100)) {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    runner.stream_head(request, writer)?;
    for event in 1..=5 {
        http::write_chunk(writer, &format!("id: {event}\ndata: event {event}\n\n"))?;
        if http::is_closed_within(writer, Duration::from_millis(40)) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    http::write_chunk(writer, "")
}

fn run(record: &Arc<Record>, is_disturbed: bool) -> io::Result<Verdict> {
    let routes = [system::route("review", "stream", "engines", 4_000, 600, false)];
    let system = System::start(GATEWAYS, &system::desired(&routes, &MODELS, 6.0))?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    let link = Arc::new(Link { sent: AtomicUsize::new(0), start: Instant::now() });
    let sound: Arc<Work> = Arc::new(answer);
    let (failing, of) = (Arc::clone(&is_faulty), Arc::clone(&link));
    let faulty: Arc<Work> = Arc::new(move |runner: &Runner, request, writer: &mut TcpStream| {
        if !failing.load(Ordering::SeqCst) {
            return answer(runner, request, writer);
        }
        let heads = HEAD.repeat(HEADS);
        loop {
            of.send(writer, &heads)?;
        }
    });
    let mut runners = Vec::new();
    for (number, model) in MODELS.into_iter().enumerate() {
        let config = Config {
            id: format!("i-{number}"),
            service: "engines".to_owned(),
            software: "v1".to_owned(),
            models: vec![model.to_owned()],
        };
        let work = if number == 0 { &faulty } else { &sound };
        let host = system.host(100 + number);
        runners.push(Runner::start(config, &host, &system.store, Arc::clone(work))?);
    }
    if !system.wait_ready() {
        return Ok(Err("the gateways are not ready".to_owned()));
    }
    std::thread::sleep(Duration::from_secs(2));
    let start = record.elapsed();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let mut requests = Vec::new();
    let (mut number, mut checked, mut failed) = (0, 0, 0);
    while record.elapsed() < start + LENGTH {
        number += 1;
        if is_disturbed && record.elapsed() > start + BEFORE && !is_faulty.swap(true, Ordering::SeqCst) {
            record.line("i-0 answers with interim heads without end");
        }
        let entry = system.gateways[number / MODELS.len() % GATEWAYS].callers;
        let (record, seen) = (Arc::clone(record), Arc::clone(&seen));
        requests.push(std::thread::spawn(move || send(&record, &seen, entry, number)));
        std::thread::sleep(INTERVAL);
        if number % CHECK_EACH == 0 {
            checked += 1;
            failed += usize::from(!system.gateways[number / CHECK_EACH % GATEWAYS].is_ready());
        }
    }
    for request in requests {
        let _ = request.join();
    }
    record.line(&format!("{failed} of {checked} readiness checks had no 200 within 0.7 s"));
    record.line(&format!("i-0 sent {} MB", link.sent.load(Ordering::SeqCst) >> 20));
    let verdict = check(record, &seen.lock().unwrap(), start + BEFORE);
    Ok(verdict)
}

fn send(record: &Record, seen: &Mutex<Vec<Seen>>, entry: SocketAddr, number: usize) {
    let model = MODELS[number % MODELS.len()];
    let call = Call {
        path: format!("/review/{number}"),
        attempt: format!("a{number:05}"),
        model: model.to_owned(),
        parts: format!("aaaa:60,{:x}:40", 0xb0000 + number),
        deadline: DEADLINE,
        resumes: None,
    };
    let at = record.elapsed();
    let got = caller::send(entry, &call);
    let time = record.elapsed().saturating_sub(at);
    let is_served = got.status == 200 && got.is_complete;
    let (status, after) = (got.status, time.as_millis());
    record.line(&format!("{} for {model}: status {status}, served {is_served}, {after} ms", call.attempt));
    let is_for_faulty = model == MODELS[0];
    seen.lock().unwrap().push(Seen { at, is_for_faulty, is_served, time });
}

fn check(record: &Record, seen: &[Seen], trouble: Duration) -> Verdict {
    // Requests for models of sound runners: all, served, and served or refused soon.
    let part = |name: &str, from: Duration, to: Duration| {
        let sent = seen.iter().filter(|seen| !seen.is_for_faulty && (from..to).contains(&seen.at));
        let sent: Vec<_> = sent.collect();
        let served = sent.iter().filter(|seen| seen.is_served).count();
        let soon = sent.iter().filter(|seen| seen.time <= SOON).count();
        let all = sent.len();
        record.line(&format!(
            "of {all} requests for models of sound runners {name} the trouble {served} were served, \
             {soon} answered within {SOON:?}"
        ));
        served
    };
    let served_before = part("before", Duration::ZERO, trouble);
    part("in", trouble, Duration::MAX);
    let unanswered = seen.iter().filter(|seen| seen.time > TIMEOUT).count();
    let missing = seen.iter().filter(|seen| seen.time > TIMEOUT + SLACK).count();
    record.line(&format!(
        "{unanswered} requests had no answer at their route's timeout, {missing} of them none {SLACK:?} later"
    ));
    if served_before == 0 {
        return Err("no request was served before the trouble".to_owned());
    }
    Ok(missing < MIN_MISSING || MIN_PART * missing <= unanswered)
}
