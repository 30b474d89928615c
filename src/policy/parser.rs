//! Recursive-descent parser for policies. A policy consists of statements `name = expression`, one per line.
//! Every expression keeps its position for error messages. Names and types are checked by `type_check`.

use super::lexer::{Token, TokenKind, tokenize};
use super::syntax::{BinaryOperator, Expr, ExprKind, Position, SourceError, Statement};

/// Maximum nesting depth of an expression. A deeper one is a mistake and would exhaust the stack.
const MAX_DEPTH: usize = 64;

const OR: [(&str, BinaryOperator); 1] = [("or", BinaryOperator::Or)];
const AND: [(&str, BinaryOperator); 1] = [("and", BinaryOperator::And)];
const COMPARISONS: [(&str, BinaryOperator); 6] = [
    ("==", BinaryOperator::Equal),
    ("!=", BinaryOperator::NotEqual),
    ("<=", BinaryOperator::LessOrEqual),
    (">=", BinaryOperator::GreaterOrEqual),
    ("<", BinaryOperator::Less),
    (">", BinaryOperator::Greater),
];
const ADDITIVE: [(&str, BinaryOperator); 2] =
    [("+", BinaryOperator::Add), ("-", BinaryOperator::Subtract)];
const MULTIPLICATIVE: [(&str, BinaryOperator); 2] = [
    ("*", BinaryOperator::Multiply),
    ("/", BinaryOperator::Divide),
];

type ParseResult = Result<Expr, SourceError>;

struct Parser {
    tokens: Vec<Token>,
    /// Index of the next token.
    next: usize,
    /// Number of open parentheses. Inside parentheses, an expression may span several lines.
    open_parentheses: usize,
    /// Nesting depth of the current expression.
    depth: usize,
}

/// Parses all statements of a text; returns the first error, if any.
pub(super) fn parse(text: &str) -> Result<Vec<Statement>, SourceError> {
    let mut parser = Parser {
        tokens: tokenize(text)?,
        next: 0,
        open_parentheses: 0,
        depth: 0,
    };
    let mut statements = Vec::new();
    while let Some(token) = parser.tokens.get(parser.next) {
        if token.kind == TokenKind::EndOfLine {
            parser.next += 1;
            continue;
        }
        statements.push(parser.statement()?);
    }
    Ok(statements)
}

impl Parser {
    /// The next token, which is not consumed. After the last token, it is the end of the last line. Ends of
    /// lines inside parentheses are skipped.
    fn peek(&mut self) -> Token {
        while self.open_parentheses > 0
            && self.next + 1 < self.tokens.len()
            && self.tokens[self.next].kind == TokenKind::EndOfLine
        {
            self.next += 1;
        }
        self.tokens[self.next.min(self.tokens.len() - 1)].clone()
    }

    fn position(&mut self) -> Position {
        self.peek().position
    }

    fn error_here<T>(&mut self, reason: impl Into<String>) -> Result<T, SourceError> {
        Err(SourceError::new(self.position(), reason))
    }

    /// Consumes the next token if it is this keyword or symbol.
    fn accept(&mut self, text: &str) -> bool {
        let is_next = self.peek().kind.is(text);
        self.next += usize::from(is_next);
        is_next
    }

    fn expect(&mut self, text: &str) -> Result<(), SourceError> {
        if !self.accept(text) {
            return self.error_here(format!("expected `{text}`"));
        }
        Ok(())
    }

    /// Consumes the next token if it is one of these operators.
    fn accept_operator(&mut self, operators: &[(&str, BinaryOperator)]) -> Option<BinaryOperator> {
        let token = self.peek();
        let (_, operator) = operators.iter().find(|(text, _)| token.kind.is(text))?;
        self.next += 1;
        Some(*operator)
    }

    fn statement(&mut self) -> Result<Statement, SourceError> {
        let Token { position, kind } = self.peek();
        let TokenKind::Word(name) = kind else {
            return Err(SourceError::new(position, "expected the name of a setting"));
        };
        self.next += 1;
        if !self.accept("=") {
            return self.error_here(format!("expected `=` after `{name}`"));
        }
        let expr = self.expression()?;
        if self.peek().kind != TokenKind::EndOfLine {
            return self.error_here("expected the end of the line");
        }
        Ok(Statement {
            position,
            name,
            expr,
        })
    }

    fn enter_nested(&mut self, position: Position) -> Result<(), SourceError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(SourceError::new(
                position,
                "expression is nested too deeply",
            ));
        }
        Ok(())
    }

    /// An expression: `if … then … else …`, or operands with operators.
    fn expression(&mut self) -> ParseResult {
        let position = self.position();
        self.enter_nested(position)?;
        let expr = if self.accept("if") {
            self.conditional(position)?
        } else {
            self.disjunction()?
        };
        self.depth -= 1;
        Ok(expr)
    }

    /// The rest of a conditional expression after `if`.
    fn conditional(&mut self, position: Position) -> ParseResult {
        let condition = Box::new(self.expression()?);
        self.expect("then")?;
        let then = Box::new(self.expression()?);
        self.expect("else")?;
        let otherwise = Box::new(self.expression()?);
        let kind = ExprKind::If {
            condition,
            then,
            otherwise,
        };
        Ok(Expr { position, kind })
    }

    fn disjunction(&mut self) -> ParseResult {
        self.left_associative(&OR, Self::conjunction)
    }

    fn conjunction(&mut self) -> ParseResult {
        self.left_associative(&AND, Self::negation)
    }

    fn negation(&mut self) -> ParseResult {
        let position = self.position();
        if !self.accept("not") {
            return self.comparison();
        }
        self.enter_nested(position)?;
        let kind = ExprKind::Not(Box::new(self.negation()?));
        self.depth -= 1;
        Ok(Expr { position, kind })
    }

    /// At most one comparison: `a < b < c` is an error.
    fn comparison(&mut self) -> ParseResult {
        let left = self.sum()?;
        let position = self.position();
        match self.accept_operator(&COMPARISONS) {
            Some(operator) => Ok(binary(position, operator, left, self.sum()?)),
            None => Ok(left),
        }
    }

    fn sum(&mut self) -> ParseResult {
        self.left_associative(&ADDITIVE, Self::product)
    }

    fn product(&mut self) -> ParseResult {
        self.left_associative(&MULTIPLICATIVE, Self::unary_minus)
    }

    /// A sequence of operands with any of the operators between them, grouped from the left.
    fn left_associative(
        &mut self,
        operators: &[(&str, BinaryOperator)],
        operand: fn(&mut Self) -> ParseResult,
    ) -> ParseResult {
        let mut left = operand(self)?;
        loop {
            let position = self.position();
            let Some(operator) = self.accept_operator(operators) else {
                return Ok(left);
            };
            left = binary(position, operator, left, operand(self)?);
        }
    }

    fn unary_minus(&mut self) -> ParseResult {
        let position = self.position();
        if !self.accept("-") {
            return self.primary();
        }
        let kind = ExprKind::Negate(Box::new(self.primary()?));
        Ok(Expr { position, kind })
    }

    fn primary(&mut self) -> ParseResult {
        let Token { position, kind } = self.peek();
        self.next += 1;
        let kind = match kind {
            TokenKind::Number(number) => ExprKind::Number(number),
            TokenKind::String(text) => ExprKind::String(text),
            TokenKind::Word(word) if word == "true" => ExprKind::Boolean(true),
            TokenKind::Word(word) if word == "false" => ExprKind::Boolean(false),
            TokenKind::Word(word) => ExprKind::Name(word),
            TokenKind::Symbol("(") => return self.parenthesized(),
            TokenKind::Symbol(symbol) => {
                let reason = format!("unexpected `{symbol}`");
                return Err(SourceError::new(position, reason));
            }
            TokenKind::EndOfLine => {
                return Err(SourceError::new(position, "unexpected end of line"));
            }
        };
        Ok(Expr { position, kind })
    }

    /// The rest of a parenthesized expression after `(`.
    fn parenthesized(&mut self) -> ParseResult {
        self.open_parentheses += 1;
        let inner = self.expression()?;
        self.expect(")")?;
        self.open_parentheses -= 1;
        Ok(inner)
    }
}

impl TokenKind {
    /// Whether the token is this keyword or symbol.
    fn is(&self, text: &str) -> bool {
        match self {
            TokenKind::Word(word) => word == text,
            TokenKind::Symbol(symbol) => *symbol == text,
            TokenKind::Number(_) | TokenKind::String(_) | TokenKind::EndOfLine => false,
        }
    }
}

fn binary(position: Position, operator: BinaryOperator, left: Expr, right: Expr) -> Expr {
    let kind = ExprKind::Binary {
        operator,
        left: Box::new(left),
        right: Box::new(right),
    };
    Expr { position, kind }
}
