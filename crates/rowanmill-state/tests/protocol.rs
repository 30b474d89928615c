//! Tests of the state service's protocol: the requests that the client sends, and how it interprets each
//! response. The snapshots document the protocol and change only with it.
#![allow(clippy::too_many_lines, reason = "a test covers a whole scenario")]

use rowanmill_state::{
    KeyValue, Listing, Operation, Precondition, ReadError, ServiceQuota, StateClient,
    TransactionError, WatchEvent, WatchResponse,
};
use rowanmill_testing::exchange::{Recorder, ScriptedAnswer};
use serde_json::json;
use std::fmt::Write;
use std::time::Duration;

const QUOTA: ServiceQuota = ServiceQuota {
    requests_per_s: 1000.0,
    writes_per_s: 1000.0,
};

fn answer(status: u16, body: &str) -> ScriptedAnswer {
    ScriptedAnswer::Answer(status, body.to_owned())
}

#[derive(Default)]
struct Trace(String);

impl Trace {
    /// Records one call, with the scripted reply to each of its requests.
    async fn call(
        &mut self,
        label: &str,
        replies: &[ScriptedAnswer],
        call: impl AsyncFnOnce(StateClient) -> String,
    ) {
        let recorder = Recorder::start(replies.to_vec());
        let outcome = call(StateClient::new(recorder.addr, QUOTA, QUOTA)).await;
        writeln!(self.0, "== {label}").unwrap();
        for (request, reply) in recorder.requests().iter().zip(replies) {
            self.0.push_str(request);
            match reply {
                ScriptedAnswer::Answer(status, body) => {
                    writeln!(self.0, "< {status} {body}").unwrap()
                }
                ScriptedAnswer::HangUp => writeln!(self.0, "< no answer").unwrap(),
            }
        }
        writeln!(self.0, "{}\n", outcome.trim_end()).unwrap();
    }
}

fn transaction_text(outcome: Result<u64, TransactionError>) -> String {
    match outcome {
        Ok(revision) => format!("applied at revision {revision}"),
        Err(TransactionError::Conflict(keys)) => format!("guards failed: {}", keys.join(", ")),
        Err(TransactionError::Refused(_)) => "not executed, may be sent again".to_owned(),
        Err(TransactionError::Malformed) => "refused for good".to_owned(),
        Err(TransactionError::LeaseExpired) => "its lease is over".to_owned(),
        Err(TransactionError::Unknown(_)) => "may have been executed, or may be yet".to_owned(),
    }
}

fn error_text(error: ReadError) -> String {
    match error {
        ReadError::Compacted => "the log does not go back that far".to_owned(),
        ReadError::LeaseExpired => "the lease is over".to_owned(),
        ReadError::Failed(_) => "nothing is known".to_owned(),
    }
}

fn key_value_text(pair: &KeyValue) -> String {
    format!("{} at {}: {}\n", pair.key, pair.revision, pair.value)
}

fn listing_text(listing: &Listing) -> String {
    let pairs: String = listing.pairs.iter().map(key_value_text).collect();
    format!(
        "{pairs}more: {}, revision {}",
        listing.more, listing.revision
    )
}

fn event_text(event: &WatchEvent) -> String {
    let data = event.value.as_ref().map_or("none", |data| data.get());
    let key = |key: &Option<String>| key.clone().unwrap_or("none".to_owned());
    format!(
        "at {}: put {}, removed {}, value {data}\n",
        event.revision,
        key(&event.put),
        key(&event.deleted)
    )
}

fn preconditions() -> Vec<Precondition> {
    vec![
        Precondition::absent("a/new".to_owned()),
        Precondition {
            key: "a/b".to_owned(),
            revision: 412,
        },
    ]
}

fn operations() -> Vec<Operation> {
    vec![
        Operation::put("a/b".to_owned(), &json!({"count": 1, "share": 0.5})),
        Operation::put("a/new".to_owned(), &json!([1, "x", null])).with_lease(7),
        Operation::delete("c/d".to_owned()),
    ]
}

#[tokio::test]
async fn transactions_are_sent_and_each_response_is_interpreted() {
    let mut trace = Trace::default();
    let replies = [
        ("applied", answer(200, r#"{"ledger":432}"#)),
        (
            "with unknown fields",
            answer(200, r#"{"ledger":433,"later":{"x":1}}"#),
        ),
        (
            "a guard failed",
            answer(409, r#"{"failed":["a/b","a/new"],"ledger":431}"#),
        ),
        ("guards failed without names", answer(409, "")),
        ("no such lease", answer(400, r#"{"error":"no such lease"}"#)),
        ("malformed", answer(400, r#"{"error":"value too large"}"#)),
        ("over the limit", answer(429, r#"{"error":"too many"}"#)),
        ("an outage", answer(503, r#"{"error":"trouble"}"#)),
        ("another status", answer(500, "")),
        ("an answer that cannot be read", answer(200, "{}")),
        ("no answer", ScriptedAnswer::HangUp),
    ];
    for (label, reply) in replies {
        let call = async |client: StateClient| {
            transaction_text(
                client
                    .compare_and_swap(&preconditions(), &operations())
                    .await,
            )
        };
        trace.call(label, &[reply], call).await;
    }
    let compare = async |client: StateClient| {
        transaction_text(client.compare_and_swap(&preconditions(), &[]).await)
    };
    let reply = answer(200, r#"{"ledger":432}"#);
    trace.call("a comparison alone", &[reply], compare).await;
    let none =
        async |client: StateClient| transaction_text(client.compare_and_swap(&[], &[]).await);
    let reply = answer(200, r#"{"ledger":432}"#);
    trace.call("nothing at all", &[reply], none).await;
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn a_transaction_without_a_connection_is_not_executed() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = closed.local_addr().unwrap();
    drop(closed);
    let client = StateClient::new(addr, QUOTA, QUOTA);
    let outcome = client
        .compare_and_swap(&preconditions(), &operations())
        .await;
    assert!(matches!(outcome, Err(TransactionError::Refused(_))));
}

#[tokio::test]
async fn watch_requests_are_sent_and_each_response_is_interpreted() {
    let mut trace = Trace::default();
    let log = r#"{"ledger":433,"log":[{"set":"c/9","data":{"n":1},"mark":433},{"drop":"c/d","mark":432}]}"#;
    let replies = [
        ("changes", answer(200, log)),
        ("no changes", answer(200, r#"{"ledger":433,"log":[]}"#)),
        ("the log left out", answer(200, r#"{"ledger":433}"#)),
        ("unknown fields", answer(200, r#"{"ledger":433,"more":1}"#)),
        ("too old", answer(410, r#"{"error":"too old"}"#)),
        ("over the limit", answer(429, r#"{"error":"too many"}"#)),
        ("an outage", answer(503, r#"{"error":"trouble"}"#)),
        ("an answer that cannot be read", answer(200, "[]")),
        ("no answer", ScriptedAnswer::HangUp),
    ];
    for (label, reply) in replies {
        let call = async |client: StateClient| {
            let response = client.watch("c/", 431, Duration::from_millis(250)).await;
            match response.and_then(|body| WatchResponse::decode(&body)) {
                Ok(response) => {
                    let log: String = response.events.iter().map(event_text).collect();
                    format!("{log}all up to revision {}", response.revision)
                }
                Err(error) => error_text(error),
            }
        };
        trace.call(label, &[reply], call).await;
    }
    let at_once = async |client: StateClient| {
        let response = client.watch("r/", 0, Duration::ZERO).await;
        response.map_or_else(error_text, |body| format!("{} bytes", body.len()))
    };
    let reply = answer(200, r#"{"ledger":433}"#);
    trace.call("without waiting", &[reply], at_once).await;
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn keys_are_read_and_each_response_is_interpreted() {
    let mut trace = Trace::default();
    let replies = [
        (
            "a key on a lease",
            answer(
                200,
                r#"{"k":"a/b","data":{"n":[1,2]},"mark":412,"tenancy":7}"#,
            ),
        ),
        (
            "a key on none",
            answer(200, r#"{"k":"a/b","data":"done","mark":412}"#),
        ),
        ("no such key", answer(404, r#"{"ledger":431}"#)),
        ("an outage", answer(503, r#"{"error":"trouble"}"#)),
        ("an answer that cannot be read", answer(200, "{}")),
        ("no answer", ScriptedAnswer::HangUp),
    ];
    for (label, reply) in replies {
        let pair = async |client: StateClient| match client.get_key_value("a/b").await {
            Ok(Some(pair)) => key_value_text(&pair),
            Ok(None) => "there is none".to_owned(),
            Err(error) => error_text(error),
        };
        trace.call(label, std::slice::from_ref(&reply), pair).await;
        let value = async |client: StateClient| match client.get("a/b").await {
            Ok(Some(value)) => value.to_string(),
            Ok(None) => "there is none".to_owned(),
            Err(error) => error_text(error),
        };
        let label = format!("{label}, its value alone");
        trace.call(&label, &[reply], value).await;
    }
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn keys_are_listed_page_by_page() {
    let mut trace = Trace::default();
    let first = r#"{"pairs":[{"k":"c/1","data":1,"mark":3},{"k":"c/7","data":{"a":null},"mark":400}],"more":true,"ledger":431}"#;
    let last = r#"{"pairs":[{"k":"c/8","data":[],"mark":4}],"ledger":440}"#;
    let page = async |client: StateClient| match client.list("c/", None).await {
        Ok(listing) => listing_text(&listing),
        Err(error) => error_text(error),
    };
    let reply = answer(200, first);
    trace.call("the first page", &[reply], page).await;
    let page = async |client: StateClient| match client.list("c/", Some("c/7")).await {
        Ok(listing) => listing_text(&listing),
        Err(error) => error_text(error),
    };
    let reply = answer(200, last);
    trace.call("the page after a key", &[reply], page).await;
    let all = async |client: StateClient| match client.list_all("c/").await {
        Ok((pairs, revision)) => {
            let pairs: String = pairs.iter().map(key_value_text).collect();
            format!("{pairs}continued from revision {revision}")
        }
        Err(error) => error_text(error),
    };
    let replies = [answer(200, first), answer(200, last)];
    trace.call("all pages", &replies, all).await;
    let replies = [answer(200, first), answer(503, r#"{"error":"trouble"}"#)];
    trace.call("all pages, one refused", &replies, all).await;
    let replies = [answer(200, r#"{"pairs":[],"more":true,"ledger":9}"#)];
    trace.call("an empty page ends it", &replies, all).await;
    let replies = [answer(200, r#"{"pairs":[]}"#)];
    trace.call("a page without revision", &replies, all).await;
    insta::assert_snapshot!(trace.0);
}

#[tokio::test]
async fn leases_are_created_extended_and_revoked() {
    let mut trace = Trace::default();
    let create = async |client: StateClient| {
        let lease = client.create_lease(Duration::from_millis(2500)).await;
        lease.map_or_else(error_text, |lease| format!("lease {lease}"))
    };
    let replies = [
        ("made", answer(200, r#"{"tenancy":7}"#)),
        (
            "not made in an outage",
            answer(503, r#"{"error":"trouble"}"#),
        ),
        ("made, not readable", answer(200, "{}")),
        ("made, no answer", ScriptedAnswer::HangUp),
    ];
    for (label, reply) in replies {
        trace.call(label, &[reply], create).await;
    }
    let extend = async |client: StateClient| {
        let done = client.extend_lease(7).await;
        done.map_or_else(error_text, |()| "extended".to_owned())
    };
    let replies = [
        ("extended", answer(200, "{}")),
        (
            "extended too late",
            answer(404, r#"{"error":"no such lease"}"#),
        ),
        (
            "not extended in an outage",
            answer(503, r#"{"error":"trouble"}"#),
        ),
    ];
    for (label, reply) in replies {
        trace.call(label, &[reply], extend).await;
    }
    let revoke = async |client: StateClient| {
        let done = client.revoke_lease(7).await;
        done.map_or_else(error_text, |()| "ended".to_owned())
    };
    let replies = [
        ("ended", answer(200, "{}")),
        ("ended before", answer(404, "{}")),
        (
            "not ended in an outage",
            answer(503, r#"{"error":"trouble"}"#),
        ),
    ];
    for (label, reply) in replies {
        trace.call(label, &[reply], revoke).await;
    }
    insta::assert_snapshot!(trace.0);
}
