use std::collections::{BTreeMap, HashMap};

use super::{
    FaultCause, Manifest, ManifestFault,
    fault_list::FaultList,
    service_check::{MOST_NAME_CHARS, check_service, shorten},
};

/// The most services of one manifest.
pub const MOST_SERVICES: usize = 12_000;

/// Verifies every rule of a manifest that the shape of its JSON doesn't give.
///
/// # Errors
///
/// Fails with the broken rules in the order of the document, up to a bound.
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
    faults.check_count("services".to_owned(), count, MOST_SERVICES);
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
                name: shorten(&service.name, MOST_NAME_CHARS),
                first: format!("services[{first}].name"),
            };
            faults.push(format!("services[{index}].name"), cause);
        }
        if let Some(first) = addresses.insert(service.address, index) {
            let cause = FaultCause::ClashingAddress {
                address: service.address,
                first: format!("services[{first}].address"),
            };
            faults.push(format!("services[{index}].address"), cause);
        }
    }
}

impl Manifest {
    /// Returns the ports that several services share, with the services' names.
    ///
    /// Balancers that listen on one IP number tell services apart by port
    /// alone, so they can't serve such services.
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
