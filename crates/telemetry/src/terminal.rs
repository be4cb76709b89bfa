//! Human-readable log lines: time, level, part, message, values.

use std::cell::RefCell;
use std::fmt::{self, Write as _};
use std::io;

use slog::{Drain, KV, Key, OwnedKVList, Record, Serializer};
use slog_term::{Decorator, timestamp_utc};

use crate::log::PART_KEY;

/// Writes one line per record.
pub(crate) struct TerminalFormat<D> {
    decorator: D,
}

impl<D> TerminalFormat<D> {
    pub(crate) fn new(decorator: D) -> Self {
        Self { decorator }
    }
}

impl<D: Decorator> Drain for TerminalFormat<D> {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let line = Line::of(record, values)?;
        self.decorator.with_record(record, values, |output| {
            output.start_timestamp()?;
            timestamp_utc(output)?;
            output.start_level()?;
            write!(output, " {:5}", record.level().as_short_str())?;
            output.start_msg()?;
            write!(output, " {}{}", line.prefix, record.msg())?;
            output.start_value()?;
            write!(output, "{}", line.values)?;
            output.start_whitespace()?;
            writeln!(output)?;
            output.flush()
        })
    }
}

/// The portions of a line that are built from key-value pairs.
#[derive(Default)]
struct Line {
    prefix: String,
    values: String,
}

impl Line {
    fn of(record: &Record<'_>, values: &OwnedKVList) -> Result<Self, io::Error> {
        let mut collector = Collector(RefCell::new(Self::default()));
        record.kv().serialize(record, &mut collector)?;
        values.serialize(record, &mut collector)?;
        Ok(collector.0.into_inner())
    }

    /// Adds a pair. The value of [`PART_KEY`] becomes the prefix.
    fn add(&mut self, key: Key, value: &fmt::Arguments<'_>) -> fmt::Result {
        if key == PART_KEY {
            // The innermost part comes first and takes precedence.
            if self.prefix.is_empty() {
                write!(self.prefix, "{value}: ")?;
            }
            return Ok(());
        }
        write!(self.values, ", {key}={value}")
    }
}

/// Collects pairs into a [`Line`].
struct Collector(RefCell<Line>);

impl Serializer for Collector {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.get_mut().add(key, value)?;
        Ok(())
    }
}
