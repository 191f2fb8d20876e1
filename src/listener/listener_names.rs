use super::ServiceTag;

/// The names and statements of a config that a manifest does not keep.
#[derive(Debug, Clone, PartialEq)]
pub struct ListenerNames {
    /// The names of the routes, in the order of the manifest.
    pub routes: Vec<String>,
    /// The services that the config lists.
    pub services: Vec<ServiceStatement>,
}

/// What a config states about a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceStatement {
    /// The service's name.
    pub name: String,
    /// How long a target is cold, in seconds; zero if not stated.
    pub cold_seconds: f64,
    /// The requests per second that a cold target bears; zero if not stated.
    pub cold_per_second: f64,
}

impl ListenerNames {
    /// Returns the name of a service; its tag if the config does not list it.
    pub(super) fn service(&self, tag: ServiceTag) -> String {
        let mut services = self.services.iter();
        services
            .find(|service| ServiceTag::of(&service.name) == tag)
            .map_or_else(|| tag.to_string(), |service| service.name.clone())
    }
}
