//! A small JSON reader and writer.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// Null, a boolean or a number, as written.
    Plain(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(t) = self { Some(t) } else { None }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Plain(t) = self { t.parse().ok() } else { None }
    }
}

fn skip(c: &[char], at: &mut usize) {
    while c.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(c: &[char], at: &mut usize) -> Option<Json> {
    skip(c, at);
    match c.get(*at)? {
        '"' => string(c, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => items.push(value(c, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let key = string(c, at)?;
                        skip(c, at);
                        *at += 1; // the colon
                        fields.push((key, value(c, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Object(fields))
        }
        _ => {
            let start = *at;
            while c.get(*at).is_some_and(|c| !c.is_whitespace() && !",]}".contains(*c)) {
                *at += 1;
            }
            Some(Json::Plain(c[start..*at].iter().collect()))
        }
    }
}

fn string(c: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = String::new();
    loop {
        match c.get(*at)? {
            '"' => break,
            '\\' => {
                *at += 1;
                match c.get(*at)? {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    other => out.push(*other),
                }
            }
            other => out.push(*other),
        }
        *at += 1;
    }
    *at += 1;
    Some(out)
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Plain(t) => f.write_str(t),
            Json::Text(t) => write!(f, "{t:?}"),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(k, v)| format!("{k:?}:{v}")).collect();
                write!(f, "{{{}}}", fields.join(","))
            }
        }
    }
}
