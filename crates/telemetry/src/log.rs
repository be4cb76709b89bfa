//! Root logger, log levels and log formats.

use std::{fmt, io};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{PlainDecorator, TermDecorator};

use crate::terminal::TerminalFormat;

/// Key of the value with the name of the part that logs.
pub(crate) const PART_KEY: &str = "part";
/// Maximum number of log lines queued for the writer. Further lines are dropped and
/// their number is logged, so that a slow terminal never delays the process.
const MAX_QUEUED_LINES: usize = 8192;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable lines, with the part in front of the message.
    #[default]
    #[display("terminal")]
    Terminal,
    /// One JSON object per line, with the part under `part`.
    #[display("json")]
    Json,
}

/// Minimum level of the lines that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// A failure that needs the attention of an operator.
    #[display("error")]
    Error,
    /// A problem that the system tolerates.
    #[display("warning")]
    Warning,
    /// Normal operation, for operators.
    #[default]
    #[display("info")]
    Info,
    /// Details for developers.
    #[display("debug")]
    Debug,
}

/// Error for a name that is not a log format or level.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{name} is none of {expected}")]
pub struct UnknownName {
    name: String,
    expected: &'static str,
}

impl std::str::FromStr for LogFormat {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        match name {
            "terminal" => Ok(Self::Terminal),
            "json" => Ok(Self::Json),
            _ => Err(UnknownName {
                name: name.to_owned(),
                expected: "terminal, json",
            }),
        }
    }
}

impl std::str::FromStr for LogLevel {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        match name {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(UnknownName {
                name: name.to_owned(),
                expected: "error, warning, info, debug",
            }),
        }
    }
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Level::Error,
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}

/// Flushes the log when dropped. Must be kept until the process ends.
pub struct LogGuard {
    /// Joins the writer thread when dropped.
    _queue: AsyncGuard,
}

impl fmt::Debug for LogGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("LogGuard").finish_non_exhaustive()
    }
}

/// A root logger and its guard.
#[derive(Debug)]
pub struct Log {
    /// The root logger. Parts log through a child of it, see [`part_logger`].
    pub logger: Logger,
    /// Flushes the log when dropped.
    pub guard: LogGuard,
}

impl Log {
    /// Creates a logger to standard error, in colour on a terminal.
    #[must_use]
    pub fn to_stderr(format: LogFormat, level: LogLevel) -> Self {
        match format {
            LogFormat::Terminal => {
                let decorator = TermDecorator::new().stderr().build();
                Self::start(TerminalFormat::new(decorator), level)
            }
            LogFormat::Json => Self::start(json(io::stderr()), level),
        }
    }

    /// Creates a logger to `writer`, without colours.
    #[must_use]
    pub fn to_writer(
        writer: impl io::Write + Send + 'static,
        format: LogFormat,
        level: LogLevel,
    ) -> Self {
        match format {
            LogFormat::Terminal => {
                Self::start(TerminalFormat::new(PlainDecorator::new(writer)), level)
            }
            LogFormat::Json => Self::start(json(writer), level),
        }
    }

    /// Creates a logger with a level filter and a queue in front of `drain`.
    fn start<D>(drain: D, level: LogLevel) -> Self
    where
        D: Drain<Ok = (), Err = io::Error> + Send + 'static,
    {
        // Errors of writing the log must not stop the process.
        let (queue, guard) = Async::new(drain.ignore_res())
            .chan_size(MAX_QUEUED_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let filter = LevelFilter::new(queue, level.into()).ignore_res();
        Self {
            logger: Logger::root(filter, o!()),
            guard: LogGuard { _queue: guard },
        }
    }
}

/// Creates the JSON drain.
fn json<W: io::Write>(writer: W) -> impl Drain<Ok = (), Err = io::Error> + use<W> {
    slog_json::Json::default(writer)
}

/// Creates the logger of a part, such as `gateway`.
pub fn part_logger(parent: &Logger, part: &'static str) -> Logger {
    parent.new(o!(PART_KEY => part))
}

/// Creates a logger that discards all lines, for tests and embedding.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
