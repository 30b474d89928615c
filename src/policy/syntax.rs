//! The syntax tree of a policy, and errors that point into its text. Nothing here is parsed or evaluated.

use std::fmt;

/// A place in a policy's text, line and column counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    pub line: usize,
    /// In characters.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Why a policy's text was refused, and where.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{position}: {reason}")]
pub struct SourceError {
    pub position: Position,
    pub reason: String,
}

impl SourceError {
    /// Names a place and what is wrong there.
    pub fn new(position: Position, reason: impl Into<String>) -> Self {
        Self {
            position,
            reason: reason.into(),
        }
    }
}

/// An operator with two operands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    Or,
    And,
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
}

/// What an expression is made of.
#[derive(Debug, Clone, PartialEq)]
pub enum ExprKind {
    Number(f64),
    Text(String),
    Boolean(bool),
    /// The name of a fact.
    Name(String),
    Not(Box<Expr>),
    Negate(Box<Expr>),
    Binary {
        operator: Operator,
        left: Box<Expr>,
        right: Box<Expr>,
    },
    If {
        condition: Box<Expr>,
        then: Box<Expr>,
        otherwise: Box<Expr>,
    },
}

/// An expression whose names and types are not checked yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    /// Where errors point: a binary operator's own place, else the beginning.
    pub position: Position,
    pub kind: ExprKind,
}

/// A line `name = expression`.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// The place of the name.
    pub position: Position,
    pub name: String,
    pub expr: Expr,
}
