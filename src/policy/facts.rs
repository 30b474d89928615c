//! The inputs of policy expressions, and their conversion to fact values in the order of the schema.

use super::evaluate::Value;
use super::schema::MACHINE_TYPE_FACTS;

/// Facts of a machine type and of the demand for it in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineTypeFacts<'a> {
    pub machine_type: &'a str,
    pub cpus: f64,
    pub gpus: f64,
    /// Price per hour.
    pub price: f64,
    /// Number of tasks that arrived in the last period.
    pub arrived: f64,
    /// Smoothed number of tasks that arrived per period, without the last period.
    pub usual: f64,
    /// Number of tasks that are waiting now.
    pub waiting: f64,
}

/// Facts of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobFacts<'a> {
    pub class: &'a str,
    pub urgency: &'a str,
    pub tasks: f64,
    /// The estimated run time of a task as its submission states it, in seconds.
    pub estimate: f64,
}

/// Facts of a machine pool: the machines of one type in one zone that are all spot or all on-demand machines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachinePoolFacts<'a> {
    pub machine_type: &'a str,
    pub cpus: f64,
    pub gpus: f64,
    /// Price per hour.
    pub price: f64,
    pub zone: &'a str,
    pub spot: bool,
}

impl<'a> MachineTypeFacts<'a> {
    /// The fact values, in the order of the schema's facts of a machine type.
    pub(super) fn values(&self) -> [Value<'a>; MACHINE_TYPE_FACTS] {
        [
            Value::String(self.machine_type),
            Value::Number(self.cpus),
            Value::Number(self.gpus),
            Value::Number(self.price),
            Value::Number(self.arrived),
            Value::Number(self.usual),
            Value::Number(self.waiting),
        ]
    }

    /// The fact values of a machine of this type, in the order of the schema's facts of a machine.
    pub(super) fn machine_values(&self, zone: &'a str, spot: bool) -> Vec<Value<'a>> {
        let mut values = self.values().to_vec();
        values.extend([Value::String(zone), Value::Boolean(spot)]);
        values
    }
}

impl<'a> JobFacts<'a> {
    /// The fact values, in the order of the schema's facts of a job.
    pub(super) fn values(&self) -> [Value<'a>; 4] {
        [
            Value::String(self.class),
            Value::String(self.urgency),
            Value::Number(self.tasks),
            Value::Number(self.estimate),
        ]
    }
}
