//! Any text is decoded or refused with the place of the fault, without a panic.

use proptest::prelude::*;

use super::{VALID_TEXT, valid_manifest};
use crate::{
    clock::SpanMillis,
    manifest::{Manifest, ManifestError, ManifestText, ServiceLimits, ServiceSpec, check_manifest},
};

#[test]
fn an_unknown_field_is_reported_with_line_and_column() {
    let text = VALID_TEXT.replace("\"logbook\"", "\"logbook\", \"adress\": 1");
    let error = ManifestText::new(text).parse().expect_err("unknown field");
    let ManifestError::Malformed {
        place,
        line,
        column,
        message,
    } = error
    else {
        panic!("expected a malformed document, got {error}");
    };
    assert_eq!(place, "services[1].adress");
    assert_eq!(line, 10);
    assert!(column > 1);
    assert!(message.contains("adress") && !message.contains(" at line "));
}

#[test]
fn a_duplicate_field_is_refused() {
    let text = VALID_TEXT.replacen("\"version\": 2", "\"version\": 2, \"version\": 3", 1);
    let error = ManifestText::new(text).parse();
    assert!(matches!(error, Err(ManifestError::Malformed { .. })));
}

fn any_service(index: usize) -> impl Strategy<Value = ServiceSpec> {
    let fields = (1..=1_000_u16, 1..=100_000_u32, 0..=10_000_u16, 0..=100_u8);
    fields.prop_map(move |(slots, connections, queue, retry_percent)| {
        let port = 1_000 + u16::try_from(index).expect("few services");
        ServiceSpec {
            name: format!("service-{index}"),
            address: format!("192.0.2.1:{port}").parse().expect("an address"),
            limits: ServiceLimits {
                slots,
                connections,
                queue,
            },
            deadline: SpanMillis::new(u64::from(connections)),
            retry_percent,
            rules: valid_manifest().services[0].rules.clone(),
        }
    })
}

fn any_manifest() -> impl Strategy<Value = Manifest> {
    let services =
        (0..5_usize).prop_flat_map(|count| (0..count).map(any_service).collect::<Vec<_>>());
    (any::<u32>(), services).prop_map(|(replaces, services)| Manifest {
        version: u64::from(replaces) + 1,
        replaces: u64::from(replaces),
        services,
    })
}

proptest! {
    #[test]
    fn any_text_is_decoded_or_refused(text in ".{0,200}") {
        let _ = ManifestText::new(text).parse();
    }

    #[test]
    fn a_damaged_document_is_decoded_or_refused(at in 0..VALID_TEXT.len(), byte in any::<u8>()) {
        let mut bytes = VALID_TEXT.as_bytes().to_vec();
        bytes[at] = byte;
        let _ = ManifestText::new(String::from_utf8_lossy(&bytes)).parse();
    }

    #[test]
    fn a_valid_manifest_round_trips(manifest in any_manifest()) {
        prop_assert_eq!(check_manifest(&manifest), Ok(()));
        let text = manifest.to_text().expect("plain data");
        let parsed = text.parse().expect("the same document");
        prop_assert_eq!(parsed.digest(), manifest.digest());
        prop_assert_eq!(parsed, manifest);
    }
}
