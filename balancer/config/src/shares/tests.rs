//! Unit tests of `shares`.

use super::*;
use std::path::Path;

fn settings(text: &str) -> Settings {
    Settings::read(text, Path::new("m.yaml")).unwrap()
}

#[test]
fn a_single_front_gets_the_whole_budget() {
    let budget = Budget::of(1024, 192);
    let shares = budget.share_out(&Settings::default());
    assert_eq!((shares.http, shares.grpc, shares.places), (budget, None, budget.inbound_jobs as u64));
    assert!(shares.bodies > 1 << 40, "bodies have no limit of their own");
}

#[test]
fn two_fronts_stay_within_the_budget_and_call_backs_keep_their_reserve() {
    for (sockets, memory) in [(96, 24), (256, 32), (1024, 192), (4096, 2048)] {
        let budget = Budget::of(sockets, memory);
        let shares = budget.share_out(&settings("fronts: {grpc: {listen: '127.0.0.1:1', weight: 2}}"));
        let grpc = shares.grpc.unwrap();
        assert_eq!(shares.http.inbound + grpc.connections, budget.inbound);
        assert_eq!(shares.http.buffers + grpc.buffers, budget.buffers);
        assert_eq!(shares.http.inbound - shares.http.inbound_jobs, budget.inbound - budget.inbound_jobs);
        assert!(grpc.connections >= 4 && shares.http.inbound_jobs > 8, "{shares:?}");
        assert_eq!(shares.weights, [(Front::Http, 1), (Front::Grpc, 2)]);
    }
}

#[test]
fn settings_lower_what_the_budget_allows() {
    let text = "fronts: {http: {limits: {connections: 100}}}\nadmission: {jobs: 7, bodies: 1 MiB}";
    let shares = Budget::of(1024, 192).share_out(&settings(text));
    assert_eq!((shares.http.inbound, shares.places, shares.bodies), (100, 7, 1 << 20));
    assert_eq!(shares.http.inbound_jobs, 68);
}
