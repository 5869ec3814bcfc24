//! Runs an in-memory stub of the platform: log, VM list and weight store.
//!
//! It prints its address as one JSON line, for example `{"address":"127.0.0.1:40123"}`, and serves until it is killed.

use clap::{value_parser, Arg, Command};
use monoio::net::TcpListener;

#[path = "../tests/common/platform_stub.rs"]
mod platform_stub;

use platform_stub::Options;

fn main() -> std::io::Result<()> {
    let matches = Command::new("stub_platform")
        .about("In-memory log, VM list and weight store; POST /fault injects faults")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to listen on")
                .default_value("127.0.0.1:0"),
        )
        .arg(
            Arg::new("retained-records")
                .long("retained-records")
                .help("Number of records that each stream retains")
                .value_parser(value_parser!(usize))
                .default_value("1000000"),
        )
        .arg(
            Arg::new("weights-per-second")
                .long("weights-per-second")
                .help("Number of reads that the weight store answers per second")
                .value_parser(value_parser!(f64))
                .default_value("2"),
        )
        .get_matches();
    let options = Options {
        retained_records: matches
            .get_one("retained-records")
            .copied()
            .unwrap_or(Options::default().retained_records),
        weights_per_second: matches
            .get_one("weights-per-second")
            .copied()
            .unwrap_or(Options::default().weights_per_second),
    };
    let listen = matches
        .get_one::<String>("listen")
        .map_or("127.0.0.1:0", String::as_str);
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?.to_string();
        println!("{}", serde_json::json!({ "address": address }));
        platform_stub::serve(listener, options).await;
        Ok(())
    })
}
