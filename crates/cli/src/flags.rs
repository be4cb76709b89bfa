//! The grammar of the command line.

#![allow(
    missing_docs,
    reason = "the macro writes the doc comments into the help text only"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Operates molespan and submits batch jobs.
    ///
    /// Exit codes: 0 done, 1 refused or failed, 2 wrong command line,
    /// 3 findings or problems, 4 no gateway answered, 5 outcome unknown,
    /// 6 the job ended with items that did not complete.
    cmd molespan {
        /// Gateways as IP:PORT, separated by commas; the first that responds is
        /// used. Default: $MOLESPAN_GATEWAY, else 127.0.0.1:7780.
        optional -g, --gateway addresses: String
        /// Prints JSON instead of text.
        optional --json

        /// Shows the effects of an intent without changing anything.
        cmd plan {
            /// JSON file of the intent: changes, and optionally number,
            /// operator and base_version.
            optional file: PathBuf
            /// Sets one field, such as service.captions.replicas=6,
            /// model.caption.version=2 or policy.tail_protection=80.
            repeated --set change: String
            /// Removes a service, model or adapter, such as service.captions.
            repeated --delete subject: String
            /// Number of the intent; default: the version in force plus one.
            optional --number number: u64
            /// Name of the operator; default: $USER.
            optional --operator name: String
            /// File to write the whole intent to, for molespan apply FILE.
            optional --save target: PathBuf
        }

        /// Confirms a plan. Repeating the command is safe.
        cmd apply {
            /// Number of a plan made at one of the gateways, or the JSON file
            /// of an intent, which is planned, shown and confirmed.
            required plan: String
            /// Confirms without asking.
            optional -y, --yes
            /// Name of the operator; default: $USER.
            optional --operator name: String
        }

        /// Shows services, models, adapters, tenants, policy, versions,
        /// backends, nodes, jobs, orders, placement or configuration.
        cmd get {
            /// What to show.
            required kind: String
        }

        /// Batch jobs.
        cmd jobs {
            /// Tenant that the job belongs to; default: $MOLESPAN_TENANT.
            optional --tenant tenant: String

            /// Submits a job. Submitting it again with the same key is safe.
            cmd submit {
                /// JSON lines, each {"prompt": …, "max_tokens": …}.
                required file: PathBuf
                /// Service that runs it.
                required --service service: String
                /// Idempotency key; the same key returns the same job.
                required --key key: String
                /// Time within which the job should be done, such as 30min.
                optional --deadline duration: String
                /// Runs each item at most once.
                optional --not-repeatable
                /// Waits until the job has ended; prints its progress to standard error.
                optional --wait
            }

            /// Shows the state of a job.
            cmd status {
                /// Job, as job-….
                required id: String
                /// Waits until the job has ended.
                optional --wait
            }

            /// Prints the results of a job as JSON lines, in item order.
            cmd results {
                /// Job, as job-….
                required id: String
                /// First item to print.
                optional --from item: u32
                /// File to write to instead of standard output.
                optional -o, --output file: PathBuf
            }

            /// Cancels a job.
            cmd cancel {
                /// Job, as job-….
                required id: String
            }

            /// Lists jobs, newest first.
            cmd list {
            }
        }

        /// Prints the decisions of every given node as they are made. Replicas
        /// report leaders and repairs, gateways everything else.
        cmd watch {
            /// Shows only this kind, such as route, refuse, preempt or place.
            repeated --kind kind: String
            /// Shows only subjects that contain this text.
            optional --subject text: String
            /// Number of earlier events of each gateway to start with.
            optional --history events: u64
            /// Number of events after which to exit.
            optional --count events: u64
        }

        /// Requests that are barred from all engines because they crashed engines.
        /// For clusters with member discovery.
        cmd bars {
            /// Control nodes as IP:PORT of their internal port, separated by commas.
            required --control addresses: String

            /// Lists the bars, lifted ones included, newest first.
            cmd show {
            }

            /// Lifts the bar on a request, which may crash engines again. Repeating
            /// the command is safe.
            cmd lift {
                /// Digest of the request, as shown in the list and the logs.
                required digest: String
            }
        }

        /// Settings files of molespand.
        cmd settings {
            /// Checks a file and prints every finding with its location.
            cmd check {
                /// TOML file.
                required file: PathBuf
            }
        }

        /// Runs a small fleet in this process as a demonstration.
        cmd demo {
        }
    }
}
