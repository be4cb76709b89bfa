//! The command line of `molespan-emulator`.

use std::path::PathBuf;

xflags::xflags! {
    /// Emulated versions of the systems that molespan works with.
    ///
    /// Each command prints one line of JSON with its addresses once it
    /// listens, and exits on SIGTERM or SIGINT.
    cmd molespan-emulator {
        /// Run an engine.
        cmd engine {
            /// Listen address; port 0 selects a free port.
            optional --listen listen: String
            /// Identifier in the platform list.
            optional --backend backend: u32
            /// Incarnation of this process; increase it with every restart.
            optional --incarnation incarnation: u64
            /// Profile with the costs and limits: archive or lab.
            optional --profile profile: String
            /// Model loaded from the start; may be repeated.
            repeated --model model: String
            /// Address of the weight store; without it, weights load immediately.
            optional --weights weights: String
            /// One-way network delay, in microseconds.
            optional --one-way-micros one_way_micros: u64
            /// Seed of the random choices.
            optional --seed seed: u64
            /// Faults active from the start, as JSON.
            optional --faults faults: String
        }
        /// Run an application back end.
        cmd application {
            /// Listen address; port 0 selects a free port.
            optional --listen listen: String
            /// Identifier in the platform list.
            optional --backend backend: u32
            /// Incarnation of this process; increase it with every restart.
            optional --incarnation incarnation: u64
            /// Profile with the capacity and service time: archive or lab.
            optional --profile profile: String
            /// One-way network delay, in microseconds.
            optional --one-way-micros one_way_micros: u64
            /// Seed of the random choices.
            optional --seed seed: u64
            /// Faults active from the start, as JSON.
            optional --faults faults: String
        }
        /// Run the platform's machine list.
        cmd platform {
            /// Listen address; port 0 selects a free port.
            optional --listen listen: String
            /// Delay before a change becomes visible, in milliseconds.
            optional --lag-ms lag_ms: u64
            /// JSON file with the initial list of machines.
            optional --machines machines: PathBuf
        }
        /// Run the weight store.
        cmd weights {
            /// Listen address; port 0 selects a free port.
            optional --listen listen: String
            /// Profile with the weights: archive or lab.
            optional --profile profile: String
        }
        /// Run all emulated services of a fleet in one process.
        cmd fleet {
            /// Fleet profile: archive or lab.
            optional --profile profile: String
            /// TOML settings file, instead of a profile.
            optional --settings settings: PathBuf
            /// First port; overrides the settings.
            optional --first-port first_port: u16
            /// Number of server threads.
            optional --threads threads: usize
        }
    }
}
