//! The checker: every name known, every type right, before anything is evaluated.

use super::lang::{Expr, Node, Operator, Place, Problem, problem};
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Number,
    Text,
    Truth,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Number => "a number",
            Kind::Text => "a text",
            Kind::Truth => "true or false",
        })
    }
}

/// A fact that expressions may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fact {
    pub name: &'static str,
    pub kind: Kind,
}

/// A checked expression: names are resolved to the places of their values.
#[derive(Debug, Clone, PartialEq)]
pub enum Checked {
    Number(f64),
    Text(String),
    Truth(bool),
    Fact(usize),
    Not(Box<Checked>),
    Negate(Box<Checked>),
    Binary(Operator, Box<Checked>, Box<Checked>),
    If(Box<Checked>, Box<Checked>, Box<Checked>),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value<'a> {
    Number(f64),
    Text(&'a str),
    Truth(bool),
}

pub fn check(expr: &Expr, facts: &[Fact]) -> Result<(Checked, Kind), Problem> {
    let boxed = |e: &Expr, kind| typed(e, facts, kind).map(Box::new);
    Ok(match &expr.node {
        Node::Number(n) => (Checked::Number(*n), Kind::Number),
        Node::Text(text) => (Checked::Text(text.clone()), Kind::Text),
        Node::Truth(truth) => (Checked::Truth(*truth), Kind::Truth),
        Node::Name(name) => match facts.iter().position(|f| f.name == name) {
            Some(at) => (Checked::Fact(at), facts[at].kind),
            None => return unknown(expr.place, name, facts),
        },
        Node::Not(inner) => (Checked::Not(boxed(inner, Kind::Truth)?), Kind::Truth),
        Node::Negate(inner) => (Checked::Negate(boxed(inner, Kind::Number)?), Kind::Number),
        Node::If(condition, yes, no) => {
            let condition = boxed(condition, Kind::Truth)?;
            let (yes, kind) = check(yes, facts)?;
            let no = boxed(no, kind)?;
            (Checked::If(condition, Box::new(yes), no), kind)
        }
        Node::Binary(operator, left, right) => {
            let (needs, gives) = match operator {
                Operator::Or | Operator::And => (Some(Kind::Truth), Kind::Truth),
                Operator::Equal | Operator::Unequal => (None, Kind::Truth),
                Operator::Less | Operator::LessEqual | Operator::More | Operator::MoreEqual => {
                    (Some(Kind::Number), Kind::Truth)
                }
                _ => (Some(Kind::Number), Kind::Number),
            };
            let (left, kind) = match needs {
                Some(kind) => (typed(left, facts, kind)?, kind),
                None => check(left, facts)?,
            };
            let right = boxed(right, kind)?;
            (Checked::Binary(*operator, Box::new(left), right), gives)
        }
    })
}

fn unknown<T>(place: Place, name: &str, facts: &[Fact]) -> Result<T, Problem> {
    let names: Vec<&str> = facts.iter().map(|f| f.name).collect();
    let known = match names.is_empty() {
        true => "nothing can be named here".to_owned(),
        false => format!("known here: {}", names.join(", ")),
    };
    problem(place, format!("`{name}` is not known; {known}"))
}

pub fn typed(expr: &Expr, facts: &[Fact], wanted: Kind) -> Result<Checked, Problem> {
    let (checked, kind) = check(expr, facts)?;
    match kind == wanted {
        true => Ok(checked),
        false => problem(expr.place, format!("{wanted} expected, this is {kind}")),
    }
}

impl Checked {
    /// Checked expressions have the right types everywhere; a mismatch here cannot come up.
    pub fn value<'a>(&'a self, facts: &[Value<'a>]) -> Value<'a> {
        match self {
            Checked::Number(n) => Value::Number(*n),
            Checked::Text(text) => Value::Text(text),
            Checked::Truth(truth) => Value::Truth(*truth),
            Checked::Fact(at) => facts[*at],
            Checked::Not(inner) => Value::Truth(!inner.truth(facts)),
            Checked::Negate(inner) => Value::Number(-inner.number(facts)),
            Checked::If(condition, yes, no) => match condition.truth(facts) {
                true => yes.value(facts),
                false => no.value(facts),
            },
            Checked::Binary(operator, left, right) => {
                let numbers = || (left.number(facts), right.number(facts));
                match operator {
                    Operator::Or => Value::Truth(left.truth(facts) || right.truth(facts)),
                    Operator::And => Value::Truth(left.truth(facts) && right.truth(facts)),
                    Operator::Equal => Value::Truth(left.value(facts) == right.value(facts)),
                    Operator::Unequal => Value::Truth(left.value(facts) != right.value(facts)),
                    Operator::Less => Value::Truth(numbers().0 < numbers().1),
                    Operator::LessEqual => Value::Truth(numbers().0 <= numbers().1),
                    Operator::More => Value::Truth(numbers().0 > numbers().1),
                    Operator::MoreEqual => Value::Truth(numbers().0 >= numbers().1),
                    Operator::Add => Value::Number(numbers().0 + numbers().1),
                    Operator::Subtract => Value::Number(numbers().0 - numbers().1),
                    Operator::Multiply => Value::Number(numbers().0 * numbers().1),
                    Operator::Divide => Value::Number(numbers().0 / numbers().1),
                }
            }
        }
    }

    pub fn number(&self, facts: &[Value<'_>]) -> f64 {
        match self.value(facts) {
            Value::Number(n) => n,
            _ => f64::NAN,
        }
    }

    pub fn truth(&self, facts: &[Value<'_>]) -> bool {
        self.value(facts) == Value::Truth(true)
    }
}
