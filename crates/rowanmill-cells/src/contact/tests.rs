use super::*;

const LIMIT: Duration = Duration::from_secs(10);

/// A controller may start tasks and renew leases for a limited time after a read. Attestations count as a
/// read.
#[test]
fn read_permits_starts_and_renewals_for_a_limited_time() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut contact = LedgerContact::default();
    assert!(!contact.permits_starts(start) && !contact.permits_renewals(LIMIT, start));
    contact.last_read_at = Some(start);
    assert!(contact.permits_starts(at(3)) && !contact.permits_starts(at(4)));
    assert!(contact.permits_renewals(LIMIT, at(10)));
    assert!(!contact.permits_renewals(LIMIT, at(11)));
    contact.last_attestation_at = Some(at(9));
    assert!(contact.permits_starts(at(12)) && contact.permits_renewals(LIMIT, at(19)));
    assert!(!contact.permits_renewals(LIMIT, at(20)));
}

/// Attestations permit nothing to a controller that has never read that its cell is present.
#[test]
fn attestations_without_a_read_permit_nothing() {
    let now = Instant::now();
    let contact = LedgerContact {
        last_attestation_at: Some(now),
        ..LedgerContact::default()
    };
    assert!(!contact.permits_starts(now) && !contact.permits_renewals(LIMIT, now));
}
