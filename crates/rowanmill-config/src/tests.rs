use super::*;
use std::error::Error;

#[derive(Debug, serde::Deserialize)]
struct Example {
    replicas: u32,
}

impl ConfigFile for Example {
    const KIND: &'static str = "example";

    fn validate(&self) -> Result<(), InvalidField> {
        if self.replicas == 0 {
            return Err(InvalidField::new("replicas", "must be at least 1"));
        }
        Ok(())
    }
}

#[test]
fn errors_name_the_file_and_keep_their_source() {
    let missing = Example::load(Path::new("/nonexistent/example.json")).unwrap_err();
    assert!(matches!(missing.problem, ConfigProblem::Unreadable(_)));
    let malformed = Example::parse("{}", "e.json").unwrap_err();
    assert!(matches!(malformed.problem, ConfigProblem::Malformed(_)));
    let invalid = Example::parse(r#"{"replicas": 0}"#, "e.json").unwrap_err();
    assert!(matches!(invalid.problem, ConfigProblem::Invalid(_)));
    for error in [&missing, &malformed] {
        let source = error.source().and_then(Error::source);
        assert!(source.is_some(), "{error}: the underlying error is missing");
    }
    assert_eq!(
        [malformed.to_string(), invalid.to_string()],
        [
            "example e.json: missing field `replicas` at line 1 column 2",
            "example e.json: field `replicas`: must be at least 1"
        ]
    );
}

#[test]
fn valid_text_is_accepted() {
    let example = Example::parse(r#"{"replicas": 3}"#, "e.json").unwrap();
    assert_eq!(example.replicas, 3);
}
