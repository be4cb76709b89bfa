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
            /// Fleet of today: archive or lab.
            required --profile profile: String
            /// Folder for report.json, report.md and the plots.
            required --out out: PathBuf
            /// Measured seconds of each arm.
            optional --seconds seconds: u64
            /// Seed of arrival times, prompts and choices.
            optional --seed seed: u64
            /// Arms to run, separated by commas.
            optional --arms arms: String
        }
    }
}
