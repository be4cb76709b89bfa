//! The state machine of the batch group.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use super::command::{
    BatchCommand, BatchReply, ItemCheckpoint, ItemReference, RecordOutcome, SubmitJob,
};
use super::job::{BatchJob, JobKey};
use super::query::{
    BatchAnswer, BatchQuery, ItemToRun, JobDirectory, ListedResult, OpenItem, OpenWork, ResultPage,
};
use super::queue::QueuedTokens;
use crate::error::StateError;
use crate::payload::{MemoryPayloadLog, PayloadError, PayloadLog};
use crate::snapshot;

/// State machine of batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BatchMachine {
    /// Jobs by number, in the order of acceptance.
    #[n(0)]
    jobs: BTreeMap<u64, BatchJob>,
    /// Job numbers by job key.
    #[n(1)]
    numbers: BTreeMap<JobKey, u64>,
    /// Number of the latest job.
    #[n(2)]
    last: u64,
    /// Number of commands that changed open items.
    #[n(3)]
    revision: u64,
    /// Waiting tokens by queue; always equal to the sum over the jobs of the queue.
    #[n(4)]
    waiting: QueuedTokens,
}

impl BatchMachine {
    /// Creates an empty machine.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of tokens of items without an outcome in a queue; items of ended
    /// jobs do not count.
    #[must_use]
    pub fn queued_tokens(&self, queue: &str) -> u64 {
        self.waiting.of(queue)
    }

    /// Returns a number that increases with every change of open items or their progress.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &BatchCommand) -> BatchReply {
        match command {
            BatchCommand::Submit(submit) => self.submit(submit),
            BatchCommand::Record(outcome) => self.record(outcome),
            BatchCommand::End { id, tenant } => self.end(&JobKey::new(tenant.as_deref(), id)),
            BatchCommand::Checkpoint { items } => self.checkpoint(items),
            BatchCommand::Forget { job } => self.forget(*job),
        }
    }

    /// Applies a committed command and moves recorded outputs to the payload log. The log
    /// is local to this replica: other replicas may store the outputs at other offsets.
    ///
    /// # Errors
    /// Fails if the payload log fails.
    pub fn apply_logged(
        &mut self,
        command: &BatchCommand,
        payloads: &mut dyn PayloadLog,
    ) -> Result<BatchReply, PayloadError> {
        let reply = self.apply(command);
        if let BatchCommand::Record(outcome) = command {
            for record in &outcome.records {
                if let Some(job) = self.jobs.get_mut(&record.item.job) {
                    job.log_output(record.item.place, payloads)?;
                }
            }
        }
        Ok(reply)
    }

    /// Returns the offset of the oldest output that is still needed, or `None` if there is
    /// none in the log.
    #[must_use]
    pub fn oldest_payload(&self) -> Option<u64> {
        let jobs = self.jobs.values();
        let offsets = jobs.filter_map(BatchJob::oldest_payload);
        offsets.min()
    }

    /// Adjusts output locations after the log of another replica was copied so that offset
    /// `from` became `to`.
    pub fn relocate_payloads(&mut self, from: u64, to: u64) {
        let locations = self.jobs.values_mut().flat_map(BatchJob::locations);
        for location in locations {
            location.offset = location.offset - from + to;
        }
    }

    fn submit(&mut self, submit: &SubmitJob) -> BatchReply {
        let key = JobKey::new(submit.tenant.as_deref(), &submit.id);
        if self.numbers.contains_key(&key) {
            return BatchReply::Stored;
        }
        if !self.waiting.fits(submit) {
            return BatchReply::QueueFull;
        }
        self.last += 1;
        let job = BatchJob {
            id: submit.id.clone(),
            host: submit.host.clone(),
            path: submit.path.clone(),
            submitted_ms: submit.submitted_ms,
            due_ms: submit.due_ms,
            queue: submit.queue.clone(),
            tenant: submit.tenant.clone(),
            outcomes: vec![None; submit.items.len()],
            items: submit.items.clone(),
            result_order: Vec::new(),
            ended: false,
            progress: BTreeMap::new(),
        };
        self.waiting.add(&job.queue, job.waiting_tokens());
        self.numbers.insert(key, self.last);
        self.jobs.insert(self.last, job);
        self.revision += 1;
        BatchReply::Stored
    }

    fn record(&mut self, outcome: &RecordOutcome) -> BatchReply {
        for record in &outcome.records {
            if let Some(job) = self.jobs.get_mut(&record.item.job) {
                let tokens = job.record(record.item.place, &record.outcome);
                self.waiting.remove(&job.queue, tokens);
            }
        }
        self.revision += 1;
        BatchReply::Recorded
    }

    fn checkpoint(&mut self, items: &[ItemCheckpoint]) -> BatchReply {
        let kept = items.iter().map(|checkpoint| {
            let job = self.jobs.get_mut(&checkpoint.item.job)?;
            job.store_checkpoint(checkpoint)
        });
        let kept = kept.collect();
        self.revision += 1;
        BatchReply::Progress { kept }
    }

    fn end(&mut self, key: &JobKey) -> BatchReply {
        let number = self.numbers.get(key);
        let Some(job) = number.and_then(|number| self.jobs.get_mut(number)) else {
            return BatchReply::Unknown;
        };
        if !job.ended {
            self.waiting.remove(&job.queue, job.waiting_tokens());
            job.ended = true;
            self.revision += 1;
        }
        BatchReply::Ended
    }

    fn forget(&mut self, number: u64) -> BatchReply {
        match self.jobs.remove(&number) {
            Some(job) => {
                self.waiting.remove(&job.queue, job.waiting_tokens());
                self.numbers.remove(&job.key());
                BatchReply::Ended
            }
            None => BatchReply::Unknown,
        }
    }

    /// Answers a query on a machine whose outputs are all in memory.
    #[must_use]
    pub fn query(&self, query: &BatchQuery) -> BatchAnswer {
        self.query_logged(query, &MemoryPayloadLog::default())
    }

    /// Answers a query.
    #[must_use]
    pub fn query_logged(&self, query: &BatchQuery, payloads: &dyn PayloadLog) -> BatchAnswer {
        match query {
            BatchQuery::Results {
                id,
                after,
                max_bytes,
                tenant,
            } => {
                let job = self.job(tenant.as_deref(), id);
                let page = job.map(|job| page(job, *after, *max_bytes, payloads));
                match page.transpose() {
                    Ok(page) => BatchAnswer::Results(page),
                    Err(error) => BatchAnswer::Unreadable {
                        message: error.to_string(),
                    },
                }
            }
            BatchQuery::Body { id, item, tenant } => {
                let job = self.job(tenant.as_deref(), id);
                let body = job.and_then(|job| body(job, item));
                BatchAnswer::Body(body.map(Into::into))
            }
            BatchQuery::Open { limit } => BatchAnswer::Open(self.open(*limit as usize)),
            BatchQuery::Items { items } => {
                let found = items.iter().filter_map(|item| self.item_to_run(*item));
                BatchAnswer::Items(found.collect())
            }
            BatchQuery::SubmissionTimes => {
                let times = self
                    .jobs
                    .iter()
                    .map(|(number, job)| (*number, job.submitted_ms));
                BatchAnswer::SubmissionTimes(times.collect())
            }
        }
    }

    fn job(&self, tenant: Option<&str>, id: &str) -> Option<&BatchJob> {
        let number = self.numbers.get(&JobKey::new(tenant, id))?;
        self.jobs.get(number)
    }

    fn open(&self, limit: usize) -> OpenWork {
        let mut directories: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
        for (&number, job) in self.jobs.iter().filter(|(_, job)| job.is_open()) {
            let path = job.route_prefix().unwrap_or(directory(&job.path));
            let key = (job.host.as_str(), path);
            directories.entry(key).or_default().push(number);
        }
        let items = directories.values().map(|jobs| {
            let jobs = jobs
                .iter()
                .filter_map(|&number| Some((number, self.jobs.get(&number)?)));
            jobs.flat_map(|(number, job)| open_items(number, job))
        });
        let items = take_evenly(items.collect(), limit);
        let jobs = directories.values().flatten().copied().collect();
        let directories = directories
            .into_iter()
            .map(|((host, path), jobs)| JobDirectory {
                host: host.to_owned(),
                path: path.to_owned(),
                jobs,
            });
        OpenWork {
            items,
            jobs,
            directories: directories.collect(),
        }
    }

    fn item_to_run(&self, reference: ItemReference) -> Option<ItemToRun> {
        let job = self.jobs.get(&reference.job)?;
        let place = reference.place as usize;
        let open = !job.ended && job.outcomes.get(place)?.is_none();
        open.then(|| ItemToRun {
            reference,
            host: job.host.clone(),
            job_path: job.path.clone(),
            route_prefix: job.route_prefix().map(str::to_owned),
            submitted_ms: job.submitted_ms,
            due_ms: job.due_ms,
            tenant: job.tenant.clone(),
            item: job.items[place].clone(),
            progress: job
                .progress
                .get(&reference.place)
                .cloned()
                .unwrap_or_default(),
        })
    }

    /// Encodes the machine.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Restores a machine from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// Fails if the bytes are damaged or have another format.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        snapshot::read(bytes)
    }
}

/// Returns a path up to its last slash, which any prefix of the path that ends with a slash
/// begins.
fn directory(path: &str) -> &str {
    path.rfind('/').map_or("", |slash| &path[..=slash])
}

fn open_items(number: u64, job: &BatchJob) -> impl Iterator<Item = OpenItem> {
    job.open_places().map(move |place| OpenItem {
        item: ItemReference { job: number, place },
        tokens: job.items[place as usize].tokens,
        due_ms: job.due_ms,
    })
}

/// Takes up to `limit` items, as many of each source where all have enough: many items of one
/// must not hide those of another.
fn take_evenly<T>(mut sources: Vec<impl Iterator<Item = T>>, limit: usize) -> Vec<T> {
    let mut items = Vec::new();
    while items.len() < limit && !sources.is_empty() {
        let share = (limit - items.len()).div_ceil(sources.len());
        sources.retain_mut(|source| {
            let wanted = share.min(limit - items.len());
            let before = items.len();
            items.extend(source.take(wanted));
            items.len() - before == wanted
        });
    }
    items
}

fn page(
    job: &BatchJob,
    after: u32,
    max_bytes: u64,
    payloads: &dyn PayloadLog,
) -> Result<ResultPage, PayloadError> {
    let mut results = Vec::new();
    let mut bytes = 0;
    for place in job.result_order.iter().skip(after as usize) {
        let Some(outcome) = &job.outcomes[*place as usize] else {
            break;
        };
        bytes += outcome.length();
        if bytes > max_bytes && !results.is_empty() {
            break;
        }
        results.push(ListedResult {
            id: job.items[*place as usize].id.clone(),
            outcome: outcome.read(payloads)?,
        });
    }
    Ok(ResultPage {
        total: job.items.len() as u32,
        results,
    })
}

/// Returns the body of an item without an outcome. It is also available for an ended job,
/// since the caller may not have received the reply to the end yet.
fn body(job: &BatchJob, id: &str) -> Option<Vec<u8>> {
    let place = job.items.iter().position(|item| item.id == id)?;
    let open = job.outcomes[place].is_none();
    open.then(|| job.items[place].body.to_vec())
}
