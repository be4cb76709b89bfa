//! Duration of a snapshot and of a restart after 1,000 changes.

use std::error::Error;
use std::time::{Duration, Instant};

use molespan_replica::ReplicaSettings;
use molespan_state::Machine;
use molespan_state::control::{ControlCommand, ControlMachine};
use molespan_storage::{RealDisk, SnapshotStore};
use molespan_types::{GroupId, NodeId};

use crate::changes::{confirm_all, intent};
use crate::fleet::Fleet;
use crate::process::open;

const CHANGES: u64 = 1_000;

pub fn measure() -> Result<(), Box<dyn Error>> {
    snapshot()?;
    restart("from the log alone", |settings| settings.job_groups = 1)?;
    restart("from a snapshot and 100 entries at most", |settings| {
        settings.job_groups = 1;
        settings.snapshot_every_entries = 100;
    })
}

/// Measures a snapshot of the state machine after [`CHANGES`] changes.
fn snapshot() -> Result<(), Box<dyn Error>> {
    let mut machine = ControlMachine::new();
    for number in 1..=CHANGES {
        let command: ControlCommand = molespan_state::decode(&intent(number))?;
        machine.apply(&command);
    }
    let machine = Machine::Control(machine);
    let folder = tempfile::tempdir()?;
    let store = SnapshotStore::open(RealDisk::open(folder.path())?, GroupId::CONTROL)?;
    let started = Instant::now();
    let bytes = machine.snapshot();
    let encoded = started.elapsed();
    store.save(CHANGES, b"header", &bytes)?;
    let saved = started.elapsed();
    println!(
        "snapshot after {CHANGES} changes: {} bytes, encoded in {encoded:.2?}, durable in {saved:.2?}",
        bytes.len()
    );
    Ok(())
}

fn restart(how: &str, tune: fn(&mut ReplicaSettings)) -> Result<(), Box<dyn Error>> {
    let mut fleet = Fleet::start(tune)?;
    let client = fleet.client(GroupId::CONTROL)?;
    confirm_all(&client, 1..=CHANGES)?;
    // Waits until the last snapshot has been taken.
    std::thread::sleep(Duration::from_millis(300));
    let leader = fleet.wait_for_leader(GroupId::CONTROL)?;
    let node = (1..=3).map(NodeId).find(|&node| node != leader);
    let node = node.ok_or("no follower")?;
    fleet.stop(node);
    let started = Instant::now();
    let core = open(&fleet.folder(node), fleet.settings(node), started)?;
    let took = started.elapsed();
    let snapshot = core.status().groups[0].snapshot;
    println!("restart after {CHANGES} changes {how} (snapshot at {snapshot}): {took:.2?}");
    Ok(())
}
