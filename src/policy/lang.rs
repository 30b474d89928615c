//! The language of policies: `name = expression`, one to a line. Lexing and parsing; every node
//! keeps its place, so that what is wrong can be pointed at.

use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{place}: {reason}")]
pub struct Problem {
    pub place: Place,
    pub reason: String,
}

pub fn problem<T>(place: Place, reason: impl Into<String>) -> Result<T, Problem> {
    let reason = reason.into();
    Err(Problem { place, reason })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    Or,
    And,
    Equal,
    Unequal,
    Less,
    LessEqual,
    More,
    MoreEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Node {
    Number(f64),
    Text(String),
    Truth(bool),
    Name(String),
    Not(Box<Expr>),
    Negate(Box<Expr>),
    Binary(Operator, Box<Expr>, Box<Expr>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    pub place: Place,
    pub node: Node,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    pub place: Place,
    pub name: String,
    pub expr: Expr,
}

#[derive(Debug, Clone, PartialEq)]
enum Token {
    Number(f64),
    Text(String),
    Word(String),
    Sign(&'static str),
    EndOfLine,
}

const SIGNS: [&str; 13] = [
    "==", "!=", "<=", ">=", "<", ">", "=", "+", "-", "*", "/", "(", ")",
];

fn lex(text: &str) -> Result<Vec<(Place, Token)>, Problem> {
    let mut tokens = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let mut rest = line;
        loop {
            rest = rest.trim_start();
            let place = Place {
                line: number + 1,
                column: line[..line.len() - rest.len()].chars().count() + 1,
            };
            let Some(first) = rest.chars().next().filter(|c| *c != '#') else {
                tokens.push((place, Token::EndOfLine));
                break;
            };
            let length = if first == '"' {
                let Some(end) = rest[1..].find('"') else {
                    return problem(place, "a text that does not end on its line");
                };
                tokens.push((place, Token::Text(rest[1..=end].to_owned())));
                end + 2
            } else if first.is_ascii_digit() || first == '.' {
                let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.'));
                let digits = &rest[..end.unwrap_or(rest.len())];
                match digits.parse::<f64>() {
                    Ok(n) => tokens.push((place, Token::Number(n))),
                    Err(_) => return problem(place, format!("`{digits}` is not a number")),
                }
                digits.len()
            } else if first.is_alphabetic() || first == '_' {
                let end = rest.find(|c: char| !(c.is_alphanumeric() || c == '_'));
                let word = &rest[..end.unwrap_or(rest.len())];
                tokens.push((place, Token::Word(word.to_owned())));
                word.len()
            } else if let Some(sign) = SIGNS.iter().find(|s| rest.starts_with(**s)) {
                tokens.push((place, Token::Sign(sign)));
                sign.len()
            } else {
                return problem(place, format!("`{first}` means nothing here"));
            };
            rest = &rest[length..];
        }
    }
    Ok(tokens)
}

/// Deepest nesting: beyond it is a mistake, and the stack is not endless.
const DEEPEST: usize = 64;

struct Parser {
    tokens: Vec<(Place, Token)>,
    at: usize,
    /// Open brackets: within them an expression may go on over several lines.
    open: usize,
    depth: usize,
}

pub fn parse(text: &str) -> Result<Vec<Statement>, Problem> {
    let mut parser = Parser {
        tokens: lex(text)?,
        at: 0,
        open: 0,
        depth: 0,
    };
    let mut statements = Vec::new();
    while parser.at < parser.tokens.len() {
        if parser.tokens[parser.at].1 == Token::EndOfLine {
            parser.at += 1;
            continue;
        }
        statements.push(parser.statement()?);
    }
    Ok(statements)
}

impl Parser {
    fn peek(&mut self) -> (Place, Token) {
        while self.open > 0
            && self.at + 1 < self.tokens.len()
            && self.tokens[self.at].1 == Token::EndOfLine
        {
            self.at += 1;
        }
        self.tokens[self.at.min(self.tokens.len() - 1)].clone()
    }

    fn take_sign(&mut self, signs: &[&'static str]) -> Option<&'static str> {
        match self.peek().1 {
            Token::Sign(sign) if signs.contains(&sign) => {
                self.at += 1;
                Some(sign)
            }
            _ => None,
        }
    }

    fn take_word(&mut self, word: &str) -> bool {
        let is = self.peek().1 == Token::Word(word.to_owned());
        self.at += usize::from(is);
        is
    }

    fn expect_word(&mut self, word: &str) -> Result<(), Problem> {
        match self.take_word(word) {
            true => Ok(()),
            false => problem(self.peek().0, format!("`{word}` expected")),
        }
    }

    fn statement(&mut self) -> Result<Statement, Problem> {
        let (place, token) = self.peek();
        let Token::Word(name) = token else {
            return problem(place, "the name of a setting expected");
        };
        self.at += 1;
        if self.take_sign(&["="]).is_none() {
            return problem(self.peek().0, format!("`=` expected after `{name}`"));
        }
        let expr = self.expr()?;
        let (end, token) = self.peek();
        if token != Token::EndOfLine {
            return problem(end, "the end of the line expected");
        }
        Ok(Statement { place, name, expr })
    }

    fn expr(&mut self) -> Result<Expr, Problem> {
        self.depth += 1;
        let place = self.peek().0;
        if self.depth > DEEPEST {
            return problem(place, "nested too deeply");
        }
        let expr = if self.take_word("if") {
            let condition = self.expr()?;
            self.expect_word("then")?;
            let yes = self.expr()?;
            self.expect_word("else")?;
            let no = self.expr()?;
            let node = Node::If(Box::new(condition), Box::new(yes), Box::new(no));
            Expr { place, node }
        } else {
            self.level(0)?
        };
        self.depth -= 1;
        Ok(expr)
    }

    /// Binary operators, weakest first; comparisons do not chain.
    fn level(&mut self, level: usize) -> Result<Expr, Problem> {
        let mut left = match level {
            2 => return self.negation(),
            5 => return self.sign(),
            _ => self.level(level + 1)?,
        };
        loop {
            let place = self.peek().0;
            let operator = match level {
                0 if self.take_word("or") => Operator::Or,
                1 if self.take_word("and") => Operator::And,
                3 => match self.take_sign(&["+", "-"]) {
                    Some("+") => Operator::Add,
                    Some(_) => Operator::Subtract,
                    None => return Ok(left),
                },
                4 => match self.take_sign(&["*", "/"]) {
                    Some("*") => Operator::Multiply,
                    Some(_) => Operator::Divide,
                    None => return Ok(left),
                },
                _ => return Ok(left),
            };
            let right = self.level(level + 1)?;
            let node = Node::Binary(operator, Box::new(left), Box::new(right));
            left = Expr { place, node };
        }
    }

    fn negation(&mut self) -> Result<Expr, Problem> {
        let place = self.peek().0;
        if self.take_word("not") {
            self.depth += 1;
            if self.depth > DEEPEST {
                return problem(place, "nested too deeply");
            }
            let inner = self.negation()?;
            self.depth -= 1;
            let node = Node::Not(Box::new(inner));
            return Ok(Expr { place, node });
        }
        let left = self.level(3)?;
        let place = self.peek().0;
        let operator = match self.take_sign(&["==", "!=", "<=", ">=", "<", ">"]) {
            Some("==") => Operator::Equal,
            Some("!=") => Operator::Unequal,
            Some("<=") => Operator::LessEqual,
            Some(">=") => Operator::MoreEqual,
            Some("<") => Operator::Less,
            Some(_) => Operator::More,
            None => return Ok(left),
        };
        let right = self.level(3)?;
        let node = Node::Binary(operator, Box::new(left), Box::new(right));
        Ok(Expr { place, node })
    }

    fn sign(&mut self) -> Result<Expr, Problem> {
        let place = self.peek().0;
        let negative = self.take_sign(&["-"]).is_some();
        let inner = self.primary()?;
        if !negative {
            return Ok(inner);
        }
        let node = Node::Negate(Box::new(inner));
        Ok(Expr { place, node })
    }

    fn primary(&mut self) -> Result<Expr, Problem> {
        let (place, token) = self.peek();
        self.at += 1;
        let node = match token {
            Token::Number(n) => Node::Number(n),
            Token::Text(text) => Node::Text(text),
            Token::Word(word) if word == "true" => Node::Truth(true),
            Token::Word(word) if word == "false" => Node::Truth(false),
            Token::Word(word) => Node::Name(word),
            Token::Sign("(") => {
                self.open += 1;
                let inner = self.expr()?;
                if self.take_sign(&[")"]).is_none() {
                    return problem(self.peek().0, "`)` expected");
                }
                self.open -= 1;
                return Ok(inner);
            }
            Token::Sign(sign) => return problem(place, format!("`{sign}` means nothing here")),
            Token::EndOfLine => return problem(place, "the line ends too early"),
        };
        Ok(Expr { place, node })
    }
}
