//! A clock that keeps counting while the machine is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use molespan_daemon::boot_clock::BootClock;

#[test]
fn a_wait_ends_soon_after_a_suspension() {
    let skipped = Arc::new(AtomicU64::new(0));
    let clock = BootClock::with_offset(skipped.clone());
    let at = clock.now() + Duration::from_secs(3_600);
    let began = Instant::now();
    let suspended = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(50));
        skipped.fetch_add(3_600_000_000, Ordering::Relaxed);
    });
    async_io::block_on(clock.wait_until(at));
    suspended.join().expect("no panic");
    assert!(clock.now() >= at);
    assert!(began.elapsed() < Duration::from_secs(60), "not the hour");
}

#[test]
fn without_a_suspension_the_clock_follows_the_monotonic_clock() {
    let clock = BootClock::start();
    let steady = Instant::now();
    std::thread::sleep(Duration::from_millis(30));
    assert!(clock.now().0 >= 30_000);
    let later = clock.now().0 as u128;
    assert!(later <= steady.elapsed().as_micros() + 1_000_000);
}
