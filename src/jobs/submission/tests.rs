use super::*;
use serde_json::json;

pub fn valid_submission() -> Value {
    json!({"nameId":"job-000412","grist":"train","crew":"vision","shape":"group",
        "urgency":"urgent","sacks":16,"cpus":8.0,"cards":1.0,"memGb":64.0,"mould":"img-07",
        "pullGb":6.2,"stones":["g8"],"yard":null,"together":true,"spread":false,
        "borrowed":true,"grindS":240.0,"bankS":30.0,"bankWriteS":4.0,"dueS":900.0})
}

#[test]
fn refusals_name_the_field() {
    let mut trace = String::new();
    let mut record = |case: &str, body: &[u8]| {
        let outcome = match Submission::parse(body) {
            Ok(Submission { spec, depends_on }) if depends_on.is_empty() => {
                format!("accepted {}", spec.id)
            }
            Ok(submission) => format!(
                "accepted {} after {:?}",
                submission.spec.id, submission.depends_on
            ),
            Err(error) => format!("refused: {error}"),
        };
        trace.push_str(&format!("{case} -> {outcome}\n"));
    };
    record("as documented", valid_submission().to_string().as_bytes());
    record("half a body", b"{\"nameId\":");
    record("a list", b"[]");
    record("NaN", br#"{"nameId":"job-1","cpus":NaN}"#);
    for (field, value) in [
        ("nameId", json!("task-1")),
        ("sacks", json!(0)),
        ("sacks", json!(100_001)),
        ("sacks", json!(100_000)),
        ("sacks", json!(2.5)),
        ("cpus", json!(-1.0)),
        ("shape", json!("ring")),
        ("urgency", json!("later")),
        ("stones", json!("g8")),
        ("stones", Value::Null),
        ("borrowed", json!("yes")),
        ("dueS", Value::Null),
        ("dueS", json!("soon")),
        ("awaits", json!([])),
        ("awaits", Value::Null),
        ("awaits", json!(["job-000398", "job-000405", "job-000398"])),
        ("awaits", json!("job-000398")),
        ("awaits", json!(["job-000398", "task-1"])),
        ("awaits", json!(["job-000398", 405])),
    ] {
        let mut body = valid_submission();
        body[field] = value.clone();
        record(&format!("{field}={value}"), body.to_string().as_bytes());
    }
    let mut body = valid_submission();
    body.as_object_mut().unwrap().remove("mould");
    record("no mould", body.to_string().as_bytes());
    insta::assert_snapshot!(trace);
}
