use super::*;
use std::time::Duration;

#[test]
fn background_writes_leave_the_reserve_to_user_facing_writes() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(10.0, start);
    assert_eq!(limiter.available(WritePriority::Background, start), 8.0);
    limiter.consume(8.0, start);
    assert!(limiter.available(WritePriority::Background, start) <= 0.0);
    assert_eq!(
        limiter.available(WritePriority::UserFacing, start),
        2.0 + 4.0
    );
    let later = start + Duration::from_millis(500);
    assert!(limiter.available(WritePriority::Background, later) >= 4.9);
    let much_later = start + Duration::from_secs(60);
    assert_eq!(
        limiter.available(WritePriority::UserFacing, much_later),
        10.0 + 4.0
    );
}
