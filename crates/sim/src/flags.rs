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
            /// Classes of faults, by commas; `all` or `none`.
            optional --faults classes: String
            /// Mechanism to switch off.
            optional --without mechanism: String
            /// Numbers of the faults to keep, by commas; `none` for none.
            optional --keep-faults numbers: String
            /// Numbers of the pieces of work to keep, by commas.
            optional --keep-work numbers: String
            /// Threads.
            optional --threads count: usize
            /// Does not look for a smaller scenario when a seed fails.
            optional --no-shrink
            /// Names classes of faults and checkers instead.
            optional --list
        }
        /// Names classes of faults, checkers and mechanisms.
        cmd list {}
        /// Explores small state machines exhaustively.
        cmd explore {
            /// Most states of each model.
            optional --states count: usize
        }
        /// Switches each mechanism off and shows that a checker notices.
        cmd mutants {
            /// Most seeds tried for each mechanism.
            optional --seeds count: u64
            /// Only this mechanism.
            optional --only mechanism: String
            /// Threads.
            optional --threads count: usize
        }
    }
}
