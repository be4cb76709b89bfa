//! A client of batch jobs.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
const CALL_WITHIN: Duration = Duration::from_millis(2_500);

/// One listed result of a job.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub text: String,
}

/// The results of a job as one read gave them.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub total: u64,
    pub listed: Vec<Listed>,
}

pub fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{job}-{number:02}"))
        .collect()
}

/// Returns the body that hands in a job of items below `prefix`.
fn job_body(items: &[String], prefix: &str) -> String {
    let items: Vec<String> = items
        .iter()
        .enumerate()
        .map(|(number, id)| {
            format!(
                r#"{{"id":"{id}","path":"{prefix}run/{number}","headers":{{"X-Model":"m","X-Token-Count":"540,400","X-Prompt-Prefix":"9c2e41:300,5d{number:02x}:240"}},"body":"q83vEjRWeJA=","tokens":940}}"#
            )
        })
        .collect();
    format!(r#"{{"requests":[{}]}}"#, items.join(","))
}

/// Hands a job in; after a refusal, a 5xx or no answer it comes again at the next front.
/// Returns whether it was accepted.
pub fn submit(
    record: &Record,
    fronts: &[SocketAddr],
    prefix: &str,
    job: &str,
    items: &[String],
) -> bool {
    let body = job_body(items, prefix);
    let target = format!("{prefix}new");
    let ends = Instant::now() + Duration::from_secs(10);
    for front in fronts.iter().cycle() {
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", job),
            ("Content-Type", "application/json"),
        ];
        let answer = call(*front, "POST", &target, &headers, &body, CALL_WITHIN);
        let status = answer.map_or(0, |answer| answer.status);
        record.line(format!(
            "client: POST {target} job {job} of {} items at {front} -> {status}",
            items.len()
        ));
        match status {
            202 => return true,
            0 | 429 | 500..=599 if Instant::now() < ends => {
                thread::sleep(Duration::from_millis(200));
            }
            _ => return false,
        }
    }
    false
}

/// Reads a job's results from the start, page by page.
pub fn read(front: SocketAddr, job: &str) -> Option<Results> {
    let mut results = Results::default();
    loop {
        let target = format!("/api/lots/{job}?afterRev={}", results.listed.len());
        let answer = call(front, "GET", &target, &[("Host", HOST)], "", CALL_WITHIN)?;
        if answer.status != 200 {
            return None;
        }
        let json = Json::parse(&answer.text())?;
        results.total = json.get("total")?.as_u64()?;
        let page = json.get("results")?.as_list();
        let before = results.listed.len();
        for entry in page {
            let field = |name: &str| entry.get(name).and_then(Json::as_text);
            results.listed.push(Listed {
                id: field("id")?.to_owned(),
                state: field("state")?.to_owned(),
                text: field("text").unwrap_or_default().to_owned(),
            });
        }
        if results.listed.len() == before || results.listed.len() as u64 >= results.total {
            return Some(results);
        }
    }
}

/// Reads a job's results at the first front that answers.
pub fn read_any(fronts: &[SocketAddr], job: &str) -> Option<Results> {
    fronts.iter().find_map(|front| read(*front, job))
}

impl Results {
    pub fn count(&self, state: &str) -> usize {
        self.listed.iter().filter(|one| one.state == state).count()
    }
}
