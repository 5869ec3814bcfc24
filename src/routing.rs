//! The current configuration, with look-up of routes, services and teams.
//!
//! A route is found by host and longest path prefix. Every prefix begins and ends with a slash, so the candidates for a
//! path are its own prefixes up to each slash, and a look-up takes one hash per path segment regardless of the number
//! of routes.

use compact_str::CompactString;

use crate::collections::FastMap;

/// Index of a route in its [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteIndex(pub u32);

/// Index of a team in its [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamIndex(pub u32);

/// How often a request of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySemantics {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of the caller.
    AtMostOnce,
    /// A stream that can be resumed at another upstream after its last event.
    Resumable,
}

/// A rule that maps requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host name in the request.
    pub host: CompactString,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: CompactString,
    /// How often a request may be executed.
    pub retry_semantics: RetrySemantics,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Longest time that a request may take.
    pub timeout_ms: u64,
    /// Time to the first byte within which a response counts as on time.
    pub target_latency_ms: u64,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route, with their weights.
    pub targets: Vec<(CompactString, u32)>,
    /// Largest number of upstreams at which one attempt of the caller may be executed.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a service at random in proportion to the weights; `draw` is a uniform random number.
    pub fn choose_service(&self, draw: u32) -> Option<&CompactString> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = u64::from(draw).checked_rem(total)?;
        for (service, weight) in &self.targets {
            match remaining.checked_sub(u64::from(*weight)) {
                Some(next) => remaining = next,
                None => return Some(service),
            }
        }
        None
    }
}

/// A service that is the target of routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name under which its upstreams register.
    pub name: CompactString,
    /// Connections that one upstream accepts from all routers together.
    pub max_connections: u32,
    /// Tokens in one event of a stream; `None` for plain services.
    pub event_tokens: Option<u64>,
    /// Time for which its upstreams are cold after their start; 0 if they never are.
    pub cold_start_ms: u64,
    /// Requests that a cold upstream takes from all routers together, in thousandths of a request a second.
    pub cold_requests_milli_per_s: u64,
}

/// A team with its API keys and budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name that is sent to upstreams.
    pub name: CompactString,
    /// API keys, sent as bearer tokens.
    pub api_keys: Vec<CompactString>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Tokens that the team may consume; `None` for no limit.
    pub prepaid_tokens: Option<u64>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: u64,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time within which a request head must be complete.
    pub head_timeout_ms: u64,
    /// Time for which a connection may be idle between requests.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration as operators publish it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingConfiguration {
    /// Version; a configuration never replaces one with a higher version.
    pub version: u64,
    /// Routes, found by host and path prefix.
    pub routes: Vec<Route>,
    /// Services that the routes name as targets.
    pub services: Vec<Service>,
    /// Teams; if there are none, requests need no key.
    pub teams: Vec<Team>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// Why a request could not be authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// The request has no key, or one that belongs to no team.
    UnknownKey,
}

/// A configuration with indexes for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    definition: RoutingConfiguration,
    routes: FastMap<CompactString, FastMap<CompactString, RouteIndex>>,
    services: FastMap<CompactString, usize>,
    keys: FastMap<CompactString, TeamIndex>,
}

impl RoutingTable {
    /// Builds the indexes of a configuration.
    pub fn new(definition: RoutingConfiguration) -> Self {
        let mut routes: FastMap<CompactString, FastMap<_, _>> = FastMap::default();
        for (index, route) in definition.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            let prefixes = routes.entry(host).or_default();
            prefixes.insert(route.path_prefix.clone(), RouteIndex(index as u32));
        }
        let services = definition.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let keys = definition.teams.iter().enumerate();
        let keys = keys
            .flat_map(|(index, team)| {
                let team_index = TeamIndex(index as u32);
                team.api_keys
                    .iter()
                    .map(move |key| (key.clone(), team_index))
            })
            .collect();
        Self {
            definition,
            routes,
            services,
            keys,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.definition.limits
    }

    /// Returns all teams.
    pub fn teams(&self) -> &[Team] {
        &self.definition.teams
    }

    /// Finds the route of a request by host and longest path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.routes.get(name) {
            Some(prefixes) => prefixes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        path.rmatch_indices('/')
            .find_map(|(end, _)| prefixes.get(&path[..=end]))
            .copied()
    }

    /// Returns the route at an index.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.definition.routes[index.0 as usize]
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.definition.services.get(*index)
    }

    /// Returns the team at an index.
    pub fn team(&self, index: TeamIndex) -> &Team {
        &self.definition.teams[index.0 as usize]
    }

    /// Returns the team that a key belongs to; `None` if there is no known key and none is required.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is required and there is none or it is unknown.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<TeamIndex>, AuthenticationError> {
        let team = key.and_then(|key| self.keys.get(key)).copied();
        if team.is_none() && !route.is_public && !self.definition.teams.is_empty() {
            return Err(AuthenticationError::UnknownKey);
        }
        Ok(team)
    }
}
