//! The worker on a machine: it sends heartbeats, executes the commands in the answers, checks their fencing tokens,
//! ends its tasks when its lease expires, and runs each task for a fixed duration. The tasks of a gang run for this
//! duration from the start of the last of them, and complete together.

use super::Cloud;
use super::world::{GangCompletion, World};
use crate::ask;
use crate::history::job_of;
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The pause between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A task that a controller has started on the worker. It is kept until the controller reaps it or the lease expires.
struct Task {
    attempt: u64,
    /// When it was placed on the machine. The run time of a task in a gang counts from the gang's start instead.
    started: Instant,
    /// Why it ended, or `None` while it runs or if it completed with its gang.
    ended: Option<EndCause>,
    /// The completion of its gang, if it belongs to one.
    gang_completion: Option<GangCompletion>,
}

impl Task {
    /// Why it ended, or `None` while it is on its machine.
    fn end_cause(&self) -> Option<EndCause> {
        let gang = self.gang_completion.as_ref();
        let is_complete = gang.is_some_and(GangCompletion::is_complete);
        self.ended.or(is_complete.then_some(EndCause::Completed))
    }

    /// The task in a heartbeat.
    fn report(&self, id: &str, world: &World) -> Value {
        if let Some(cause) = self.end_cause() {
            json!({"sack": id, "turn": self.attempt, "stage": "ended", "cause": cause.name()})
        } else if world.is_gathering(id) {
            json!({"sack": id, "turn": self.attempt, "stage": "gathering"})
        } else {
            json!({"sack": id, "turn": self.attempt, "stage": "running"})
        }
    }
}

/// Why a task ended.
#[derive(Clone, Copy)]
enum EndCause {
    /// It ran for its duration, or its gang did.
    Completed,
    /// A controller's `stop` command ended it early.
    Stopped,
}

impl EndCause {
    /// The cause's name in heartbeats.
    fn name(self) -> &'static str {
        match self {
            Self::Completed => "done",
            Self::Stopped => "stopped",
        }
    }
}

pub(super) struct Worker {
    machine: String,
    cloud: Cloud,
    fencing_token: u64,
    incarnation: u64,
    /// The number of its last heartbeat.
    sequence: u64,
    /// The index of the controller that it reports to.
    controller: usize,
    /// When the last heartbeat whose answer renewed the lease was sent. Before the first such answer, when this
    /// incarnation began.
    lease_renewed: Instant,
    tasks: BTreeMap<String, Task>,
}

/// The faults of a worker's machine.
struct Faults {
    is_hung: bool,
    cannot_send: bool,
}

impl Worker {
    pub fn new(machine: String, cloud: Cloud) -> Self {
        Self {
            machine,
            cloud,
            fencing_token: 0,
            incarnation: 1,
            sequence: 0,
            controller: 0,
            lease_renewed: Instant::now(),
            tasks: BTreeMap::new(),
        }
    }

    /// Runs until the machine is released.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let faults = self.check_world();
            if faults.is_hung {
                continue;
            }
            if self.lease_renewed.elapsed() > self.cloud.timeouts.lease() {
                self.expire_lease();
            }
            self.complete_tasks();
            if !faults.cannot_send {
                self.send_heartbeat().await;
            }
        }
    }

    /// Checks for tasks that run for too long after a cancellation, and returns the machine's faults.
    fn check_world(&self) -> Faults {
        let mut world = self.cloud.world.lock().unwrap();
        world.check_cancelled(self.cloud.timeouts.cancel());
        Faults {
            is_hung: world.hung.contains(&self.machine),
            cannot_send: world.cannot_send.contains(&self.machine),
        }
    }

    /// Sends a heartbeat, and waits for the answer until the lease expires at the latest.
    async fn send_heartbeat(&mut self) {
        let heartbeat = self.heartbeat();
        let addr = self.cloud.controllers[self.controller];
        let sent = Instant::now();
        let lease = self.cloud.timeouts.lease();
        let lease_left = lease.saturating_sub(self.lease_renewed.elapsed());
        let answer = ask(addr, Method::POST, "/hello", heartbeat);
        let Ok((status, body)) = tokio::time::timeout(lease_left, answer).await else {
            self.try_next_controller();
            return;
        };
        if self.cannot_receive() {
            return;
        }
        match (status, body["miller"].as_str()) {
            (200, _) => self.handle_answer(&body, sent),
            (421, Some(owner)) => {
                let number = owner.trim_start_matches("millstone-");
                self.controller = number.parse().unwrap();
            }
            _ => self.try_next_controller(),
        }
    }

    fn cannot_receive(&self) -> bool {
        let world = self.cloud.world.lock().unwrap();
        world.cannot_receive.contains(&self.machine)
    }

    fn try_next_controller(&mut self) {
        self.controller = (self.controller + 1) % self.cloud.controllers.len();
    }

    fn heartbeat(&mut self) -> Value {
        let world = self.cloud.world.lock().unwrap();
        let tasks = self.tasks.iter();
        let tasks = tasks.map(|(id, task)| task.report(id, &world));
        self.sequence += 1;
        json!({"millstone": self.machine, "endpoint": "127.0.0.1:9", "stone": "m4",
            "yard": "a", "borrowed": false, "shift": self.incarnation, "tally": self.sequence,
            "warrant": self.fencing_token, "recallS": null, "sacks": tasks.collect::<Vec<_>>()})
    }

    /// Kills and removes every task, and continues with the next incarnation.
    fn expire_lease(&mut self) {
        let mut world = self.cloud.world.lock().unwrap();
        world.expired_leases += usize::from(!self.tasks.is_empty());
        world.end_tasks_on(&self.machine);
        self.tasks.clear();
        self.incarnation += 1;
        self.lease_renewed = Instant::now();
    }

    /// Completes the tasks that have run for long enough. Those in gangs complete on all machines at once.
    fn complete_tasks(&mut self) {
        let duration = self.cloud.task_duration;
        let mut world = self.cloud.world.lock().unwrap();
        for (id, task) in &mut self.tasks {
            if task.gang_completion.is_some() {
                world.complete_gang(job_of(id), duration);
            } else if task.ended.is_none() && task.started.elapsed() >= duration {
                task.ended = Some(EndCause::Completed);
                world.record_completion(id);
            }
        }
    }

    /// Renews the lease and executes the commands. An answer with a lower fencing token than an earlier one comes from
    /// a replaced owner and is ignored.
    fn handle_answer(&mut self, answer: &Value, sent: Instant) {
        let token = answer["warrant"].as_u64().unwrap();
        if token < self.fencing_token {
            return;
        }
        self.fencing_token = token;
        self.lease_renewed = sent;
        for command in answer["orders"].as_array().unwrap() {
            let id = command["sack"].as_str().unwrap();
            match command["verb"].as_str().unwrap() {
                "run" => self.run_task(id, command["turn"].as_u64().unwrap()),
                "stop" => self.stop_task(id),
                "reap" => {
                    self.tasks.remove(id);
                }
                _ => {}
            }
        }
    }

    fn run_task(&mut self, id: &str, attempt: u64) {
        if self.tasks.contains_key(id) {
            return;
        }
        let mut world = self.cloud.world.lock().unwrap();
        world.record_start(id, &self.machine);
        let task = Task {
            attempt,
            started: Instant::now(),
            ended: None,
            gang_completion: world.gang_completion(id),
        };
        self.tasks.insert(id.to_owned(), task);
    }

    /// Stops a task. One that has already ended keeps the cause of its end.
    fn stop_task(&mut self, id: &str) {
        let mut world = self.cloud.world.lock().unwrap();
        let task = self.tasks.get_mut(id);
        if let Some(task) = task.filter(|task| task.end_cause().is_none()) {
            task.ended = Some(EndCause::Stopped);
            world.record_stop(id);
        }
    }
}

#[cfg(test)]
mod tests;
