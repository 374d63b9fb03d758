//! Tests of the `suspicion` module.

use super::*;

#[test]
fn a_silent_host_is_suspected_until_it_is_heard_or_tried_again() {
    let ms = Duration::from_millis;
    let host = HostId::from("entry-1");
    let mut suspicion = Suspicion::default();
    suspicion.on_heard(ms(100), &host);
    assert!(!suspicion.on_late(ms(200), &host, ms(90)), "heard since the call was sent");
    assert!(!suspicion.is_suspect(ms(200), &host));
    assert!(suspicion.on_late(ms(300), &host, ms(150)));
    assert!(!suspicion.on_late(ms(310), &host, ms(160)), "already suspected");
    assert!(suspicion.is_suspect(ms(1_800), &host));
    assert!(!suspicion.is_suspect(ms(1_810), &host), "tried again");
    assert!(!suspicion.on_late(ms(2_000), &host, ms(1_850)));
    suspicion.on_heard(ms(2_100), &host);
    assert!(!suspicion.is_suspect(ms(2_100), &host));
}
