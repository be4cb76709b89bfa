//! The command line of `molespan-emulator`.

use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins for the systems that molespan serves.
    ///
    /// Each prints one line of JSON with its addresses once it listens, and
    /// ends on SIGTERM.
    cmd molespan-emulator {
        /// Run one engine.
        cmd engine {
            /// Address to listen on; port 0 takes a free one.
            optional --listen listen: String
            /// Number in the platform's list.
            optional --backend backend: u32
            /// Life of this process; raise it with every restart.
            optional --incarnation incarnation: u64
            /// Costs and limits: archive or lab.
            optional --profile profile: String
            /// Model that is ready from the start; may be repeated.
            repeated --model model: String
            /// Address of the weight store; without one, weights arrive at once.
            optional --weights weights: String
            /// Network delay, one way, in microseconds.
            optional --one-way-micros one_way_micros: u64
            /// Seed of random choices.
            optional --seed seed: u64
            /// Faults in force from the start, as JSON.
            optional --faults faults: String
        }
        /// Run one application back end.
        cmd application {
            /// Address to listen on; port 0 takes a free one.
            optional --listen listen: String
            /// Number in the platform's list.
            optional --backend backend: u32
            /// Life of this process; raise it with every restart.
            optional --incarnation incarnation: u64
            /// Capacity and service time: archive or lab.
            optional --profile profile: String
            /// Network delay, one way, in microseconds.
            optional --one-way-micros one_way_micros: u64
            /// Seed of random choices.
            optional --seed seed: u64
            /// Faults in force from the start, as JSON.
            optional --faults faults: String
        }
        /// Run the platform list.
        cmd platform {
            /// Address to listen on; port 0 takes a free one.
            optional --listen listen: String
            /// Delay before a change is visible, in milliseconds.
            optional --lag-ms lag_ms: u64
            /// File with the list of machines at the start, as JSON.
            optional --machines machines: PathBuf
        }
        /// Run the weight store.
        cmd weights {
            /// Address to listen on; port 0 takes a free one.
            optional --listen listen: String
            /// What it holds: archive or lab.
            optional --profile profile: String
        }
        /// Run all stand-ins of a fleet in one process.
        cmd fleet {
            /// Fleet of today: archive or lab.
            optional --profile profile: String
            /// Settings file in TOML, in place of a profile.
            optional --settings settings: PathBuf
            /// First port, in place of the one in the settings.
            optional --first-port first_port: u16
            /// Threads that serve.
            optional --threads threads: usize
        }
    }
}
