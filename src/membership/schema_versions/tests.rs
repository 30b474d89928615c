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

/// Guards against tasks that start before the jobs that their job depends on are done: a controller of the previous
/// version runs a job with dependencies without waiting for them. Therefore an absent controller prevents the
/// activation, unless it was last seen with the new version.
#[test]
fn new_encodings_are_activated_permanently_once_every_controller_was_seen_upgraded() {
    let members = ["a", "b", "c"];
    let mut replica = Replica::new(plain_layout(8));
    let mut revision = 100;
    let mut trace = String::new();
    let mut step = |label: &str, replica: &mut Replica| {
        if let Some(record) = next_record(&members, &plain_layout(8), replica) {
            revision += 1;
            let text = serde_json::to_string(&record).unwrap();
            replica.apply_put("r/forms", &text, revision);
        }
        let record = replica.schema_versions.as_ref().map(|v| &v.record);
        let upgraded: Vec<_> = record.iter().flat_map(|r| &r.upgraded_members).collect();
        let activated = replica.is_current_schema_active();
        trace.push_str(&format!(
            "{label}: upgraded {upgraded:?}, activated {activated}\n"
        ));
    };
    for name in members {
        replica
            .presence
            .insert(name.into(), presence(1, FeatureLevel::NONE));
    }
    step("all of the previous version", &mut replica);
    replica
        .presence
        .insert("a".into(), presence(2, FeatureLevel::COMPACT_PAGES));
    step("a is upgraded", &mut replica);
    replica.presence.remove("b");
    step("b is absent", &mut replica);
    replica
        .presence
        .insert("b".into(), presence(3, FeatureLevel::COMPACT_PAGES));
    step("b is upgraded", &mut replica);
    replica
        .presence
        .insert("a".into(), presence(4, FeatureLevel::NONE));
    step("a is downgraded", &mut replica);
    replica
        .presence
        .insert("a".into(), presence(5, FeatureLevel::COMPACT_PAGES));
    replica.presence.remove("b");
    step("a is upgraded, b is absent", &mut replica);
    replica.presence.remove("c");
    step("c is absent too", &mut replica);
    replica
        .presence
        .insert("c".into(), presence(6, FeatureLevel::COMPACT_PAGES));
    step("c is upgraded, b is still absent", &mut replica);
    replica
        .presence
        .insert("b".into(), presence(7, FeatureLevel::NONE));
    step("b is downgraded after the activation", &mut replica);
    insta::assert_snapshot!(trace, @r#"
    all of the previous version: upgraded [], activated false
    a is upgraded: upgraded ["a"], activated false
    b is absent: upgraded ["a"], activated false
    b is upgraded: upgraded ["a", "b"], activated false
    a is downgraded: upgraded ["b"], activated false
    a is upgraded, b is absent: upgraded ["a", "b"], activated false
    c is absent too: upgraded ["a", "b"], activated false
    c is upgraded, b is still absent: upgraded ["a", "b", "c"], activated true
    b is downgraded after the activation: upgraded ["a", "b", "c"], activated true
    "#);
}
