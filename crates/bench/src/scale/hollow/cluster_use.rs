//! What a cluster used in some time.

use std::time::Duration;

use super::replica_thread::ReplicaUse;

/// What a cluster used in some time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterUse {
    /// Wall time.
    pub elapsed: Duration,
    /// Processor time of the busiest replica, which leads the most groups.
    pub leader: Duration,
    /// Processor time of all replicas.
    pub all: Duration,
    /// Bytes that one replica wrote, on average.
    pub disk_bytes: f64,
    /// Syncs of one replica, on average.
    pub syncs: f64,
    /// Frames between replicas, of all of them.
    pub frames: f64,
    /// Bytes of those frames.
    pub frame_bytes: f64,
}

/// What was used between two reports of every replica.
pub(super) fn difference(
    elapsed: Duration,
    before: &[ReplicaUse],
    after: &[ReplicaUse],
) -> ClusterUse {
    let mut used = ClusterUse {
        elapsed,
        ..ClusterUse::default()
    };
    let count = after.len() as f64;
    for (before, after) in before.iter().zip(after) {
        let processor = after.processor.saturating_sub(before.processor);
        used.leader = used.leader.max(processor);
        used.all += processor;
        // A replica that was started anew counts from zero.
        let rise = |before: u64, after: u64| after.saturating_sub(before) as f64;
        used.disk_bytes += rise(before.disk.bytes, after.disk.bytes) / count;
        used.syncs += rise(before.disk.syncs, after.disk.syncs) / count;
        used.frames += rise(before.frames, after.frames);
        used.frame_bytes += rise(before.frame_bytes, after.frame_bytes);
    }
    used
}
