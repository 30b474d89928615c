//! Encoding of team names in the state service's keys, which allow neither spaces nor slashes.

use std::fmt::Write;

/// Precedes the two hexadecimal digits of an encoded byte.
const ESCAPE: u8 = b'~';

/// Encodes a team's name for use in a key: letters, digits, `-`, `_` and `.` stay, any other byte becomes
/// `~` and two hexadecimal digits.
pub fn encode_team(team: &str) -> String {
    let mut encoded = String::with_capacity(team.len());
    for byte in team.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                encoded.push(byte.into());
            }
            // Writing to a string cannot fail.
            _ => drop(write!(encoded, "{}{byte:02x}", char::from(ESCAPE))),
        }
    }
    encoded
}

/// Decodes what [`encode_team`] returned; `None` if an escape is invalid or the name is not UTF-8.
pub fn decode_team(encoded: &str) -> Option<String> {
    let mut name = Vec::with_capacity(encoded.len());
    let mut rest = encoded.bytes();
    while let Some(byte) = rest.next() {
        if byte != ESCAPE {
            name.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        name.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(name).ok()
}
