//! Traces: a compact text format and a generator.
//!
//! The first line names the format and the size of the fleet, then one line for each customer, then one line for each
//! request in the order of arrival: milliseconds since the one before, router, customer, reserved tokens, charged
//! tokens, duration in milliseconds, and `m` for a model request or `p` for a payment that may not be repeated.

use std::error::Error;
use std::fmt::Write;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const DAY_MS: u64 = 86_400_000;
const HEADER: &str = "monsoonfield-trace 1";

/// Routers of one data centre.
const DATA_CENTRE_ROUTERS: usize = 3;

/// Share of a customer's requests that enter at the data centre nearest to most of its callers, in percent.
const NEAREST_PERCENT: u32 = 60;

/// Share of requests that are payments, in percent.
const PAYMENT_PERCENT: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    pub name: String,
    pub prepaid_tokens: u64,
    pub spent_before_tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub at_ms: u64,
    pub router: usize,
    pub customer: usize,
    pub reserved_tokens: u64,
    pub charge_tokens: u64,
    pub duration_ms: u64,
    pub is_payment: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    pub customers: Vec<Customer>,
    pub requests: Vec<Request>,
}

/// Shape of one customer: requests a day, days that the prepaid total covers, and the share of the day's spend that
/// exceeds what is left at the start of the day, in percent.
struct Shape {
    name: &'static str,
    requests: u32,
    budget_days: u64,
    overdraw_percent: u64,
}

/// Ten customers of which three are large; two run out of budget during the day.
const SHAPES: [Shape; 10] = [
    shape("quotes", 30_000, 30, 0),
    shape("pickups", 24_000, 30, 0),
    shape("statements", 18_000, 30, 0),
    shape("team-4", 4_000, 7, 0),
    shape("team-5", 4_000, 7, 0),
    shape("team-6", 3_000, 30, 0),
    shape("team-7", 2_000, 7, 0),
    shape("team-8", 2_000, 3, 20),
    shape("team-9", 1_000, 7, 0),
    shape("team-10", 1_000, 3, 20),
];

const fn shape(
    name: &'static str,
    requests: u32,
    budget_days: u64,
    overdraw_percent: u64,
) -> Shape {
    Shape {
        name,
        requests,
        budget_days,
        overdraw_percent,
    }
}

impl Trace {
    /// Generates a day of traffic on `routers` routers; `scale` divides the number of requests.
    pub fn generate(seed: u64, routers: usize, scale: u32) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut trace = Self::default();
        for (index, shape) in SHAPES.iter().enumerate() {
            let mut spend_tokens = 0;
            for _ in 0..shape.requests / scale {
                let request = random_request(&mut rng, index, routers);
                spend_tokens += request.charge_tokens;
                trace.requests.push(request);
            }
            let prepaid_tokens = spend_tokens * shape.budget_days;
            let left_tokens = if shape.overdraw_percent > 0 {
                spend_tokens * (100 - shape.overdraw_percent) / 100
            } else {
                // A tenth of the prepaid total is left at the end of the day.
                spend_tokens + prepaid_tokens / 10
            };
            trace.customers.push(Customer {
                name: shape.name.into(),
                prepaid_tokens,
                spent_before_tokens: prepaid_tokens - left_tokens,
            });
        }
        trace
            .requests
            .sort_by_key(|r| (r.at_ms, r.customer, r.router));
        trace
    }

    /// Writes the trace as text.
    pub fn to_text(&self) -> String {
        let mut text = format!("{HEADER}\n");
        for customer in &self.customers {
            let _ = writeln!(
                text,
                "c {} {} {}",
                customer.name, customer.prepaid_tokens, customer.spent_before_tokens
            );
        }
        let mut before_ms = 0;
        for r in &self.requests {
            let kind = if r.is_payment { 'p' } else { 'm' };
            let _ = writeln!(
                text,
                "{} {} {} {} {} {} {kind}",
                r.at_ms - before_ms,
                r.router,
                r.customer,
                r.reserved_tokens,
                r.charge_tokens,
                r.duration_ms
            );
            before_ms = r.at_ms;
        }
        text
    }

    /// Reads a trace from text.
    pub fn from_text(text: &str) -> Result<Self, Box<dyn Error>> {
        let mut lines = text.lines();
        if lines.next() != Some(HEADER) {
            return Err(format!("the first line must be {HEADER:?}").into());
        }
        let mut trace = Self::default();
        let mut at_ms = 0;
        for line in lines {
            let fields: Vec<&str> = line.split(' ').collect();
            match fields[..] {
                ["c", name, prepaid, spent] => trace.customers.push(Customer {
                    name: name.into(),
                    prepaid_tokens: prepaid.parse()?,
                    spent_before_tokens: spent.parse()?,
                }),
                [delay, router, customer, reserved, charge, duration, kind] => {
                    at_ms += delay.parse::<u64>()?;
                    trace.requests.push(Request {
                        at_ms,
                        router: router.parse()?,
                        customer: customer.parse()?,
                        reserved_tokens: reserved.parse()?,
                        charge_tokens: charge.parse()?,
                        duration_ms: duration.parse()?,
                        is_payment: kind == "p",
                    });
                }
                _ => return Err(format!("not a trace line: {line:?}").into()),
            }
        }
        Ok(trace)
    }
}

fn random_request(rng: &mut Pcg64Mcg, customer: usize, routers: usize) -> Request {
    let is_payment = rng.random_range(0..100) < PAYMENT_PERCENT;
    let prompt_tokens = rng.random_range(50..600);
    let output_tokens = rng.random_range(50..900);
    Request {
        at_ms: random_time_ms(rng),
        router: random_router(rng, customer, routers),
        customer,
        reserved_tokens: if is_payment {
            10
        } else {
            prompt_tokens + 1_000
        },
        charge_tokens: if is_payment {
            10
        } else {
            prompt_tokens + output_tokens
        },
        duration_ms: if is_payment { 500 } else { output_tokens * 30 },
        is_payment,
    }
}

fn random_router(rng: &mut Pcg64Mcg, customer: usize, routers: usize) -> usize {
    if rng.random_range(0..100) < NEAREST_PERCENT {
        let first = customer * DATA_CENTRE_ROUTERS % routers;
        return first + rng.random_range(0..DATA_CENTRE_ROUTERS);
    }
    rng.random_range(0..routers)
}

/// Draws a time of day; noon has three times the traffic of midnight.
fn random_time_ms(rng: &mut Pcg64Mcg) -> u64 {
    loop {
        let at_ms = rng.random_range(0..DAY_MS);
        let day_share = at_ms as f64 / DAY_MS as f64;
        let load = 2.0 - (day_share * std::f64::consts::TAU).cos();
        if rng.random_range(0.0..3.0) < load {
            return at_ms;
        }
    }
}
