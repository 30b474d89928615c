//! Simulated users of a cluster. They submit, poll and cancel jobs, and record the reported stages for the checker.

use super::Cluster;
use crate::ask;
use crate::history::{Event, ReportedStage};
use hyper::Method;
use serde_json::Value;
use std::time::{Duration, Instant};

/// How users retry a request that fails temporarily. The test fails if the last attempt fails too.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// The maximum number of attempts.
    pub attempts: usize,
    /// The pause after each failed attempt.
    pub pause: Duration,
}

/// The pause between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a request with this status may be retried: there was no answer (0), or it was refused only temporarily.
fn is_retryable(status: u16) -> bool {
    matches!(status, 0 | 429 | 503)
}

impl Cluster {
    /// Sends a GET request to a controller. Returns the status, which is 0 if there is no answer, and the body.
    pub async fn get(&self, number: usize, path: &str) -> (u16, Value) {
        ask(self.api[number], Method::GET, path, Value::Null).await
    }

    /// Sends a POST request to a controller. Returns the status, which is 0 if there is no answer, and the body.
    pub async fn post(&self, number: usize, path: &str, body: Value) -> (u16, Value) {
        ask(self.api[number], Method::POST, path, body).await
    }

    /// Submits a job to one controller after the other, beginning with `first`, until it is accepted. Returns the
    /// answer.
    pub async fn submit(&self, first: usize, job: &Value) -> Value {
        self.submit_with_step(first, 1, job).await
    }

    /// Submits a job to one controller, and retries there until it is accepted. Returns the answer.
    pub async fn submit_at(&self, number: usize, job: &Value) -> Value {
        self.submit_with_step(number, 0, job).await
    }

    /// Submits a job to the controller `first`, and moves on by `step` controllers for each retry; 0 stays at `first`.
    async fn submit_with_step(&self, first: usize, step: usize, job: &Value) -> Value {
        let id = job["nameId"].as_str().unwrap();
        self.record_submission(id, job);
        let Retry { attempts, pause } = self.config.retry;
        for attempt in 0..attempts {
            let number = (first + attempt * step) % self.config.controllers;
            let (status, answer) = self.post(number, "/v1/jobs", job.clone()).await;
            if matches!(status, 200 | 201) {
                self.record_reported_stage(id, answer["stage"].as_str().unwrap());
                return answer;
            }
            assert!(
                is_retryable(status),
                "submission of {id} refused: {status} {answer}"
            );
            tokio::time::sleep(pause).await;
        }
        panic!("submission not accepted after {attempts} attempts: {job}");
    }

    /// Cancels a job at one controller after the other, beginning with controller 0, until one confirms the request.
    /// Returns the stage in the answer.
    pub async fn cancel(&self, id: &str) -> String {
        self.cancel_with_step(0, 1, id).await
    }

    /// Cancels a job at one controller, and retries there until it confirms the request. Returns the stage in the
    /// answer.
    pub async fn cancel_at(&self, number: usize, id: &str) -> String {
        self.cancel_with_step(number, 0, id).await
    }

    /// Cancels a job at the controller `first`, and moves on by `step` controllers for each retry; 0 stays at `first`.
    async fn cancel_with_step(&self, first: usize, step: usize, id: &str) -> String {
        let path = format!("/v1/jobs/{id}/abort");
        let Retry { attempts, pause } = self.config.retry;
        for attempt in 0..attempts {
            let number = (first + attempt * step) % self.config.controllers;
            let (status, answer) = self.post(number, &path, Value::Null).await;
            if status == 200 {
                let stage = answer["stage"].as_str().unwrap().to_owned();
                self.record_reported_stage(id, &stage);
                if stage == "cancelled" {
                    self.cloud.world.lock().unwrap().record_cancellation(id);
                }
                return stage;
            }
            assert!(
                is_retryable(status),
                "cancellation of {id} refused: {status} {answer}"
            );
            tokio::time::sleep(pause).await;
        }
        panic!("cancellation not confirmed after {attempts} attempts: {id}");
    }

    /// A job's stage as the first controller that answers with status 200 reports it; empty if none does. Fails the
    /// test if one that is asked does not know the job.
    pub async fn stage(&self, id: &str) -> String {
        for number in 0..self.config.controllers {
            if let Some(stage) = self.stage_at(number, id).await {
                return stage;
            }
        }
        String::new()
    }

    /// A job's stage as one controller reports it, if it answers with status 200. Fails the test if it does not know
    /// the job.
    pub async fn stage_at(&self, number: usize, id: &str) -> Option<String> {
        let (status, answer) = self.get(number, &format!("/v1/jobs/{id}")).await;
        assert_ne!(status, 404, "controller {number} does not know {id}");
        if status != 200 {
            return None;
        }
        let stage = answer["stage"].as_str().unwrap_or_default();
        self.record_reported_stage(id, stage);
        Some(stage.to_owned())
    }

    /// Polls until all these jobs are done or cancelled, and fails the test after `timeout`.
    pub async fn wait_until_all_end(&self, ids: &[String], timeout: Duration) {
        let deadline = Instant::now() + timeout;
        for id in ids {
            loop {
                let stage = self.stage(id).await;
                if matches!(stage.as_str(), "done" | "cancelled") {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{id} has not ended after {timeout:?}; last reported stage: {stage:?}"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    fn record_submission(&self, id: &str, job: &Value) {
        let mut world = self.cloud.world.lock().unwrap();
        let millicpus = (job["cpus"].as_f64().unwrap() * 1000.0) as u64;
        world
            .quota
            .record_job(id, job["crew"].as_str().unwrap(), millicpus);
        let tasks = job["sacks"].as_u64().unwrap() as u32;
        if job["shape"] == "group" {
            world.record_gang(id, tasks as usize);
        }
        world.history.record(Event::Submitted {
            job: id.to_owned(),
            tasks,
        });
    }

    fn record_reported_stage(&self, id: &str, stage: &str) {
        let stage = match stage {
            "done" => ReportedStage::Done,
            "cancelled" => ReportedStage::Cancelled,
            _ => ReportedStage::Open,
        };
        let job = id.to_owned();
        let mut world = self.cloud.world.lock().unwrap();
        world.history.record(Event::StageReported { job, stage });
    }

    /// The broken rules that the world has recorded, and the violations that the checker finds in its history. Jobs
    /// that have not ended do not count as lost.
    pub fn broken_rules(&self) -> Vec<String> {
        let world = self.cloud.world.lock().unwrap();
        let violations = world.history.violations(false);
        let violations = violations.iter().map(ToString::to_string);
        world
            .broken_rules
            .iter()
            .cloned()
            .chain(violations)
            .collect()
    }
}

#[cfg(test)]
mod tests;
