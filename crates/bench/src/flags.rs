//! The command line of `molespan-bench`.

use std::path::PathBuf;

xflags::xflags! {
    /// Measures molespan against emulated back ends.
    ///
    /// The last line printed on stdout is one JSON object with the figures.
    cmd molespan-bench {
        /// Run a fleet of real processes under load and account for each
        /// request and item.
        cmd run {
            /// Profile of the fleet and its load: archive or lab.
            required --profile profile: String
            /// Folder for report.json, report.md and the plots.
            required --out out: PathBuf
            /// Measured time of each arm, in seconds.
            optional --seconds seconds: u64
            /// Seed for arrival times, prompts and random choices.
            optional --seed seed: u64
            /// Arms to run, separated by commas.
            optional --arms arms: String
        }
    }
}
