//! The demo from start to end.

use crate::counts::Summary;
use crate::deployment::Deployment;
use crate::error::DemoError;
use crate::events::Event;
use crate::options::Options;
use crate::traffic::Traffic;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

const LINE_EVERY: Duration = Duration::from_secs(1);
/// Messages that are on their way get so long after the last one was sent.
const FINISH_BOUND: Duration = Duration::from_secs(30);
const FINISH_LOOK: Duration = Duration::from_millis(100);

/// Runs until the end of the time, or until it is told to stop.
///
/// # Errors
/// The system cannot be started, or an event cannot be carried out.
pub async fn run(options: &Options) -> Result<Summary, DemoError> {
    let mut stop = StopSignals::new()?;
    let mut deployment = tokio::select! {
        started = Deployment::start(options) => started?,
        () = stop.next() => return Err(DemoError::StoppedAtStart),
    };
    println!("all are ready; {} messages a second are sent, Ctrl-C ends", options.rate);
    let traffic = Traffic::start(&deployment, options.rate);
    tokio::select! {
        problem = attend(&mut deployment, &traffic, options.duration) => problem?,
        () = stop.next() => {}
    }
    traffic.end();
    let summary = tokio::select! {
        summary = finish(&deployment, &traffic) => summary,
        // Told twice, it does not wait.
        () = stop.next() => summarise(&deployment, &traffic),
    };
    println!("in the end: {}", summary.counts);
    deployment.stop().await;
    println!("all processes have ended");
    Ok(summary)
}

/// Tells how far the messages have come, and has things happen, until the time is over. What happens then is brought to
/// its end.
async fn attend(
    deployment: &mut Deployment,
    traffic: &Traffic,
    duration: Option<Duration>,
) -> Result<(), DemoError> {
    let mut ticks = interval(LINE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let began = ticks.tick().await;
    for second in 1.. {
        tokio::select! {
            biased;
            _ = ticks.tick() => {}
            () = end_of(began, duration) => break,
        }
        println!("{second:>4} s  {}", traffic.counts(deployment.receiver()));
        if let Some(event) = Event::at(second) {
            event.happen(deployment).await?;
        }
    }
    Ok(())
}

async fn end_of(began: Instant, duration: Option<Duration>) {
    match duration {
        Some(duration) => sleep_until(began + duration).await,
        None => std::future::pending().await,
    }
}

/// Waits until all accepted messages have ended and all call-backs were taken.
async fn finish(deployment: &Deployment, traffic: &Traffic) -> Summary {
    let ended = async {
        while !summarise(deployment, traffic).all_ended_rightly() {
            sleep(FINISH_LOOK).await;
        }
    };
    // What is missing by then is told by the summary.
    let _ = timeout(FINISH_BOUND, ended).await;
    summarise(deployment, traffic)
}

fn summarise(deployment: &Deployment, traffic: &Traffic) -> Summary {
    Summary { counts: traffic.counts(deployment.receiver()), callbacks_owed: traffic.callbacks_owed() }
}

/// What ends the demo from outside.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, DemoError> {
        Ok(StopSignals {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
            _ = self.hangup.recv() => {}
        }
    }
}
