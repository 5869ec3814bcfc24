//! Prometheus text exposition format.

use std::fmt::Write;

use super::{Latency, LatencySummary, MetricsSnapshot, SampleKind, METRIC_PREFIX};

/// Renders a snapshot; every metric has one `TYPE` line before its samples.
pub(super) fn render(snapshot: &MetricsSnapshot) -> String {
    let mut out = String::new();
    let mut previous = "";
    for sample in &snapshot.samples {
        let name = sample.name.replace('.', "_");
        let (suffix, kind) = match sample.kind {
            SampleKind::Counter => ("_total", "counter"),
            SampleKind::Gauge => ("", "gauge"),
        };
        if previous != sample.name {
            write_line(&mut out, format_args!("# TYPE {name}{suffix} {kind}"));
            previous = &sample.name;
        }
        match sample.tag.split_once(':') {
            Some((key, value)) => write_line(
                &mut out,
                format_args!(
                    "{name}{suffix}{{{key}=\"{}\"}} {}",
                    escape(value),
                    sample.value
                ),
            ),
            None => write_line(&mut out, format_args!("{name}{suffix} {}", sample.value)),
        }
    }
    render_summaries(&mut out, "class", &snapshot.classes);
    render_summaries(&mut out, "customer", &snapshot.customers);
    out
}

fn render_summaries(out: &mut String, label: &str, summaries: &[LatencySummary]) {
    for latency in Latency::ALL {
        let name = format!("{METRIC_PREFIX}_{label}_{}", latency.name());
        let mut is_first = true;
        for summary in summaries.iter().filter(|s| s.latency == latency.name()) {
            if is_first {
                write_line(out, format_args!("# TYPE {name} summary"));
                is_first = false;
            }
            render_summary(out, &name, label, summary);
        }
    }
}

fn render_summary(out: &mut String, name: &str, label: &str, summary: &LatencySummary) {
    let of = escape(&summary.of);
    for (quantile, ms) in [
        ("0.5", summary.p50_ms),
        ("0.95", summary.p95_ms),
        ("0.99", summary.p99_ms),
    ] {
        write_line(
            out,
            format_args!("{name}{{{label}=\"{of}\",quantile=\"{quantile}\"}} {ms}"),
        );
    }
    write_line(
        out,
        format_args!("{name}_sum{{{label}=\"{of}\"}} {}", summary.sum_ms),
    );
    write_line(
        out,
        format_args!("{name}_count{{{label}=\"{of}\"}} {}", summary.count),
    );
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

fn write_line(out: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{arguments}");
}
