//! What was sent, answered and run, written to `record.txt`, and the processes to end.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
/// Processes that were started and not yet waited for.
pub static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn open(path: &str) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _once = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

pub fn note(text: &str) {
    if let Some((began, file)) = RECORD.get() {
        let line = format!("{:8.3} {text}\n", began.elapsed().as_secs_f64());
        let _written = file.lock().unwrap().write_all(line.as_bytes());
    }
}

#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::record::note(&format!($($part)*)) };
}

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, signal: &str) {
    let _sent = std::process::Command::new("kill")
        .args([signal, &process.to_string()])
        .status();
}

/// Ends this program and all that it started if it takes too long.
pub fn watch_time(most: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(most);
        note("the time of the script is over");
        for process in PROCESSES.lock().unwrap().iter() {
            signal(*process, "-KILL");
        }
        std::process::exit(2);
    });
}

/// Notes a process that was started, also for the shell script around this program.
pub fn started(process: u32) {
    PROCESSES.lock().unwrap().push(process);
    let Some(folder) = std::env::var_os("REVIEW_FOLDER") else {
        return;
    };
    let list = std::path::Path::new(&folder).join("processes");
    if let Ok(mut list) = File::options().create(true).append(true).open(list) {
        let _written = list.write_all(format!("{process}\n").as_bytes());
    }
}
