use super::*;
use std::time::Duration;

#[test]
fn own_writes_leave_the_reserve_to_users() {
    let start = Instant::now();
    let mut budget = Budget::new(10.0, start);
    assert_eq!(budget.available(Need::Own, start), 8.0);
    budget.take(8.0, start);
    assert!(budget.available(Need::Own, start) <= 0.0);
    assert_eq!(budget.available(Need::User, start), 2.0 + 4.0);
    let later = start + Duration::from_millis(500);
    assert!(budget.available(Need::Own, later) >= 4.9);
    let much_later = start + Duration::from_secs(60);
    assert_eq!(budget.available(Need::User, much_later), 10.0 + 4.0);
}
