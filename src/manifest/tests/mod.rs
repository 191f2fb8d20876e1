//! Tests of the manifest.

mod checking;
mod matching;
mod reviewing;
mod text;

use super::{Manifest, ManifestText};

/// A valid manifest with two services.
const VALID_TEXT: &str = r#"{
  "version": 2,
  "replaces": 1,
  "services": [
    {"name": "barge-control", "address": "192.0.2.10:443", "rules": [
      {"name": "stop", "methods": ["POST"], "path_prefix": "/stop", "priority": "urgent"},
      {"name": "put-plan", "methods": ["POST"], "path_prefix": "/plan", "idempotent": true},
      {"name": "rest", "path_prefix": "/"}
    ]},
    {"name": "logbook", "address": "192.0.2.11:443"}
  ]
}"#;

fn valid_manifest() -> Manifest {
    ManifestText::new(VALID_TEXT)
        .parse()
        .expect("the sample is valid")
}
