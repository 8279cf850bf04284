//! An operator that changes the configuration again and again.

use crate::clients::{FIFO_PATH, HOST, PLAIN_PATH};
use crate::cluster::BOUND;
use millrudder_system_standins::{
    Configuration, ConfigurationBuilder, ConfigurationVersion, Operator, OperatorPlan, PutOutcome, Route,
    Service,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time between two changes.
const INTERVAL: Duration = Duration::from_millis(400);

/// The configuration of a version.
pub fn configuration(version: u64) -> Configuration {
    let builder = ConfigurationBuilder::new(version)
        .service(Service::listed("records"))
        .route(Route::plain("plain", HOST, PLAIN_PATH, "records"))
        .route(Route::plain("ordered", HOST, FIFO_PATH, "records").fifo());
    builder.build().expect("a good configuration")
}

/// An operator at work.
pub struct Changes {
    task: JoinHandle<()>,
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    ends: Cell<bool>,
    /// Version that was acknowledged last.
    acknowledged: Cell<u64>,
    violations: RefCell<Vec<String>>,
}

impl Changes {
    /// Goes on from version 1, which is in force.
    pub fn start(control_planes: Vec<SocketAddr>) -> Changes {
        let shared = Rc::new(Shared { acknowledged: Cell::new(1), ..Shared::default() });
        let plan = OperatorPlan { give_up: BOUND, ..OperatorPlan::default() };
        let operator = Operator::with_plan(control_planes, plan);
        let task = tokio::task::spawn_local(change_repeatedly(operator, Rc::clone(&shared)));
        Changes { task, shared }
    }

    /// Ends after the present change. Returns the version acknowledged last, and what went wrong.
    pub async fn end(self) -> (u64, Vec<String>) {
        self.shared.ends.set(true);
        self.task.await.expect("the operator does not panic");
        (self.shared.acknowledged.get(), self.shared.violations.take())
    }
}

async fn change_repeatedly(operator: Operator, shared: Rc<Shared>) {
    while !shared.ends.get() {
        let before = shared.acknowledged.get();
        let next = before + 1;
        match operator.put(&configuration(next), ConfigurationVersion(before)).await {
            Ok(PutOutcome::Taken) => shared.acknowledged.set(next),
            // It is sent unchanged until there is a clear answer, and nobody else changes anything.
            Ok(outcome) => {
                shared.violations.borrow_mut().push(format!("version {next} is answered with {outcome:?}"));
                return;
            }
            Err(error) => {
                shared.violations.borrow_mut().push(format!("version {next} gets no clear answer: {error}"));
                return;
            }
        }
        sleep(INTERVAL).await;
    }
}
