//! Deltas from any revision lead to the same routes as a snapshot.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    control::{
        api::FeedReply,
        feed::{ChangeHistory, FeedAnswer, FeedScope, FeedState},
        state::tests::generator::{any_commands, fixed_cases},
    },
    key::{FeedRevision, ServiceNumber, TargetKey},
    route::{RouteChange, RouteDelta, RouteSnapshot, ServiceRoute, TargetRoute},
};

/// The routes that a watcher has received.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct WatchedRoutes {
    services: BTreeMap<ServiceNumber, ServiceRoute>,
    targets: BTreeMap<TargetKey, TargetRoute>,
}

impl WatchedRoutes {
    fn from_snapshot(snapshot: RouteSnapshot) -> Self {
        let services = snapshot.services.into_iter();
        let targets = snapshot.targets.into_iter();
        Self {
            services: services.map(|route| (route.number, route)).collect(),
            targets: targets.map(|route| (route.key, route)).collect(),
        }
    }

    fn execute(&mut self, delta: RouteDelta) {
        for change in delta.changes {
            match change {
                RouteChange::ServiceSet(route) => {
                    self.services.insert(route.number, route);
                }
                RouteChange::ServiceRemoved(number) => {
                    self.services.remove(&number);
                }
                RouteChange::TargetSet(route) => {
                    self.targets.insert(route.key, route);
                }
                RouteChange::TargetRemoved(key) => {
                    self.targets.remove(&key);
                }
            }
        }
    }
}

fn any_scope() -> impl Strategy<Value = FeedScope> {
    prop_oneof![
        Just(FeedScope::All),
        (1_u16..5).prop_map(|number| FeedScope::Service(ServiceNumber::new(number))),
    ]
}

/// Requests replies until the watcher is up to date; returns their number.
fn catch_up(
    feed: &mut FeedState,
    scope: FeedScope,
    routes: &mut WatchedRoutes,
    in_force: &mut FeedRevision,
) -> usize {
    for replies in 0.. {
        let reply = match feed.answer(scope, *in_force) {
            FeedAnswer::Unchanged(revision) => {
                *in_force = revision;
                return replies;
            }
            FeedAnswer::Behind => panic!("the replica can't be behind its own feed"),
            FeedAnswer::Update(reply) => reply,
        };
        match serde_json::from_str(reply.text.get()).expect("a valid reply") {
            FeedReply::Delta(delta) => {
                assert_eq!(delta.base_revision, *in_force);
                assert!(delta.revision > *in_force);
                *in_force = delta.revision;
                routes.execute(delta);
            }
            FeedReply::Snapshot(snapshot) => {
                assert!(snapshot.revision > *in_force);
                *in_force = snapshot.revision;
                *routes = WatchedRoutes::from_snapshot(snapshot);
            }
            FeedReply::Unchanged { .. } => panic!("expected a delta or a snapshot"),
        }
    }
    unreachable!("the loop returns")
}

proptest! {
    #![proptest_config(fixed_cases(256, 31))]

    #[test]
    fn a_watcher_that_polls_at_times_ends_with_the_routes_of_a_snapshot(
        commands in any_commands(60),
        scope in any_scope(),
        polls in prop::collection::vec(any::<bool>(), 60),
        max_changes in 1_usize..30,
    ) {
        let history = ChangeHistory::new(FeedRevision::EMPTY).with_max_changes(max_changes);
        let mut feed = FeedState::new().with_history(history);
        let mut routes = WatchedRoutes::default();
        let mut in_force = FeedRevision::EMPTY;
        for (command, poll) in commands.iter().zip(polls) {
            feed.apply(&command.encode().expect("an encodable command"));
            if poll {
                catch_up(&mut feed, scope, &mut routes, &mut in_force);
            }
        }
        catch_up(&mut feed, scope, &mut routes, &mut in_force);
        prop_assert_eq!(in_force, feed.state().revision());
        prop_assert_eq!(routes, WatchedRoutes::from_snapshot(feed.routes(scope)));
    }

    #[test]
    fn deltas_of_any_byte_limit_lead_to_the_same_routes(
        commands in any_commands(60),
        scope in any_scope(),
        start in 0_usize..60,
        byte_limit in 1_usize..200,
    ) {
        let mut feed = FeedState::new();
        let start = start.min(commands.len());
        for command in &commands[..start] {
            feed.apply(&command.encode().expect("an encodable command"));
        }
        let mut routes = WatchedRoutes::from_snapshot(feed.routes(scope));
        let mut in_force = feed.state().revision();
        for command in &commands[start..] {
            feed.apply(&command.encode().expect("an encodable command"));
        }
        let newest = feed.state().revision();
        while in_force < newest {
            let delta = feed
                .history()
                .delta(scope, in_force, byte_limit)
                .expect("a complete history");
            prop_assert!(delta.revision > in_force);
            in_force = delta.revision;
            routes.execute(delta);
        }
        prop_assert_eq!(routes, WatchedRoutes::from_snapshot(feed.routes(scope)));
    }

    #[test]
    fn a_restored_replica_serves_watchers_of_the_original_one(
        commands in any_commands(40),
        scope in any_scope(),
        restored_at in 0_usize..40,
    ) {
        let mut feed = FeedState::new();
        let mut routes = WatchedRoutes::default();
        let mut in_force = FeedRevision::EMPTY;
        let restored_at = restored_at.min(commands.len());
        for command in &commands[..restored_at] {
            feed.apply(&command.encode().expect("an encodable command"));
        }
        catch_up(&mut feed, scope, &mut routes, &mut in_force);
        let mut other = FeedState::new();
        other.restore(&feed.snapshot().expect("an encodable state")).expect("a valid snapshot");
        for command in &commands[restored_at..] {
            other.apply(&command.encode().expect("an encodable command"));
        }
        catch_up(&mut other, scope, &mut routes, &mut in_force);
        prop_assert_eq!(routes, WatchedRoutes::from_snapshot(other.routes(scope)));
    }
}

#[test]
fn a_replica_older_than_the_watcher_reports_that_it_is_behind() {
    let mut feed = FeedState::new();
    let answer = feed.answer(FeedScope::All, FeedRevision::new(1));
    assert!(matches!(answer, FeedAnswer::Behind));
}
