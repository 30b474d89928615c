//! Splits the text of a policy into tokens.

use super::syntax::{Position, SourceError};

/// A token and the position of its first character.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Token {
    pub position: Position,
    pub kind: TokenKind,
}

/// The kind of a token, with its value.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TokenKind {
    Number(f64),
    /// A quoted string, without its quotes.
    String(String),
    /// A keyword or an identifier.
    Word(String),
    /// One of [`SYMBOLS`].
    Symbol(&'static str),
    EndOfLine,
}

/// All symbols. A symbol that is a prefix of another one comes after it, because the first match is taken.
const SYMBOLS: [&str; 13] = [
    "==", "!=", "<=", ">=", "<", ">", "=", "+", "-", "*", "/", "(", ")",
];
const COMMENT: char = '#';
const QUOTE: char = '"';

/// The tokens of a text. The tokens of each line are followed by [`TokenKind::EndOfLine`].
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

/// The token at the start of `rest`, and its length in bytes.
fn first_token(
    rest: &str,
    first: char,
    position: Position,
) -> Result<(TokenKind, usize), SourceError> {
    let error = |reason: String| SourceError::new(position, reason);
    if first == QUOTE {
        let string = quoted_string(rest);
        return string.ok_or_else(|| error("unterminated string".to_owned()));
    }
    if first.is_ascii_digit() || first == '.' {
        let digits = prefix_while(rest, |c| c.is_ascii_digit() || c == '.');
        let number = digits.parse::<f64>();
        let number = number.map_err(|_| error(format!("`{digits}` is not a number")))?;
        return Ok((TokenKind::Number(number), digits.len()));
    }
    if first.is_alphabetic() || first == '_' {
        let word = prefix_while(rest, |c| c.is_alphanumeric() || c == '_');
        return Ok((TokenKind::Word(word.to_owned()), word.len()));
    }
    let symbol = SYMBOLS.iter().find(|symbol| rest.starts_with(**symbol));
    let symbol = symbol.ok_or_else(|| error(format!("unexpected character `{first}`")))?;
    Ok((TokenKind::Symbol(symbol), symbol.len()))
}

/// The quoted string at the start of `rest`, and its length in bytes with the quotes. `None` if the closing quote
/// is missing.
fn quoted_string(rest: &str) -> Option<(TokenKind, usize)> {
    let inside = &rest[QUOTE.len_utf8()..];
    let end = inside.find(QUOTE)?;
    let length = end + 2 * QUOTE.len_utf8();
    Some((TokenKind::String(inside[..end].to_owned()), length))
}

/// The longest prefix of `text` whose characters all satisfy the predicate.
fn prefix_while(text: &str, predicate: impl Fn(char) -> bool) -> &str {
    let end = text.find(|c: char| !predicate(c));
    &text[..end.unwrap_or(text.len())]
}
