use std::collections::{BTreeMap, HashMap};

use super::{
    FaultCause, Manifest, ManifestFault,
    common_check::{MAX_NAME_CHARS, truncate},
    fault_list::FaultList,
    service_check::check_service,
};

/// The maximum number of services in a manifest.
pub const MAX_SERVICES: usize = 12_000;

/// Validates the values of a decoded manifest.
///
/// # Errors
///
/// Fails with the faults found, up to a limit.
pub fn check_manifest(manifest: &Manifest) -> Result<(), Vec<ManifestFault>> {
    let mut faults = FaultList::default();
    if manifest.version <= manifest.replaces {
        let cause = FaultCause::VersionOrder {
            version: manifest.version,
            replaces: manifest.replaces,
        };
        faults.push("version".to_owned(), cause);
    }
    let count = manifest.services.len();
    faults.check_count("services".to_owned(), count, MAX_SERVICES);
    check_unique(manifest, &mut faults);
    for (index, service) in manifest.services.iter().enumerate() {
        if faults.is_full() {
            break;
        }
        check_service(service, &format!("services[{index}]"), &mut faults);
    }
    faults.into_result()
}

fn check_unique(manifest: &Manifest, faults: &mut FaultList) {
    let mut names = HashMap::new();
    let mut addresses = HashMap::new();
    for (index, service) in manifest.services.iter().enumerate() {
        if let Some(first) = names.insert(service.name.as_str(), index) {
            let cause = FaultCause::DuplicateName {
                name: truncate(&service.name, MAX_NAME_CHARS),
                first: format!("services[{first}].name"),
            };
            faults.push(format!("services[{index}].name"), cause);
        }
        if let Some(first) = addresses.insert(service.address, index) {
            let cause = FaultCause::DuplicateAddress {
                address: service.address,
                first: format!("services[{first}].address"),
            };
            faults.push(format!("services[{index}].address"), cause);
        }
    }
}

impl Manifest {
    /// Returns the ports used by several services, with the services' names.
    ///
    /// A balancer that listens on one IP address distinguishes services by port
    /// alone, so it can't serve them.
    #[must_use]
    pub fn shared_ports(&self) -> BTreeMap<u16, Vec<&str>> {
        let mut ports: BTreeMap<u16, Vec<&str>> = BTreeMap::new();
        for service in &self.services {
            let names = ports.entry(service.address.port()).or_default();
            names.push(&service.name);
        }
        ports.retain(|_, names| names.len() > 1);
        ports
    }
}
