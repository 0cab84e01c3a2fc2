//! Reads typed values out of a TOML document and collects every fault on the way.
//!
//! serde stops at the first wrong key, and an operator would mend a file one fault a try.

use crate::core::id::InvalidName;
use std::{fmt, net::SocketAddr, ops::RangeInclusive, time::Duration};
use toml::{Table, Value};

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with its tables; empty for the whole file.
    pub key: String,
    /// What is wrong and what is allowed.
    pub what: String,
}

/// Everything that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// The file's name.
    pub file: String,
    /// The faults, in the order found.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// One fault that concerns the whole file.
    pub fn whole_file(file: &str, what: impl fmt::Display) -> Self {
        let fault = Fault {
            key: String::new(),
            what: what.to_string(),
        };
        Self {
            file: file.to_owned(),
            faults: vec![fault],
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            if fault.key.is_empty() {
                write!(f, "{}: {}", self.file, fault.what)?;
            } else {
                write!(f, "{}: `{}`: {}", self.file, fault.key, fault.what)?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A document of which values are taken one by one; what is left at the end is unknown.
pub struct Reader {
    file: String,
    table: Table,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses a document.
    pub fn new(file: &str, text: &str) -> Result<Self, Faults> {
        let table = text
            .parse::<Table>()
            .map_err(|e| Faults::whole_file(file, e))?;
        Ok(Self {
            file: file.to_owned(),
            table,
            faults: Vec::new(),
        })
    }

    /// Notes a fault of `key`.
    pub fn fault(&mut self, key: &str, what: impl fmt::Display) {
        self.faults.push(Fault {
            key: key.to_owned(),
            what: what.to_string(),
        });
    }

    /// All faults, unknown keys among them; none when the file is good.
    pub fn finish(mut self) -> Option<Faults> {
        let mut unknown = Vec::new();
        for (section, value) in &self.table {
            match value {
                Value::Table(table) => {
                    unknown.extend(table.keys().map(|key| format!("{section}.{key}")));
                }
                _ => unknown.push(section.clone()),
            }
        }
        for key in unknown {
            self.fault(&key, "unknown key; docs/SETTINGS.md lists the known ones");
        }
        (!self.faults.is_empty()).then_some(Faults {
            file: self.file,
            faults: self.faults,
        })
    }

    /// A whole number within `range`.
    pub fn integer(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        match number {
            Some(n) if range.contains(&n) => n,
            _ => {
                let (least, most) = (range.start(), range.end());
                self.fault(
                    key,
                    format!("{value} is not a whole number from {least} to {most}"),
                );
                default
            }
        }
    }

    /// A span in whole milliseconds within `range`.
    pub fn duration(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.integer(key, default, range))
    }

    /// One of a closed set of words.
    pub fn choice<T: Copy>(&mut self, key: &str, default: T, words: &[(&str, T)]) -> T {
        let Some(value) = self.take(key) else {
            return default;
        };
        let found = words.iter().find(|(word, _)| value.as_str() == Some(word));
        if let Some((_, choice)) = found {
            return *choice;
        }
        let allowed: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.fault(key, format!("{value} is none of {}", allowed.join(", ")));
        default
    }

    /// A name that must be there.
    pub fn required_name<T>(&mut self, key: &str) -> Option<T>
    where
        T: TryFrom<String, Error = InvalidName>,
    {
        let text = self.required_text(key)?;
        T::try_from(text).map_err(|e| self.fault(key, e)).ok()
    }

    /// An address that must be there.
    pub fn required_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.required_text(key)?;
        self.address(key, &text)
    }

    /// A list of addresses; empty when absent.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.fault(key, format!("{value} is not a list of addresses"));
            return Vec::new();
        };
        let parse = |item: &Value| self.address(key, item.as_str().unwrap_or_default());
        items.iter().filter_map(parse).collect()
    }

    fn address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let parsed = text.parse();
        if parsed.is_err() {
            self.fault(
                key,
                format!("`{text}` is not an IP number and port such as 10.0.0.1:7000"),
            );
        }
        parsed.ok()
    }

    fn required_text(&mut self, key: &str) -> Option<String> {
        match self.take(key) {
            Some(Value::String(text)) => Some(text),
            Some(other) => {
                self.fault(key, format!("{other} is not a text in quotes"));
                None
            }
            None => {
                self.fault(key, "is missing");
                None
            }
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        let (section, name) = key.split_once('.')?;
        match self.table.get_mut(section)? {
            Value::Table(table) => table.remove(name),
            _ => None,
        }
    }
}
