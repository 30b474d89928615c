//! The cloud's protocol: the requests that are sent, and how each answer is interpreted.

use crate::cloud::{CloudClient, CloudError, ListedMachine, MachineType, RentalRequest};
use rowanmill_testing::exchange::{Recorder, ScriptedAnswer};
use std::fmt::Write;

fn scripted(status: u16, body: &str) -> ScriptedAnswer {
    ScriptedAnswer::Answer(status, body.to_owned())
}

#[derive(Default)]
struct CallTrace(String);

impl CallTrace {
    /// Makes one call to a server that gives these answers, and adds the requests, the answers and the call's outcome.
    async fn call(
        &mut self,
        what: &str,
        answers: &[ScriptedAnswer],
        call: impl AsyncFnOnce(CloudClient) -> Result<String, CloudError>,
    ) {
        let recorder = Recorder::start(answers.to_vec());
        let outcome = call(CloudClient::new(recorder.addr)).await;
        writeln!(self.0, "== {what}").unwrap();
        for (request, answer) in recorder.requests().iter().zip(answers) {
            self.0.push_str(request);
            match answer {
                ScriptedAnswer::Answer(status, body) => {
                    writeln!(self.0, "< {status} {body}").unwrap()
                }
                ScriptedAnswer::HangUp => writeln!(self.0, "< no answer").unwrap(),
            }
        }
        let outcome = match outcome {
            Ok(text) => text,
            Err(CloudError::NoCapacity) => "no capacity: nothing is rented".to_owned(),
            Err(CloudError::Malformed) => "malformed".to_owned(),
            Err(CloudError::NotExecuted) => "not executed, to be sent again".to_owned(),
            Err(CloudError::OutcomeUnknown) => "may have been executed, or may be yet".to_owned(),
        };
        writeln!(self.0, "{}\n", outcome.trim_end()).unwrap();
    }
}

fn machine_type_text(machine_type: &MachineType) -> String {
    format!(
        "{}: {} CPUs, {} cards, {} GB, cache {} GB, fetches {} GB/s, {} an hour, spot {}, boots in {} s, zones {}\n",
        machine_type.name,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.cache_gb,
        machine_type.fetch_gb_per_s,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
        machine_type.zones.join("+")
    )
}

fn machine_text(machine: &ListedMachine) -> String {
    format!(
        "{}: type {}, zone {}, spot {}, {}, {} s old\n",
        machine.name,
        machine.machine_type,
        machine.zone,
        machine.spot,
        machine.stage,
        machine.age_s
    )
}

#[tokio::test]
async fn catalogue_request_and_the_meaning_of_its_answers() {
    let mut trace = CallTrace::default();
    let full = r#"{"stones":[{"sku":"g8","cpus":96,"cards":8,"memGb":768,"cacheGb":200,"fetchGbPerS":1.0,"hourly":12.0,"marketPrice":4.5,"bootS":45,"yards":["a","b"]},{"sku":"c4","cpus":4.0,"memGb":16.5,"hourly":0.25,"later":true}]}"#;
    let answers = [
        (
            "a type with all fields and one with the least",
            scripted(200, full),
        ),
        ("no types", scripted(200, r#"{"stones":[]}"#)),
        (
            "a type without price",
            scripted(200, r#"{"stones":[{"sku":"c4","cpus":4.0,"memGb":16}]}"#),
        ),
        ("over the limit", scripted(429, r#"{"error":"too many"}"#)),
        ("an outage", scripted(503, r#"{"error":"trouble"}"#)),
        ("no answer", ScriptedAnswer::HangUp),
    ];
    for (what, answer) in answers {
        let call = async |client: CloudClient| {
            let machine_types = client.catalog().await?;
            Ok(machine_types
                .iter()
                .map(machine_type_text)
                .collect::<String>()
                + "read")
        };
        trace.call(what, &[answer], call).await;
    }
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn rental_request_and_the_meaning_of_its_answers() {
    let mut trace = CallTrace::default();
    let answers = [
        (
            "all of them",
            scripted(200, r#"{"millstones":["vm-000231","vm-000232"]}"#),
        ),
        (
            "some, with unknown fields",
            scripted(200, r#"{"millstones":["vm-000231"],"later":1}"#),
        ),
        ("no capacity", scripted(503, r#"{"error":"no capacity"}"#)),
        ("an outage", scripted(503, r#"{"error":"trouble"}"#)),
        ("malformed", scripted(400, r#"{"error":"malformed"}"#)),
        ("over the limit", scripted(429, r#"{"error":"too many"}"#)),
        ("an answer that cannot be read", scripted(200, "{}")),
        ("no answer", ScriptedAnswer::HangUp),
    ];
    for (what, answer) in answers {
        let call = async |client: CloudClient| {
            let rental = RentalRequest {
                name: "r-17",
                machine_type: "g8",
                zone: "a",
                spot: true,
                count: 12,
            };
            let machines = client.rent(&rental).await?;
            Ok(format!("rented {}", machines.join(", ")))
        };
        trace.call(what, &[answer], call).await;
    }
    let ordinary = async |client: CloudClient| {
        let rental = RentalRequest {
            name: "r-18",
            machine_type: "c4",
            zone: "b",
            spot: false,
            count: 1,
        };
        let machines = client.rent(&rental).await?;
        Ok(format!("rented {}", machines.join(", ")))
    };
    let answer = scripted(200, r#"{"millstones":["vm-000233"]}"#);
    trace.call("an ordinary machine", &[answer], ordinary).await;
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn release_request_and_the_meaning_of_its_answers() {
    let mut trace = CallTrace::default();
    let answers = [
        ("released", scripted(200, "{}")),
        ("over the limit", scripted(429, r#"{"error":"too many"}"#)),
        ("an outage", scripted(503, r#"{"error":"trouble"}"#)),
        ("no answer", ScriptedAnswer::HangUp),
    ];
    for (what, answer) in answers {
        let call = async |client: CloudClient| {
            let names = ["vm-000231", "vm-000232"].map(str::to_owned);
            client.release(names.to_vec()).await?;
            Ok("the machines are gone".to_owned())
        };
        trace.call(what, &[answer], call).await;
    }
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn machines_are_listed_page_by_page() {
    let mut trace = CallTrace::default();
    let first = r#"{"millstones":[{"nameId":"vm-000231","endpoint":"10.1.0.232:9000","stone":"g8","yard":"a","borrowed":true,"stage":"running","ageS":61.5},{"nameId":"vm-000232","endpoint":"10.1.0.233:9000","stone":"g8","yard":"a","borrowed":true,"stage":"starting","ageS":3}],"more":true}"#;
    let last =
        r#"{"millstones":[{"nameId":"vm-000240","stone":"c4","yard":"b","stage":"failed"}]}"#;
    let list = async |client: CloudClient| {
        let machines = client.list().await?;
        Ok(machines.iter().map(machine_text).collect::<String>() + "read")
    };
    let answers = [scripted(200, first), scripted(200, last)];
    trace
        .call("two pages, the last with the least", &answers, list)
        .await;
    let answers = [
        scripted(200, first),
        scripted(503, r#"{"error":"trouble"}"#),
    ];
    trace.call("two pages, one refused", &answers, list).await;
    let answers = [scripted(200, r#"{"millstones":[],"more":false}"#)];
    trace.call("none", &answers, list).await;
    let answers = [scripted(200, r#"{"millstones":[{"nameId":"vm-000231"}]}"#)];
    trace
        .call("a machine without its type", &answers, list)
        .await;
    trace
        .call("no answer", &[ScriptedAnswer::HangUp], list)
        .await;
    insta::assert_snapshot!(trace.0);
}
