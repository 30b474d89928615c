//! Starts and supervises the tasks that a controller runs beside its API. Each is an endless loop. A task that
//! ends nevertheless is logged and not restarted; the others keep running.

use crate::node::Node;
use crate::{cells, membership, mesh, pipelines, placement, renting, state};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::task::{Id, JoinSet};

/// Running tasks, with their names for the log. All are aborted when this value is dropped.
#[derive(Debug, Default)]
pub struct BackgroundTasks {
    tasks: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl BackgroundTasks {
    /// Starts all background tasks of a controller on the current runtime, except the mesh server.
    pub fn start(node: &Arc<Node>) -> Self {
        let mut tasks = Self::default();
        tasks.spawn("state watch", state::watch::run(node.clone()));
        tasks.spawn(
            "state reads",
            state::watch::serve_read_barriers(node.clone()),
        );
        tasks.spawn("pipelines", pipelines::service::run(node.clone()));
        tasks.spawn("membership", membership::run(node.clone()));
        tasks.spawn("mesh client", mesh::poll_peers(node.clone()));
        tasks.spawn("placement", placement::service::run(node.clone()));
        tasks.spawn("renting", renting::service::run(node.clone()));
        tasks.spawn_cells(node);
        tasks
    }

    fn spawn_cells(&mut self, node: &Arc<Node>) {
        for (name, task) in cells::background_tasks(node) {
            self.spawn(name, task);
        }
    }

    /// Starts one task.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let id = self.tasks.spawn(task).id();
        self.names.insert(id, name);
    }

    /// Logs each task that ends or panics. Returns when no task is left.
    pub async fn supervise(mut self) {
        while let Some(ended) = self.tasks.join_next_with_id().await {
            match ended {
                Ok((id, ())) => {
                    let task = self.name(id);
                    tracing::error!(task, "background task ended");
                }
                Err(error) => {
                    let task = self.name(error.id());
                    tracing::error!(task, %error, "background task failed");
                }
            }
        }
    }

    fn name(&self, id: Id) -> &'static str {
        self.names.get(&id).copied().unwrap_or("unknown")
    }
}

#[cfg(test)]
mod tests;
