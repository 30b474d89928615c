use super::*;
use crate::jobs::pages::tests::plain_layout;
use crate::state::records::{PresenceRecord, Versioned};

fn presence(incarnation: u64, level: FeatureLevel) -> Versioned<PresenceRecord> {
    let record = PresenceRecord {
        incarnation,
        lease: 1,
        supported_level: level,
    };
    let revision = incarnation;
    Versioned { record, revision }
}

/// Rule `too_early`: a controller of the previous version runs a job with dependencies as soon as it sees it. So
/// one that is merely absent prevents the activation, unless it was last seen with the present version.
#[test]
fn new_encodings_are_activated_for_good_once_every_controller_was_seen_upgraded() {
    let members = ["a", "b", "c"];
    let mut replica = Replica::new(plain_layout(8));
    let mut revision = 100;
    let mut trace = String::new();
    let mut step = |what: &str, replica: &mut Replica| {
        if let Some(record) = next_record(&members, &plain_layout(8), replica) {
            revision += 1;
            let text = serde_json::to_string(&record).unwrap();
            replica.apply_put("r/forms", &text, revision);
        }
        let record = replica.schema_versions.as_ref().map(|f| &f.record);
        let seen: Vec<_> = record.iter().flat_map(|f| &f.upgraded_members).collect();
        let begun = replica.is_current_schema_active();
        trace.push_str(&format!("{what}: seen {seen:?}, begun {begun}\n"));
    };
    for name in members {
        replica
            .presence
            .insert(name.into(), presence(1, FeatureLevel::NONE));
    }
    step("all old", &mut replica);
    replica
        .presence
        .insert("a".into(), presence(2, FeatureLevel::COMPACT_PAGES));
    step("a is new", &mut replica);
    replica.presence.remove("b");
    step("b is absent", &mut replica);
    replica
        .presence
        .insert("b".into(), presence(3, FeatureLevel::COMPACT_PAGES));
    step("b is new", &mut replica);
    replica
        .presence
        .insert("a".into(), presence(4, FeatureLevel::NONE));
    step("a was put back", &mut replica);
    replica
        .presence
        .insert("a".into(), presence(5, FeatureLevel::COMPACT_PAGES));
    replica.presence.remove("b");
    step("a is new, b absent", &mut replica);
    replica.presence.remove("c");
    step("c is absent, too", &mut replica);
    replica
        .presence
        .insert("c".into(), presence(6, FeatureLevel::COMPACT_PAGES));
    step("c is new, b still absent", &mut replica);
    replica
        .presence
        .insert("b".into(), presence(7, FeatureLevel::NONE));
    step("whatever comes", &mut replica);
    insta::assert_snapshot!(trace, @r#"
    all old: seen [], begun false
    a is new: seen ["a"], begun false
    b is absent: seen ["a"], begun false
    b is new: seen ["a", "b"], begun false
    a was put back: seen ["b"], begun false
    a is new, b absent: seen ["a", "b"], begun false
    c is absent, too: seen ["a", "b"], begun false
    c is new, b still absent: seen ["a", "b", "c"], begun true
    whatever comes: seen ["a", "b", "c"], begun true
    "#);
}
