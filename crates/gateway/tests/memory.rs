//! Accounting of the memory that callers and runners take up, and who gives way.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use almondbank_gateway::call::{Block, Call};
use almondbank_gateway::memory::bodies::{Bodies, Failure, Reading};
use almondbank_gateway::memory::charge::Charge;
use almondbank_gateway::memory::connections::{Connection, Connections, Phase, Purpose, Timeouts};
use almondbank_gateway::memory::outlet::MAX_PIECE;
use almondbank_gateway::memory::part::Part;
use almondbank_gateway::memory::progress::Progress;
use almondbank_gateway::memory::resident::Resident;
use almondbank_gateway::memory::responses::Responses;
use almondbank_gateway::memory::{self, Budget, SMALL_BODY, machine};
use almondbank_gateway::prompt::{self, Parts};
use almondbank_gateway::tcp;
use almondbank_gateway::tenant::Credential;
use almondbank_port::clock;
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderValue;
use quickcheck::quickcheck;
use socket2::SockRef;
use tokio::net::TcpStream;

const CHUNK_BYTES: usize = 64 << 10;
static CHUNK: [u8; CHUNK_BYTES] = [b'x'; CHUNK_BYTES];
/// Memory that all responses share.
const RESPONSES_BYTES: usize = 32 << 20;
/// Response bodies that are read at once.
const RESPONSES: usize = 40;
const MEMORY: usize = 120 << 20;
const LARGE: usize = 4 << 20;
/// Memory of a long head.
const HEAD: usize = 80 << 10;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A body of equal chunks that come one at a time.
struct Chunks {
    left: usize,
    is_ready: bool,
    responses: Responses,
}

impl Chunks {
    fn new(count: usize, responses: &Responses) -> Self {
        Self {
            left: count,
            is_ready: false,
            responses: responses.clone(),
        }
    }
}

impl Body for Chunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let held = self.responses.held();
        assert!(held <= RESPONSES_BYTES, "{held} bytes");
        if self.left == 0 {
            return Poll::Ready(None);
        }
        self.is_ready = !self.is_ready;
        if self.is_ready {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.left -= 1;
        let chunk = Bytes::from_static(&CHUNK);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }
}

// Guards against an instance that runs out of memory, as it keeps the bodies of errors in case
// no other runner succeeds.
#[tokio::test]
async fn bodies_without_end_take_bounded_memory_in_all() {
    let responses = Responses::new(Part::new(RESPONSES_BYTES, RESPONSES_BYTES / 4 * 3));
    let mut reading = tokio::task::JoinSet::new();
    for _ in 0..RESPONSES {
        let body = Chunks::new(usize::MAX, &responses);
        let responses = responses.clone();
        reading.spawn(async move { responses.read(body).await.is_err() });
    }
    let small = responses.read(Chunks::new(4, &responses)).await;
    assert_eq!(small.unwrap().len(), 4 * CHUNK_BYTES);
    assert!(reading.join_all().await.into_iter().all(|failed| failed));
    assert_eq!(responses.held(), 0);
    let large = responses.read(Chunks::new(100, &responses)).await.unwrap();
    assert_eq!(large.len(), 100 * CHUNK_BYTES);
    assert!(responses.held() >= large.len());
    drop(large);
    assert_eq!(responses.held(), 0);
}

// Guards against parts that together are more than the process may use.
#[test]
fn the_parts_leave_room_for_fragmentation() {
    let parts = [
        memory::STATE_PERCENT,
        memory::CONNECTIONS_PERCENT,
        memory::SOCKETS_PERCENT,
        memory::REQUESTS_PERCENT,
        memory::RESPONSES_PERCENT,
    ];
    let sum: usize = parts.iter().sum();
    assert!(sum <= 90, "{sum}");
}

quickcheck! {
    // Guards against bytes that are counted twice or never given back when holdings grow, shrink,
    // fail and become large or small again.
    fn a_part_never_exceeds_its_size_and_gets_everything_back(steps: Vec<(u8, u16)>) -> bool {
        let part = Arc::new(Part::new(100_000, 75_000));
        let mut charges: Vec<_> = (0..8)
            .map(|_| Charge::new(Arc::clone(&part), 10_000))
            .collect();
        let mut overheads = 0;
        for (who, bytes) in steps {
            let charge = &mut charges[usize::from(who) % 8];
            let before = charge.bytes();
            if who < 128 {
                if !charge.grow_to(usize::from(bytes)) && charge.bytes() != before {
                    return false;
                }
            } else {
                charge.shrink_to(usize::from(bytes));
            }
            let overhead = usize::from(who == 7 && charges[0].take(0, 1_000)) * 1_000;
            overheads += overhead;
            let sum: usize = charges.iter().map(Charge::bytes).sum::<usize>() + overheads;
            let large = charges.iter().filter(|charge| charge.is_large());
            let large: usize = large.map(Charge::bytes).sum();
            let free = (75_000 - large).min(100_000 - sum);
            if part.held() != sum || sum > 100_000 || large > 75_000 || part.free_for_large() != free {
                return false;
            }
        }
        drop(charges);
        part.held() == 0 && part.free_for_large() == 75_000
    }

    // Guards against bodies that together hold more than their part, whoever gives way, and
    // against memory that is lost with a body that was evicted, given up or completed.
    fn bodies_never_hold_more_than_their_part(steps: Vec<(u8, u32)>) -> bool {
        let bodies = Arc::new(Bodies::new(Part::new(8 << 20, 6 << 20)));
        let mut reading: Vec<Option<Reading>> = (0..16).map(|_| None).collect();
        let mut complete = Vec::new();
        for (at, (who, bytes)) in steps.into_iter().enumerate() {
            let now = ms(100 * u64::try_from(at).unwrap());
            let slot = &mut reading[usize::from(who) % 16];
            if who >= 224 {
                *slot = None;
            } else if who >= 192 {
                let body = slot.take().and_then(|reading| reading.finish(now).ok());
                complete.extend(body);
            } else {
                let bytes = vec![0; usize::try_from(bytes).unwrap() % (1 << 20)];
                let body = slot.take().unwrap_or_else(|| bodies.begin(LARGE, 0, now));
                if body.append(&bytes, now).is_ok() {
                    *slot = Some(body);
                }
            }
            if bodies.held() > 8 << 20 {
                return false;
            }
            complete.truncate(3);
        }
        drop((reading, complete));
        bodies.held() == 0
    }
}

fn budget() -> Arc<Bodies> {
    Budget::new(MEMORY, 4_000).bodies
}

// Fills the room of large bodies with ones that stop just short of their end.
fn fill(bodies: &Arc<Bodies>, now: Duration) -> Vec<Reading> {
    let mut held = Vec::new();
    for _ in 0..60 {
        let reading = bodies.begin(LARGE, 0, now);
        if reading.append(&vec![0; LARGE - 4_000], now).is_ok() {
            held.push(reading);
        }
    }
    held
}

// Load: callers that stop just short of the end of large bodies. Guards against new large bodies
// that are refused as long as the others stay.
#[test]
fn stalled_bodies_give_way_to_a_new_large_one() {
    let bodies = budget();
    let stalled = fill(&bodies, ms(0));
    assert!(!bodies.admits(LARGE, ms(500)));
    assert!(bodies.admits(LARGE, ms(3_000)));
    let fresh = bodies.begin(LARGE, 0, ms(3_000));
    for piece in 0..64 {
        let now = ms(3_000 + piece);
        fresh.append(&CHUNK, now).unwrap();
    }
    assert_eq!(fresh.finish(ms(3_100)).unwrap().len(), LARGE);
    assert!(stalled.iter().any(Reading::is_evicted));
}

// Load: the same. Guards against usual bodies that are refused beside it.
#[test]
fn small_bodies_fit_beside_any_number_of_large_ones() {
    let bodies = budget();
    let _large = fill(&bodies, ms(0));
    let small: Vec<_> = (0..100)
        .map(|_| {
            let reading = bodies.begin(55_000, 0, ms(10));
            reading.append(&CHUNK[..55_000], ms(10)).unwrap();
            reading.finish(ms(10)).unwrap()
        })
        .collect();
    assert_eq!(small.len(), 100);
}

// Load: many small bodies that stop short of their end. Guards against a reserve that they fill.
#[test]
fn stalled_small_bodies_give_way_to_a_new_one() {
    let bodies = budget();
    let mut stalled = Vec::new();
    for _ in 0..2_000 {
        let reading = bodies.begin(SMALL_BODY, 0, ms(0));
        reading.append(&CHUNK[..SMALL_BODY - 100], ms(0)).unwrap();
        stalled.push(reading);
    }
    let fresh = bodies.begin(SMALL_BODY, 0, ms(2_500));
    for piece in CHUNK.chunks(1_000) {
        fresh.append(piece, ms(2_500)).unwrap();
    }
    assert!(fresh.finish(ms(2_500)).is_ok());
}

// Guards against a slow caller within the limits that is ended although memory is free.
#[test]
fn a_slow_body_is_read_while_memory_is_free() {
    let bodies = budget();
    let slow = bodies.begin(LARGE, 0, ms(0));
    for second in 0..60 {
        slow.append(b"x", ms(1_000 * second)).unwrap();
        let other = bodies.begin(LARGE, 0, ms(1_000 * second));
        other.append(&vec![0; LARGE], ms(1_000 * second)).unwrap();
        other.finish(ms(1_000 * second)).unwrap();
    }
    assert_eq!(slow.finish(ms(60_000)).unwrap().len(), 60);
}

// Load: large bodies that all arrive, one of them slowly. Guards against the wrong one ending.
#[test]
fn the_body_with_the_least_progress_gives_way() {
    let bodies = Arc::new(Bodies::new(Part::new(12 << 20, 9 << 20)));
    let readings: Vec<_> = (0..3).map(|_| bodies.begin(LARGE, 0, ms(0))).collect();
    let mut slow_ends = false;
    for step in 0..64 {
        let now = ms(50 * step);
        for reading in &readings[1..] {
            reading.append(&CHUNK, now).unwrap();
        }
        slow_ends |= readings[0].append(&CHUNK[..CHUNK_BYTES / 2], now).is_err();
    }
    assert!(slow_ends);
    assert!(readings[1..].iter().all(|reading| !reading.is_evicted()));
}

#[test]
fn a_body_that_was_evicted_is_not_completed() {
    let bodies = budget();
    let stalled = fill(&bodies, ms(0));
    let evicted = stalled.into_iter().find(Reading::is_evicted).unwrap();
    assert_eq!(evicted.append(b"x", ms(1)), Err(Failure::Slow));
    assert_eq!(evicted.finish(ms(1)).unwrap_err(), Failure::Slow);
}

// Load: the same requests with long heads. Guards against memory of heads that is not counted, by
// either way in which a body arrives.
#[tokio::test]
async fn heads_of_requests_are_counted_until_their_bodies_are_dropped() {
    let bodies = budget();
    let clock = clock::System::new();
    let empty = Announced {
        length: Some(0),
        pieces: Vec::new(),
    };
    let plain = bodies.read(empty, LARGE, 0, &clock).await.unwrap();
    let overhead = bodies.held();
    let in_pieces = Announced {
        length: None,
        pieces: vec![Bytes::from_static(b"x"); 2],
    };
    let long = bodies.read(in_pieces, LARGE, HEAD, &clock).await.unwrap();
    assert_eq!(bodies.held(), 2 * overhead + 2 + HEAD);
    drop((plain, long));
    let mut requests = Vec::new();
    loop {
        let empty = Announced {
            length: Some(0),
            pieces: Vec::new(),
        };
        match bodies.read(empty, LARGE, HEAD, &clock).await {
            Ok(body) => requests.push(body),
            Err(failure) => break assert_eq!(failure, Failure::Full),
        }
    }
    assert!(requests.len() * (HEAD + overhead) <= bodies.held());
    drop(requests);
    assert_eq!(bodies.held(), 0);
}

// Guards against a head whose many parts are counted as its text alone.
#[test]
fn the_parts_of_a_prompt_are_counted_with_the_head() {
    let parts = 3_000;
    let list = HeaderValue::from_str(&"a,".repeat(parts)).unwrap();
    let call = Call {
        attempt: "a".to_owned(),
        host: "h".to_owned(),
        path: "/".to_owned(),
        target: None,
        parts: Parts::new(list.clone(), next_part),
        prompt_tokens: 1,
        max_output_tokens: 1,
        has_token_usage: true,
        timeout: None,
        resume_after: None,
        resumes: None,
        handed_over_by: None,
        credential: Credential::Absent,
        tenant: None,
        software: None,
    };
    let request = Request::builder().header("prefix", list).body(()).unwrap();
    let (head, ()) = request.into_parts();
    let blocks = call.blocks();
    assert_eq!(blocks.len(), parts);
    let bytes = blocks.capacity() * size_of::<Block>() + 2 * parts;
    let counted = memory::head::bytes(&head, &call);
    assert!((bytes..bytes + 1_000).contains(&counted), "{counted}");
}

// Parts of one token each, listed by their ids.
fn next_part(list: &str) -> Option<(prompt::Part<'_>, &str)> {
    let (id, rest) = list.split_once(',')?;
    Some((prompt::Part { id, tokens: 1 }, rest))
}

// Load: requests whose callers do not read or whose runners do not respond. Guards against
// requests without a body that take any amount of memory together, and against a large body
// that keeps the last memory from them.
#[tokio::test]
async fn requests_without_a_body_are_counted() {
    let bodies = budget();
    let _large = fill(&bodies, ms(0));
    let clock = clock::System::new();
    let mut requests = Vec::new();
    let refused = loop {
        let empty = Announced {
            length: Some(0),
            pieces: Vec::new(),
        };
        match bodies.read(empty, LARGE, 0, &clock).await {
            Ok(body) => requests.push(body),
            Err(failure) => break failure,
        }
    };
    assert_eq!(refused, Failure::Full);
    assert!((300..1_000).contains(&requests.len()), "{}", requests.len());
    drop(requests);
    assert_eq!(bodies.held(), 0);
}

/// A body whose announced length may differ from what it sends.
struct Announced {
    length: Option<u64>,
    pieces: Vec<Bytes>,
}

impl Body for Announced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.pieces.pop().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

// Load: bodies far over the limit. Guards against reading more of them than the limit.
#[tokio::test]
async fn bodies_over_the_limit_are_not_read() {
    let bodies = budget();
    let clock = clock::System::new();
    let announced = Announced {
        length: Some(1 << 40),
        pieces: vec![Bytes::from_static(&CHUNK)],
    };
    let read = bodies.read(announced, LARGE, 0, &clock).await;
    assert_eq!(read, Err(Failure::TooLong));
    let chunked = Announced {
        length: None,
        pieces: vec![Bytes::from_static(&CHUNK); 65],
    };
    let read = bodies.read(chunked, LARGE, 0, &clock).await;
    assert_eq!(read, Err(Failure::TooLong));
    assert_eq!(bodies.held(), 0);
}

// Load: bodies in very small chunks. Guards against a cost by the number of chunks.
#[tokio::test]
async fn a_body_in_single_bytes_costs_its_size() {
    let bodies = budget();
    let pieces = vec![Bytes::from_static(b"x"); 100_000];
    let chunked = Announced {
        length: None,
        pieces,
    };
    let body = bodies.read(chunked, LARGE, 0, &clock::System::new()).await;
    assert_eq!(body.unwrap().len(), 100_000);
    assert_eq!(bodies.held(), 0);
}

#[test]
fn progress_is_that_of_the_last_seconds() {
    let mut progress = Progress::new(ms(0));
    progress.record(4 << 20, ms(0));
    assert!(!progress.is_stalled(ms(1_900)));
    assert!(progress.is_stalled(ms(2_000)));
    progress.record(4 << 10, ms(2_500));
    assert!(!progress.is_stalled(ms(2_600)));
}

// Load: callers that do not read. Guards against one caller that holds up the stream of another
// one, and against queues without a bound.
#[test]
fn a_stream_that_is_read_goes_on_beside_any_number_that_are_not() {
    let responses = Responses::new(Part::new(1 << 20, 768 << 10));
    let mut unread = Vec::new();
    for _ in 0..100 {
        let outlet = responses.outlet();
        while let Some(piece) = outlet.hold(&CHUNK[..MAX_PIECE]).now_or_never() {
            unread.push(piece);
        }
        unread.push(Bytes::new());
    }
    assert!(responses.held() <= 1 << 20);
    let outlet = responses.outlet();
    for _ in 0..100 {
        let piece = outlet.hold(&CHUNK[..MAX_PIECE]).now_or_never();
        assert_eq!(piece.expect("there should be room").len(), MAX_PIECE);
    }
    drop(unread);
    assert_eq!(responses.held(), 0);
}

fn connections(max_files: usize) -> Arc<Connections> {
    Arc::new(Connections::new(MEMORY, MEMORY, max_files))
}

// Load: more idle connections than the process may have descriptors. Guards against a new
// connection that is refused for them, and against the eviction of one that is used.
#[test]
fn the_connection_that_has_waited_longest_gives_way() {
    let connections = connections(400);
    let most = connections.most(Purpose::Callers);
    let admit = |now| connections.admit(Purpose::Callers, ms(now)).unwrap();
    let open: Vec<_> = (0..most)
        .map(|at| admit(u64::try_from(at).unwrap()))
        .collect();
    open[0].begin(Phase::Busy, ms(1_000));
    open[1].begin(Phase::Idle, ms(1_000));
    let mut fresh = Vec::new();
    for now in 0..10 {
        fresh.push(admit(2_000 + now));
    }
    assert!(!open[0].is_closed() && !open[1].is_closed());
    assert!(open[2..12].iter().all(Connection::is_closed));
    assert!(open[12..].iter().all(|connection| !connection.is_closed()));
    assert_eq!(connections.count(), most);
    drop((open, fresh));
    assert_eq!(connections.count(), 0);
}

// Load: as many requests as there may be connections. Guards against one that is cut off.
#[test]
fn a_connection_that_is_used_gives_way_only_if_its_caller_does_not_read() {
    let connections = connections(400);
    let most = connections.most(Purpose::Callers);
    let open: Vec<_> = (0..most)
        .map(|_| connections.admit(Purpose::Callers, ms(0)).unwrap())
        .collect();
    for connection in &open {
        connection.begin(Phase::Busy, ms(1));
    }
    assert!(connections.admit(Purpose::Callers, ms(5_000)).is_none());
    open[3].block(ms(4_000));
    assert!(connections.admit(Purpose::Callers, ms(5_000)).is_none());
    let fresh = connections.admit(Purpose::Callers, ms(6_000)).unwrap();
    fresh.begin(Phase::Busy, ms(6_000));
    assert!(open[3].is_closed());
    open[5].begin(Phase::Body, ms(6_000));
    open[6].block(ms(1));
    open[6].unblock();
    let _last = connections.admit(Purpose::Callers, ms(9_000)).unwrap();
    assert!(open[5].is_closed() && !open[6].is_closed());
}

// Load: callers that do not read. Guards against their buffers in the kernel, which grow with
// their number, and against a caller that is closed although it has just read.
#[test]
fn callers_that_do_not_read_are_closed_while_they_hold_too_much() {
    let connections = Arc::new(Connections::new(MEMORY, 1 << 20, 400));
    let open: Vec<_> = (0..20)
        .map(|_| connections.admit(Purpose::Callers, ms(0)).unwrap())
        .collect();
    for (connection, at) in open.iter().zip(1..) {
        connection.begin(Phase::Busy, ms(1));
        connection.block(ms(1_000 * at));
    }
    let closed = || {
        open.iter()
            .filter(|connection| connection.is_closed())
            .count()
    };
    connections.relieve(ms(4_000));
    assert_eq!(closed(), 2);
    connections.relieve(ms(60_000));
    connections.relieve(ms(60_000));
    assert!(open[..12].iter().all(Connection::is_closed));
    assert!(!open[12..].iter().any(Connection::is_closed));
    assert!(connections.held_in_sockets() > 1 << 20);
    drop(open);
    assert_eq!(connections.held_in_sockets(), 0);
}

// Guards against larger receive buffers that are counted twice, or not given back.
#[test]
fn larger_receive_buffers_take_at_most_half_of_the_part() {
    let connections = Arc::new(Connections::new(MEMORY, 1 << 20, 400));
    let open: Vec<_> = (0..30)
        .map(|_| connections.admit(Purpose::Callers, ms(0)).unwrap())
        .collect();
    let grown = || open.iter().filter(|connection| connection.grow()).count();
    assert_eq!((grown(), grown()), (10, 10));
    assert_eq!(connections.held_in_sockets(), 10 * (48 << 10));
    drop(open);
    assert_eq!(connections.held_in_sockets(), 0);
}

// Guards against a figure of another protocol, and a page of metrics that fails without one.
#[test]
fn pages_of_tcp_buffers_are_read() {
    let text = "sockets: used 9\nTCP: inuse 7 orphan 0 tw 16 alloc 7 mem 81\nUDP: inuse 1 mem 2\n";
    assert_eq!(machine::parse_tcp_pages(text), Some(81));
    assert_eq!(machine::parse_tcp_pages("TCP: inuse 7"), None);
    assert_eq!(machine::parse_tcp_pages(""), None);
}

// Guards against buffers that the kernel lets grow to tens of megabytes.
#[tokio::test]
async fn sockets_have_buffers_of_bounded_sizes() {
    let listener = tcp::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let time = ms(1_000);
    let opened = tcp::connect(address, time, time).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let check = |stream: &TcpStream, buffers: tcp::Buffers| {
        let socket = SockRef::from(stream);
        assert_eq!(socket.recv_buffer_size().unwrap(), 2 * buffers.receive);
        assert_eq!(socket.send_buffer_size().unwrap(), 2 * buffers.send);
    };
    check(&opened, tcp::OPENED);
    check(&accepted, tcp::ACCEPTED);
    tcp::resize(&accepted, tcp::GROWN);
    check(&accepted, tcp::GROWN);
    tcp::resize(&opened, tcp::LINK);
    check(&opened, tcp::LINK);
}

// Load: connections of callers. Guards against readiness checks that get none beside them.
#[test]
fn callers_leave_the_connections_of_other_listeners() {
    let connections = connections(400);
    let mut open = Vec::new();
    for _ in 0..1_000 {
        let connection = connections.admit(Purpose::Callers, ms(0));
        if let Some(connection) = connection {
            connection.begin(Phase::Busy, ms(0));
            open.push(connection);
        }
    }
    for purpose in [
        Purpose::Ready,
        Purpose::Directory,
        Purpose::Metrics,
        Purpose::Peers,
    ] {
        assert!(connections.admit(purpose, ms(0)).is_some(), "{purpose}");
    }
    assert!(connections.total() < 400);
}

// Guards against a head that gets only what is left of the idle time, and against idle
// connections that are closed before callers have given them up.
#[test]
fn a_head_has_its_time_from_its_first_byte() {
    let connections = connections(4_000);
    let timeouts = Timeouts {
        idle: ms(15_000),
        head: ms(3_000),
    };
    let idle = connections.admit(Purpose::Callers, ms(0)).unwrap();
    let head = connections.admit(Purpose::Callers, ms(0)).unwrap();
    let busy = connections.admit(Purpose::Callers, ms(0)).unwrap();
    busy.begin(Phase::Busy, ms(0));
    head.begin(Phase::Head, ms(14_000));
    connections.expire(timeouts, ms(14_900));
    assert!(!idle.is_closed());
    connections.expire(timeouts, ms(16_900));
    assert!(idle.is_closed() && !head.is_closed() && !busy.is_closed());
    connections.expire(timeouts, ms(17_100));
    assert!(head.is_closed() && !busy.is_closed());
}

#[test]
fn resident_memory_is_read_from_the_kernel() {
    let resident = Resident::read().expect("Linux tells it");
    assert!(resident.now > 0 && resident.now <= resident.peak);
    let status = "Name:\tx\nVmHWM:\t   2048 kB\nVmRSS:\t   1024 kB\n";
    let resident = Resident::parse(status).unwrap();
    assert_eq!((resident.now, resident.peak), (1 << 20, 2 << 20));
    assert!(resident.is_near(1 << 20) && !resident.is_near(2 << 20));
    assert_eq!(Resident::parse("VmRSS:\t1024 kB\n"), None);
}
