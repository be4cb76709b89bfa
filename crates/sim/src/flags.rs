//! The command line.

xflags::xflags! {
    /// Runs the decision cores under virtual time with seeded faults.
    cmd molespan-sim {
        /// Runs seeds and checks every guarantee.
        cmd run {
            /// Number of seeds.
            optional --seeds count: u64
            /// First seed.
            optional --seed seed: u64
            /// Fault classes, comma-separated; `all` or `none`.
            optional --faults classes: String
            /// Mechanism to disable.
            optional --without mechanism: String
            /// Indexes of the faults to keep, comma-separated; `none` for none.
            optional --keep-faults numbers: String
            /// Indexes of the pieces of work to keep, comma-separated.
            optional --keep-work numbers: String
            /// Number of threads.
            optional --threads count: usize
            /// Does not shrink failing scenarios.
            optional --no-shrink
            /// Lists fault classes, checkers and mechanisms instead.
            optional --list
        }
        /// Lists fault classes, checkers and mechanisms.
        cmd list {}
        /// Explores small state machines exhaustively.
        cmd explore {
            /// Maximum number of states per model.
            optional --states count: usize
        }
        /// Disables each mechanism and verifies that a checker detects it.
        cmd mutants {
            /// Maximum number of seeds per mechanism.
            optional --seeds count: u64
            /// Tests only this mechanism.
            optional --only mechanism: String
            /// Number of threads.
            optional --threads count: usize
        }
    }
}
