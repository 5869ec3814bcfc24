//! Load generator: sends open-loop requests, and keeps streams and slow readers open, against a router and an upstream.
//!
//! Both targets get the same load in alternating rounds of one run, so that noise on the machine affects both equally.
//! Requests are sent on a schedule and never wait for earlier responses, so that a stall of the target delays every
//! request that falls into it. Latencies are measured from the time at which a timer of 1 ms resolution releases the
//! request. The lateness of these releases is reported as well, because the latencies say little about the target
//! if the load generator falls behind its schedule.

mod arrivals;
mod connection;
mod memory;
mod report;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches, Command};

use arrivals::{BackgroundStreams, Plan};
use report::{Report, TargetReport};

/// Command-line options.
struct Options {
    direct: Option<SocketAddr>,
    router: Option<SocketAddr>,
    plan: Plan,
    rounds: u64,
    streams: u64,
    slow_readers: u64,
    slow_bytes_per_s: u64,
    idle_streams: u64,
    pid: Option<u32>,
    json: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options(&command().get_matches());
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    let mut runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("load: cannot start the event loop: {error}");
            return ExitCode::FAILURE;
        }
    };
    let written = runtime.block_on(run(&options)).and_then(|report| {
        println!("{}", report.render_table());
        match &options.json {
            Some(path) => std::fs::write(path, report.render_json())
                .map_err(|error| format!("{}: {error}", path.display())),
            None => Ok(()),
        }
    });
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("load: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    if let (Some(pid), Some(router), 1..) = (options.pid, options.router, options.idle_streams) {
        let plan = options.plan.for_target(router, false, "idle");
        let memory = memory::measure(pid, &plan, options.idle_streams).await?;
        report.memory = Some(memory);
    }
    let mut targets = Vec::new();
    for (name, address) in [("direct", options.direct), ("router", options.router)] {
        if let Some(address) = address {
            targets.push((address, TargetReport::new(name)));
        }
    }
    for round in 0..options.rounds {
        for (address, target) in &mut targets {
            let is_direct = options.direct == Some(*address);
            let name = format!("{}-{round}", target.name());
            let plan = options.plan.for_target(*address, is_direct, &name);
            let background = BackgroundStreams::start(
                &plan,
                options.streams,
                options.slow_readers,
                options.slow_bytes_per_s,
            )
            .await?;
            arrivals::run(&plan, target).await;
            background.stop(target).await;
        }
    }
    report.targets = targets.into_iter().map(|(_, target)| target).collect();
    Ok(report)
}

fn options(matches: &ArgMatches) -> Options {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    Options {
        direct: matches.get_one("direct").copied(),
        router: matches.get_one("router").copied(),
        plan: Plan {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            key_prefix: String::new(),
            is_direct: false,
            model: text("model"),
            service: matches.get_one("service").cloned(),
            api_key: text("key"),
            rate: number("rate").max(1),
            duration: Duration::from_secs(number("seconds")),
            max_tokens: number("max-tokens"),
            stream_tokens: number("stream-tokens"),
        },
        rounds: number("rounds"),
        streams: number("streams"),
        slow_readers: number("slow-readers"),
        slow_bytes_per_s: number("slow-bytes-per-s"),
        idle_streams: number("idle-streams"),
        pid: matches.get_one("pid").copied(),
        json: matches.get_one("json").cloned(),
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help(help)
    };
    Command::new("load")
        .about("Sends load to a router and directly to an upstream, and compares their latencies")
        .arg(address("direct", "Address of an upstream"))
        .arg(address(
            "router",
            "Address on which a router listens for callers",
        ))
        .arg(Arg::new("model").long("model").default_value("quote-small"))
        .arg(
            Arg::new("service")
                .long("service")
                .help("Sends short requests to this plain service instead of the model"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .default_value("")
                .help("Bearer key of the customer"),
        )
        .arg(number("rate", "500", "Arrivals per second"))
        .arg(number("seconds", "5", "Duration of one round"))
        .arg(number(
            "rounds",
            "3",
            "Rounds per target; the targets alternate",
        ))
        .arg(number("max-tokens", "4", "Tokens per response"))
        .arg(number(
            "streams",
            "0",
            "Streams that stay open during each round",
        ))
        .arg(number("stream-tokens", "100000", "Tokens per open stream"))
        .arg(number(
            "slow-readers",
            "0",
            "Additional streams that are read slowly",
        ))
        .arg(number("slow-bytes-per-s", "1024", "Rate of a slow reader"))
        .arg(number(
            "idle-streams",
            "0",
            "Open streams with which memory is measured; requires --pid",
        ))
        .arg(
            Arg::new("pid")
                .long("pid")
                .value_parser(value_parser!(u32))
                .help("Process ID of the router, to measure its memory"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also writes the results to this file as JSON"),
        )
}
