//! Text of other writers in the URI of a call.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};

/// All but the unreserved characters of RFC 3986, section 2.3.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Percent-encodes bytes as one segment of a path or one value of a query.
///
/// `.` and `..` stay as they are, and are no names in a path.
pub fn encode_uri_component(bytes: &[u8]) -> String {
    percent_encode(bytes, RESERVED).to_string()
}
