//! Snapshots, payload logs and the disk identity, on simulated and real disks.

use molespan_state::{PayloadError, PayloadLog};
use molespan_storage::{
    Disk, DiskIdentity, FilePayloadLog, RealDisk, SimulatedDisk, SnapshotStore, StorageError,
};
use molespan_types::{GroupId, NodeId};

const GROUP: GroupId = GroupId(3);

#[test]
fn identity_counts_starts_and_changes_with_the_disk() {
    let disk = SimulatedDisk::new();
    let node = NodeId(4);
    let first = DiskIdentity::open(&disk, node, 11).unwrap();
    let second = DiskIdentity::open(&disk, node, 12).unwrap();
    assert_eq!((first.incarnation, first.boot), (11, 1));
    assert_eq!((second.incarnation, second.boot), (11, 2));
    disk.erase();
    let third = DiskIdentity::open(&disk, node, 13).unwrap();
    assert_eq!((third.incarnation, third.boot), (13, 1));
    let foreign = DiskIdentity::open(&disk, NodeId(5), 14);
    assert!(matches!(foreign, Err(StorageError::Corrupt { .. })));
}

#[test]
fn snapshot_is_whole_or_absent_after_any_crash() {
    for seed in 0..100 {
        let disk = SimulatedDisk::new();
        let store = SnapshotStore::open(disk.clone(), GROUP).unwrap();
        store.save(5, b"header", b"first").unwrap();
        disk.fail_syncs(1);
        store.save(9, b"header", b"second").expect_err("sync fails");
        disk.crash(seed);
        let store = SnapshotStore::open(disk.clone(), GROUP).unwrap();
        assert_eq!(store.indexes().unwrap(), [5]);
        assert_eq!(store.load(5).unwrap().unwrap().machine, b"first");
    }
}

#[test]
fn damaged_snapshot_is_rejected_at_every_byte() {
    let disk = SimulatedDisk::new();
    let store = SnapshotStore::open(disk.clone(), GROUP).unwrap();
    store.save(5, b"header", b"machine").unwrap();
    let file = "snapshot/3/00000000000000000005.snapshot";
    for offset in 0..disk.length(file).unwrap().unwrap() {
        disk.corrupt_byte(file, offset);
        assert!(matches!(store.load(5), Err(StorageError::Corrupt { .. })));
        disk.corrupt_byte(file, offset);
    }
    assert!(store.load(5).is_ok());
}

#[test]
fn the_latest_two_snapshots_are_kept() {
    let store = SnapshotStore::open(SimulatedDisk::new(), GROUP).unwrap();
    for index in 1..=5 {
        store.save(index, b"", b"machine").unwrap();
    }
    store.remove_older(4).unwrap();
    assert_eq!(store.indexes().unwrap(), [3, 4, 5]);
}

/// Checks the payload log on one disk implementation.
fn check_payload_log<D: Disk>(disk: &D) {
    let mut log = FilePayloadLog::open(disk.clone(), GROUP, 0).unwrap();
    let first = log.append(b"first").unwrap();
    let waiting = log.append(b"second").unwrap();
    assert_eq!(log.read(waiting).unwrap(), b"second");
    log.sync().unwrap();
    let length = log.length();
    let third = log.append(b"third").unwrap();
    log.flush().unwrap();
    assert_eq!(log.read(third).unwrap(), b"third");

    let mut log = FilePayloadLog::open(disk.clone(), GROUP, length).unwrap();
    assert_eq!(log.read(first).unwrap(), b"first");
    let missing = log.read(third).unwrap_err();
    assert!(matches!(missing, PayloadError::Missing { .. }));
    assert_eq!(log.append(b"third").unwrap(), third);
    log.sync().unwrap();

    let raw = log.read_raw(0, log.length() as usize).unwrap();
    let mut copy = FilePayloadLog::open(disk.clone(), GroupId(9), 0).unwrap();
    let (head, tail) = raw.split_at(7);
    copy.append_raw(head).unwrap();
    copy.append_raw(tail).unwrap();
    assert_eq!(copy.read(third).unwrap(), b"third");
}

#[test]
fn payload_log_on_a_simulated_disk() {
    check_payload_log(&SimulatedDisk::new());
}

#[test]
fn payload_log_on_a_real_disk() {
    let folder = tempfile::tempdir().unwrap();
    check_payload_log(&RealDisk::open(folder.path()).unwrap());
}

#[test]
fn damaged_payload_is_detected() {
    let disk = SimulatedDisk::new();
    let mut log = FilePayloadLog::open(disk.clone(), GROUP, 0).unwrap();
    let location = log.append(b"payload").unwrap();
    log.sync().unwrap();
    let file = &disk.files()[0];
    for offset in 0..disk.length(file).unwrap().unwrap() {
        disk.corrupt_byte(file, offset);
        let error = log.read(location).unwrap_err();
        assert!(matches!(error, PayloadError::Corrupt { .. }));
        disk.corrupt_byte(file, offset);
    }
}

#[test]
fn full_disk_keeps_payloads_buffered() {
    let disk = SimulatedDisk::new();
    let mut log = FilePayloadLog::open(disk.clone(), GROUP, 0).unwrap();
    for free in 0..20 {
        disk.set_free(free);
        let location = log.append(b"a payload that is too long").unwrap();
        assert!(log.flush().unwrap_err().is_full());
        assert!(log.buffered_bytes() > 0);
        disk.set_full(false);
        log.sync().unwrap();
        assert_eq!(log.read(location).unwrap(), b"a payload that is too long");
    }
}

#[test]
fn payload_log_shorter_than_its_snapshot_fails_to_open() {
    let disk = SimulatedDisk::new();
    let mut log = FilePayloadLog::open(disk.clone(), GROUP, 0).unwrap();
    log.append(b"payload").unwrap();
    log.flush().unwrap();
    let length = log.length();
    disk.crash_to_synced();
    let error = FilePayloadLog::open(disk, GROUP, length).unwrap_err();
    assert!(matches!(error, StorageError::Corrupt { .. }));
}

#[test]
fn crash_may_keep_a_file_that_was_created_and_removed_since_the_last_sync() {
    for seed in 0..50 {
        let disk = SimulatedDisk::new();
        disk.append("log/file", b"bytes").expect("has free space");
        disk.remove("log/file").expect("the file exists");
        disk.sync_dir("elsewhere").expect("the file exists");
        disk.crash(seed);
        for file in disk.files() {
            disk.sync(&file).expect("a name leads to a file");
        }
    }
}

/// Drops the beginning of a payload log, loses the power if there is a seed for that, and
/// checks the rest.
fn keeps_the_rest(lost_power: Option<u64>) {
    let disk = SimulatedDisk::new();
    let mut log = FilePayloadLog::open_from(disk.clone(), GROUP, 0, 0).unwrap();
    let payload = vec![7; 1 << 20];
    let mut locations = Vec::new();
    for _ in 0..20 {
        locations.push(log.append(&payload).unwrap());
        log.flush().unwrap();
    }
    log.sync().unwrap();
    let before = disk.files().len();
    let needed = locations[11].offset;
    log.remove_segments_before(needed).unwrap();
    assert!(disk.files().len() < before);
    assert!(log.start() > 0 && log.start() <= needed);
    let length = log.length();
    drop(log);

    if let Some(seed) = lost_power {
        disk.crash(seed);
    }
    let mut log = FilePayloadLog::open_from(disk.clone(), GROUP, needed, length).unwrap();
    for location in &locations[11..] {
        assert_eq!(log.read(*location).unwrap(), payload);
    }
    assert_eq!(log.length(), length);
    let next = log.append(b"next").unwrap();
    assert_eq!(next.offset, length);
    log.remove_segments_before(length).unwrap();
    assert_eq!(log.read(next).unwrap(), b"next", "the last segment stays");
    log.truncate(length).unwrap();
    let kept = log.start();
    drop(log);

    // Nothing before `kept` is needed any more, whether its removal lasts or not.
    if let Some(seed) = lost_power {
        disk.crash(seed);
    }
    let mut log = FilePayloadLog::open_from(disk, GROUP, kept, length).unwrap();
    for location in locations.iter().filter(|one| one.offset >= kept) {
        assert_eq!(log.read(*location).unwrap(), payload);
    }
    assert_eq!((log.start(), log.length()), (kept, length));
    let next = log.append(b"next").unwrap();
    assert_eq!(next.offset, length);
    assert_eq!(log.read(next).unwrap(), b"next");
}

#[test]
fn a_payload_log_whose_beginning_was_dropped_keeps_the_rest() {
    keeps_the_rest(None);
    (0..20).map(Some).for_each(keeps_the_rest);
}

#[test]
fn payload_log_without_needed_payloads_continues_at_its_offset() {
    let disk = SimulatedDisk::new();
    let mut log = FilePayloadLog::open_from(disk, GROUP, 500, 500).unwrap();
    assert_eq!((log.start(), log.length()), (500, 500));
    let location = log.append(b"first").unwrap();
    log.sync().unwrap();
    assert_eq!(log.read(location).unwrap(), b"first");
}
