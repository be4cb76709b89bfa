//! Resource usage of idle replicas, by number of groups.

use std::error::Error;
use std::time::Duration;

use crate::fleet::Fleet;

const REPLICAS: f64 = 3.0;
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second in which the operating system counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

pub fn measure() -> Result<(), Box<dyn Error>> {
    few()?;
    many()
}

fn few() -> Result<(), Box<dyn Error>> {
    watch(5, &Fleet::start(|settings| settings.job_groups = 4)?)
}

fn many() -> Result<(), Box<dyn Error>> {
    watch(33, &Fleet::start(|settings| settings.job_groups = 32)?)
}

fn watch(groups: u32, fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let (bytes, time) = (fleet.bytes_sent(), processor_seconds());
    std::thread::sleep(MEASUREMENT_TIME);
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let sent = (fleet.bytes_sent() - bytes) as f64 / seconds / REPLICAS;
    let share = match (time, processor_seconds()) {
        (Some(before), Some(after)) => {
            format!(
                "{:.2}% of a core",
                (after - before) / seconds / REPLICAS * 100.0
            )
        }
        _ => "processor time not available".to_owned(),
    };
    println!("{groups} idle groups: {sent:.0} bytes/s sent and {share} per replica");
    Ok(())
}

/// Returns the processor time of this process in seconds, if available.
fn processor_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
