//! The experiments, each stepping one quantity.

mod balance;
mod batch;
mod claims;
mod configuration;
mod consensus;
mod gateway;
mod job_memory;
mod jobs;
mod loads;
mod membership;
mod nodes;
mod routing;
mod sockets;
mod watch;

use super::{Recorder, ScaleError};

/// Runs at each step, for the error of the slope.
const REPEATS: u32 = 3;

/// One experiment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Experiment {
    /// Its name.
    pub(super) name: &'static str,
    /// Runs it.
    pub(super) run: fn(&mut Recorder) -> Result<(), ScaleError>,
}

/// Every experiment, in the order in which they run.
pub(super) const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "configuration-size",
        run: configuration::size,
    },
    Experiment {
        name: "configuration-confirm",
        run: configuration::confirm,
    },
    Experiment {
        name: "confirmation-memory",
        run: configuration::confirmation_memory,
    },
    Experiment {
        name: "node-registry",
        run: nodes::registry,
    },
    Experiment {
        name: "live-nodes",
        run: nodes::live_nodes,
    },
    Experiment {
        name: "machine-list",
        run: membership::machine_list,
    },
    Experiment {
        name: "directory-memory",
        run: membership::directory_memory,
    },
    Experiment {
        name: "ownership-engines",
        run: membership::ownership_engines,
    },
    Experiment {
        name: "ownership-gateways",
        run: membership::ownership_gateways,
    },
    Experiment {
        name: "subset",
        run: membership::subset_of_engines,
    },
    Experiment {
        name: "subset-balance",
        run: balance::balance,
    },
    Experiment {
        name: "load-digest",
        run: loads::digest,
    },
    Experiment {
        name: "load-report",
        run: loads::report,
    },
    Experiment {
        name: "online-notice",
        run: loads::notice,
    },
    Experiment {
        name: "pick",
        run: routing::pick,
    },
    Experiment {
        name: "picker-memory",
        run: routing::picker_memory,
    },
    Experiment {
        name: "prefix-memory",
        run: routing::prefix_memory,
    },
    Experiment {
        name: "admission",
        run: routing::admission,
    },
    Experiment {
        name: "admission-memory",
        run: routing::admission_memory,
    },
    Experiment {
        name: "batch-owner",
        run: batch::owner,
    },
    Experiment {
        name: "job-submit",
        run: jobs::submit,
    },
    Experiment {
        name: "job-run",
        run: jobs::run,
    },
    Experiment {
        name: "running-item-memory",
        run: job_memory::running_items,
    },
    Experiment {
        name: "finished-job-memory",
        run: job_memory::finished_jobs,
    },
    Experiment {
        name: "claims",
        run: claims::claims,
    },
    Experiment {
        name: "claim-memory",
        run: claims::claim_memory,
    },
    Experiment {
        name: "idle-groups",
        run: consensus::idle_groups,
    },
    Experiment {
        name: "restart",
        run: consensus::restart,
    },
    Experiment {
        name: "replace-replica",
        run: consensus::replace,
    },
    Experiment {
        name: "gateway-sockets",
        run: gateway::engines,
    },
    Experiment {
        name: "watch-sockets",
        run: watch::watch,
    },
    Experiment {
        name: "messages-sockets",
        run: sockets::messages,
    },
];

/// Microseconds of a time.
fn micros(time: std::time::Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
