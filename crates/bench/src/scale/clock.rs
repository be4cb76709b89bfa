//! Processor time and memory as the operating system accounts for them.
//!
//! Processor time of a thread comes from `/proc/thread-self/schedstat`, in
//! nanoseconds. It is brought up to date at scheduler ticks, so anything
//! shorter than some tens of milliseconds is repeated until it is long enough.

use std::fs;
use std::time::Duration;

use super::ScaleError;

/// File with the processor time of the calling thread.
const THREAD_TIME: &str = "/proc/thread-self/schedstat";
/// File with the memory of the process.
const PROCESS_MEMORY: &str = "/proc/self/statm";
/// File with the most memory that the process had.
const PROCESS_STATUS: &str = "/proc/self/status";
/// Directory with a folder for each thread.
const THREADS: &str = "/proc/self/task";
/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;
/// Processor time that one measurement takes at least.
const MEASURED_FOR: Duration = Duration::from_millis(60);

/// Processor time of the calling thread since its start.
///
/// # Errors
/// When the system does not say.
pub fn thread_time() -> Result<Duration, ScaleError> {
    let unreadable = ScaleError::Account { file: THREAD_TIME };
    let text = fs::read_to_string(THREAD_TIME).ok();
    let nanos = text.as_deref().and_then(first_number);
    nanos.map(Duration::from_nanos).ok_or(unreadable)
}

/// Processor time of every thread that is alive now.
///
/// # Errors
/// When the system does not say.
pub fn process_time() -> Result<Duration, ScaleError> {
    let unreadable = || ScaleError::Account { file: THREADS };
    let mut total = Duration::ZERO;
    for thread in fs::read_dir(THREADS).map_err(|_| unreadable())? {
        let path = thread.map_err(|_| unreadable())?.path().join("schedstat");
        let text = fs::read_to_string(path).unwrap_or_default();
        total += Duration::from_nanos(first_number(&text).unwrap_or(0));
    }
    Ok(total)
}

/// Resident memory of this process in bytes.
///
/// # Errors
/// When the system does not say.
pub fn resident_bytes() -> Result<u64, ScaleError> {
    let unreadable = ScaleError::Account {
        file: PROCESS_MEMORY,
    };
    let text = fs::read_to_string(PROCESS_MEMORY).ok();
    let pages = text.as_deref().and_then(|text| {
        let pages = text.split_whitespace().nth(1)?;
        pages.parse::<u64>().ok()
    });
    pages.map(|pages| pages * PAGE_BYTES).ok_or(unreadable)
}

/// Most memory that this process ever had resident, in bytes.
///
/// # Errors
/// When the system does not say.
pub fn most_resident_bytes() -> Result<u64, ScaleError> {
    const KILOBYTE: u64 = 1024;
    let unreadable = ScaleError::Account {
        file: PROCESS_STATUS,
    };
    let text = fs::read_to_string(PROCESS_STATUS).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(first_number);
    kilobytes.map(|count| count * KILOBYTE).ok_or(unreadable)
}

/// Processor time of one call of `work`, after a warm-up of the same length.
///
/// # Errors
/// When the system does not say.
pub fn time_per_call(mut work: impl FnMut()) -> Result<Duration, ScaleError> {
    let mut calls: u32 = 1;
    loop {
        let before = thread_time()?;
        for _ in 0..calls {
            work();
        }
        let spent = thread_time()?.saturating_sub(before);
        if spent >= MEASURED_FOR / 2 {
            break;
        }
        calls = calls.saturating_mul(2);
    }
    // Two rounds of half the time each were the warm-up.
    let before = thread_time()?;
    for _ in 0..calls.saturating_mul(2) {
        work();
    }
    let spent = thread_time()?.saturating_sub(before);
    Ok(spent / calls.saturating_mul(2))
}

/// Processor time of the threads that are alive now and whose names begin
/// with one of `prefixes`.
///
/// # Errors
/// When the system does not say.
pub fn named_time(prefixes: &[&str]) -> Result<Duration, ScaleError> {
    let unreadable = || ScaleError::Account { file: THREADS };
    let mut total = Duration::ZERO;
    for thread in fs::read_dir(THREADS).map_err(|_| unreadable())? {
        let path = thread.map_err(|_| unreadable())?.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if prefixes.iter().any(|prefix| name.starts_with(prefix)) {
            let text = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
            total += Duration::from_nanos(first_number(&text).unwrap_or(0));
        }
    }
    Ok(total)
}

/// The first number of a line.
fn first_number(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}
