//! The syntax tree of a policy, and errors with a position in its text.

use std::fmt;

/// A position in the text of a policy. Lines and columns are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    pub line: usize,
    /// Counted in characters.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// The error for an invalid policy text, with the position of the error.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{position}: {reason}")]
pub struct SourceError {
    pub position: Position,
    pub reason: String,
}

impl SourceError {
    /// Creates an error at a position, with the reason.
    pub fn new(position: Position, reason: impl Into<String>) -> Self {
        Self {
            position,
            reason: reason.into(),
        }
    }
}

/// An operator with two operands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BinaryOperator {
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

/// The kind of an expression, with its subexpressions.
#[derive(Debug, Clone, PartialEq)]
pub enum ExprKind {
    Number(f64),
    String(String),
    Boolean(bool),
    /// A reference to a fact by its name.
    Name(String),
    Not(Box<Expr>),
    Negate(Box<Expr>),
    Binary {
        operator: BinaryOperator,
        left: Box<Expr>,
        right: Box<Expr>,
    },
    If {
        condition: Box<Expr>,
        then: Box<Expr>,
        otherwise: Box<Expr>,
    },
}

/// A parsed expression. Its names and types are not checked yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    /// The position that errors refer to: that of the operator in a binary expression, otherwise the start.
    pub position: Position,
    pub kind: ExprKind,
}

/// A statement `name = expression`.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// The position of the name.
    pub position: Position,
    pub name: String,
    pub expr: Expr,
}
