//! Duties of the replicas: the control group, and the job groups.

use super::inputs::Inputs;
use super::size::{DAY_SECONDS, LETTER, MEGABYTE};
use super::table::{Mark, Table, figure};

/// Replicas of each group.
const REPLICAS: f64 = 3.0;
/// Confirmations that the control group remembers.
const CONFIRMATIONS: f64 = 131_072.0;
/// Sets of three machines that job groups are divided over once they can be:
/// 35 machines, less three of the control group and two to spare.
const PLANNED_SETS: f64 = 10.0;
/// Job groups.
const JOB_GROUPS: f64 = 40.0;
/// Share of online requests that may run only once, an assumption.
const CLAIMED_SHARE: f64 = 0.01;
/// Days for which results are kept, an assumption.
const KEPT_DAYS: f64 = 7.0;
/// Applied entries after which a group takes a snapshot.
const SNAPSHOT_ENTRIES: f64 = 20_000.0;
/// Items in one lease or record.
const ITEMS_OF_AN_ENTRY: f64 = 64.0;
/// Microseconds of a second.
const SECOND_US: f64 = 1e6;

/// A line of a table of replicas.
struct Line {
    name: &'static str,
    unit: &'static str,
    values: Vec<f64>,
    mechanism: &'static str,
    source: &'static str,
    mark: Mark,
}

fn render(name: &'static str, columns: &[&str], lines: &[Line]) -> Table {
    let mut text = format!(
        "| quantity | unit | {} | mechanism | source | mark |\n|---|---|{}---|---|---|\n",
        columns.join(" | "),
        "---:|".repeat(columns.len()),
    );
    for line in lines {
        let values: Vec<String> = line.values.iter().map(|value| figure(*value)).collect();
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} |\n",
            line.name,
            line.unit,
            values.join(" | "),
            line.mechanism,
            line.source,
            line.mark.text(),
        ));
    }
    Table { name, text }
}

/// The control group's three replicas together.
pub(super) fn control(inputs: &Inputs) -> Table {
    let nodes = LETTER.gateways;
    let changes = LETTER.changes_per_day / DAY_SECONDS;
    let idle = inputs.slope("watch-sockets", "idle_replicas_us_per_s") * nodes;
    let fan_out = inputs.slope("watch-sockets", "change_replicas_us") * nodes * changes;
    let fan_out_bytes = inputs.slope("watch-sockets", "change_bytes_to_nodes") * nodes * changes;
    let confirm = inputs.slope("configuration-confirm", "replicas_us") * changes;
    let in_force = inputs.at("watch-sockets", "change_in_force_ms", nodes) / 1e3;
    let resident = inputs.slope("confirmation-memory", "resident_bytes") * CONFIRMATIONS
        + inputs.slope("node-registry", "resident_bytes") * nodes;
    let snapshot = inputs.slope("confirmation-memory", "snapshot_bytes") * CONFIRMATIONS
        + inputs.slope("node-registry", "snapshot_bytes") * nodes
        + inputs.at("configuration-size", "bytes", LETTER.tenants);
    let lines = [
        Line {
            name: "watches and heartbeats of all gateways",
            unit: "% of a core",
            values: vec![idle / 1e4],
            mechanism: "one confirming read each 250 ms serves every watcher of a replica",
            source: "watch-sockets",
            mark: Mark::Measured,
        },
        Line {
            name: "sending changes on to all gateways",
            unit: "% of a core",
            values: vec![fan_out / 1e4],
            mechanism: "what changed since the watcher's version",
            source: "watch-sockets",
            mark: Mark::Measured,
        },
        Line {
            name: "bytes of that",
            unit: "KB/s",
            values: vec![fan_out_bytes / 1e3],
            mechanism: "the same",
            source: "watch-sockets",
            mark: Mark::Measured,
        },
        Line {
            name: "committing changes",
            unit: "% of a core",
            values: vec![confirm / 1e4],
            mechanism: "consensus of the control group, one sync a change",
            source: "configuration-confirm",
            mark: Mark::Measured,
        },
        Line {
            name: "a change in force on every gateway",
            unit: "s",
            values: vec![in_force],
            mechanism: "long polls are answered as soon as a replica applied the change",
            source: "watch-sockets",
            mark: Mark::Measured,
        },
        Line {
            name: "state in memory, each replica",
            unit: "MB",
            values: vec![resident / MEGABYTE],
            mechanism: "configuration, the last 131,072 confirmations, registered nodes",
            source: "confirmation-memory, node-registry",
            mark: Mark::Measured,
        },
        Line {
            name: "snapshot, each replica",
            unit: "MB",
            values: vec![snapshot / MEGABYTE],
            mechanism: "taken each 20,000 entries, 40 hours apart at this rate",
            source: "confirmation-memory, node-registry, configuration-size",
            mark: Mark::Measured,
        },
    ];
    render("control", &["figure"], &lines)
}

/// One set of three machines that hold job groups: all of them in one set, as
/// built, and divided over ten.
pub(super) fn jobs(inputs: &Inputs) -> Table {
    let items = LETTER.items_per_day / DAY_SECONDS;
    let both = |measure| inputs.slope("job-submit", measure) + inputs.slope("job-run", measure);
    let claims = LETTER.online_per_second * CLAIMED_SHARE;
    let claim = |measure| inputs.slope("claims", measure);
    let disk = items * both("disk_bytes_per_replica");
    let replication = items * both("replication_bytes") / REPLICAS;
    let running = LETTER.items_per_day * inputs.slope("running-item-memory", "resident_bytes");
    let finished =
        LETTER.jobs_per_day * 365.0 * inputs.slope("finished-job-memory", "resident_bytes");
    let entries = items * 2.0 / ITEMS_OF_AN_ENTRY;
    let state = LETTER.items_per_day * inputs.slope("running-item-memory", "snapshot_bytes");
    let snapshots = state / JOB_GROUPS * entries / SNAPSHOT_ENTRIES;
    let idle = inputs.slope("idle-groups", "replicas_us_per_s") * JOB_GROUPS / REPLICAS;
    let restart = inputs.slope("restart", "elapsed_us") * SNAPSHOT_ENTRIES * ITEMS_OF_AN_ENTRY;
    // One set now, ten then; each value is of one set or one of its machines.
    let divided = |value: f64| vec![value, value / PLANNED_SETS];
    let lines = [
        Line {
            name: "items, mean of a day",
            unit: "items/s",
            values: divided(items),
            mechanism: "a job lives in the group that its key hashes to",
            source: "letter",
            mark: Mark::OnPaper,
        },
        Line {
            name: "processor time of the busiest machine",
            unit: "% of a core",
            values: divided(items * both("leader_us") / 1e4),
            mechanism: "submit, lease and record through consensus",
            source: "job-submit, job-run",
            mark: Mark::Measured,
        },
        Line {
            name: "items that one group takes",
            unit: "items/s",
            values: vec![SECOND_US / both("elapsed_us"); 2],
            mechanism: "submitted and run one after the other on the disk of the run",
            source: "job-submit, job-run",
            mark: Mark::Measured,
        },
        Line {
            name: "written to each machine's disk",
            unit: "MB/s",
            values: divided(disk / MEGABYTE),
            mechanism: "log entry and payload log, 1 KB inputs and 1 KB results",
            source: "job-submit, job-run",
            mark: Mark::Measured,
        },
        Line {
            name: "kept on each machine's disk for 7 days",
            unit: "GB",
            values: divided(disk / 2.0 * DAY_SECONDS * KEPT_DAYS / 1e9),
            mechanism: "payload logs, which nothing cuts yet",
            source: "job-submit, job-run",
            mark: Mark::OnPaper,
        },
        Line {
            name: "sent to other replicas, each machine on average",
            unit: "MB/s",
            values: divided(replication / MEGABYTE),
            mechanism: "the leader sends each entry to two followers",
            source: "job-submit, job-run",
            mark: Mark::Measured,
        },
        Line {
            name: "memory of running items, a day's all at once",
            unit: "GB",
            values: divided(running / 1e9),
            mechanism: "12 bytes an item in the item table, and room to grow",
            source: "running-item-memory",
            mark: Mark::Measured,
        },
        Line {
            name: "memory of a year's finished jobs",
            unit: "GB",
            values: divided(finished / 1e9),
            mechanism: "summaries and item tables lie in the payload log",
            source: "finished-job-memory",
            mark: Mark::Measured,
        },
        Line {
            name: "snapshots written, a day's items all running",
            unit: "MB/s",
            values: divided(snapshots / MEGABYTE),
            mechanism: "each group writes its whole state each 20,000 entries; 40 groups",
            source: "running-item-memory",
            mark: Mark::Simulated,
        },
        Line {
            name: "processor time of idle groups",
            unit: "% of a core",
            values: divided(idle / 1e4),
            mechanism: "heartbeats of 40 groups",
            source: "idle-groups",
            mark: Mark::Measured,
        },
        Line {
            name: "processor time of claims",
            unit: "% of a core",
            values: divided(claims * claim("leader_us") / 1e4),
            mechanism: "claim and settlement through consensus, 1% of online requests",
            source: "claims",
            mark: Mark::Measured,
        },
        Line {
            name: "claims written to each machine's disk",
            unit: "MB/s",
            values: divided(claims * claim("disk_bytes_per_replica") / MEGABYTE),
            mechanism: "the same, with 1 KB answers",
            source: "claims",
            mark: Mark::Measured,
        },
        Line {
            name: "reading the log back at a restart",
            unit: "s",
            values: vec![restart / SECOND_US, restart / SECOND_US],
            mechanism: "at most 20,000 entries of 64 items behind the snapshot of a group",
            source: "restart",
            mark: Mark::Simulated,
        },
    ];
    render("jobs", &["one set, as built", "ten sets"], &lines)
}
