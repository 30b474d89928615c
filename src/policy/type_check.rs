//! The type checker: every name is known and every type right before anything is evaluated.

use super::evaluate::TypedExpr;
use super::syntax::{Expr, ExprKind, Operator, Position, SourceError};
use std::fmt;

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    Number,
    Text,
    Boolean,
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueType::Number => "a number",
            ValueType::Text => "a text",
            ValueType::Boolean => "true or false",
        })
    }
}

/// A fact that expressions may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fact {
    pub name: &'static str,
    pub value_type: ValueType,
}

/// Checks an expression that may name `facts` and must be of the `wanted` type.
pub fn check(expr: &Expr, facts: &[Fact], wanted: ValueType) -> Result<TypedExpr, SourceError> {
    TypeChecker { facts }.check(expr, wanted)
}

struct TypeChecker<'a> {
    facts: &'a [Fact],
}

impl TypeChecker<'_> {
    fn check(&self, expr: &Expr, wanted: ValueType) -> Result<TypedExpr, SourceError> {
        let (typed, found) = self.infer(expr)?;
        if found != wanted {
            let reason = format!("{wanted} expected, this is {found}");
            return Err(SourceError::new(expr.position, reason));
        }
        Ok(typed)
    }

    fn check_boxed(&self, expr: &Expr, wanted: ValueType) -> Result<Box<TypedExpr>, SourceError> {
        self.check(expr, wanted).map(Box::new)
    }

    /// The expression with its names resolved, and its type.
    fn infer(&self, expr: &Expr) -> Result<(TypedExpr, ValueType), SourceError> {
        Ok(match &expr.kind {
            ExprKind::Number(number) => (TypedExpr::Number(*number), ValueType::Number),
            ExprKind::Text(text) => (TypedExpr::Text(text.clone()), ValueType::Text),
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
        let known = if self.facts.is_empty() {
            "nothing can be named here".to_owned()
        } else {
            let names: Vec<&str> = self.facts.iter().map(|fact| fact.name).collect();
            format!("known here: {}", names.join(", "))
        };
        let reason = format!("`{name}` is not known; {known}");
        Err(SourceError::new(position, reason))
    }

    /// Both branches have the type of the first.
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

    /// Operands of a type that the operator leaves open have that of the left one.
    fn infer_binary(
        &self,
        operator: Operator,
        left: &Expr,
        right: &Expr,
    ) -> Result<(TypedExpr, ValueType), SourceError> {
        let (left, operand_type) = match operator.operand_type() {
            Some(wanted) => (self.check(left, wanted)?, wanted),
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

impl Operator {
    /// The type of both operands; `None` if it may be any, the same for both.
    fn operand_type(self) -> Option<ValueType> {
        match self {
            Operator::Or | Operator::And => Some(ValueType::Boolean),
            Operator::Equal | Operator::NotEqual => None,
            Operator::Less
            | Operator::LessOrEqual
            | Operator::Greater
            | Operator::GreaterOrEqual
            | Operator::Add
            | Operator::Subtract
            | Operator::Multiply
            | Operator::Divide => Some(ValueType::Number),
        }
    }

    fn result_type(self) -> ValueType {
        match self {
            Operator::Add | Operator::Subtract | Operator::Multiply | Operator::Divide => {
                ValueType::Number
            }
            Operator::Or
            | Operator::And
            | Operator::Equal
            | Operator::NotEqual
            | Operator::Less
            | Operator::LessOrEqual
            | Operator::Greater
            | Operator::GreaterOrEqual => ValueType::Boolean,
        }
    }
}
