//! The grammar of policies: `name = expression`, one to a line, by recursive descent. Every expression
//! keeps its position, so that errors can point at it. Names and types are not checked here.

use super::lexer::{Token, TokenKind, tokenize};
use super::syntax::{Expr, ExprKind, Operator, Position, SourceError, Statement};

/// Deepest nesting of an expression: more is a mistake, and would exhaust the stack.
const MAX_DEPTH: usize = 64;

const OR: [(&str, Operator); 1] = [("or", Operator::Or)];
const AND: [(&str, Operator); 1] = [("and", Operator::And)];
const COMPARISONS: [(&str, Operator); 6] = [
    ("==", Operator::Equal),
    ("!=", Operator::NotEqual),
    ("<=", Operator::LessOrEqual),
    (">=", Operator::GreaterOrEqual),
    ("<", Operator::Less),
    (">", Operator::Greater),
];
const SUMS: [(&str, Operator); 2] = [("+", Operator::Add), ("-", Operator::Subtract)];
const PRODUCTS: [(&str, Operator); 2] = [("*", Operator::Multiply), ("/", Operator::Divide)];

type Parsed = Result<Expr, SourceError>;

struct Parser {
    tokens: Vec<Token>,
    /// Index of the next token.
    next: usize,
    /// Open brackets: within them an expression may go on over several lines.
    open_brackets: usize,
    depth: usize,
}

/// All statements of a text, or the first error.
pub(super) fn parse(text: &str) -> Result<Vec<Statement>, SourceError> {
    let mut parser = Parser {
        tokens: tokenize(text)?,
        next: 0,
        open_brackets: 0,
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
    /// The next token, without taking it; past the last line that line's end. Ends of lines within brackets
    /// are skipped.
    fn peek(&mut self) -> Token {
        while self.open_brackets > 0
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

    /// Takes the next token if it is this keyword or sign.
    fn accept(&mut self, text: &str) -> bool {
        let is_next = self.peek().kind.is(text);
        self.next += usize::from(is_next);
        is_next
    }

    fn expect(&mut self, text: &str) -> Result<(), SourceError> {
        if !self.accept(text) {
            return self.error_here(format!("`{text}` expected"));
        }
        Ok(())
    }

    /// Takes the next token if it is one of these operators.
    fn accept_operator(&mut self, operators: &[(&str, Operator)]) -> Option<Operator> {
        let token = self.peek();
        let (_, operator) = operators.iter().find(|(text, _)| token.kind.is(text))?;
        self.next += 1;
        Some(*operator)
    }

    fn statement(&mut self) -> Result<Statement, SourceError> {
        let Token { position, kind } = self.peek();
        let TokenKind::Word(name) = kind else {
            return Err(SourceError::new(position, "the name of a setting expected"));
        };
        self.next += 1;
        if !self.accept("=") {
            return self.error_here(format!("`=` expected after `{name}`"));
        }
        let expr = self.expression()?;
        if self.peek().kind != TokenKind::EndOfLine {
            return self.error_here("the end of the line expected");
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
            return Err(SourceError::new(position, "nested too deeply"));
        }
        Ok(())
    }

    /// `if … then … else …`, or the operators.
    fn expression(&mut self) -> Parsed {
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

    fn conditional(&mut self, position: Position) -> Parsed {
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

    fn disjunction(&mut self) -> Parsed {
        self.left_associative(&OR, Self::conjunction)
    }

    fn conjunction(&mut self) -> Parsed {
        self.left_associative(&AND, Self::negation)
    }

    fn negation(&mut self) -> Parsed {
        let position = self.position();
        if !self.accept("not") {
            return self.comparison();
        }
        self.enter_nested(position)?;
        let kind = ExprKind::Not(Box::new(self.negation()?));
        self.depth -= 1;
        Ok(Expr { position, kind })
    }

    /// Comparisons do not chain.
    fn comparison(&mut self) -> Parsed {
        let left = self.sum()?;
        let position = self.position();
        match self.accept_operator(&COMPARISONS) {
            Some(operator) => Ok(binary(position, operator, left, self.sum()?)),
            None => Ok(left),
        }
    }

    fn sum(&mut self) -> Parsed {
        self.left_associative(&SUMS, Self::product)
    }

    fn product(&mut self) -> Parsed {
        self.left_associative(&PRODUCTS, Self::signed)
    }

    /// Operands with any of the operators between them; the first two belong together.
    fn left_associative(
        &mut self,
        operators: &[(&str, Operator)],
        operand: fn(&mut Self) -> Parsed,
    ) -> Parsed {
        let mut left = operand(self)?;
        loop {
            let position = self.position();
            let Some(operator) = self.accept_operator(operators) else {
                return Ok(left);
            };
            left = binary(position, operator, left, operand(self)?);
        }
    }

    fn signed(&mut self) -> Parsed {
        let position = self.position();
        if !self.accept("-") {
            return self.primary();
        }
        let kind = ExprKind::Negate(Box::new(self.primary()?));
        Ok(Expr { position, kind })
    }

    fn primary(&mut self) -> Parsed {
        let Token { position, kind } = self.peek();
        self.next += 1;
        let kind = match kind {
            TokenKind::Number(number) => ExprKind::Number(number),
            TokenKind::Text(text) => ExprKind::Text(text),
            TokenKind::Word(word) if word == "true" => ExprKind::Boolean(true),
            TokenKind::Word(word) if word == "false" => ExprKind::Boolean(false),
            TokenKind::Word(word) => ExprKind::Name(word),
            TokenKind::Sign("(") => return self.bracketed(),
            TokenKind::Sign(sign) => {
                let reason = format!("`{sign}` means nothing here");
                return Err(SourceError::new(position, reason));
            }
            TokenKind::EndOfLine => {
                return Err(SourceError::new(position, "the line ends too early"));
            }
        };
        Ok(Expr { position, kind })
    }

    /// The rest of `( … )`.
    fn bracketed(&mut self) -> Parsed {
        self.open_brackets += 1;
        let inner = self.expression()?;
        self.expect(")")?;
        self.open_brackets -= 1;
        Ok(inner)
    }
}

impl TokenKind {
    /// Whether it is this keyword or sign.
    fn is(&self, text: &str) -> bool {
        match self {
            TokenKind::Word(word) => word == text,
            TokenKind::Sign(sign) => *sign == text,
            TokenKind::Number(_) | TokenKind::Text(_) | TokenKind::EndOfLine => false,
        }
    }
}

fn binary(position: Position, operator: Operator, left: Expr, right: Expr) -> Expr {
    let kind = ExprKind::Binary {
        operator,
        left: Box::new(left),
        right: Box::new(right),
    };
    Expr { position, kind }
}
