//! Evaluation of checked expressions. It cannot fail: names and types were checked before.

use super::syntax::Operator;

/// An expression whose names are resolved to indices of facts and whose types are right.
#[derive(Debug, Clone, PartialEq)]
pub enum TypedExpr {
    Number(f64),
    Text(String),
    Boolean(bool),
    /// The fact at this index of those that the expression was checked against.
    Fact(usize),
    Not(Box<TypedExpr>),
    Negate(Box<TypedExpr>),
    Binary {
        operator: Operator,
        left: Box<TypedExpr>,
        right: Box<TypedExpr>,
    },
    If {
        condition: Box<TypedExpr>,
        then: Box<TypedExpr>,
        otherwise: Box<TypedExpr>,
    },
}

/// A fact's value, or an expression's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value<'a> {
    Number(f64),
    Text(&'a str),
    Boolean(bool),
}

impl TypedExpr {
    /// The value with these facts, in the order of those that the expression was checked against.
    pub fn value<'a>(&'a self, facts: &[Value<'a>]) -> Value<'a> {
        match self {
            TypedExpr::Number(number) => Value::Number(*number),
            TypedExpr::Text(text) => Value::Text(text),
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

    /// The value of an expression of type number; not a number if it is of another type.
    pub fn number(&self, facts: &[Value<'_>]) -> f64 {
        match self.value(facts) {
            Value::Number(number) => number,
            Value::Text(_) | Value::Boolean(_) => f64::NAN,
        }
    }

    /// The value of an expression of type boolean; false if it is of another type.
    pub fn boolean(&self, facts: &[Value<'_>]) -> bool {
        self.value(facts) == Value::Boolean(true)
    }
}

impl Operator {
    fn apply<'a>(
        self,
        left: &'a TypedExpr,
        right: &'a TypedExpr,
        facts: &[Value<'a>],
    ) -> Value<'a> {
        let numbers = || (left.number(facts), right.number(facts));
        let compare = |holds: fn(&f64, &f64) -> bool| {
            let (left, right) = numbers();
            Value::Boolean(holds(&left, &right))
        };
        let compute = |result: fn(f64, f64) -> f64| {
            let (left, right) = numbers();
            Value::Number(result(left, right))
        };
        match self {
            Operator::Or => Value::Boolean(left.boolean(facts) || right.boolean(facts)),
            Operator::And => Value::Boolean(left.boolean(facts) && right.boolean(facts)),
            Operator::Equal => Value::Boolean(left.value(facts) == right.value(facts)),
            Operator::NotEqual => Value::Boolean(left.value(facts) != right.value(facts)),
            Operator::Less => compare(f64::lt),
            Operator::LessOrEqual => compare(f64::le),
            Operator::Greater => compare(f64::gt),
            Operator::GreaterOrEqual => compare(f64::ge),
            Operator::Add => compute(|left, right| left + right),
            Operator::Subtract => compute(|left, right| left - right),
            Operator::Multiply => compute(|left, right| left * right),
            Operator::Divide => compute(|left, right| left / right),
        }
    }
}
