//! Contract tests that both disk implementations must pass.

use molespan_storage::{Disk, RealDisk, SimulatedDisk, StorageError, WriteAheadLog};
use molespan_types::GroupId;

/// A requirement of the interface, checked on an empty disk.
struct Case<D> {
    name: &'static str,
    check: fn(&D) -> Result<(), StorageError>,
}

fn cases<D: Disk>() -> Vec<Case<D>> {
    vec![
        Case {
            name: "missing files and directories are empty, not errors",
            check: |disk| {
                assert_eq!(disk.length("nothing")?, None);
                assert_eq!(disk.read("nothing")?, None);
                assert_eq!(disk.list("nowhere")?, Vec::<String>::new());
                disk.remove("nothing")
            },
        },
        Case {
            name: "a directory may be created twice and inside another one",
            check: |disk| {
                disk.create_dir("outer/inner")?;
                disk.create_dir("outer/inner")?;
                disk.append("outer/inner/file", b"content")?;
                assert_eq!(disk.list("outer/inner")?, ["file"]);
                assert_eq!(disk.list("outer")?, Vec::<String>::new());
                disk.sync_dir("outer/inner")
            },
        },
        Case {
            name: "names are listed in order",
            check: |disk| {
                for name in ["b", "c", "a"] {
                    disk.append(name, b"")?;
                }
                assert_eq!(disk.list("")?, ["a", "b", "c"]);
                disk.sync_dir("")
            },
        },
        Case {
            name: "appended bytes are read back at once",
            check: |disk| {
                disk.append("file", b"first ")?;
                disk.append("file", b"second")?;
                assert_eq!(disk.length("file")?, Some(12));
                assert_eq!(disk.read_at("file", 6, 6)?, b"second");
                disk.sync("file")?;
                assert_eq!(disk.read("file")?.unwrap(), b"first second");
                Ok(())
            },
        },
        Case {
            name: "reading past the end is an error",
            check: |disk| {
                disk.append("file", b"content")?;
                assert!(disk.read_at("file", 5, 3).is_err());
                assert!(disk.read_at("file", 8, 1).is_err());
                assert!(disk.read_at("nothing", 0, 1).is_err());
                Ok(())
            },
        },
        Case {
            name: "appends go on at the end of a truncated file",
            check: |disk| {
                disk.append("file", b"content")?;
                disk.truncate("file", 3)?;
                disk.append("file", b"rast")?;
                assert_eq!(disk.read("file")?.unwrap(), b"conrast");
                Ok(())
            },
        },
        Case {
            name: "renaming replaces the other file",
            check: |disk| {
                disk.append("old", b"old")?;
                disk.append("new", b"new")?;
                disk.rename("new", "old")?;
                disk.append("old", b"er")?;
                assert_eq!(disk.read("old")?.unwrap(), b"newer");
                assert_eq!(disk.length("new")?, None);
                disk.sync_dir("")
            },
        },
        Case {
            name: "a removed file starts anew",
            check: |disk| {
                disk.append("file", b"content")?;
                disk.remove("file")?;
                assert_eq!(disk.length("file")?, None);
                disk.append("file", b"again")?;
                assert_eq!(disk.read("file")?.unwrap(), b"again");
                Ok(())
            },
        },
        Case {
            name: "what does not exist cannot be synced, truncated or renamed",
            check: |disk| {
                assert!(disk.sync("nothing").is_err());
                assert!(disk.truncate("nothing", 0).is_err());
                assert!(disk.rename("nothing", "something").is_err());
                Ok(())
            },
        },
        Case {
            name: "a log is read back",
            check: |disk| {
                let (mut log, _) = WriteAheadLog::open(disk.clone(), Default::default())?;
                log.append_entry(GroupId(1), 1, b"entry");
                log.sync()?;
                drop(log);
                let (_, recovery) = WriteAheadLog::open(disk.clone(), Default::default())?;
                assert_eq!(recovery.groups[&GroupId(1)].entries[0].bytes, b"entry");
                Ok(())
            },
        },
    ]
}

#[test]
fn simulated_disk_keeps_the_contract() {
    for Case { name, check } in cases() {
        check(&SimulatedDisk::new()).unwrap_or_else(|error| panic!("{name}: {error}"));
    }
}

#[test]
fn real_disk_keeps_the_contract() {
    for Case { name, check } in cases() {
        let folder = tempfile::tempdir().unwrap();
        let disk = RealDisk::open(folder.path()).unwrap();
        check(&disk).unwrap_or_else(|error| panic!("{name}: {error}"));
    }
}
