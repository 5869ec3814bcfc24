//! The configuration in force and the choice of a route.
//!
//! A route is found by host and longest path prefix. Every prefix begins and ends with a slash, so the candidates of a
//! path are its own prefixes up to each slash, and the look-up takes one hash per path segment however many routes there
//! are.

use compact_str::CompactString;

use crate::collections::FastMap;

/// Position of a route in its [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteIndex(pub u32);

/// Position of a team in its [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamIndex(pub u32);

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySemantics {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of a caller.
    AtMostOnce,
    /// A stream that may continue at another upstream after its last event.
    Resumable,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host that the caller names.
    pub host: CompactString,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: CompactString,
    /// How often a request may run.
    pub retry_semantics: RetrySemantics,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time to the first byte of a response that is on time.
    pub target_latency_ms: u64,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<(CompactString, u32)>,
    /// Upstreams at which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a service by weight; `draw` is a uniform random number.
    pub fn choose_service(&self, draw: u32) -> Option<&CompactString> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut rest = u64::from(draw).checked_rem(total)?;
        for (service, weight) in &self.targets {
            match rest.checked_sub(u64::from(*weight)) {
                Some(next) => rest = next,
                None => return Some(service),
            }
        }
        None
    }
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name that upstreams register under.
    pub name: CompactString,
    /// Connections that one upstream accepts from all routers.
    pub max_connections: u32,
    /// Tokens in one event of a stream; `None` for plain services.
    pub event_tokens: Option<u64>,
}

/// A team with its keys and budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name that upstreams receive.
    pub name: CompactString,
    /// Bearer keys.
    pub api_keys: Vec<CompactString>,
    /// Rank that takes precedence over that of the route.
    pub priority: Option<u8>,
    /// Tokens that the team may consume; `None` without a limit.
    pub prepaid_tokens: Option<u64>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: u64,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time in which a head must be complete.
    pub head_timeout_ms: u64,
    /// Time for which a connection may wait for its next request.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A whole configuration as operators publish it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingConfiguration {
    /// Version; a configuration never replaces one with a higher version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; without any, requests carry no key.
    pub teams: Vec<Team>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Why a request has no team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// The request has no key or one that no team holds.
    UnknownKey,
}

/// A configuration with its indexes.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    definition: RoutingConfiguration,
    routes: FastMap<CompactString, FastMap<CompactString, RouteIndex>>,
    services: FastMap<CompactString, usize>,
    keys: FastMap<CompactString, TeamIndex>,
}

impl RoutingTable {
    /// Indexes a configuration.
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

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Returns the limits on callers.
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

    /// Returns a route.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.definition.routes[index.0 as usize]
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.definition.services.get(*index)
    }

    /// Returns a team.
    pub fn team(&self, index: TeamIndex) -> &Team {
        &self.definition.teams[index.0 as usize]
    }

    /// Returns the team that holds a key; `None` if the route or the configuration asks for no key.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is needed and the given one is not known.
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
