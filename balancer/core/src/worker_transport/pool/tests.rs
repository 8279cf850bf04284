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

/// A worker's listener, and what it accepted.
fn worker(id: WorkerId) -> (WorkerEndpoint, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (WorkerEndpoint { id, address: listener.local_addr().unwrap(), open: Arc::default() }, listener)
}

fn in_coroutine(test: impl FnOnce() + Send + 'static) {
    may::go!(test).join().expect("the test's coroutine");
}

#[test]
fn a_kept_connection_is_used_again_unless_it_may_have_been_closed() {
    // A request written after the worker's idle close ends as a reset: it may have run, and is lost.
    in_coroutine(|| {
        let (worker, listener) = worker(1);
        let (pool, counters) = pool(8, 1e9);
        pool.keep(1, pool.take(&worker, || true).unwrap(), false);
        let peer: TcpStream = listener.accept().unwrap().0;
        pool.keep(1, pool.take(&worker, || true).unwrap(), false);
        assert_eq!(counters.connections_reused.get(), 1);
        drop(peer);
        while pool.kept().values().flatten().any(|k| k.connection.socket.is_quiet()) {
            may::coroutine::yield_now();
        }
        drop(pool.take(&worker, || true).unwrap());
        assert_eq!((counters.connections_reused.get(), counters.connections_out.get()), (1, 2));
    });
    in_coroutine(|| {
        let (worker, _listener) = worker(1);
        let (pool, counters) = pool(8, -1.0);
        pool.keep(1, pool.take(&worker, || true).unwrap(), false);
        drop(pool.take(&worker, || true).unwrap());
        assert_eq!(counters.connections_reused.get(), 0, "stood idle too long");
    });
}

#[test]
fn a_connection_rests_before_a_second_answer_could_be_taken_for_the_next_jobs() {
    // A "never ran" that came twice, the second time for the job behind it, let that one be sent elsewhere as well.
    in_coroutine(|| {
        let (worker, _listener) = worker(1);
        let (pool, counters) = pool(8, 1e9);
        let resting = pool.take(&worker, || true).unwrap();
        pool.keep(1, resting, true);
        pool.keep(1, pool.take(&worker, || true).unwrap(), false);
        assert_eq!(counters.connections_out.get(), 2, "it rests");
        pool.keep(1, pool.take(&worker, || true).unwrap(), false);
        assert_eq!(counters.connections_reused.get(), 1, "the other does not");
        pool.kept().values_mut().flatten().for_each(|kept| kept.until -= 120_000.0);
        let both = [(); 2].map(|()| pool.take(&worker, || true).unwrap());
        assert_eq!((counters.connections_out.get(), counters.connections_reused.get()), (2, 3));
        drop(both);
    });
}

#[test]
fn one_dead_kept_connection_condemns_those_idle_as_long() {
    in_coroutine(|| {
        let (worker, _listener) = worker(1);
        let (pool, _) = pool(8, 1e9);
        let [old, middle, young] = [(); 3].map(|()| pool.take(&worker, || true).unwrap());
        [old, middle, young].into_iter().for_each(|connection| pool.keep(1, connection, false));
        for (kept, since) in pool.kept().get_mut(&1).unwrap().iter_mut().zip([1.0, 2.0, 3.0]) {
            kept.since = since;
        }
        pool.forget_older(1, 2.0);
        assert_eq!(pool.kept().get(&1).unwrap().len(), 1);
    });
}

#[test]
fn how_long_one_may_stand_idle_is_learnt_from_those_that_died() {
    let mut idle = IdleLimit { learnt: f64::INFINITY, at: 0.0 };
    assert_eq!(idle.now(5_000.0, 6_000.0), 6_000.0);
    idle.died(20.0, 5_000.0, 6_000.0);
    assert_eq!(idle.now(5_000.0, 6_000.0), 6_000.0, "a reset of one in use tells nothing of idleness");
    idle.died(400.0, 5_000.0, 6_000.0);
    idle.died(900.0, 5_000.0, 6_000.0);
    assert_eq!(idle.now(5_000.0, 6_000.0), 400.0);
    assert_eq!(idle.now(5_000.0 + DOUBLES_MS, 6_000.0), 800.0);
    assert_eq!(idle.now(1e9, 6_000.0), 6_000.0);
}

#[test]
fn the_budget_holds_and_the_oldest_kept_connection_makes_room() {
    // Without a bound of its own a storm of attempts would take the descriptors that accept needs.
    in_coroutine(|| {
        let ((first, _a), (second, _b)) = (worker(1), worker(2));
        let (pool, counters) = pool(2, 1e9);
        let busy = pool.take(&first, || true).unwrap();
        pool.keep(1, pool.take(&first, || true).unwrap(), false);
        let other = pool.take(&second, || true).unwrap();
        // Of this program's doing: it must not count against the worker.
        assert!(matches!(pool.take(&second, || false), Err(NoConnection::NoDescriptor)), "both are in use");
        assert_eq!((counters.connections_out.get(), counters.connects_failed.get()), (3, 0));
        drop((busy, other));
        assert!(pool.take(&first, || true).is_ok());
    });
}
