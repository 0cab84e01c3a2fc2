//! A small JSON reader and writer, so that the stand-ins need no packages.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

pub fn num(n: impl Into<f64>) -> Json {
    Json::Num(n.into())
}

pub fn int(n: u64) -> Json {
    Json::Num(n as f64)
}

pub fn text(s: impl Into<String>) -> Json {
    Json::Str(s.into())
}

pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Json {
    /// A field of an object; null if there is none.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn u64(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn is_null(&self) -> bool {
        *self == Json::Null
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => drop(write!(out, "{b}")),
            Json::Num(n) if n.fract() == 0.0 && n.abs() < 9e15 => drop(write!(out, "{}", *n as i64)),
            Json::Num(n) => drop(write!(out, "{n}")),
            Json::Str(s) => write_text(s, out),
            Json::Arr(items) => {
                out.push('[');
                for (at, item) in items.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (at, (key, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(raw: &[u8]) -> Option<Json> {
        let mut reader = Reader { raw, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == raw.len()).then_some(value)
    }
}

fn write_text(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => drop(write!(out, "\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Reader<'a> {
    raw: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.raw.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let byte = *self.raw.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.raw.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.raw.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.text().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.peek()? == b']' {
                    self.at += 1;
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    match (self.peek()?, self.next()?) {
                        (b',', _) => {}
                        (b']', _) => return Some(Json::Arr(items)),
                        _ => return None,
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.peek()? == b'}' {
                    self.at += 1;
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let key = self.text()?;
                    (self.peek()? == b':').then(|| self.at += 1)?;
                    fields.push((key, self.value()?));
                    match (self.peek()?, self.next()?) {
                        (b',', _) => {}
                        (b'}', _) => return Some(Json::Obj(fields)),
                        _ => return None,
                    }
                }
            }
            _ => {
                let from = self.at;
                while self.raw.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let raw = std::str::from_utf8(&self.raw[from..self.at]).ok()?;
                raw.parse().ok().map(Json::Num)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        (self.next()? == b'"').then_some(())?;
        let mut out = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let c = match self.next()? {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.raw.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            char::from_u32(code.ok()?).unwrap_or('?')
                        }
                        other => other as char,
                    };
                    let mut buf = [0; 4];
                    out.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                }
                byte => out.push(byte),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(raw: &[u8]) -> String {
    let mut out = String::new();
    for chunk in raw.chunks(3) {
        let mut bits = 0u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

pub fn from_base64(raw: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut bits, mut have) = (0u32, 0);
    for byte in raw.bytes().filter(|b| *b != b'=') {
        bits = bits << 6 | DIGITS.iter().position(|d| *d == byte)? as u32;
        have += 6;
        if have >= 8 {
            have -= 8;
            out.push((bits >> have) as u8);
        }
    }
    Some(out)
}
