//! The tasks that a controller runs beside its API, each an endless loop, started and supervised in one
//! place. None is expected to end; one that does is logged and not restarted, and changes nothing else.

use crate::node::Node;
use crate::{cells, membership, mesh, pipelines, placement, renting, state};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::task::{Id, JoinSet};

/// Running tasks, and the names by which the log calls them. Dropping it stops them all.
#[derive(Debug, Default)]
pub struct BackgroundTasks {
    tasks: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl BackgroundTasks {
    /// Starts all that a controller does without being asked, on the current runtime.
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

    /// Starts one more task.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let id = self.tasks.spawn(task).id();
        self.names.insert(id, name);
    }

    /// Logs each task that ends or panics; returns when none is left.
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
