//! Load tool: open-loop arrivals, open streams and slow readers against a router and directly against an upstream.
//!
//! Both targets get the same load in alternating rounds of one run, so that a noisy machine disturbs both alike. Arrivals
//! follow a schedule and never wait for earlier responses, so that a stall of the target delays every request that falls
//! into it. The time of a request counts from its release by a timer of 1 ms resolution; how late the releases were is
//! reported beside it, because a tool that falls behind its schedule measures itself.

mod arrivals;
mod connection;
mod memory;
mod report;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches, Command};

use arrivals::{Background, Plan};
use report::{Report, TargetReport};

/// What the tool shall do.
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
            eprintln!("load: event loop: {error}");
            return ExitCode::FAILURE;
        }
    };
    let written = runtime.block_on(run(&options)).and_then(|report| {
        println!("{}", report.table());
        match &options.json {
            Some(path) => std::fs::write(path, report.json())
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
            let background = Background::start(
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
            run: String::new(),
            is_direct: false,
            model: text("model"),
            service: matches.get_one("service").cloned(),
            key: text("key"),
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
        .about("Sends load to a router and directly to an upstream, and compares them")
        .arg(address("direct", "Address of an upstream"))
        .arg(address("router", "Address of a router for callers"))
        .arg(Arg::new("model").long("model").default_value("quote-small"))
        .arg(
            Arg::new("service")
                .long("service")
                .help("Sends short requests to this plain service in place of the model"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .default_value("")
                .help("Bearer key"),
        )
        .arg(number("rate", "500", "Arrivals per second"))
        .arg(number("seconds", "5", "Length of one round"))
        .arg(number("rounds", "3", "Rounds for each target, in turn"))
        .arg(number("max-tokens", "4", "Tokens of one response"))
        .arg(number("streams", "0", "Streams that are open all the time"))
        .arg(number(
            "stream-tokens",
            "100000",
            "Tokens of an open stream",
        ))
        .arg(number(
            "slow-readers",
            "0",
            "Further streams that are read slowly",
        ))
        .arg(number("slow-bytes-per-s", "1024", "Rate of a slow reader"))
        .arg(number(
            "idle-streams",
            "0",
            "Streams by which memory is measured; needs --pid",
        ))
        .arg(
            Arg::new("pid")
                .long("pid")
                .value_parser(value_parser!(u32))
                .help("Process of the router, for its memory"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the figures to this file as JSON, beside the table"),
        )
}
