//! Unit tests of `pool`.

use super::*;
use std::net::{TcpListener, TcpStream};

fn pool(connections: usize, conn_idle: f64) -> (Pool, Arc<Counters>) {
    let (counters, clock) = (Arc::new(Counters::default()), Clock::start());
    (
        Pool::new(
            ConnectionLimits {
                connections,
                connect_timeout: 5000.0,
                conn_idle,
                cancel_grace: 0.0,
                reuse_delay: 60_000.0,
            },
            PeerProcess::default(),
            counters.clone(),
            clock,
        ),
        counters,
    )
}

/// A worker and its listener.
fn worker(id: WorkerId) -> (WorkerEndpoint, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (WorkerEndpoint { id, address: listener.local_addr().unwrap(), accepts_jobs: Arc::default() }, listener)
}

fn in_coroutine(test: impl FnOnce() + Send + 'static) {
    may::go!(test).join().expect("the test's coroutine");
}

#[test]
fn an_idle_connection_is_reused_unless_it_may_have_been_closed() {
    // A request written after the worker has closed an idle connection ends as a reset. The job may have run
    // and cannot be retried.
    in_coroutine(|| {
        let (worker, listener) = worker(1);
        let (pool, counters) = pool(8, 1e9);
        pool.put_back(1, pool.acquire(&worker, || true).unwrap(), false);
        let peer: TcpStream = listener.accept().unwrap().0;
        pool.put_back(1, pool.acquire(&worker, || true).unwrap(), false);
        assert_eq!(counters.connections_reused.get(), 1);
        drop(peer);
        while pool.idle().values().flatten().any(|k| k.connection.socket.is_quiet()) {
            may::coroutine::yield_now();
        }
        drop(pool.acquire(&worker, || true).unwrap());
        assert_eq!((counters.connections_reused.get(), counters.connections_out.get()), (1, 2));
    });
    in_coroutine(|| {
        let (worker, _listener) = worker(1);
        let (pool, counters) = pool(8, -1.0);
        pool.put_back(1, pool.acquire(&worker, || true).unwrap(), false);
        drop(pool.acquire(&worker, || true).unwrap());
        assert_eq!(counters.connections_reused.get(), 0, "it was idle for too long");
    });
}

#[test]
fn a_connection_is_not_reused_while_a_duplicate_response_may_arrive() {
    // A duplicated "never ran" response was taken for the response to the next job, which was then sent to a
    // second worker as well.
    in_coroutine(|| {
        let (worker, _listener) = worker(1);
        let (pool, counters) = pool(8, 1e9);
        let resting = pool.acquire(&worker, || true).unwrap();
        pool.put_back(1, resting, true);
        pool.put_back(1, pool.acquire(&worker, || true).unwrap(), false);
        assert_eq!(counters.connections_out.get(), 2, "its reuse is delayed");
        pool.put_back(1, pool.acquire(&worker, || true).unwrap(), false);
        assert_eq!(counters.connections_reused.get(), 1, "the other connection is reused at once");
        pool.idle().values_mut().flatten().for_each(|kept| kept.usable_from -= 120_000.0);
        let both = [(); 2].map(|()| pool.acquire(&worker, || true).unwrap());
        assert_eq!((counters.connections_out.get(), counters.connections_reused.get()), (2, 3));
        drop(both);
    });
}

#[test]
fn one_dead_idle_connection_discards_those_idle_as_long() {
    in_coroutine(|| {
        let (worker, _listener) = worker(1);
        let (pool, _) = pool(8, 1e9);
        let [old, middle, young] = [(); 3].map(|()| pool.acquire(&worker, || true).unwrap());
        [old, middle, young].into_iter().for_each(|connection| pool.put_back(1, connection, false));
        for (kept, since) in pool.idle().get_mut(&1).unwrap().iter_mut().zip([1.0, 2.0, 3.0]) {
            kept.idle_since = since;
        }
        pool.discard_older(1, 2.0);
        assert_eq!(pool.idle().get(&1).unwrap().len(), 1);
    });
}

#[test]
fn the_idle_limit_is_learned_from_dead_connections() {
    let mut idle = IdleLimit { learned_ms: f64::INFINITY, learned_at: 0.0 };
    assert_eq!(idle.current(5_000.0, 6_000.0), 6_000.0);
    idle.record_death(20.0, 5_000.0, 6_000.0);
    assert_eq!(
        idle.current(5_000.0, 6_000.0),
        6_000.0,
        "a connection reset while in use does not change the idle limit"
    );
    idle.record_death(400.0, 5_000.0, 6_000.0);
    idle.record_death(900.0, 5_000.0, 6_000.0);
    assert_eq!(idle.current(5_000.0, 6_000.0), 400.0);
    assert_eq!(idle.current(5_000.0 + IDLE_DOUBLING_MS, 6_000.0), 800.0);
    assert_eq!(idle.current(1e9, 6_000.0), 6_000.0);
}

#[test]
fn the_connection_budget_holds_and_the_oldest_idle_connection_is_closed() {
    // Without its own bound, a burst of attempts would use up the descriptors that are needed to accept
    // connections.
    in_coroutine(|| {
        let ((first, _a), (second, _b)) = (worker(1), worker(2));
        let (pool, counters) = pool(2, 1e9);
        let busy = pool.acquire(&first, || true).unwrap();
        pool.put_back(1, pool.acquire(&first, || true).unwrap(), false);
        let other = pool.acquire(&second, || true).unwrap();
        // The lack is local, so it must not count against the worker.
        assert!(
            matches!(pool.acquire(&second, || false), Err(AcquireError::NoDescriptor)),
            "both are in use"
        );
        assert_eq!((counters.connections_out.get(), counters.connects_failed.get()), (3, 0));
        drop((busy, other));
        assert!(pool.acquire(&first, || true).is_ok());
    });
}
