use super::*;

#[test]
fn suspicion_ends_on_a_response_or_after_the_timeout() {
    let ms = Duration::from_millis;
    let host = HostId::from("entry-1");
    let mut suspicion = Suspicion::default();
    suspicion.on_message(ms(100), &host);
    assert!(!suspicion.on_overdue(ms(200), &host, ms(90)), "it responded after the call was sent");
    assert!(!suspicion.is_suspect(ms(200), &host));
    assert!(suspicion.on_overdue(ms(300), &host, ms(150)));
    assert!(!suspicion.on_overdue(ms(310), &host, ms(160)), "already suspected");
    assert!(suspicion.is_suspect(ms(1_800), &host));
    assert!(!suspicion.is_suspect(ms(1_810), &host), "the timeout is over");
    assert!(!suspicion.on_overdue(ms(2_000), &host, ms(1_850)));
    suspicion.on_message(ms(2_100), &host);
    assert!(!suspicion.is_suspect(ms(2_100), &host));
}
