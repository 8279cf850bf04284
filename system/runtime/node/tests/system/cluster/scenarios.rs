//! Several scenarios on one cluster, at the same time.

use std::future::Future;
use std::pin::Pin;
use tokio::task::LocalSet;

/// A part of a test that shares its cluster with others.
pub struct Scenario {
    name: &'static str,
    steps: Pin<Box<dyn Future<Output = ()>>>,
}

impl Scenario {
    pub fn new(name: &'static str, steps: impl Future<Output = ()> + 'static) -> Self {
        Scenario { name, steps: Box::pin(steps) }
    }
}

/// Runs all scenarios to their ends at the same time, and then fails if any has failed.
pub async fn run_together(scenarios: Vec<Scenario>) {
    let local = LocalSet::new();
    let spawn = |scenario: Scenario| (scenario.name, local.spawn_local(scenario.steps));
    let running: Vec<_> = scenarios.into_iter().map(spawn).collect();
    let all_ended = async {
        let mut failed = Vec::new();
        for (name, task) in running {
            if task.await.is_err() {
                failed.push(name);
            }
        }
        failed
    };
    let failed = local.run_until(all_ended).await;
    assert!(failed.is_empty(), "failed scenarios: {}", failed.join(", "));
}
