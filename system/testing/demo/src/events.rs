//! What happens to the system while messages flow, again and again.

use crate::deployment::Deployment;
use crate::error::DemoError;

/// The events repeat after so many seconds.
const ROUND_SECONDS: u64 = 14;

/// Something that happens to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    NewRoute,
    DrainWorker,
    EndWorker,
    KillStore,
    StartStore,
}

impl Event {
    /// What happens in a second of the run. A worker ends long after it was shown as draining.
    pub fn at(second: u64) -> Option<Self> {
        match second % ROUND_SECONDS {
            2 => Some(Event::NewRoute),
            4 => Some(Event::DrainWorker),
            6 => Some(Event::KillStore),
            8 => Some(Event::StartStore),
            10 => Some(Event::EndWorker),
            _ => None,
        }
    }

    /// Has it happen, and tells so.
    ///
    /// # Errors
    /// The deployment cannot carry it out.
    pub async fn happen(self, deployment: &mut Deployment) -> Result<(), DemoError> {
        match self {
            Event::NewRoute => {
                let version = deployment.add_route().await?;
                println!("        configuration {version} was taken: one more route");
            }
            Event::DrainWorker => {
                let worker = deployment.replace_worker().await?;
                println!("        worker {worker} is draining, a new one is on the list");
            }
            Event::EndWorker => {
                deployment.end_oldest_worker();
                println!("        the drained worker has ended");
            }
            Event::KillStore => {
                let store = deployment.kill_store()?;
                println!("        {store} was killed");
            }
            Event::StartStore => deployment.start_store()?,
        }
        Ok(())
    }
}
