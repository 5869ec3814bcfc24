//! Traces of traffic: a compact text format and a generator.
//!
//! The first line has the name and version of the format. It is followed by one line per customer and one line per
//! request, in the order of arrival: milliseconds since the previous request, router, customer, reserved tokens,
//! charged tokens, duration in milliseconds, and `m` for a model request or `p` for a payment, which must not be
//! repeated.

use std::error::Error;
use std::fmt::Write;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const DAY_MS: u64 = 86_400_000;
const HEADER: &str = "monsoonfield-trace 1";

/// Number of routers in one data centre.
const ROUTERS_PER_DATA_CENTRE: usize = 3;

/// Share of a customer's requests that arrive at the data centre nearest to most of its callers, in percent.
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

/// Traffic profile of a customer: requests per day, days that the prepaid total covers, and the share of the day's
/// spending that exceeds the tokens remaining at the start of the day, in percent.
struct CustomerProfile {
    name: &'static str,
    requests: u32,
    budget_days: u64,
    overdraw_percent: u64,
}

/// Ten customers: three are large, and two run out of budget during the day.
const PROFILES: [CustomerProfile; 10] = [
    profile("quotes", 30_000, 30, 0),
    profile("pickups", 24_000, 30, 0),
    profile("statements", 18_000, 30, 0),
    profile("team-4", 4_000, 7, 0),
    profile("team-5", 4_000, 7, 0),
    profile("team-6", 3_000, 30, 0),
    profile("team-7", 2_000, 7, 0),
    profile("team-8", 2_000, 3, 20),
    profile("team-9", 1_000, 7, 0),
    profile("team-10", 1_000, 3, 20),
];

const fn profile(
    name: &'static str,
    requests: u32,
    budget_days: u64,
    overdraw_percent: u64,
) -> CustomerProfile {
    CustomerProfile {
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
        for (index, profile) in PROFILES.iter().enumerate() {
            let mut spend_tokens = 0;
            for _ in 0..profile.requests / scale {
                let request = random_request(&mut rng, index, routers);
                spend_tokens += request.charge_tokens;
                trace.requests.push(request);
            }
            let prepaid_tokens = spend_tokens * profile.budget_days;
            let remaining_tokens = if profile.overdraw_percent > 0 {
                spend_tokens * (100 - profile.overdraw_percent) / 100
            } else {
                // A tenth of the prepaid total remains at the end of the day.
                spend_tokens + prepaid_tokens / 10
            };
            trace.customers.push(Customer {
                name: profile.name.into(),
                prepaid_tokens,
                spent_before_tokens: prepaid_tokens - remaining_tokens,
            });
        }
        trace
            .requests
            .sort_by_key(|r| (r.at_ms, r.customer, r.router));
        trace
    }

    /// Encodes the trace as text.
    pub fn to_text(&self) -> String {
        let mut text = format!("{HEADER}\n");
        for customer in &self.customers {
            let _ = writeln!(
                text,
                "c {} {} {}",
                customer.name, customer.prepaid_tokens, customer.spent_before_tokens
            );
        }
        let mut previous_ms = 0;
        for r in &self.requests {
            let kind = if r.is_payment { 'p' } else { 'm' };
            let _ = writeln!(
                text,
                "{} {} {} {} {} {} {kind}",
                r.at_ms - previous_ms,
                r.router,
                r.customer,
                r.reserved_tokens,
                r.charge_tokens,
                r.duration_ms
            );
            previous_ms = r.at_ms;
        }
        text
    }

    /// Parses a trace from text.
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
                _ => return Err(format!("malformed trace line: {line:?}").into()),
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
        let first = customer * ROUTERS_PER_DATA_CENTRE % routers;
        return first + rng.random_range(0..ROUTERS_PER_DATA_CENTRE);
    }
    rng.random_range(0..routers)
}

/// Returns a random time of day; noon has three times the traffic of midnight.
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
