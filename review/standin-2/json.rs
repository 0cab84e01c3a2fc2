//! A small JSON value, parser and printer, so that the stand-ins need no package.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

pub fn map(fields: Vec<(&str, Json)>) -> Json {
    let fields = fields.into_iter().map(|(key, value)| (key.to_owned(), value));
    Json::Map(fields.collect())
}

pub fn num(n: u64) -> Json {
    Json::Num(n as f64)
}

pub fn text(s: impl Into<String>) -> Json {
    Json::Str(s.into())
}

impl Json {
    /// A field of a map; `Null` if there is none.
    pub fn at(&self, key: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Map(fields) => fields.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Num(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::Str(s) => Some(s),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(raw: &str) -> Option<Json> {
        let mut parser = Parser { raw: raw.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.raw.len()).then_some(value)
    }
}

struct Parser<'a> {
    raw: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.raw.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.raw.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.raw[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.raw.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(fields));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.take(b':')?;
            fields.push((key, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Map(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.raw.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.raw.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.raw.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            bytes.extend(c.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || matches!(b, b'-' | b'+' | b'.' | b'e' | b'E');
        while self.raw.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let raw = std::str::from_utf8(&self.raw[from..self.at]).ok()?;
        raw.parse().ok().map(Json::Num)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(n) if n.fract() == 0.0 => write!(f, "{}", *n as i64),
            Json::Num(n) => write!(f, "{n}"),
            Json::Str(s) => write_string(f, s),
            Json::List(items) => {
                f.write_str("[")?;
                for (at, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if at == 0 { "" } else { "," })?;
                }
                f.write_str("]")
            }
            Json::Map(fields) => {
                f.write_str("{")?;
                for (at, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if at == 0 { "" } else { "," })?;
                    write_string(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, s: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in s.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if u32::from(c) < 32 => write!(f, "\\u{:04x}", u32::from(c))?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(raw: &[u8]) -> String {
    let mut out = String::new();
    for chunk in raw.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(ALPHABET[(bits >> (18 - 6 * at) & 63) as usize].into()),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(raw: &str) -> Vec<u8> {
    let values = raw.bytes().filter_map(|b| ALPHABET.iter().position(|a| *a == b));
    let (mut bits, mut len, mut out) = (0u32, 0, Vec::new());
    for value in values {
        bits = bits << 6 | value as u32;
        len += 6;
        if len >= 8 {
            len -= 8;
            out.push((bits >> len & 255) as u8);
        }
    }
    out
}
