//! Parts a policy's text into tokens. It knows no grammar.

use super::syntax::{Position, SourceError};

/// One token, and where it begins.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Token {
    pub position: Position,
    pub kind: TokenKind,
}

/// What a token is, with its value.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TokenKind {
    Number(f64),
    /// What stands between quotes.
    Text(String),
    /// A keyword or a name.
    Word(String),
    /// One of [`SIGNS`].
    Sign(&'static str),
    EndOfLine,
}

/// All signs; one that begins with another stands before it.
const SIGNS: [&str; 13] = [
    "==", "!=", "<=", ">=", "<", ">", "=", "+", "-", "*", "/", "(", ")",
];
const COMMENT: char = '#';
const QUOTE: char = '"';

/// The tokens of a whole text; each line ends with [`TokenKind::EndOfLine`].
pub(super) fn tokenize(text: &str) -> Result<Vec<Token>, SourceError> {
    let mut tokens = Vec::new();
    for (index, line) in text.lines().enumerate() {
        tokenize_line(line, index + 1, &mut tokens)?;
    }
    Ok(tokens)
}

fn tokenize_line(line: &str, number: usize, tokens: &mut Vec<Token>) -> Result<(), SourceError> {
    let mut rest = line;
    loop {
        rest = rest.trim_start();
        let position = Position {
            line: number,
            column: line[..line.len() - rest.len()].chars().count() + 1,
        };
        let Some(first) = rest.chars().next().filter(|c| *c != COMMENT) else {
            let kind = TokenKind::EndOfLine;
            tokens.push(Token { position, kind });
            return Ok(());
        };
        let (kind, length) = first_token(rest, first, position)?;
        tokens.push(Token { position, kind });
        rest = &rest[length..];
    }
}

/// The token with which `rest` begins, and its length in bytes.
fn first_token(
    rest: &str,
    first: char,
    position: Position,
) -> Result<(TokenKind, usize), SourceError> {
    let refuse = |reason: String| SourceError::new(position, reason);
    if first == QUOTE {
        let text = quoted_text(rest);
        return text.ok_or_else(|| refuse("a text that does not end on its line".to_owned()));
    }
    if first.is_ascii_digit() || first == '.' {
        let digits = prefix(rest, |c| c.is_ascii_digit() || c == '.');
        let number = digits.parse::<f64>();
        let number = number.map_err(|_| refuse(format!("`{digits}` is not a number")))?;
        return Ok((TokenKind::Number(number), digits.len()));
    }
    if first.is_alphabetic() || first == '_' {
        let word = prefix(rest, |c| c.is_alphanumeric() || c == '_');
        return Ok((TokenKind::Word(word.to_owned()), word.len()));
    }
    let sign = SIGNS.iter().find(|sign| rest.starts_with(**sign));
    let sign = sign.ok_or_else(|| refuse(format!("`{first}` means nothing here")))?;
    Ok((TokenKind::Sign(sign), sign.len()))
}

/// The text between the quotes with which `rest` begins; `None` if the second is missing.
fn quoted_text(rest: &str) -> Option<(TokenKind, usize)> {
    let inside = &rest[QUOTE.len_utf8()..];
    let end = inside.find(QUOTE)?;
    let length = end + 2 * QUOTE.len_utf8();
    Some((TokenKind::Text(inside[..end].to_owned()), length))
}

/// The longest beginning of `text` whose characters all belong to a token.
fn prefix(text: &str, belongs: impl Fn(char) -> bool) -> &str {
    let end = text.find(|c: char| !belongs(c));
    &text[..end.unwrap_or(text.len())]
}
