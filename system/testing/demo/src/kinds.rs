//! The kinds of messages that are sent, and the configuration that has their routes.

use millrudder_system_standins::{
    Behaviour, ConfigurationBuilder, Message, MessageState, RequestId, Route, Service,
};
use std::time::Duration;

const HOST: &str = "records.example";
/// The services; each has one worker in each zone.
pub const SERVICES: [&str; 2] = ["births", "marriages"];
const DELAY: Duration = Duration::from_millis(700);
/// Order keys in turn.
const KEYS: usize = 4;

/// What is special about a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Plain,
    /// In order with others of its key.
    Ordered,
    /// Its end is told to a receiver.
    Callback,
    /// Not to run before some time has passed.
    Delayed,
    /// Its first attempt fails.
    FailsOnce,
    /// No worker can ever do it.
    Hopeless,
}

/// In turn; hopeless ones are rare.
const TURN: [Kind; 12] = [
    Kind::Plain,
    Kind::Ordered,
    Kind::Callback,
    Kind::Ordered,
    Kind::Delayed,
    Kind::Plain,
    Kind::Ordered,
    Kind::FailsOnce,
    Kind::Plain,
    Kind::Callback,
    Kind::Ordered,
    Kind::Hopeless,
];

impl Kind {
    /// The kind of the message with this number.
    pub fn of(number: usize) -> Self {
        TURN[number % TURN.len()]
    }

    /// How a message of this kind should end.
    pub fn expected_end(self) -> MessageState {
        match self {
            Kind::Hopeless => MessageState::DeadLetter,
            _ => MessageState::Completed,
        }
    }

    /// What workers do with it.
    pub fn behaviour(self) -> Behaviour {
        match self {
            Kind::FailsOnce => Behaviour::FailFirst { failures: 1 },
            Kind::Hopeless => Behaviour::RefuseForGood,
            _ => Behaviour::Succeed,
        }
    }

    /// The message with this number. `receiver` takes call-backs.
    pub fn message(self, number: usize, receiver: &str) -> Message {
        let id = RequestId::new(format!("m-{number}"));
        let message = Message::new(HOST, self.path(), id).with_body(format!("record {number}"));
        match self {
            Kind::Ordered => message.with_order_key(format!("family-{}", number % KEYS)),
            Kind::Callback => message.with_callback(receiver),
            Kind::Delayed => message.with_delay(DELAY),
            Kind::Plain | Kind::FailsOnce | Kind::Hopeless => message,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Kind::Ordered => "/marriages/in/order",
            Kind::Callback => "/births/with/call-back",
            _ => "/births/",
        }
    }
}

/// The configuration of the routes that all kinds need.
pub fn configuration() -> ConfigurationBuilder {
    let services = SERVICES.into_iter().map(Service::listed);
    let configuration = services.fold(ConfigurationBuilder::new(1), ConfigurationBuilder::service);
    configuration
        .route(Route::plain("births", HOST, "/births/", "births"))
        .route(Route::plain("births-told", HOST, "/births/with/call-back", "births").callback())
        .route(Route::plain("marriages", HOST, "/marriages/", "marriages").fifo())
}

/// A route of its own for each further configuration.
pub fn further_route(version: u64) -> Route {
    Route::plain(&format!("births-{version}"), HOST, &format!("/births/of/{version}/"), "births")
}
