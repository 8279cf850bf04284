//! What must hold after a run.

use crate::changes::configuration;
use crate::clients::Report;
use crate::cluster::Cluster;
use crate::plan::FaultKind;

/// `maxRetries` of the routes.
const MAX_RETRIES: u32 = 4;

/// No process has panicked, and none uses more memory than its settings grant.
pub fn check_processes(cluster: &mut Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for process in cluster.all_processes() {
        let name = cluster.name_of(process);
        let log = cluster.log_of(process);
        let panics = log.iter().filter(|line| line.contains("panicked at"));
        violations.extend(panics.map(|line| format!("{name}: {line}")));
        let limit = (cluster.machines[process.machine].settings.limits.memory_mb as usize) << 20;
        let memory = cluster.memory_of(process);
        if memory > limit {
            violations.push(format!("{name} uses {} MiB, over {} MiB", memory >> 20, limit >> 20));
        }
    }
    violations
}

/// All is served again, the newest configuration is everywhere, and everything accepted has come to its end. A wait for
/// what does not come panics, with the logs of all processes.
pub async fn check_outcome(
    cluster: &Cluster,
    kind: FaultKind,
    acknowledged: u64,
    report: &Report,
    violations: &mut Vec<String>,
) {
    cluster.all_ready().await;
    cluster.core_is_complete().await;
    cluster.core_agrees(&configuration(acknowledged)).await;
    cluster.all_completed(&report.accepted).await;
    if kind == FaultKind::PlannedWork {
        cluster.none_repeated(&report.accepted);
    }
    for violation in cluster.arrival_log.order_violations(MAX_RETRIES) {
        violations.push(format!("{violation:?}"));
    }
    if report.accepted.is_empty() {
        violations.push("nothing was accepted".to_owned());
    }
}
