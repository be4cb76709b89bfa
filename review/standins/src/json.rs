//! A small JSON value: enough to read results and to fill in settings.

/// A JSON value; numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    pub fn number(number: impl ToString) -> Self {
        Self::Number(number.to_string())
    }

    pub fn table<const N: usize>(entries: [(&str, Json); N]) -> Self {
        let entries = entries.into_iter();
        Self::Table(
            entries
                .map(|(key, value)| (key.to_owned(), value))
                .collect(),
        )
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Table(entries) => {
                let found = entries.iter().find(|(known, _)| known == key);
                found.map(|(_, value)| value)
            }
            Self::List(items) => items.get(key.parse::<usize>().ok()?),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// The value as plain text: commas join a list, a table comes out as JSON.
    pub fn plain(&self) -> String {
        match self {
            Self::Null => String::new(),
            Self::Bool(value) => value.to_string(),
            Self::Number(text) | Self::Text(text) => text.clone(),
            Self::List(items) => {
                let items: Vec<String> = items.iter().map(Json::plain).collect();
                items.join(",")
            }
            Self::Table(_) => self.encode(),
        }
    }

    pub fn encode(&self) -> String {
        match self {
            Self::Null => "null".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Number(text) => text.clone(),
            Self::Text(text) => quote(text),
            Self::List(items) => {
                let items: Vec<String> = items.iter().map(Json::encode).collect();
                format!("[{}]", items.join(","))
            }
            Self::Table(entries) => {
                let entries = entries.iter();
                let entries: Vec<String> = entries
                    .map(|(key, value)| format!("{}:{}", quote(key), value.encode()))
                    .collect();
                format!("{{{}}}", entries.join(","))
            }
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.blanks();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            sign if sign < ' ' => quoted.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => quoted.push(sign),
        }
    }
    quoted.push('"');
    quoted
}

struct Parser<'t> {
    bytes: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, sign: u8) -> Option<()> {
        self.blanks();
        (self.bytes.get(self.at) == Some(&sign)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn word(&mut self) -> Option<Json> {
        let start = self.at;
        let ends = |byte: &u8| b",]}".contains(byte) || byte.is_ascii_whitespace();
        while self.bytes.get(self.at).is_some_and(|byte| !ends(byte)) {
            self.at += 1;
        }
        match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
            "" => None,
            "null" => Some(Json::Null),
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            number => Some(Json::Number(number.to_owned())),
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

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut entries = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(entries));
        }
        loop {
            self.blanks();
            let key = self.string()?;
            self.take(b':')?;
            entries.push((key, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Table(entries));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let sign = match escape {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    let mut buffer = [0; 4];
                    text.extend_from_slice(sign.encode_utf8(&mut buffer).as_bytes());
                }
                byte => text.push(byte),
            }
        }
    }
}
