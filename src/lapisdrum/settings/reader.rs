//! Reads typed values out of a TOML document and collects all faults.
//!
//! serde stops at the first wrong key, so an operator would have to correct a file one fault at a
//! time.

use super::{
    lines::{KeyLines, line_at},
    table::{Kind, Setting},
};
use crate::core::id::InvalidName;
use std::{fmt, net::SocketAddr, time::Duration};
use toml::{Table, Value};

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line of the key or of its table, from 1; `None` if neither is in the file.
    pub line: Option<usize>,
    /// The dotted key; empty if the fault concerns the whole file.
    pub key: String,
    /// Error message, which includes the allowed values.
    pub what: String,
}

/// All errors in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// The file's name, as shown in messages.
    pub file: String,
    /// The faults, ordered by line; those without a line come last.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// Sorts the faults of a file by line.
    pub fn new(file: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
        Self {
            file: file.to_owned(),
            faults,
        }
    }

    /// The only fault of a file that is not valid TOML; its keys can't be checked.
    pub fn not_toml(file: &str, text: &str, e: &toml::de::Error) -> Self {
        let offset = e.span().map(|span| span.start);
        let fault = Fault {
            line: offset.map(|offset| line_at(text, offset)),
            key: String::new(),
            what: format!("not TOML: {}", e.message()),
        };
        Self::new(file, vec![fault])
    }

    /// A single fault that concerns the whole file.
    pub fn whole_file(file: &str, what: impl fmt::Display) -> Self {
        let fault = Fault {
            line: None,
            key: String::new(),
            what: what.to_string(),
        };
        Self::new(file, vec![fault])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:", self.file)?;
            if let Some(line) = fault.line {
                write!(f, "{line}:")?;
            }
            if !fault.key.is_empty() {
                write!(f, " `{}`:", fault.key)?;
            }
            write!(f, " {}", fault.what)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Takes values out of a document one by one. Keys left at the end are reported as unknown.
pub struct Reader {
    file: String,
    table: Table,
    lines: KeyLines,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses a document; `file` is its name in error messages.
    pub fn new(file: &str, text: &str) -> Result<Self, Faults> {
        let table = text
            .parse::<Table>()
            .map_err(|e| Faults::not_toml(file, text, &e))?;
        Ok(Self {
            file: file.to_owned(),
            table,
            lines: KeyLines::new(text),
            faults: Vec::new(),
        })
    }

    /// Records a fault of `key`.
    pub fn fault(&mut self, key: &str, what: impl fmt::Display) {
        self.faults.push(Fault {
            line: self.lines.line(key),
            key: key.to_owned(),
            what: what.to_string(),
        });
    }

    /// Returns all faults, including unknown keys; `None` if the file is valid.
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
        (!self.faults.is_empty()).then(|| Faults::new(&self.file, self.faults))
    }

    /// Takes a whole number. Returns the default if the key is absent, or if the value is not in the
    /// range of the table of settings, which is recorded as a fault.
    pub fn integer(&mut self, key: &str) -> u64 {
        let Kind::Number {
            default, min, max, ..
        } = Setting::named(key).kind
        else {
            unreachable!("`{key}` is not a number in the table of settings");
        };
        let Some(value) = self.take(key) else {
            return default;
        };
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        match number {
            Some(n) if (min..=max).contains(&n) => n,
            _ => {
                self.fault(
                    key,
                    format!("{value} is not a whole number from {min} to {max}"),
                );
                default
            }
        }
    }

    /// Takes a duration in whole milliseconds; otherwise like [`Reader::integer`].
    pub fn duration(&mut self, key: &str) -> Duration {
        Duration::from_millis(self.integer(key))
    }

    /// Takes one of the words of the table of settings; otherwise like [`Reader::integer`].
    pub fn word(&mut self, key: &str) -> &'static str {
        let Kind::Word { default, words } = Setting::named(key).kind else {
            unreachable!("`{key}` is not a word in the table of settings");
        };
        let Some(value) = self.take(key) else {
            return default;
        };
        let found = words.iter().find(|word| value.as_str() == Some(word));
        if let Some(word) = found {
            return word;
        }
        self.fault(key, format!("{value} is none of {}", words.join(", ")));
        default
    }

    /// Takes a required name; `None` after a fault.
    pub fn required_name<T>(&mut self, key: &str) -> Option<T>
    where
        T: TryFrom<String, Error = InvalidName>,
    {
        let text = self.required_text(key)?;
        T::try_from(text).map_err(|e| self.fault(key, e)).ok()
    }

    /// Takes a required address; `None` after a fault.
    pub fn required_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.required_text(key)?;
        self.address(key, &text)
    }

    /// Takes a list of addresses, which is empty if the key is absent.
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
