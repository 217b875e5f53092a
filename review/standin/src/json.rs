//! Finds members of JSON objects as text. The store keeps what writers give it as it is, and reads no more of it.

/// Returns the end of the JSON value that begins at `at`.
fn value_end(s: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0usize;
    let mut in_string = false;
    let begin = at;
    while at < s.len() {
        let c = s[at];
        if in_string {
            match c {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match c {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(at),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if depth == 0 && at > begin => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    (at > begin).then_some(at)
}

fn skip_space(s: &[u8], mut at: usize) -> usize {
    while s.get(at).is_some_and(|c| c.is_ascii_whitespace()) {
        at += 1;
    }
    at
}

/// Returns the text of a member of an object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let s = object.as_bytes();
    let mut at = skip_space(s, 0);
    if s.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(s, at);
        if s.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(s, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(s, key_end);
        if s.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(s, at + 1);
        let end = value_end(s, at)?;
        if key == name {
            return Some(object[at..end].trim());
        }
        at = skip_space(s, end);
        if s.get(at) == Some(&b',') {
            at += 1;
        }
    }
}

/// Returns a member that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    member(object, name)?.strip_prefix('"')?.strip_suffix('"')
}
