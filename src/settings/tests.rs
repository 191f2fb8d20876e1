//! Tests of decoding settings.

use std::path::Path;

use serde::Deserialize;

use super::{SettingsError, parse_settings};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SampleSettings {
    #[expect(dead_code, reason = "only the decoding is looked at")]
    port: u16,
}

#[test]
fn an_unknown_field_is_named_with_its_place() {
    let error = parse_settings::<SampleSettings>("{\n \"prot\": 1}", Path::new("a.json"));
    let Err(SettingsError::Malformed { line, message, .. }) = error else {
        panic!("expected a malformed document, got {error:?}");
    };
    assert_eq!(line, 2);
    assert!(message.contains("prot"));
}

#[test]
fn text_after_the_document_is_refused() {
    let error = parse_settings::<SampleSettings>("{\"port\": 1} x", Path::new("a.json"));
    assert!(matches!(error, Err(SettingsError::Malformed { .. })));
}
