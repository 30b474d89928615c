//! Evaluation of checked expressions. It cannot fail, because `type_check` has checked names and types.

use super::syntax::BinaryOperator;

/// A type-checked expression, with names resolved to indices of facts.
#[derive(Debug, Clone, PartialEq)]
pub enum TypedExpr {
    Number(f64),
    String(String),
    Boolean(bool),
    /// The fact at this index in the facts that the expression was checked against.
    Fact(usize),
    Not(Box<TypedExpr>),
    Negate(Box<TypedExpr>),
    Binary {
        operator: BinaryOperator,
        left: Box<TypedExpr>,
        right: Box<TypedExpr>,
    },
    If {
        condition: Box<TypedExpr>,
        then: Box<TypedExpr>,
        otherwise: Box<TypedExpr>,
    },
}

/// The value of a fact or of an expression.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value<'a> {
    Number(f64),
    String(&'a str),
    Boolean(bool),
}

impl TypedExpr {
    /// Evaluates the expression. `facts` are the values of the facts that it was checked against, in the same
    /// order.
    pub fn value<'a>(&'a self, facts: &[Value<'a>]) -> Value<'a> {
        match self {
            TypedExpr::Number(number) => Value::Number(*number),
            TypedExpr::String(text) => Value::String(text),
            TypedExpr::Boolean(value) => Value::Boolean(*value),
            TypedExpr::Fact(index) => facts[*index],
            TypedExpr::Not(inner) => Value::Boolean(!inner.boolean(facts)),
            TypedExpr::Negate(inner) => Value::Number(-inner.number(facts)),
            TypedExpr::If {
                condition,
                then,
                otherwise,
            } => {
                let branch = if condition.boolean(facts) {
                    then
                } else {
                    otherwise
                };
                branch.value(facts)
            }
            TypedExpr::Binary {
                operator,
                left,
                right,
            } => operator.apply(left, right, facts),
        }
    }

    /// Evaluates an expression of type number. NaN if the expression has another type.
    pub fn number(&self, facts: &[Value<'_>]) -> f64 {
        match self.value(facts) {
            Value::Number(number) => number,
            Value::String(_) | Value::Boolean(_) => f64::NAN,
        }
    }

    /// Evaluates an expression of type boolean. False if the expression has another type.
    pub fn boolean(&self, facts: &[Value<'_>]) -> bool {
        self.value(facts) == Value::Boolean(true)
    }
}

impl BinaryOperator {
    fn apply<'a>(
        self,
        left: &'a TypedExpr,
        right: &'a TypedExpr,
        facts: &[Value<'a>],
    ) -> Value<'a> {
        let numbers = || (left.number(facts), right.number(facts));
        let compare = |comparison: fn(&f64, &f64) -> bool| {
            let (left, right) = numbers();
            Value::Boolean(comparison(&left, &right))
        };
        let compute = |operation: fn(f64, f64) -> f64| {
            let (left, right) = numbers();
            Value::Number(operation(left, right))
        };
        match self {
            BinaryOperator::Or => Value::Boolean(left.boolean(facts) || right.boolean(facts)),
            BinaryOperator::And => Value::Boolean(left.boolean(facts) && right.boolean(facts)),
            BinaryOperator::Equal => Value::Boolean(left.value(facts) == right.value(facts)),
            BinaryOperator::NotEqual => Value::Boolean(left.value(facts) != right.value(facts)),
            BinaryOperator::Less => compare(f64::lt),
            BinaryOperator::LessOrEqual => compare(f64::le),
            BinaryOperator::Greater => compare(f64::gt),
            BinaryOperator::GreaterOrEqual => compare(f64::ge),
            BinaryOperator::Add => compute(|left, right| left + right),
            BinaryOperator::Subtract => compute(|left, right| left - right),
            BinaryOperator::Multiply => compute(|left, right| left * right),
            BinaryOperator::Divide => compute(|left, right| left / right),
        }
    }
}
