use super::*;
use tokio::sync::oneshot;

impl BackgroundTasks {
    /// Starts only the tasks of the cells.
    pub fn of_cells(node: &Arc<Node>) -> Self {
        let mut tasks = Self::default();
        tasks.spawn_cells(node);
        tasks
    }
}

#[tokio::test]
async fn a_task_that_ends_or_panics_leaves_the_others_running() {
    let (send, receive) = oneshot::channel();
    let mut tasks = BackgroundTasks::default();
    tasks.spawn("ends", async {});
    tasks.spawn("panics", async { panic!("expected by the test") });
    tasks.spawn("goes on", async move {
        // Both others have ended by then: the runtime has one thread and polls them first.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
        send.send("still running").unwrap();
    });
    let supervisor = tokio::spawn(tasks.supervise());
    assert_eq!(receive.await, Ok("still running"));
    supervisor.await.unwrap();
}
