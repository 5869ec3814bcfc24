
// ----------------------------------------------------------------------------------------------------------- case 8

/// Interval at which workers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Number of entries that the other writer writes, one in every fourth heartbeat.
const FOREIGN_ENTRIES: u64 = 4;

/// Clients that send charges at the same time.
const CLIENTS: usize = 4;

/// Another writer writes an entry without `version` and `seq` under the id of a worker of one service, which names
/// another service.
///
/// "It names no worker to use; the others hold." ROUTE: a request is run by a service to which no configuration ever sent
/// allows it to go.
fn case_8(record: &Recorder, is_trouble: bool) -> Option<bool> {
    let store = Store::start();
    let foreign_runs = Arc::new(AtomicU64::new(0));
    let billing = listen(|stream| serve_plainly(stream, Duration::from_millis(30)));
    let archive = {
        let (record, foreign_runs) = (record.clone(), Arc::clone(&foreign_runs));
        listen(move |stream| serve_archive(stream, &record, &foreign_runs))
    };
    store.put("keyed.op", "config", &configuration(7, 2_941_641));
    store.put("keyed.servers", "i-b1", &entry_with("billing", billing, 1));
    store.put("keyed.servers", "i-a1", &entry_with("archive", archive, 1));
    let gateway = Gateway::start(&store, "edge-1", 260);
    if !gateway.wait_ready() {
        return None;
    }
    let beats = FOREIGN_ENTRIES * 4;
    let writer = {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            for beat in 0..beats {
                store.put("keyed.servers", "i-b1", &entry_with("billing", billing, 2 + beat));
                store.put("keyed.servers", "i-a1", &entry_with("archive", archive, 2 + beat));
                if is_trouble && beat % 4 == 1 {
                    let foreign = format!(
                        "{{\"service\":\"billing\",\"addr\":\"{archive}\",\"zone\":\"zone-a\",\"slots\":6,\
                         \"state\":\"ready\",\"cold_left_ms\":0,\"born\":1760000000000}}"
                    );
                    record.line(format!("another writer writes servers/i-a1: {foreign}"));
                    store.put("keyed.servers", "i-a1", &foreign);
                }
                thread::sleep(HEARTBEAT);
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, callers) = (record.clone(), gateway.callers);
            thread::spawn(move || charge_until(callers, client, HEARTBEAT * beats as u32, &record))
        })
        .collect();
    let (mut sent, mut failed) = (0, 0);
    for client in clients {
        let (of_client, failed_of_client) = client.join().ok()?;
        sent += of_client;
        failed += failed_of_client;
    }
    let _ = writer.join();
    let foreign_runs = foreign_runs.load(Ordering::SeqCst);
    record.line(format!(
        "{sent} requests of the service billing were sent, {failed} of them not answered with 200, {foreign_runs} were run \
         by the worker of the service archive"
    ));
    Some(foreign_runs == 0)
}

/// Sends charges one after the other; returns how many were sent, and how many were not answered with 200.
fn charge_until(callers: SocketAddr, client: usize, time: Duration, record: &Recorder) -> (u64, u64) {
    let started = Instant::now();
    let (mut sent, mut failed) = (0, 0);
    while started.elapsed() < time {
        let id = format!("charge-{client}-{sent}");
        let limit = Duration::from_secs(2);
        let outcome = send_request(callers, "POST", "/charge/1", &id, 1_500, b"one page", limit);
        sent += 1;
        if outcome.status != 200 {
            failed += 1;
            record.line(format!("{id}: {outcome:?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    (sent, failed)
}

fn entry_with(service: &str, address: SocketAddr, seq: u64) -> String {
    entry(service, address, 6).replace("\"seq\":4", &format!("\"seq\":{seq}"))
}

/// The worker i-a1 of the service archive: runs what names it, and turns away what names another one.
fn serve_archive(
    stream: TcpStream,
    record: &Recorder,
    foreign_runs: &AtomicU64,
) {
    let mut output = stream.try_clone().expect("a socket");
    let mut reader = BufReader::new(stream);
    while let Some(request) = Head::read(&mut reader) {
        let mut body = vec![0; request.length()];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let is_named = request.field("x-target-instance").is_none_or(|id| id == "i-a1");
        let answer = if is_named {
            foreign_runs.fetch_add(
                u64::from(!request.target().starts_with("/upload/")),
                Ordering::SeqCst,
            );
            record.line(format!(
                "worker i-a1 (service archive) runs {} {}",
                request.id(),
                request.start
            ));
            signed_answer(&request, "archived")
        } else {
            b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-a1\r\nContent-Length: 0\r\n\r\n".to_vec()
        };
        if output.write_all(&answer).is_err() {
            return;
        }
    }
}
