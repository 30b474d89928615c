//! The type checker of policies. It resolves names and checks types, so that evaluation cannot fail.

use super::evaluate::TypedExpr;
use super::syntax::{BinaryOperator, Expr, ExprKind, Position, SourceError};
use std::fmt;

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    Number,
    String,
    Boolean,
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueType::Number => "a number",
            ValueType::String => "a string",
            ValueType::Boolean => "a boolean",
        })
    }
}

/// A named input value that expressions may refer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fact {
    pub name: &'static str,
    pub value_type: ValueType,
}

/// Checks an expression that may refer to `facts` and must have the `expected` type.
pub fn check(expr: &Expr, facts: &[Fact], expected: ValueType) -> Result<TypedExpr, SourceError> {
    TypeChecker { facts }.check(expr, expected)
}

struct TypeChecker<'a> {
    facts: &'a [Fact],
}

impl TypeChecker<'_> {
    fn check(&self, expr: &Expr, expected: ValueType) -> Result<TypedExpr, SourceError> {
        let (typed, found) = self.infer(expr)?;
        if found != expected {
            let reason = format!("expected {expected}, found {found}");
            return Err(SourceError::new(expr.position, reason));
        }
        Ok(typed)
    }

    fn check_boxed(&self, expr: &Expr, expected: ValueType) -> Result<Box<TypedExpr>, SourceError> {
        self.check(expr, expected).map(Box::new)
    }

    /// Resolves the names of an expression and infers its type.
    fn infer(&self, expr: &Expr) -> Result<(TypedExpr, ValueType), SourceError> {
        Ok(match &expr.kind {
            ExprKind::Number(number) => (TypedExpr::Number(*number), ValueType::Number),
            ExprKind::String(text) => (TypedExpr::String(text.clone()), ValueType::String),
            ExprKind::Boolean(value) => (TypedExpr::Boolean(*value), ValueType::Boolean),
            ExprKind::Name(name) => self.resolve(expr.position, name)?,
            ExprKind::Not(inner) => {
                let inner = self.check_boxed(inner, ValueType::Boolean)?;
                (TypedExpr::Not(inner), ValueType::Boolean)
            }
            ExprKind::Negate(inner) => {
                let inner = self.check_boxed(inner, ValueType::Number)?;
                (TypedExpr::Negate(inner), ValueType::Number)
            }
            ExprKind::If {
                condition,
                then,
                otherwise,
            } => self.infer_conditional(condition, then, otherwise)?,
            ExprKind::Binary {
                operator,
                left,
                right,
            } => self.infer_binary(*operator, left, right)?,
        })
    }

    fn resolve(
        &self,
        position: Position,
        name: &str,
    ) -> Result<(TypedExpr, ValueType), SourceError> {
        if let Some(index) = self.facts.iter().position(|fact| fact.name == name) {
            return Ok((TypedExpr::Fact(index), self.facts[index].value_type));
        }
        let available = if self.facts.is_empty() {
            "no facts are available here".to_owned()
        } else {
            let names: Vec<&str> = self.facts.iter().map(|fact| fact.name).collect();
            format!("facts available here: {}", names.join(", "))
        };
        let reason = format!("unknown name `{name}`; {available}");
        Err(SourceError::new(position, reason))
    }

    /// Checks a conditional expression. Its type is that of the `then` branch, which the `else` branch must
    /// have, too.
    fn infer_conditional(
        &self,
        condition: &Expr,
        then: &Expr,
        otherwise: &Expr,
    ) -> Result<(TypedExpr, ValueType), SourceError> {
        let condition = self.check_boxed(condition, ValueType::Boolean)?;
        let (then, value_type) = self.infer(then)?;
        let typed = TypedExpr::If {
            condition,
            then: Box::new(then),
            otherwise: self.check_boxed(otherwise, value_type)?,
        };
        Ok((typed, value_type))
    }

    /// Checks a binary expression. If the operator accepts operands of any type, the right one must have the
    /// type of the left one.
    fn infer_binary(
        &self,
        operator: BinaryOperator,
        left: &Expr,
        right: &Expr,
    ) -> Result<(TypedExpr, ValueType), SourceError> {
        let (left, operand_type) = match operator.operand_type() {
            Some(expected) => (self.check(left, expected)?, expected),
            None => self.infer(left)?,
        };
        let typed = TypedExpr::Binary {
            operator,
            left: Box::new(left),
            right: self.check_boxed(right, operand_type)?,
        };
        Ok((typed, operator.result_type()))
    }
}

impl BinaryOperator {
    /// The type that both operands must have. `None` if any type is allowed, as long as both have the same.
    fn operand_type(self) -> Option<ValueType> {
        match self {
            BinaryOperator::Or | BinaryOperator::And => Some(ValueType::Boolean),
            BinaryOperator::Equal | BinaryOperator::NotEqual => None,
            BinaryOperator::Less
            | BinaryOperator::LessOrEqual
            | BinaryOperator::Greater
            | BinaryOperator::GreaterOrEqual
            | BinaryOperator::Add
            | BinaryOperator::Subtract
            | BinaryOperator::Multiply
            | BinaryOperator::Divide => Some(ValueType::Number),
        }
    }

    fn result_type(self) -> ValueType {
        match self {
            BinaryOperator::Add
            | BinaryOperator::Subtract
            | BinaryOperator::Multiply
            | BinaryOperator::Divide => ValueType::Number,
            BinaryOperator::Or
            | BinaryOperator::And
            | BinaryOperator::Equal
            | BinaryOperator::NotEqual
            | BinaryOperator::Less
            | BinaryOperator::LessOrEqual
            | BinaryOperator::Greater
            | BinaryOperator::GreaterOrEqual => ValueType::Boolean,
        }
    }
}
