//! A small JSON value, parser and writer, so that the stand-ins need no library.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Value>),
    Obj(Vec<(String, Value)>),
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Str(text.into())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Str(text)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Num(number as f64)
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Self {
        Self::Num(number)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Vec<Value>> for Value {
    fn from(values: Vec<Value>) -> Self {
        Self::Arr(values)
    }
}

/// Object of the given fields.
pub fn obj<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Obj(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn set(&mut self, name: &str, value: Value) {
        if let Self::Obj(fields) = self {
            fields.retain(|(key, _)| key != name);
            fields.push((name.into(), value));
        }
    }

    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Str(text)) => text,
            _ => "",
        }
    }

    pub fn num(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Num(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn arr(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Self::Arr(values)) => values,
            _ => &[],
        }
    }

    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }
}

fn write_text(out: &mut fmt::Formatter, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            c if (c as u32) < 0x20 => write!(out, "\\u{:04x}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    out.write_str("\"")
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Null => out.write_str("null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Num(number) => write!(out, "{number}"),
            Self::Str(text) => write_text(out, text),
            Self::Arr(values) => {
                out.write_str("[")?;
                for (at, value) in values.iter().enumerate() {
                    if at > 0 {
                        out.write_str(",")?;
                    }
                    write!(out, "{value}")?;
                }
                out.write_str("]")
            }
            Self::Obj(fields) => {
                out.write_str("{")?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.write_str(",")?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match self.text.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Value::Str),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = Vec::new();
        if self.take(b'}') {
            return Some(Value::Obj(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take(b'}') {
                return Some(Value::Obj(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn array(&mut self) -> Option<Value> {
        self.at += 1;
        let mut values = Vec::new();
        if self.take(b']') {
            return Some(Value::Arr(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(b']') {
                return Some(Value::Arr(values));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let hex = self.text.get(self.at..self.at + 4)?;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            bytes.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse().ok().map(Value::Num)
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for at in 0..4 {
            if at <= part.len() {
                let index = number >> (18 - 6 * at) & 63;
                out.push(char::from(ALPHABET[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut sum, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(index) = ALPHABET.iter().position(|it| *it == byte) else {
            continue;
        };
        sum = sum << 6 | index as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((sum >> bits) as u8);
            sum &= (1 << bits) - 1;
        }
    }
    out
}
