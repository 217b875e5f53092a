//! From which name on the next page of a list of the platform's store is asked for.
//!
//! The load pattern: a list has pages, and a page says that there are more, to be asked for after a name. Other writers choose names:
//! any text, bytes that are no text, of any length. The last name of a page may therefore not fit a request, or be spelled
//! otherwise by the store. Any name of the page will do, since the next page then repeats only what follows it; none is used
//! twice, so that the walk ends. A page without a name that can be asked for ends the list early.

use indexmap::IndexSet;

/// Maximum length of a name in a request line that any server accepts, in bytes: RFC 9112, section 3, recommends 8,000 for the
/// line, less the rest of it.
pub const PORTABLE_NAME_BYTES: usize = 7_800;
/// Maximum length of a name in any request line, in bytes: the HTTP library's limit on a URI, less the rest of it.
const MAX_NAME_BYTES: usize = 65_000;

/// The name of an object on a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageName {
    /// The name as it stands in a request.
    pub cursor: String,
    /// Whether the name is text.
    pub is_text: bool,
}

/// What comes after a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextPage {
    /// Nothing: the page was the last one.
    End,
    /// The page after this name.
    After(String),
    /// More, but no name of the page can be asked for.
    Unreachable,
}

/// The walk over the pages of one list.
#[derive(Clone, Debug, Default)]
pub struct ListWalk {
    used: IndexSet<String>,
}

impl ListWalk {
    /// Returns the name after which the current page begins; none for the first page.
    pub fn cursor(&self) -> Option<&str> {
        self.used.last().map(String::as_str)
    }

    /// Returns what comes after a page, of which `names` are the names from the last one to the first; they are read as far as needed.
    pub fn next(&mut self, has_more: bool, names: impl IntoIterator<Item = PageName>) -> NextPage {
        if !has_more {
            return NextPage::End;
        }
        let mut best: Option<((bool, bool), String)> = None;
        for PageName { cursor, is_text } in names {
            if cursor.is_empty() || cursor.len() > MAX_NAME_BYTES || self.used.contains(&cursor) {
                continue;
            }
            let drawbacks = (cursor.len() > PORTABLE_NAME_BYTES, !is_text);
            if best.as_ref().is_none_or(|(least, _)| drawbacks < *least) {
                best = Some((drawbacks, cursor));
            }
            if drawbacks == (false, false) {
                break;
            }
        }
        match best {
            Some((_, cursor)) => {
                self.used.insert(cursor.clone());
                NextPage::After(cursor)
            }
            None => NextPage::Unreachable,
        }
    }
}
