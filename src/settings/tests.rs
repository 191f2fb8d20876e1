//! Tests of decoding settings.

use std::path::Path;

use serde::Deserialize;

use super::{SettingsError, parse_settings};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SampleSettings {
    #[expect(dead_code, reason = "only decoding is tested")]
    port: u16,
}

#[test]
fn the_error_of_an_unknown_field_has_its_name_and_line() {
    let error = parse_settings::<SampleSettings>("{\n \"prot\": 1}", Path::new("a.json"));
    let Err(SettingsError::Malformed { line, message, .. }) = error else {
        panic!("expected a malformed document, got {error:?}");
    };
    assert_eq!(line, 2);
    assert!(message.contains("prot"));
}

#[test]
fn trailing_text_after_the_document_is_rejected() {
    let error = parse_settings::<SampleSettings>("{\"port\": 1} x", Path::new("a.json"));
    assert!(matches!(error, Err(SettingsError::Malformed { .. })));
}
