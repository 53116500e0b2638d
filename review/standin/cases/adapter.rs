//! Runners leave orders for adapters unanswered, and the requests that wait for them get no
//! answer by their time limit.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{self, Call};
use crate::http::{self, Message};
use crate::json::Json;
use crate::runner::{Config, Lateness, Runner, Work};
use crate::system::{self, Record, System};

const MODELS: [&str; 9] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"];
/// Runners that leave orders unanswered; each holds the model of its number.
const LATE: usize = 3;
const GATEWAYS: usize = 2;
const ADAPTERS: usize = 28;
/// Time limit of the route, and the longer one of its consumers.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Time after it by which the answer is due.
const SLACK: Duration = Duration::from_millis(500);
/// Spans in which orders are late, the time of each and the time from one to the next.
const SPANS: u32 = 5;
const SPAN: Duration = Duration::from_millis(5_500);
const PERIOD: Duration = Duration::from_millis(14_000);
/// Time after which a late order is carried out.
const LATENESS: Duration = Duration::from_millis(8_000);
/// Largest share of the orders that gets no answer.
const MAX_SHARE: f64 = 0.35;
const INTERVAL: Duration = Duration::from_millis(60);
/// Requests without an answer that break the rule, if they are over a quarter of those that
/// were unanswered at the limit.
const MIN_MISSING: usize = 8;
const MIN_PART: usize = 4;

#[derive(Default)]
struct Orders {
    late: AtomicUsize,
    all: AtomicUsize,
}

/// Time from a request to the end of its answer; of none, if it was cut off.
type Times = Arc<Mutex<Vec<Duration>>>;

pub fn play(record: &Arc<Record>, is_disturbed: bool) -> Verdict {
    run(record, is_disturbed).map_err(|error| error.to_string())?
}

fn answer(runner: &Runner, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
    if http::is_closed_within(writer, Duration::from_millis(50)) {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    runner.stream_head(request, writer)?;
    for event in 1..=3 {
        http::write_chunk(writer, &format!("id: {event}\ndata: event {event}\n\n"))?;
    }
    http::write_chunk(writer, "")
}

fn run(record: &Arc<Record>, is_disturbed: bool) -> io::Result<Verdict> {
    let routes = [system::route("review", "stream", "engines", 4_000, 600, false)];
    let system = System::start(GATEWAYS, &system::desired(&routes, &MODELS, 6.0))?;
    let orders: Arc<Orders> = Arc::default();
    let start = Instant::now() + Duration::from_secs(8);
    let work: Arc<Work> = Arc::new(answer);
    let mut runners = Vec::new();
    for (number, model) in MODELS.into_iter().enumerate() {
        let config = Config {
            id: format!("i-{number}"),
            service: "engines".to_owned(),
            software: "v1".to_owned(),
            models: vec![model.to_owned()],
        };
        let (orders, record) = (Arc::clone(&orders), Arc::clone(record));
        let lateness: Arc<Lateness> = Arc::new(move |runner: &Runner, order: &Json| {
            let since = Instant::now().checked_duration_since(start)?;
            let passed = since.as_millis() % PERIOD.as_millis();
            if passed >= SPAN.as_millis() || !is_disturbed {
                return None;
            }
            let all = 1 + orders.all.fetch_add(1, Ordering::SeqCst);
            let late = 1 + orders.late.load(Ordering::SeqCst);
            let is_late = number < LATE
                && !order.get("adapter").text().is_empty()
                && late as f64 <= MAX_SHARE * all as f64;
            if is_late {
                orders.late.fetch_add(1, Ordering::SeqCst);
                let (what, adapter) = (order.get("operation").text(), order.get("adapter").text());
                record.line(&format!("{} leaves an order unanswered: {what} {adapter}", runner.config.id));
            }
            is_late.then_some(LATENESS)
        });
        let host = system.host(100 + number);
        let work = Arc::clone(&work);
        runners.push(Runner::start_late(config, &host, &system.store, work, Some(lateness))?);
    }
    if !system.wait_ready() {
        return Ok(Err("the gateways are not ready".to_owned()));
    }
    std::thread::sleep(start.saturating_duration_since(Instant::now() + Duration::from_secs(2)));
    record.line("requests begin");
    let times: Times = Arc::default();
    let mut requests = Vec::new();
    let mut number = 0;
    while Instant::now() < start + PERIOD * SPANS {
        number += 1;
        // Each gateway gets requests for each model.
        let entry = system.gateways[number / MODELS.len() % GATEWAYS].callers;
        let (record, times) = (Arc::clone(record), Arc::clone(&times));
        requests.push(std::thread::spawn(move || send(&record, &times, entry, number)));
        std::thread::sleep(INTERVAL);
    }
    for request in requests {
        let _ = request.join();
    }
    let (late, all) = (orders.late.load(Ordering::SeqCst), orders.all.load(Ordering::SeqCst));
    record.line(&format!("{late} of {all} orders in the spans got no answer"));
    let verdict = check(record, &times.lock().unwrap());
    Ok(verdict)
}

// Sends a request for a model with one of its adapters, and waits for its answer.
fn send(record: &Record, times: &Times, entry: SocketAddr, number: usize) {
    let model = MODELS[number % MODELS.len()];
    let adapter = number / MODELS.len() % ADAPTERS + 1;
    let call = Call {
        path: format!("/review/{number}"),
        attempt: format!("a{number:05}"),
        model: format!("{model}/a{adapter}"),
        parts: format!("aaaa:60,{:x}:40", 0xb0000 + number),
        deadline: DEADLINE,
        resumes: None,
    };
    let sent_at = Instant::now();
    let got = caller::send(entry, &call);
    let time = sent_at.elapsed();
    times.lock().unwrap().push(time);
    if time > Duration::from_secs(1) {
        record.line(&format!(
            "{} for {}: status {} after {} ms", call.attempt, call.model, got.status, time.as_millis()
        ));
    }
}

fn check(record: &Record, times: &[Duration]) -> Verdict {
    let unanswered = times.iter().filter(|time| **time > TIMEOUT).count();
    let missing = times.iter().filter(|time| **time > TIMEOUT + SLACK).count();
    record.line(&format!(
        "{} requests; {unanswered} had no answer at their time limit, {missing} of them none {SLACK:?} later",
        times.len()
    ));
    Ok(missing < MIN_MISSING || MIN_PART * missing <= unanswered)
}
