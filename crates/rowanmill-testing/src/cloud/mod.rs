//! A stand-in for the cloud: it rents out machines, each of which runs a worker.

mod worker;
mod world;

use crate::{Handler, StubRequest, Timeouts};
use hyper::Method;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use worker::Worker;
pub use world::World;

/// The machines of each rental request, by the request's id.
type Rentals = HashMap<String, Vec<String>>;

/// A cloud, and the workers on its machines. Clones share all state.
#[derive(Clone)]
pub struct Cloud {
    /// What its machines and users observed, and the faults of its machines.
    pub world: Arc<Mutex<World>>,
    rentals: Arc<Mutex<Rentals>>,
    /// The maximum number of machines that are rented out at a time.
    capacity: Arc<AtomicUsize>,
    controllers: Vec<SocketAddr>,
    task_duration: Duration,
    timeouts: Timeouts,
}

impl Cloud {
    /// A cloud whose workers report to these controllers and run each task for `task_duration`.
    pub fn new(controllers: Vec<SocketAddr>, task_duration: Duration, timeouts: Timeouts) -> Self {
        Self {
            world: Arc::default(),
            rentals: Arc::default(),
            capacity: Arc::new(AtomicUsize::new(usize::MAX)),
            controllers,
            task_duration,
            timeouts,
        }
    }

    /// The same cloud, but with the machines in a world that it may share with other clouds.
    pub fn in_world(mut self, world: &Arc<Mutex<World>>) -> Self {
        self.world = world.clone();
        self
    }

    /// Sets the maximum number of machines that are rented out at a time.
    pub fn set_capacity(&self, machines: usize) {
        self.capacity.store(machines, Ordering::Relaxed);
    }

    /// The number of machines that were ever rented out.
    pub fn rented_count(&self) -> usize {
        self.rentals.lock().unwrap().values().map(Vec::len).sum()
    }

    /// Stops all machines at once, with the tasks that run on them, as if they had been released. New machines
    /// can still be rented.
    pub fn power_off(&self) {
        let mut world = self.world.lock().unwrap();
        let rentals = self.rentals.lock().unwrap();
        for machine in rentals.values().flatten() {
            world.release(machine);
        }
    }

    /// The handler of requests to the cloud.
    pub fn handler(&self) -> Handler {
        let cloud = self.clone();
        Arc::new(move |request| {
            let cloud = cloud.clone();
            Box::pin(async move { cloud.answer(&request) })
        })
    }

    /// Answers a request. The list of rented machines is always empty.
    fn answer(&self, request: &StubRequest) -> (u16, Value) {
        match request.path.as_str() {
            "/catalog" => (200, catalog()),
            "/rentals" if request.method == Method::POST => self.rent(&request.body),
            "/rentals/release" => self.release(&request.body),
            "/rentals" => (200, json!({"millstones": [], "more": false})),
            _ => (400, json!({})),
        }
    }

    /// Rents out as many of the requested machines as the capacity permits; if that is none, answers with status 503.
    /// A repeated request gets the same machines.
    fn rent(&self, body: &Value) -> (u16, Value) {
        let id = body["hire"].as_str().unwrap().to_owned();
        let mut world = self.world.lock().unwrap();
        let mut rentals = self.rentals.lock().unwrap();
        if let Some(names) = rentals.get(&id) {
            return (200, json!({"millstones": names}));
        }
        let rented = rentals.values().flatten();
        let running = rented.filter(|name| !world.is_released(name)).count();
        let available = self
            .capacity
            .load(Ordering::Relaxed)
            .saturating_sub(running);
        let count = (body["howMany"].as_u64().unwrap() as usize).min(available);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let first = world.machine_count();
        let names: Vec<String> = (first..first + count)
            .map(|number| format!("vm-{number:06}"))
            .collect();
        for name in &names {
            let worker = Worker::new(name.clone(), self.clone());
            let handle = tokio::spawn(worker.run()).abort_handle();
            world.add_machine(name, handle);
        }
        rentals.insert(id, names.clone());
        (200, json!({"millstones": names}))
    }

    fn release(&self, body: &Value) -> (u16, Value) {
        let mut world = self.world.lock().unwrap();
        for machine in body["millstones"].as_array().unwrap() {
            world.release(machine.as_str().unwrap());
        }
        (200, json!({}))
    }
}

/// The catalogue, with a single machine type.
fn catalog() -> Value {
    json!({"stones": [{"sku": "m4", "cpus": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 50.0,
        "fetchGbPerS": 100.0, "hourly": 1.0, "marketPrice": 0.5, "bootS": 1.0, "yards": ["a"]}]})
}
