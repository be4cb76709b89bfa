//! Identifiers of engine incarnations.

use std::collections::BTreeMap;

/// Separates the name from the start time. Names cannot contain it, since `#` ends the
/// path of a URL.
const SEPARATOR: char = '#';
/// The character that follows `SEPARATOR`, used as the upper bound of identifier ranges.
const AFTER_SEPARATOR: char = '$';

/// One incarnation of an engine, which may restart under the same name. Its identifier,
/// the key of every table of engines, consists of the name and the start time, or of the
/// name alone if the engine reported no start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineIncarnation<'a> {
    /// Name of the engine, the same for all its incarnations.
    pub name: &'a str,
    /// Start time in milliseconds since the Unix epoch (1970), if the engine reported it.
    pub started_at_ms: Option<u64>,
}

impl<'a> EngineIncarnation<'a> {
    /// Parses an identifier.
    #[must_use]
    pub fn of(id: &'a str) -> Self {
        let parts = id.rsplit_once(SEPARATOR);
        let incarnation = parts.and_then(|(name, started_at_ms)| {
            let started_at_ms = started_at_ms.parse().ok()?;
            Some(Self {
                name,
                started_at_ms: Some(started_at_ms),
            })
        });
        incarnation.unwrap_or(Self {
            name: id,
            started_at_ms: None,
        })
    }

    /// Whether `name` is a valid engine name.
    #[must_use]
    pub fn is_name(name: &str) -> bool {
        !name.is_empty() && !name.contains(SEPARATOR)
    }

    /// Returns the identifier of the incarnation.
    #[must_use]
    pub fn id(&self) -> String {
        match self.started_at_ms {
            Some(born) => format!("{}{SEPARATOR}{born}", self.name),
            None => self.name.to_owned(),
        }
    }

    /// Whether this incarnation ended before `other` started, since an engine has only one
    /// incarnation at a time. An incarnation without a start time counts as the earliest.
    #[must_use]
    pub fn is_superseded_by(&self, other: &EngineIncarnation<'_>) -> bool {
        self.name == other.name && self.started_at_ms < other.started_at_ms
    }

    /// Whether the departure of `departed` applies to this incarnation: `departed` is this
    /// incarnation or a later one.
    #[must_use]
    pub fn departure_applies(&self, departed: &EngineIncarnation<'_>) -> bool {
        self.name == departed.name && self.started_at_ms <= departed.started_at_ms
    }
}

/// Returns the entries of all incarnations of one engine in a map keyed by identifier.
pub fn incarnations_of<'m, V>(
    map: &'m BTreeMap<String, V>,
    name: &str,
) -> impl Iterator<Item = (&'m String, &'m V)> + use<'m, V> {
    let from = format!("{name}{SEPARATOR}");
    let to = format!("{name}{AFTER_SEPARATOR}");
    let plain = map.get_key_value(name).into_iter();
    plain.chain(map.range(from..to))
}
