//! Types of values in a settings file, and how they are parsed and displayed.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use molespan_telemetry::{LogFormat, LogLevel};
use molespan_types::{NodeId, ZoneName};
use toml::de::{DeInteger, DeValue};

use crate::discovered::Purpose;
use crate::duration::{format_duration, parse_duration};
use crate::model::{EngineChoice, Preemption, Role};

/// A type that a settings file can hold.
pub(crate) trait Value: Sized {
    /// Description of the expected value, for messages.
    const EXPECTED: &'static str;

    /// Parses the value; the error is one sentence that describes the problem.
    fn read(value: &DeValue<'_>) -> Result<Self, String>;

    /// Formats the value as in a settings file, for messages.
    fn show(&self) -> String;
}

fn wrong_type<T: Value>(value: &DeValue<'_>) -> String {
    format!("expected {}, found {}", T::EXPECTED, value.type_str())
}

fn text_of<'v, T: Value>(value: &'v DeValue<'_>) -> Result<&'v str, String> {
    value.as_str().ok_or_else(|| wrong_type::<T>(value))
}

fn parse_text<T: Value + std::str::FromStr>(value: &DeValue<'_>) -> Result<T, String> {
    let text = text_of::<T>(value)?;
    text.parse()
        .map_err(|_| format!("expected {}, found {text:?}", T::EXPECTED))
}

impl Value for String {
    const EXPECTED: &'static str = "a text that is not empty";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let text = text_of::<Self>(value)?;
        if text.trim().is_empty() {
            return Err(format!("expected {}", Self::EXPECTED));
        }
        Ok(text.to_owned())
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl Value for u64 {
    const EXPECTED: &'static str = "a whole number";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let integer = value.as_integer();
        let integer: &DeInteger<'_> = integer.ok_or_else(|| wrong_type::<Self>(value))?;
        u64::from_str_radix(integer.as_str(), integer.radix())
            .map_err(|_| format!("{integer} is below 0 or too large"))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for u32 {
    const EXPECTED: &'static str = u64::EXPECTED;

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let number = u64::read(value)?;
        u32::try_from(number).map_err(|_| format!("{number} is too large"))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for u8 {
    const EXPECTED: &'static str = u64::EXPECTED;

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let number = u64::read(value)?;
        u8::try_from(number).map_err(|_| format!("{number} is too large"))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for u16 {
    const EXPECTED: &'static str = u64::EXPECTED;

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let number = u64::read(value)?;
        u16::try_from(number).map_err(|_| format!("{number} is too large"))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "true or false";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        value.as_bool().ok_or_else(|| wrong_type::<Self>(value))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for Ipv4Addr {
    const EXPECTED: &'static str = "an IPv4 address, such as \"127.0.0.1\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for Purpose {
    const EXPECTED: &'static str = "\"gateway\", \"control\" or \"store\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for Vec<SocketAddr> {
    const EXPECTED: &'static str = "a list of addresses";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let entries = value.as_array().ok_or_else(|| wrong_type::<Self>(value))?;
        entries
            .iter()
            .map(|entry| SocketAddr::read(entry.get_ref()))
            .collect()
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl Value for Duration {
    const EXPECTED: &'static str = "a duration with its unit, such as \"250ms\" or \"8s\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let text = text_of::<Self>(value)?;
        parse_duration(text).map_err(|error| format!("{text:?} is no duration: {error}"))
    }

    fn show(&self) -> String {
        format_duration(*self)
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port, such as \"127.0.0.1:7780\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for PathBuf {
    const EXPECTED: &'static str = "a path";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let text = text_of::<Self>(value)?;
        if text.is_empty() {
            return Err("expected a path, found an empty text".to_owned());
        }
        Ok(PathBuf::from(text))
    }

    fn show(&self) -> String {
        self.display().to_string()
    }
}

impl Value for ZoneName {
    const EXPECTED: &'static str = String::EXPECTED;

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        String::read(value).map(ZoneName)
    }

    fn show(&self) -> String {
        self.0.clone()
    }
}

impl Value for NodeId {
    const EXPECTED: &'static str = "a whole number from 1";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        match u32::read(value)? {
            0 => Err(format!("expected {}, found 0", Self::EXPECTED)),
            number => Ok(NodeId(number)),
        }
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for LogLevel {
    const EXPECTED: &'static str = "one of \"error\", \"warning\", \"info\", \"debug\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for LogFormat {
    const EXPECTED: &'static str = "one of \"terminal\", \"json\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl std::str::FromStr for Preemption {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "on-arrival" => Ok(Self::OnArrival),
            "engine-priority-only" => Ok(Self::EnginePriorityOnly),
            "none" => Ok(Self::None),
            _ => Err(format!("{text:?} is no way of preemption")),
        }
    }
}

impl Value for Preemption {
    const EXPECTED: &'static str = "one of \"on-arrival\", \"engine-priority-only\", \"none\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl std::str::FromStr for EngineChoice {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "affinity" => Ok(Self::Affinity),
            "better-of-two" => Ok(Self::BetterOfTwo),
            "round-robin" => Ok(Self::RoundRobin),
            "least-reported" => Ok(Self::LeastReported),
            _ => Err(format!("{text:?} is no way to choose engines")),
        }
    }
}

impl Value for EngineChoice {
    const EXPECTED: &'static str =
        "one of \"affinity\", \"better-of-two\", \"round-robin\", \"least-reported\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        parse_text(value)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl std::str::FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "gateway" => Ok(Role::Gateway),
            "replica" => Ok(Role::Replica),
            _ => Err(format!("{text:?} is no role")),
        }
    }
}

/// The roles of a node: a list of names without duplicates.
impl Value for Vec<Role> {
    const EXPECTED: &'static str = "a list of \"gateway\", \"replica\" or both";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let array = value.as_array().ok_or_else(|| wrong_type::<Self>(value))?;
        let mut roles = Vec::new();
        for element in array {
            let name = text_of::<Self>(element.get_ref())?;
            let role: Role = name.parse()?;
            if roles.contains(&role) {
                return Err(format!("{role} is listed twice"));
            }
            roles.push(role);
        }
        if roles.is_empty() {
            return Err(format!("expected {}, found none", Self::EXPECTED));
        }
        Ok(roles)
    }

    fn show(&self) -> String {
        let names: Vec<String> = self.iter().map(Role::to_string).collect();
        names.join(", ")
    }
}
