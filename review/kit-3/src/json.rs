//! JSON values.

use std::fmt::{self, Display, Write};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn map<const N: usize>(fields: [(&str, Json); N]) -> Self {
        Self::Map(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    pub fn list(items: impl IntoIterator<Item = Json>) -> Self {
        Self::List(items.into_iter().collect())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Map(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Self::Null, |(_, value)| value)
            }
            _ => &Self::Null,
        }
    }

    pub fn set(&mut self, name: &str, value: impl Into<Json>) {
        if let Self::Map(fields) = self {
            fields.retain(|(key, _)| key != name);
            fields.push((name.to_owned(), value.into()));
        }
    }

    pub fn str(&self) -> &str {
        if let Self::Str(text) = self { text } else { "" }
    }

    pub fn u64(&self) -> u64 {
        if let Self::Num(number) = self { *number as u64 } else { 0 }
    }

    pub fn items(&self) -> &[Json] {
        if let Self::List(items) = self { items } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Str(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Self::Str(text)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

macro_rules! from_number {
    ($($number:ty),*) => {$(
        impl From<$number> for Json {
            fn from(number: $number) -> Self {
                Self::Num(number as f64)
            }
        }
    )*};
}
from_number!(u16, u32, u64, usize, i32, f64);

impl Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Num(number) if number.fract() == 0.0 => write!(f, "{}", *number as i64),
            Self::Num(number) => write!(f, "{number}"),
            Self::Str(text) => quoted(f, text),
            Self::List(items) => {
                f.write_char('[')?;
                for (at, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if at > 0 { "," } else { "" })?;
                }
                f.write_char(']')
            }
            Self::Map(fields) => {
                f.write_char('{')?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if at > 0 { "," } else { "" })?;
                    quoted(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn quoted(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if u32::from(c) < 0x20 => write!(f, "\\u{:04x}", u32::from(c))?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.text().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if self.eat("]").is_some() {
                        return Some(Json::List(items));
                    }
                    if !items.is_empty() {
                        self.eat(",")?;
                    }
                    items.push(self.value()?);
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if self.eat("}").is_some() {
                        return Some(Json::Map(fields));
                    }
                    if !fields.is_empty() {
                        self.eat(",")?;
                        self.space();
                    }
                    let name = self.text()?;
                    self.space();
                    self.eat(":")?;
                    fields.push((name, self.value()?));
                }
            }
            _ => {
                let from = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => self.unit()?,
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }

    fn unit(&mut self) -> Option<char> {
        let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
        self.at += 4;
        Some(char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('\u{fffd}'))
    }
}
