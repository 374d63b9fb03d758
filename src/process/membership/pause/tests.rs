use super::*;

#[test]
fn sending_waits_after_a_pause_until_confirmed() {
    let ms = Duration::from_millis;
    let mut guard = PauseGuard::new(ms(0));
    assert_eq!(guard.tick(ms(50)), None);
    assert!(!guard.must_wait(ms(450)));
    assert!(guard.must_wait(ms(451)), "detected before the next tick");
    assert_eq!(guard.tick(ms(900)), Some(ms(850)));
    assert_eq!(guard.tick(ms(950)), None);
    assert!(guard.must_wait(ms(950)));
    guard.on_confirmed(ms(899));
    assert!(guard.must_wait(ms(950)), "the reply may be as old as the pause");
    guard.on_confirmed(ms(900));
    assert!(!guard.must_wait(ms(950)));
}

#[test]
fn sending_resumes_unconfirmed_after_the_timeout() {
    let ms = Duration::from_millis;
    let mut guard = PauseGuard::new(ms(0));
    guard.tick(ms(2_000));
    for n in 1..20 {
        guard.tick(ms(2_000 + 50 * n));
    }
    assert!(guard.must_wait(ms(2_960)));
    guard.tick(ms(3_000));
    assert!(!guard.must_wait(ms(3_000)));
}
