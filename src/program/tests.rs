//! Tests of the stop signal.

use super::StopSignal;

#[tokio::test]
async fn every_clone_receives_the_stop() {
    let (stop, trigger) = StopSignal::new();
    let clone = stop.clone();
    assert!(!clone.is_stopped());
    trigger.stop();
    clone.stopped().await;
    stop.stopped().await;
    assert!(stop.is_stopped());
}

#[tokio::test]
async fn a_requested_stop_outlives_its_trigger() {
    let (stop, trigger) = StopSignal::new();
    trigger.stop();
    drop(trigger);
    stop.stopped().await;
}
