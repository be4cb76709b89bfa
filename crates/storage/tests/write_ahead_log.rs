//! The write-ahead log under crashes, damage and full disks.

use molespan_storage::{
    Disk, GroupRecovery, LogSettings, Recovery, SimulatedDisk, StorageError, WriteAheadLog,
};
use molespan_types::GroupId;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const GROUP: GroupId = GroupId(1);
const OTHER: GroupId = GroupId(2);
const FIRST_SEGMENT: &str = "log/00000000000000000001.segment";

fn settings() -> LogSettings {
    LogSettings {
        segment_bytes: 256,
        reserve_bytes: 512,
    }
}

fn open(disk: &SimulatedDisk) -> (WriteAheadLog<SimulatedDisk>, Recovery) {
    WriteAheadLog::open(disk.clone(), settings()).expect("opens")
}

fn indexes(recovery: &Recovery, group: GroupId) -> Vec<u64> {
    let entries = recovery.groups.get(&group).map(|group| &group.entries);
    entries.map_or(Vec::new(), |entries| {
        entries.iter().map(|entry| entry.index).collect()
    })
}

/// Writes three synced frames and returns the length of the segment after each.
fn write_three_frames(disk: &SimulatedDisk) -> Vec<u64> {
    let (mut log, _) = open(disk);
    (1..=3)
        .map(|index| {
            log.append_entry(GROUP, index, b"body");
            log.set_hard_state(OTHER, &[index as u8]);
            log.sync().expect("syncs");
            disk.length(FIRST_SEGMENT).unwrap().unwrap()
        })
        .collect()
}

#[test]
fn reads_back_what_was_synced() {
    let disk = SimulatedDisk::new();
    write_three_frames(&disk);
    let (log, recovery) = open(&disk);
    assert_eq!(indexes(&recovery, GROUP), [1, 2, 3]);
    let other = &recovery.groups[&OTHER];
    assert_eq!(other.hard_state, Some(vec![3]));
    assert_eq!(log.sequence(), 3);
}

#[test]
fn one_sync_serves_all_groups() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    let before = disk.counters().syncs;
    for group in 0..100 {
        log.append_entry(GroupId(group), 1, b"body");
    }
    log.sync().expect("syncs");
    assert_eq!(disk.counters().syncs, before + 1);
}

#[test]
fn torn_tail_is_truncated_at_every_byte() {
    let disk = SimulatedDisk::new();
    let ends = write_three_frames(&disk);
    for length in ends[1]..ends[2] {
        let copy = SimulatedDisk::new();
        copy.roll_back(&disk.backup());
        copy.truncate(FIRST_SEGMENT, length).unwrap();
        let (mut log, recovery) = open(&copy);
        assert_eq!(indexes(&recovery, GROUP), [1, 2], "truncated at {length}");
        assert_eq!(recovery.torn_bytes, length - ends[1]);
        log.append_entry(GROUP, 3, b"again");
        log.sync().expect("goes on after the truncated tail");
        assert_eq!(indexes(&open(&copy).1, GROUP), [1, 2, 3]);
    }
}

#[test]
fn damage_at_every_byte_before_a_valid_frame_is_an_error() {
    let disk = SimulatedDisk::new();
    let ends = write_three_frames(&disk);
    for offset in 0..ends[1] {
        let copy = SimulatedDisk::new();
        copy.roll_back(&disk.backup());
        assert!(copy.corrupt_byte(FIRST_SEGMENT, offset));
        let error = WriteAheadLog::open(copy, settings()).expect_err("opening stops with an error");
        let start = if offset < ends[0] { 0 } else { ends[0] };
        match error {
            StorageError::Corrupt { file, offset, .. } => {
                assert_eq!((file.as_str(), offset), (FIRST_SEGMENT, start));
            }
            other => panic!("{other}"),
        }
    }
}

#[test]
fn damage_in_an_older_segment_is_an_error() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    for index in 1..=20 {
        log.append_entry(GROUP, index, &[0; 64]);
        log.sync().expect("syncs");
    }
    let length = disk.length(FIRST_SEGMENT).unwrap().unwrap();
    disk.truncate(FIRST_SEGMENT, length - 1).unwrap();
    let error = WriteAheadLog::open(disk, settings()).expect_err("opening stops with an error");
    assert!(matches!(error, StorageError::Corrupt { ref file, .. } if file == FIRST_SEGMENT));
}

#[test]
fn missing_segment_is_an_error() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    for index in 1..=20 {
        log.append_entry(GROUP, index, &[0; 64]);
        log.sync().expect("syncs");
    }
    disk.remove("log/00000000000000000002.segment").unwrap();
    let error = WriteAheadLog::open(disk, settings()).expect_err("opening stops with an error");
    assert!(matches!(error, StorageError::Corrupt { .. }));
}

/// Returns the files of the segments, oldest first.
fn segments(disk: &SimulatedDisk) -> Vec<String> {
    let mut files = disk.files();
    files.retain(|file| file.ends_with(".segment"));
    files
}

/// Returns a log of several segments whose first ones a snapshot has made obsolete, and a copy
/// of its disk from before.
fn log_with_obsolete_segments() -> (SimulatedDisk, WriteAheadLog<SimulatedDisk>, SimulatedDisk) {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    log.set_hard_state(GROUP, b"vote");
    for index in 1..=20 {
        log.append_entry(GROUP, index, &[0; 64]);
        log.sync().expect("syncs");
    }
    log.mark_snapshot(GROUP, 18, b"mark");
    log.sync().expect("syncs");
    let before = disk.backup();
    (disk, log, before)
}

/// Guards against a log that cannot be opened any more after a power loss that undid some of
/// the removals of its segments and kept others.
#[test]
fn removals_of_segments_that_a_power_loss_undoes_in_part_leave_no_gap() {
    for seed in 0..200 {
        let (disk, mut log, _) = log_with_obsolete_segments();
        for _ in 0..seed % 5 {
            log.remove_obsolete().expect("removes");
        }
        disk.crash(seed);
        let (_, recovery) = open(&disk);
        assert_eq!(indexes(&recovery, GROUP), [19, 20]);
        assert_eq!(recovery.leftover_segments, 0, "seed {seed}");
    }
}

/// Guards against a disk on which an earlier build has left such a gap, which must be readable
/// whichever of the obsolete segments are there again.
#[test]
fn a_gap_among_segments_that_nothing_needs_is_no_damage() {
    let (disk, mut log, before) = log_with_obsolete_segments();
    while log.remove_obsolete().expect("removes") {}
    let needed = segments(&disk);
    let mut obsolete = segments(&before);
    obsolete.retain(|file| !needed.contains(file));
    assert!(obsolete.len() >= 3, "{obsolete:?}");
    for kept in 0..1_u32 << obsolete.len() {
        let copy = before.backup();
        for (place, file) in obsolete.iter().enumerate() {
            if kept & 1 << place == 0 {
                copy.remove(file).expect("the file exists");
            }
        }
        let (mut log, recovery) = open(&copy);
        assert_eq!(indexes(&recovery, GROUP), [19, 20], "kept {kept:b}");
        let group = &recovery.groups[&GROUP];
        assert_eq!(group.hard_state.as_deref(), Some(&b"vote"[..]));
        while log.remove_obsolete().expect("removes") {}
        assert_eq!(segments(&copy), needed, "kept {kept:b}");
    }
}

/// Guards against taking a lost segment that holds the only entries of a group for an obsolete
/// one.
#[test]
fn a_gap_with_entries_of_a_group_that_is_silent_since_is_an_error() {
    let (disk, mut log, _) = log_with_obsolete_segments();
    log.set_hard_state(OTHER, b"vote");
    log.append_entry(OTHER, 1, &[0; 256]);
    log.sync().expect("syncs");
    let of_other = segments(&disk).pop().expect("a segment");
    log.mark_snapshot(GROUP, 20, b"mark");
    for index in 21..=40 {
        log.append_entry(GROUP, index, &[0; 64]);
        log.sync().expect("syncs");
    }
    disk.remove(&of_other).expect("the file exists");
    let opened = WriteAheadLog::open(disk, settings());
    assert!(matches!(opened, Err(StorageError::Corrupt { .. })));
}

#[test]
fn overwritten_and_truncated_entries_are_gone() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    for index in 1..=5 {
        log.append_entry(GROUP, index, b"old");
    }
    log.sync().unwrap();
    log.append_entry(GROUP, 3, b"new");
    log.sync().unwrap();
    assert_eq!(indexes(&open(&disk).1, GROUP), [1, 2, 3]);
    log.truncate(GROUP, 2);
    log.sync().unwrap();
    assert_eq!(indexes(&open(&disk).1, GROUP), [1]);
}

#[test]
fn snapshots_allow_removal_of_old_segments() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    log.set_hard_state(GROUP, b"vote");
    for index in 1..=40 {
        log.append_entry(GROUP, index, &[0; 64]);
        log.sync().unwrap();
    }
    let before = log.size();
    log.mark_snapshot(GROUP, 38, b"mark");
    log.sync().unwrap();
    while log.remove_obsolete().unwrap() {}
    assert!(log.size() < before / 4, "{} of {before}", log.size());
    let (_, recovery) = open(&disk);
    let group = &recovery.groups[&GROUP];
    assert_eq!(group.hard_state.as_deref(), Some(&b"vote"[..]));
    assert_eq!(group.snapshot.as_ref().unwrap().index, 38);
    assert_eq!(indexes(&recovery, GROUP), [39, 40]);
}

#[test]
fn lagging_group_can_be_appended_again() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    log.append_entry(OTHER, 1, b"lone entry");
    for index in 1..=40 {
        log.append_entry(GROUP, index, &[0; 64]);
        log.sync().unwrap();
    }
    log.mark_snapshot(GROUP, 40, b"mark");
    log.sync().unwrap();
    while log.remove_obsolete().unwrap() {}
    assert_eq!(log.lagging_group(4), Some(OTHER));
    log.append_entry(OTHER, 1, b"lone entry");
    log.sync().unwrap();
    while log.remove_obsolete().unwrap() {}
    assert_eq!(log.lagging_group(4), None);
    assert_eq!(indexes(&open(&disk).1, OTHER), [1]);
}

#[test]
fn full_disk_uses_the_reserve_and_then_rejects_the_write() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    log.append_entry(GROUP, 1, b"first");
    log.sync().unwrap();
    disk.set_full(true);
    log.append_entry(GROUP, 2, &[0; 100]);
    log.sync().expect("the write uses the reserve");
    assert!(log.is_reserve_spent());
    assert!(!log.restore_reserve().unwrap());
    log.append_entry(GROUP, 3, &[0; 2_000]);
    let error = log.sync().expect_err("no space is left");
    assert!(error.is_full());
    assert_eq!(indexes(&open(&disk).1, GROUP), [1, 2]);
    disk.set_full(false);
    log.sync().expect("goes on once space is free");
    assert!(log.restore_reserve().unwrap());
    assert_eq!(indexes(&open(&disk).1, GROUP), [1, 2, 3]);
}

#[test]
fn full_disk_at_every_byte_leaves_a_readable_log() {
    for free in 0..700 {
        let disk = SimulatedDisk::new();
        disk.set_free(free);
        let (mut log, _) = open(&disk);
        let mut synced = 0;
        for index in 1..=6 {
            log.append_entry(GROUP, index, &[7; 60]);
            match log.sync() {
                Ok(_) => synced = index,
                Err(error) => assert!(error.is_full(), "{error}"),
            }
        }
        disk.crash(free);
        let read = indexes(&open(&disk).1, GROUP);
        assert_eq!(read, (1..=synced).collect::<Vec<_>>(), "{free} bytes free");
    }
}

#[test]
fn failed_sync_is_final() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open(&disk);
    disk.fail_syncs(1);
    log.append_entry(GROUP, 1, b"body");
    log.sync().expect_err("the sync fails");
    let again = log.sync().expect_err("the sync is not tried again");
    assert!(matches!(again, StorageError::Poisoned { .. }));
}

/// A step of the model test.
#[derive(Clone, Debug)]
enum Step {
    Append {
        group: u32,
        back: u64,
        length: usize,
    },
    HardState {
        group: u32,
        value: u8,
    },
    Snapshot {
        group: u32,
        back: u64,
    },
    Sync,
    Crash(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u32, 0..3u64, 0..90usize)
            .prop_map(|(group, back, length)| Step::Append { group, back, length }),
        1 => (0..3u32, any::<u8>()).prop_map(|(group, value)| Step::HardState { group, value }),
        1 => (0..3u32, 0..3u64).prop_map(|(group, back)| Step::Snapshot { group, back }),
        3 => Just(Step::Sync),
        1 => any::<u64>().prop_map(Step::Crash),
    ]
}

type Model = std::collections::BTreeMap<GroupId, GroupRecovery>;

fn change(model: &mut Model, log: &mut WriteAheadLog<SimulatedDisk>, step: &Step) {
    match *step {
        Step::Append {
            group,
            back,
            length,
        } => {
            let group = GroupId(group);
            let state = model.entry(group).or_default();
            let covered = state.snapshot.as_ref().map_or(0, |mark| mark.index);
            let last = covered + state.entries.len() as u64;
            let index = (last + 1).saturating_sub(back).max(covered + 1);
            let bytes = vec![index as u8; length];
            log.append_entry(group, index, &bytes);
            state.entries.truncate((index - covered - 1) as usize);
            state
                .entries
                .push(molespan_storage::LogEntry { index, bytes });
        }
        Step::HardState { group, value } => {
            log.set_hard_state(GroupId(group), &[value]);
            model.entry(GroupId(group)).or_default().hard_state = Some(vec![value]);
        }
        Step::Snapshot { group, back } => {
            let Some(state) = model.get_mut(&GroupId(group)) else {
                return;
            };
            let Some(last) = state.entries.last().map(|entry| entry.index) else {
                return;
            };
            let first = state.entries[0].index;
            let index = last.saturating_sub(back).max(first);
            log.mark_snapshot(GroupId(group), index, b"mark");
            state.entries.retain(|entry| entry.index > index);
            let bytes = b"mark".to_vec();
            state.snapshot = Some(molespan_storage::SnapshotMark { index, bytes });
        }
        Step::Sync | Step::Crash(_) => {}
    }
}

#[test]
fn any_crash_leaves_the_synced_state_or_the_one_in_progress() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig {
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let steps = proptest::collection::vec(step(), 1..80);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&steps, |steps| {
        let disk = SimulatedDisk::new();
        let (mut log, _) = open(&disk);
        let (mut model, mut synced) = (Model::new(), Model::new());
        for step in &steps {
            change(&mut model, &mut log, step);
            match step {
                Step::Sync => {
                    log.sync().expect("syncs");
                    while log.remove_obsolete().expect("removes") {}
                    synced.clone_from(&model);
                }
                Step::Crash(seed) => {
                    disk.fail_syncs(1);
                    let _ = log.sync();
                    disk.crash(*seed);
                    let recovery;
                    (log, recovery) = open(&disk);
                    let known = [&synced, &model].contains(&&recovery.groups);
                    prop_assert!(known, "{:?}", recovery.groups);
                    synced = recovery.groups;
                    model.clone_from(&synced);
                }
                _ => {}
            }
        }
        Ok(())
    });
    result.unwrap();
}
