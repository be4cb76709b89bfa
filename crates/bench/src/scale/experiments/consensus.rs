//! What replicated groups cost when nothing happens, and a restart.

use std::time::{Duration, Instant};

use molespan_replica::{ReplicaCore, ReplicaSettings};
use molespan_types::{NodeId, Timestamp};

use super::{REPEATS, micros};
use crate::scale::clock::thread_time;
use crate::scale::hollow::{Cluster, CountingDisk};
use crate::scale::{Recorder, ScaleError};

/// How long idle groups are watched.
const WATCHED_FOR: Duration = Duration::from_millis(1_000);

/// Frames, bytes and processor time of idle groups, a second, by their number.
pub(super) fn idle_groups(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for groups in [3_u32, 15, 31, 63] {
        let mut cluster = Cluster::start(groups)?;
        std::thread::sleep(WATCHED_FOR / 2);
        for _ in 0..REPEATS {
            let (_, used) = cluster.measure(|_| {
                std::thread::sleep(WATCHED_FOR);
                Ok(())
            })?;
            let seconds = used.elapsed.as_secs_f64();
            let measures = [
                ("replicas_us_per_s", micros(used.all) / seconds),
                ("frames_per_s", used.frames / seconds),
                ("frame_bytes_per_s", used.frame_bytes / seconds),
                ("disk_bytes_per_replica_per_s", used.disk_bytes / seconds),
            ];
            recorder.note("groups", f64::from(groups + 1), &measures);
        }
        cluster.stop()?;
    }
    Ok(())
}

/// Opening a replica whose log holds that many items.
pub(super) fn restart(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for items in [8_192, 16_384, 32_768] {
        let folder = super::jobs::submitted(items)?;
        for _ in 0..REPEATS {
            let disk = CountingDisk::open(&folder.path().join("replica-1"))?;
            let nodes: Vec<NodeId> = (1..=3).map(NodeId).collect();
            let mut settings = ReplicaSettings::new(NodeId(1), nodes, 1);
            settings.job_groups = 1;
            let before = thread_time()?;
            let began = Instant::now();
            let core = ReplicaCore::open(disk, settings, Timestamp::from_millis(1))?;
            let elapsed = began.elapsed();
            let spent = thread_time()?.saturating_sub(before);
            let measures = [
                ("processor_us", micros(spent)),
                ("elapsed_us", micros(elapsed)),
                ("log_bytes", core.status().log_bytes as f64),
            ];
            recorder.note("items", f64::from(items), &measures);
        }
    }
    Ok(())
}

/// Replacing a replica whose disk was lost, by the items that its group holds.
pub(super) fn replace(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let mut cluster = Cluster::start(1)?;
    let mut submitter = super::jobs::Submitter::default();
    let mut held = 0;
    for items in [8_192, 16_384, 32_768] {
        submitter.submit(&mut cluster, items - held)?;
        held = items;
        for repeat in 0..REPEATS {
            cluster.await_leaders()?;
            let seed = u64::from(items + repeat);
            let (_, used) = cluster.measure(|cluster| cluster.replace_one(seed))?;
            let measures = [
                ("elapsed_us", micros(used.elapsed)),
                ("replicas_us", micros(used.all)),
                ("replication_bytes", used.frame_bytes),
            ];
            recorder.note("items", f64::from(items), &measures);
        }
    }
    cluster.stop()?;
    Ok(())
}
