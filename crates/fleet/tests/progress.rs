//! Which reads of the store are gone on with.

use cottoncrank::Millis;
use cottoncrank_fleet::progress::Progress;

#[test]
fn a_read_is_gone_on_with_while_the_store_gives_pages() {
    let mut progress = Progress::new(Millis(1000));
    for step in 1..40 {
        let now = Millis(1000 + u64::from(step) * 3000);
        assert!(progress.record_stop(step, now));
        assert!(progress.is_kept(now + Millis(3000)));
    }
    assert_eq!(progress.began(), Millis(1000), "its proof is of when it began");
}

#[test]
fn a_read_without_a_page_begins_anew() {
    let mut progress = Progress::new(Millis(0));
    assert!(!progress.record_stop(0, Millis(10)));
    assert!(!progress.is_kept(Millis(10)));
}

#[test]
fn a_read_that_does_not_go_on_begins_anew_later() {
    let mut progress = Progress::new(Millis(0));
    assert!(progress.record_stop(12, Millis(500)));
    let mut now = Millis(500);
    while progress.is_kept(now) {
        now = now + Millis(250);
        assert!(!progress.record_stop(12, now), "no page was given");
        assert!(now < Millis(30_000), "it never begins anew");
    }
}
