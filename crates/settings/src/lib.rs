//! Settings files of the daemon.
//!
//! [`Settings::load`] reads a TOML file. Each error in the file is collected as a
//! [`Finding`] with its line and key, and all findings are reported together; a file
//! with findings yields no settings. [`Settings::to_toml`] writes a file that parses
//! to the same settings.

mod check;
pub mod discovered;
mod duration;
mod finding;
mod model;
mod place;
mod read;
mod section;
mod value;
mod write;

pub use duration::{DurationError, format_duration, parse_duration};
pub use finding::{Finding, Findings};
pub use model::{
    ClusterSettings, DrainSettings, EngineChoice, LimitSettings, LogSettings, NodeSettings, Peer,
    PlatformSettings, PolicySettings, Preemption, Role, Settings, TimingSettings,
};
pub use molespan_telemetry::{LogFormat, LogLevel};
