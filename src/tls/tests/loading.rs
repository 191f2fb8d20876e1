//! Files are verified before they are used, and reloaded whole.

use std::{fs, os::unix::fs::PermissionsExt};

use super::write_files;
use crate::tls::{CertificateStore, TestCertificate, TlsError};

#[test]
fn a_key_that_others_can_read_is_refused() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    fs::set_permissions(&files.key, fs::Permissions::from_mode(0o640)).expect("own file");
    assert!(matches!(
        files.load(),
        Err(TlsError::Exposed { mode: 0o640, .. })
    ));
}

#[test]
fn a_written_key_is_private() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let mode = fs::metadata(&files.key)
        .expect("a file")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(files.load().is_ok());
}

#[test]
fn a_file_without_a_certificate_is_refused() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    fs::write(&files.certificate, "no PEM at all").expect("own file");
    assert!(matches!(files.load(), Err(TlsError::Malformed { .. })));
}

#[test]
fn a_missing_file_is_named() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut files = write_files(&folder);
    files.key = folder.path().join("absent.key");
    let error = files.load().expect_err("no such file");
    assert!(matches!(&error, TlsError::Unreadable { path, .. } if *path == files.key));
}

#[test]
fn a_key_of_another_certificate_leaves_the_old_pair_in_force() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let store = CertificateStore::new(files.clone()).expect("a good pair");
    let old = store.current();
    let other = tempfile::tempdir().expect("a temporary folder");
    let others = write_files(&other);
    fs::copy(&others.key, &files.key).expect("own file");
    assert!(matches!(store.reload(), Err(TlsError::Mismatch { .. })));
    assert_eq!(store.current().cert, old.cert);
}

#[test]
fn a_replaced_pair_comes_in_force() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = write_files(&folder);
    let store = CertificateStore::new(files).expect("a good pair");
    let old = store.current();
    write_files(&folder);
    store.reload().expect("a good pair");
    assert_ne!(store.current().cert, old.cert);
}

#[test]
fn a_name_that_no_certificate_can_hold_is_refused() {
    let error = TestCertificate::new(&["søndre"]).expect_err("no ASCII name");
    assert!(matches!(error, TlsError::Generation(_)));
}
