//! Stand-ins on loopback for everything outside the system, for process tests and for the demo.
//!
//! Each stand-in speaks the published protocol over HTTP/1.1. What it does is under the control of the test: a
//! [`Script`] says how a worker or a receiver behaves for each request, and a [`Gate`] says when work ends. What a
//! worker saw is kept in a [`ArrivalLog`], which tests question afterwards.
//!
//! - [`Worker`]: runs messages, and misbehaves as scripted.
//! - [`Platform`]: the list of instances, in pages and under a rate.
//! - [`CallbackReceiver`]: takes call-backs.
//! - [`Operator`]: sends configurations and retirements.
//! - [`Client`]: sends messages, asks for their state and bytes; [`HostileInput`] is what no client should send.
//! - [`Configuration`], [`SettingsWriter`], [`ProcessGroup`]: what it takes to start the system's own processes.
//! - [`eventually`]: waits for a condition, within a bound.
//!
//! ```
//! use millrudder_system_standins::{Client, ArrivalLog, Message, Reception, Worker, WorkerPlan};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let arrival_log = ArrivalLog::new();
//! let worker = Worker::start(WorkerPlan::new("annotate", "i-1"), arrival_log.clone()).await?;
//!
//! let message = Message::new("boye61.example", "/births/1", "r-1").with_body("late birth");
//! let answer = Client::new().exchange(worker.address(), &message).await?;
//!
//! assert_eq!(answer.status.as_u16(), 200);
//! assert_eq!(arrival_log.runs_of(&"r-1".into()).len(), 1);
//! assert_eq!(Reception::of(&answer), Reception::Unexpected { status: 200 });
//! # Ok(())
//! # }
//! ```

mod arrival_log;
mod callback;
mod client;
mod configuration;
mod controlled_stream;
mod eventually;
mod gate;
mod hostile;
mod http;
mod identity;
mod message;
mod operator;
mod platform;
mod ports;
mod process;
mod process_log;
mod rate;
mod script;
mod server;
mod settings;
mod worker;

pub use arrival_log::{
    Arrival, ArrivalLog, ArrivalNumber, BodyHash, Difference, Disposition, Moment, OrderViolation, RunState,
};
pub use callback::{Callback, CallbackReceiver, ReceiverBehaviour, ReceiverPlan};
pub use client::{
    AcceptedMessage, BodyReply, Client, MessageState, MessageStatus, Reception, StatusReply, Submission,
};
pub use configuration::{
    Configuration, ConfigurationBuilder, ConfigurationVersion, Defect, Limits, Route, Service,
};
pub use eventually::{eventually, eventually_some, NotInTime, POLL_INTERVAL};
pub use gate::Gate;
pub use hostile::{attack, HostileInput, HostileOutcome, RawConnection};
pub use http::{exchange, header, Answer, ExchangeError};
pub use identity::{
    InstanceId, MessageId, NodeName, OrderKey, ProcessName, RequestId, ServiceName, ZoneName,
};
pub use message::{Framing, Message};
pub use operator::{
    AttemptFailure, Operator, OperatorPlan, OrderAnswer, OrderError, PutOutcome, RetireOutcome, RetireState,
};
pub use platform::{Instance, InstanceState, Platform, PlatformMode, PlatformPlan};
pub use ports::{PortBlock, PortError, PortRange};
pub use process::{ProcessError, ProcessGroup, ProcessSignal, Role};
pub use process_log::ProcessLog;
pub use script::Script;
pub use settings::{
    AddressPlan, BindAddresses, Bounds, CloudApi, FaultTolerance, Machine, MachineClass, MachineLimits,
    MachinePlan, ProcessSettings, Serves, SettingsError, SettingsWriter,
};
pub use worker::{Behaviour, IdempotentTable, NotExecuted, Worker, WorkerHealth, WorkerPlan};
