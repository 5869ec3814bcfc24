//! Configurations as the operator writes them.

/// One route.
pub struct Route<'a> {
    pub name: &'a str,
    pub path_prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// One service; `stride` is the number of tokens in an event of a model worker's stream.
pub struct Service<'a> {
    pub name: &'a str,
    pub max_conns: u32,
    pub stride: Option<u32>,
}

/// One tenant with its API key and budget.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub key: String,
    pub prepaid: u64,
}

impl Tenant {
    pub fn new(name: &str, prepaid: u64) -> Self {
        Self { name: name.into(), key: format!("key-of-{name}"), prepaid }
    }
}

pub const HOST: &str = "a.example";

/// Returns a configuration with the limits that `fleetbench wire` prints.
pub fn document(
    version: u64,
    routes: &[Route<'_>],
    services: &[Service<'_>],
    tenants: &[Tenant],
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"kind\":\"{}\",\
                 \"timeout_ms\":{},\"target_latency_ms\":600,\"priority\":1,\"service\":\"{}\",\
                 \"max_attempts\":{},\"public\":false,\"sticky\":false,\"resumable\":{},\"gap_aim_ms\":300}}",
                route.name,
                route.path_prefix,
                route.kind,
                route.timeout_ms,
                route.service,
                route.max_attempts,
                route.resumable
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            let engine = service.stride.map_or(String::new(), |stride| {
                format!(",\"engine\":{{\"slots\":64,\"kv_capacity\":589482,\"stride\":{stride}}}")
            });
            format!(
                "{{\"name\":\"{}\",\"health_path\":\"/healthz\",\"max_conns\":{},\"protocol\":\"h1\",\"tls\":false{engine}}}",
                service.name, service.max_conns
            )
        })
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|Tenant { name, key, prepaid }| {
            format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"prepaid\":{prepaid}}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
