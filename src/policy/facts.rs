//! What expressions are evaluated for: the facts' values, in the order of the schema.

use super::evaluate::Value;
use super::schema::MACHINE_TYPE_FACTS;

/// A machine type, and the whole fleet's work on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineTypeFacts<'a> {
    pub machine_type: &'a str,
    pub cpus: f64,
    pub gpus: f64,
    /// Price of an hour.
    pub price: f64,
    /// Tasks that arrived in the last period.
    pub arrived: f64,
    /// Tasks that usually arrive in a period.
    pub usual: f64,
    /// Tasks that wait now.
    pub waiting: f64,
}

/// A job, as far as its start goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobFacts<'a> {
    pub class: &'a str,
    pub urgency: &'a str,
    pub tasks: f64,
    /// The owner's estimate of a task's run time in seconds.
    pub estimate: f64,
}

/// Machines of one type in one zone, all spot or none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachinePoolFacts<'a> {
    pub machine_type: &'a str,
    pub cpus: f64,
    pub gpus: f64,
    /// Price of an hour.
    pub price: f64,
    pub zone: &'a str,
    pub spot: bool,
}

impl<'a> MachineTypeFacts<'a> {
    /// The values in the order of the schema's facts of a machine type.
    pub(super) fn values(&self) -> [Value<'a>; MACHINE_TYPE_FACTS] {
        [
            Value::Text(self.machine_type),
            Value::Number(self.cpus),
            Value::Number(self.gpus),
            Value::Number(self.price),
            Value::Number(self.arrived),
            Value::Number(self.usual),
            Value::Number(self.waiting),
        ]
    }

    /// The facts of one machine of this type.
    pub(super) fn machine_values(&self, zone: &'a str, spot: bool) -> Vec<Value<'a>> {
        let mut values = self.values().to_vec();
        values.extend([Value::Text(zone), Value::Boolean(spot)]);
        values
    }
}

impl<'a> JobFacts<'a> {
    /// The values in the order of the schema's facts of a job.
    pub(super) fn values(&self) -> [Value<'a>; 4] {
        [
            Value::Text(self.class),
            Value::Text(self.urgency),
            Value::Number(self.tasks),
            Value::Number(self.estimate),
        ]
    }
}
