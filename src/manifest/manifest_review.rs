use super::{Manifest, ManifestFinding, ServiceSpec, TrafficRule};

/// Looks for parts of a valid manifest that have no effect or that control would refuse.
#[derive(Debug, Clone, Copy)]
pub struct ManifestReview<'a> {
    manifest: &'a Manifest,
    in_force: Option<u64>,
}

impl<'a> ManifestReview<'a> {
    /// Creates a review of a manifest that `check_manifest` accepts.
    #[must_use]
    pub fn new(manifest: &'a Manifest) -> Self {
        Self {
            manifest,
            in_force: None,
        }
    }

    /// Returns the review with the version in force to compare with.
    #[must_use]
    pub fn with_version_in_force(self, version: u64) -> Self {
        Self {
            in_force: Some(version),
            ..self
        }
    }

    /// Returns the findings: the versions', then those of rules in the manifest's order.
    #[must_use]
    pub fn findings(&self) -> Vec<ManifestFinding> {
        let mut findings = self.version_findings();
        for (index, service) in self.manifest.services.iter().enumerate() {
            findings.extend(shadowed_rules(service, index));
        }
        findings
    }

    fn version_findings(&self) -> Vec<ManifestFinding> {
        let (version, replaces) = (self.manifest.version, self.manifest.replaces);
        let mut findings = Vec::new();
        if let Some(in_force) = self.in_force {
            if version <= in_force {
                findings.push(ManifestFinding::VersionNotAbove { version, in_force });
            } else if replaces != in_force {
                findings.push(ManifestFinding::ReplacesOther { replaces, in_force });
            }
        }
        findings
    }
}

/// Finds rules that several earlier ones shadow together; one that shadows alone is a
/// fault, which `check_manifest` reports.
fn shadowed_rules(service: &ServiceSpec, index: usize) -> Vec<ManifestFinding> {
    let rules = service.rules.iter().enumerate();
    rules
        .filter_map(|(number, rule)| {
            let by = shadowing_rules(&service.rules[..number], rule)?;
            Some(ManifestFinding::ShadowedRule {
                place: format!("services[{index}].rules[{number}]"),
                rule: rule.name.clone(),
                by,
            })
        })
        .collect()
}

/// Returns the names of the earlier rules that match the methods of `rule`, unless one of
/// its methods is left.
fn shadowing_rules(earlier: &[TrafficRule], rule: &TrafficRule) -> Option<Vec<String>> {
    let mut names = Vec::new();
    for method in &rule.methods {
        let matching = earlier.iter().find(|earlier| {
            rule.path_prefix.starts_with(&earlier.path_prefix)
                && (earlier.methods.is_empty() || earlier.methods.contains(method))
        })?;
        if !names.contains(&matching.name) {
            names.push(matching.name.clone());
        }
    }
    (!names.is_empty()).then_some(names)
}
