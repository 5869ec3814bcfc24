
// ----------------------------------------------------------------------------------------------------------- case 10

/// Connections that the clients without control hold, and the threads that serve them.
const CROWD: usize = 1_200;
const CROWD_THREADS: usize = 4;

/// Chunks of one byte that each of them sends at once, and the time between two such groups.
const CHUNKS_AT_ONCE: usize = 50;
const CHUNK_PAUSE: Duration = Duration::from_millis(200);

/// Time for which they send, before they stop just short of the end of their bodies and stay open.
const SENDING: Duration = Duration::from_secs(10);

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const SocketAddress, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Opens a connection from a loopback address of its own.
fn connect_from(source: [u8; 4], target: SocketAddr) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let address = |address: [u8; 4], port: u16| SocketAddress {
        family: 2,
        port: port.to_be_bytes(),
        address,
        zero: [0; 8],
    };
    // SAFETY: plain calls of the system with values that live long enough; the descriptor has one owner.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let (own, peer) = (address(source, 0), address([127, 0, 0, 1], target.port()));
        let is_connected =
            bind(descriptor, &own, 16) == 0 && connect(descriptor, &peer, 16) == 0;
        is_connected.then_some(stream)
    }
}

/// Many clients at one other address send chunked bodies in very small chunks, and stop just short of the end.
///
/// "What must hold: no process ends or hangs, each stays within the memory of its machine, and ordinary callers still
/// get answers."
fn case_10(record: &Recorder, is_trouble: bool) -> Option<bool> {
    let store = Store::start();
    let billing = listen(|stream| serve_plainly(stream, Duration::from_millis(30)));
    store.put("keyed.op", "config", &configuration(7, 2_941_641));
    store.put("keyed.servers", "i-b1", &entry("billing", billing, 6));
    let gateway = Gateway::start_with(&store, "edge-1", 88, 4_100);
    if !gateway.wait_ready() {
        return None;
    }
    let callers = gateway.callers;
    let first = send_request(callers, "GET", "/read/1", "before", 1_500, b"", Duration::from_secs(3));
    record.line(format!("ordinary request before: {first:?}"));
    if first.status != 200 {
        return None;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut crowd = Vec::new();
    if is_trouble {
        for thread_number in 0..CROWD_THREADS {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            crowd.push(thread::spawn(move || {
                run_crowd(callers, CROWD / CROWD_THREADS, thread_number, &record, &stop);
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut clients = Vec::new();
    for number in 0..ORDINARY_REQUESTS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("ordinary-{number}");
            let limit = Duration::from_millis(1_500);
            let outcome = if has_body(number) {
                send_request(callers, "POST", "/charge/1", &id, 1_500, &[b'x'; 600], limit)
            } else {
                send_request(callers, "GET", "/read/1", &id, 1_500, b"", limit)
            };
            record.line(format!("{id}: {outcome:?}"));
            outcome
        }));
        thread::sleep(ORDINARY_PAUSE);
    }
    let is_ready = gateway.is_ready(Duration::from_secs(1));
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let (with_body, without_body): (Vec<_>, Vec<_>) = outcomes
        .iter()
        .enumerate()
        .partition(|(number, _)| has_body(*number));
    let served = |part: &[(usize, &Outcome)]| {
        let served = part.iter().filter(|(_, outcome)| outcome.status == 200);
        served.count()
    };
    let (served_with, served_without) = (served(&with_body), served(&without_body));
    stop.store(true, Ordering::Relaxed);
    for thread in crowd {
        let _ = thread.join();
    }
    record.line(format!(
        "of {} ordinary requests without a body {served_without} were answered by the worker, of {} with a body \
         {served_with}; ready: {is_ready}",
        without_body.len(),
        with_body.len()
    ));
    // One answer in ten would be enough.
    Some(served_without * 10 >= without_body.len())
}

/// Returns whether an ordinary request has a body; every fourth one has.
fn has_body(number: usize) -> bool {
    number % 4 == 3
}

/// Holds a part of the crowd's connections until the case ends; one that is closed is opened again.
fn run_crowd(
    target: SocketAddr,
    count: usize,
    thread_number: usize,
    record: &Recorder,
    stop: &AtomicBool,
) {
    let group = b"1\r\nx\r\n".repeat(CHUNKS_AT_ONCE);
    let mut connections: Vec<Option<(TcpStream, Instant)>> = (0..count).map(|_| None).collect();
    let (mut opened, mut failed) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let turn = Instant::now();
        for (number, connection) in connections.iter_mut().enumerate() {
            if connection.is_none() {
                if let Some(stream) = connect_from([127, 0, 0, 2], target) {
                    let head = format!(
                        "POST /charge/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd-{thread_number}-{number}-{opened}\r\n\
                         Authorization: Bearer unknown\r\nTransfer-Encoding: chunked\r\n\r\n"
                    );
                    let _ = stream.set_nonblocking(true);
                    let mut stream = stream;
                    let _ = stream.write_all(head.as_bytes());
                    opened += 1;
                    *connection = Some((stream, Instant::now()));
                }
            }
            let Some((stream, since)) = connection else {
                continue;
            };
            let mut answer = [0; 512];
            let is_open = match stream.read(&mut answer) {
                Ok(_) => false,
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            };
            let is_sent = since.elapsed() >= SENDING || stream.write_all(&group).is_ok();
            if !is_open || !is_sent {
                failed += 1;
                *connection = None;
            }
        }
        thread::sleep(CHUNK_PAUSE.saturating_sub(turn.elapsed()));
    }
    let held = connections.iter().flatten().count();
    record.line(format!(
        "crowd {thread_number}: {opened} connections opened, {failed} ended, {held} held at the end"
    ));
}
