use super::*;

const LIMIT: Duration = Duration::from_secs(10);

/// A controller starts and renews for a bounded time after a reading, and the others' word counts as one.
#[test]
fn a_reading_permits_for_a_bounded_time() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut contact = Contact::default();
    assert!(!contact.permits_starts(start) && !contact.permits_renewals(LIMIT, start));
    contact.read_at = Some(start);
    assert!(contact.permits_starts(at(3)) && !contact.permits_starts(at(4)));
    assert!(contact.permits_renewals(LIMIT, at(10)));
    assert!(!contact.permits_renewals(LIMIT, at(11)));
    contact.attested_at = Some(at(9));
    assert!(contact.permits_starts(at(12)) && contact.permits_renewals(LIMIT, at(19)));
    assert!(!contact.permits_renewals(LIMIT, at(20)));
}

/// One that never read that its cell is there has nothing to renew, whatever the others say.
#[test]
fn the_others_word_alone_permits_nothing() {
    let now = Instant::now();
    let contact = Contact {
        attested_at: Some(now),
        ..Contact::default()
    };
    assert!(!contact.permits_starts(now) && !contact.permits_renewals(LIMIT, now));
}
