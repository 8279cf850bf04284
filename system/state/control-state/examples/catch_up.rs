//! What a checkpoint, a catch-up and a restart cost after many accepted configurations.
//!
//! `cargo run --release -p millrudder-control-state --example catch_up -- ACCEPTED BODY_BYTES`

use millrudder_chain::{CoreConfig, CoreMessage, CoreNode, DurableState, Input, Output, Record, RequestId};
use millrudder_checkpoint_store::{CheckpointStore, RealFolder};
use millrudder_clock::Instant as SteadyInstant;
use millrudder_control_state::{Command, ControlState};
use millrudder_protocol::control::ConfigurationText;
use speedy::{Readable, Writable};
use std::collections::VecDeque;
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest wait of the joining node in simulated time (microseconds).
const JOIN_WITHIN_MICROS: u64 = 60_000_000;
/// A step of simulated time (microseconds).
const STEP_MICROS: u64 = 5_000;

type Node = CoreNode<ControlState>;

/// A node whose disk is as fast as memory.
struct Host {
    node: Node,
    address: &'static str,
    sent: VecDeque<CoreMessage>,
    /// Checkpoints issued, their bytes, and the time in which the owner of the state took them.
    checkpoints: Vec<Checkpoint>,
}

struct Checkpoint {
    bytes: usize,
    taking: Duration,
}

impl Host {
    fn start(address: &'static str, is_founder: bool, seed: u64) -> Result<Host, Box<dyn Error>> {
        let mut config = CoreConfig::new(address);
        config.minimum_members = 1;
        config.bootstrap_addresses = if is_founder { vec![address.to_owned()] } else { Vec::new() };
        let node = CoreNode::new(config, None, seed, SteadyInstant::ORIGIN)?;
        Ok(Host { node, address, sent: VecDeque::new(), checkpoints: Vec::new() })
    }

    fn handle(&mut self, now: u64, input: Input<Command>) {
        let now = SteadyInstant::from_micros(now);
        let began = Instant::now();
        self.node.handle(now, input);
        let took = began.elapsed();
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { message, .. } => self.sent.push_back(message),
                Output::Persist { token, .. } => self.node.handle(now, Input::Persisted { token }),
                Output::Checkpoint { state, .. } => self.record_checkpoint(&state, took),
                _ => {}
            }
        }
    }

    fn record_checkpoint(&mut self, state: &DurableState, handling: Duration) {
        let began = Instant::now();
        let bytes = state.write_to_vec().unwrap_or_default().len();
        self.checkpoints.push(Checkpoint { bytes, taking: handling + began.elapsed() });
    }
}

fn body(version: u64, bytes: usize) -> Vec<u8> {
    let mut json = format!("{{\"version\":{version},").into_bytes();
    json.resize(bytes.max(json.len()), b'r');
    json
}

fn accept(host: &mut Host, accepted: u64, body_bytes: usize) {
    for version in 1..=accepted {
        let configuration = ConfigurationText { version, json: body(version, body_bytes) };
        let command = Command::PutConfiguration { expected_version: version - 1, configuration };
        host.handle(1_000_000 + version, Input::Submit { request_id: RequestId(version.into()), command });
    }
}

/// What the member sent until the joining node held its state.
#[derive(Default)]
struct Transfer {
    messages: usize,
    bytes: usize,
    largest: usize,
    longest_handling: Duration,
    simulated_micros: u64,
}

fn join(member: &mut Host, learner: &mut Host, mut now: u64) -> Transfer {
    let mut transfer = Transfer::default();
    let (from, to) = (member.node.id(), learner.node.id());
    let began = now;
    let address = member.address.to_owned();
    learner.handle(now, Input::PeerSeen { id: from, address });
    while learner.node.committed() < member.node.committed() && now < began + JOIN_WITHIN_MICROS {
        while !member.sent.is_empty() || !learner.sent.is_empty() {
            deliver(member, learner, now, &mut transfer);
            for message in std::mem::take(&mut learner.sent) {
                member.handle(now, Input::Message { from: to, message });
            }
        }
        now += STEP_MICROS;
        member.handle(now, Input::Tick);
        learner.handle(now, Input::Tick);
    }
    transfer.simulated_micros = now - began;
    transfer
}

fn deliver(member: &mut Host, learner: &mut Host, now: u64, transfer: &mut Transfer) {
    let from = member.node.id();
    for message in std::mem::take(&mut member.sent) {
        let bytes = message.encode();
        transfer.messages += 1;
        transfer.bytes += bytes.len();
        transfer.largest = transfer.largest.max(bytes.len());
        let Ok(message) = CoreMessage::decode(&bytes) else { continue };
        let began = Instant::now();
        learner.handle(now, Input::Message { from, message });
        transfer.longest_handling = transfer.longest_handling.max(began.elapsed());
    }
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("millrudder-catch-up-{}", std::process::id()))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn on_disk(state: &DurableState) -> Result<(Duration, Duration), Box<dyn Error>> {
    let folder = folder();
    std::fs::create_dir_all(&folder)?;
    let (mut store, _) = CheckpointStore::open(RealFolder::open(&folder)?)?;
    let bytes = state.write_to_vec()?;
    let began = Instant::now();
    store.checkpoint(&bytes)?;
    let writing = began.elapsed();
    drop(store);

    let began = Instant::now();
    let (_store, recovered) = CheckpointStore::open(RealFolder::open(&folder)?)?;
    let checkpoint = recovered.checkpoint.unwrap_or_default();
    let mut state = DurableState::read_from_buffer(&checkpoint)?;
    for record in &recovered.records {
        state.apply(&Record::read_from_buffer(record)?);
    }
    let _node: Node = CoreNode::new(CoreConfig::new("10.0.0.1:9000"), Some(state), 9, SteadyInstant::ORIGIN)?;
    let restarting = began.elapsed();
    std::fs::remove_dir_all(&folder)?;
    Ok((writing, restarting))
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut numbers = std::env::args().skip(1);
    let mut number = |default: u64| numbers.next().map_or(Ok(default), |text| text.parse());
    let (accepted, body_bytes) = (number(1_000)?, number(2_000)? as usize);

    let mut member = Host::start("10.0.0.1:9000", true, 1)?;
    member.handle(100_000, Input::Tick);
    let began = Instant::now();
    accept(&mut member, accepted, body_bytes);
    let accepting = began.elapsed();
    member.sent.clear();

    let state = member.node.durable_state();
    let (writing, restarting) = on_disk(&state)?;
    let mut learner = Host::start("10.0.0.2:9000", false, 2)?;
    let transfer = join(&mut member, &mut learner, 500_000_000);

    println!("accepted {}, bodies of {body_bytes} bytes", member.node.committed().0);
    println!("accepting: {:.3} ms each", millis(accepting) / accepted as f64);
    let mut taking: Vec<Duration> = member.checkpoints.iter().map(|checkpoint| checkpoint.taking).collect();
    taking.sort();
    let median = taking.get(taking.len() / 2).copied().unwrap_or_default();
    let longest = taking.last().copied().unwrap_or_default();
    let largest = member.checkpoints.iter().map(|checkpoint| checkpoint.bytes).max().unwrap_or_default();
    println!(
        "checkpoints: {}, the largest {largest} bytes, taken in {:.2} ms (median), at most {:.2} ms",
        member.checkpoints.len(),
        millis(median),
        millis(longest)
    );
    println!("one checkpoint: {} bytes, on disk in {:.2} ms", state.write_to_vec()?.len(), millis(writing));
    println!("restart: {:.2} ms", millis(restarting));
    let has_caught_up = learner.node.committed() == member.node.committed();
    println!(
        "catch-up: {}, {} messages, {} bytes, the largest {}, handled in at most {:.2} ms, {} ms simulated",
        if has_caught_up { "whole" } else { "not reached" },
        transfer.messages,
        transfer.bytes,
        transfer.largest,
        millis(transfer.longest_handling),
        transfer.simulated_micros / 1_000
    );
    Ok(())
}
