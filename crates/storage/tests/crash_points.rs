//! Power failures simulated at every disk change.

use molespan_storage::{
    LogEntry, LogSettings, Recovery, SimulatedDisk, SnapshotStore, StorageError, WriteAheadLog,
    read_checked, write_checked,
};
use molespan_types::GroupId;

const GROUP: GroupId = GroupId(2);
const OTHER: GroupId = GroupId(3);
/// Number of entries written by the workload.
const ENTRIES: u64 = 24;
/// Number of entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 5;
/// Number of crashes simulated at each change, with different torn bytes.
const SEEDS: u64 = 6;

/// State that was acknowledged to the workload as durable.
#[derive(Debug, Default)]
struct Acknowledged {
    entries: u64,
    snapshot: u64,
}

fn settings() -> LogSettings {
    LogSettings {
        segment_bytes: 200,
        reserve_bytes: 64,
    }
}

fn body(index: u64) -> Vec<u8> {
    format!("entry {index}").into_bytes()
}

/// Writes entries and snapshots as a replica does, until the power fails.
fn run_workload(disk: &SimulatedDisk, acknowledged: &mut Acknowledged) -> Result<(), StorageError> {
    let (mut log, recovery) = WriteAheadLog::open(disk.clone(), settings())?;
    check(disk, &recovery, acknowledged);
    let store = SnapshotStore::open(disk.clone(), GROUP)?;
    for index in 1..=ENTRIES {
        log.append_entry(GROUP, index, &body(index));
        log.set_hard_state(OTHER, &body(index));
        log.sync()?;
        acknowledged.entries = index;
        if index % SNAPSHOT_EVERY == 0 {
            store.save(index, b"header", &body(index))?;
            log.mark_snapshot(GROUP, index, b"mark");
            log.sync()?;
            acknowledged.snapshot = index;
            store.remove_older(index)?;
            while log.remove_obsolete()? {}
        }
    }
    Ok(())
}

/// Checks that the recovered state is consistent and contains at least the acknowledged
/// state.
fn check(disk: &SimulatedDisk, recovery: &Recovery, acknowledged: &Acknowledged) {
    let Some(group) = recovery.groups.get(&GROUP) else {
        assert_eq!(acknowledged.entries, 0);
        return;
    };
    let covered = group.snapshot.as_ref().map_or(0, |mark| mark.index);
    assert!(covered >= acknowledged.snapshot, "{acknowledged:?}");
    if covered > 0 {
        let store = SnapshotStore::open(disk.clone(), GROUP).unwrap();
        let snapshot = store.load(covered).unwrap().expect("the log refers to it");
        assert_eq!(snapshot.machine, body(covered));
    }
    let entry = |index| LogEntry {
        index,
        bytes: body(index),
    };
    let last = covered + group.entries.len() as u64;
    let expected: Vec<LogEntry> = (covered + 1..=last).map(entry).collect();
    assert_eq!(group.entries, expected);
    assert!(last >= acknowledged.entries, "{acknowledged:?}");
    let other = &recovery.groups[&OTHER];
    assert_eq!(other.hard_state, Some(body(last)));
}

/// Returns the number of disk changes that `work` makes without a failure.
fn changes_of(work: impl Fn(&SimulatedDisk)) -> u64 {
    let disk = SimulatedDisk::new();
    work(&disk);
    disk.counters().changes
}

#[test]
fn log_and_snapshots_are_consistent_after_a_power_failure_at_each_change() {
    let changes = changes_of(|disk| run_workload(disk, &mut Acknowledged::default()).unwrap());
    for point in 0..changes {
        for seed in 0..SEEDS {
            let disk = SimulatedDisk::new();
            let mut acknowledged = Acknowledged::default();
            disk.fail_power_after(point);
            let stopped = run_workload(&disk, &mut acknowledged);
            assert!(stopped.is_err(), "no failure at {point}");
            disk.crash(seed);
            let (_, recovery) = WriteAheadLog::open(disk.clone(), settings())
                .unwrap_or_else(|error| panic!("change {point}, seed {seed}: {error}"));
            check(&disk, &recovery, &acknowledged);
        }
    }
}

#[test]
fn recovery_can_be_interrupted_at_each_change() {
    for seed in 0..40 {
        let disk = SimulatedDisk::new();
        let mut acknowledged = Acknowledged::default();
        disk.fail_power_after(60 + seed);
        run_workload(&disk, &mut acknowledged).unwrap_err();
        disk.crash(seed);
        for point in 0.. {
            disk.fail_power_after(point);
            let opened = WriteAheadLog::open(disk.clone(), settings());
            let done = opened.is_ok();
            drop(opened);
            disk.crash(seed + point);
            let (_, recovery) = WriteAheadLog::open(disk.clone(), settings()).unwrap();
            check(&disk, &recovery, &acknowledged);
            if done {
                break;
            }
        }
    }
}

#[test]
fn small_file_is_old_or_new_after_a_power_failure_at_each_change() {
    let replace = |disk: &SimulatedDisk| write_checked(disk, "", "file", &[b"new", b" content"]);
    let first = |disk: &SimulatedDisk| write_checked(disk, "", "file", &[b"old"]).unwrap();
    let changes = changes_of(|disk| {
        first(disk);
        replace(disk).unwrap();
    });
    let before = changes_of(first);
    for point in 0..changes - before {
        for seed in 0..SEEDS {
            let disk = SimulatedDisk::new();
            first(&disk);
            disk.fail_power_after(point);
            replace(&disk).unwrap_err();
            disk.crash(seed);
            let content = read_checked(&disk, "", "file").unwrap().unwrap();
            assert!(content == b"old" || content == b"new content");
        }
    }
}
