//! Finds core machines by asking the seeds that the settings name.

use super::Handle;
use crate::locate;
use millrudder_system_http::client::{Client, ClientLimits};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause between two rounds of questions to seeds while too few core machines are known or none vouches ...
const SEEDS_FIRST: Duration = Duration::from_millis(250);
/// ... doubled after each that brings nothing new, up to this.
const SEEDS_LONGEST: Duration = Duration::from_secs(2);

/// Asks seeds, as long as there is need, and ever less often while they tell nothing new.
pub(super) async fn ask_for_more(handle: Handle) {
    let client = Client::new(ClientLimits::default());
    let mut pause = SEEDS_FIRST;
    loop {
        let wanting = handle.shared.borrow().wants_seeds();
        if wanting && ask_seeds(&handle, &client).await {
            handle.refused.notify_one();
            pause = SEEDS_FIRST;
            continue;
        }
        sleep(pause).await;
        pause = if wanting { (pause * 2).min(SEEDS_LONGEST) } else { SEEDS_FIRST };
    }
}

/// Asks all seeds at once, and goes on with the first that tells an address that was not known. True if one did.
async fn ask_seeds(handle: &Handle, client: &Client) -> bool {
    let seeds = handle.shared.borrow().seeds.clone();
    let mut questions = JoinSet::new();
    for seed in seeds {
        let client = client.clone();
        questions.spawn_local(async move { locate::internal_address(&client, seed).await });
    }
    while let Some(answer) = questions.join_next().await {
        let Ok(Some(address)) = answer else { continue };
        if handle.shared.borrow_mut().plan.add_address(address) {
            return true;
        }
    }
    false
}
