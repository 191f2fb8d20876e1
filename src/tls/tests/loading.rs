//! Tests that certificate files are validated on load and that certificate and
//! key are reloaded together.

use std::{fs, os::unix::fs::PermissionsExt};

use super::write_files;
use crate::tls::{CertificateStore, TestCertificate, TlsError};

#[test]
fn a_group_readable_key_is_rejected() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    fs::set_permissions(&files.key, fs::Permissions::from_mode(0o640)).expect("a writable file");
    assert!(matches!(
        files.load(),
        Err(TlsError::InsecurePermissions { mode: 0o640, .. })
    ));
}

#[test]
fn a_generated_key_file_is_private() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let mode = fs::metadata(&files.key)
        .expect("the key file exists")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(files.load().is_ok());
}

#[test]
fn a_file_without_a_certificate_is_rejected() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    fs::write(&files.certificate, "no PEM at all").expect("a writable file");
    assert!(matches!(files.load(), Err(TlsError::Malformed { .. })));
}

#[test]
fn the_error_names_the_missing_file() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut files = write_files(&folder);
    files.key = folder.path().join("absent.key");
    let error = files.load().expect_err("the key file is missing");
    assert!(matches!(&error, TlsError::Unreadable { path, .. } if *path == files.key));
}

#[test]
fn reloading_a_mismatched_key_keeps_the_old_certificate() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let store = CertificateStore::new(files.clone()).expect("a valid certificate and key");
    let old = store.current();
    let other_folder = tempfile::tempdir().expect("a temporary folder");
    let other_files = write_files(&other_folder);
    fs::copy(&other_files.key, &files.key).expect("a writable file");
    assert!(matches!(store.reload(), Err(TlsError::Mismatch { .. })));
    assert_eq!(store.current().cert, old.cert);
}

#[test]
fn reloading_replaced_files_changes_the_certificate() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let store = CertificateStore::new(files).expect("a valid certificate and key");
    let old = store.current();
    write_files(&folder);
    store.reload().expect("a valid certificate and key");
    assert_ne!(store.current().cert, old.cert);
}

#[test]
fn a_non_ascii_name_is_rejected() {
    let error = TestCertificate::new(&["søndre"]).expect_err("the name is not ASCII");
    assert!(matches!(error, TlsError::Generation(_)));
}
