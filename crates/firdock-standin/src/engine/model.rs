//! Model of an engine in any time: continuous batching, chunked prefill, a bounded prefix cache.
//!
//! It takes the time as an argument, so the stand-in engine runs it by the clock and measurements
//! run it in virtual time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use firdock_core::RequestId;
use firdock_core::prefix::{BLOCK_TOKENS, BlockHash};

/// Most prompt tokens computed in one step beside the decoding.
const CHUNK_TOKENS: u32 = 512;
/// How much slower each token gets in a full batch.
const ENGINE_CONTENTION: f64 = 0.5;
/// Cache changes kept for reports.
const MAX_CHANGES: usize = 4_096;

/// How fast and large an engine is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests in a batch.
    pub slots: usize,
    /// Prompt tokens a second.
    pub prefill_rate: f64,
    /// Seconds for each token of a small batch.
    pub token_secs: f64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
}

/// A request as the engine sees it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request.
    pub id: RequestId,
    /// 0 goes first.
    pub priority: u8,
    /// Prompt tokens, with those of an answer that is taken up.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Tokens still to be generated.
    pub output_tokens: u32,
}

/// What a step brought for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Produced {
    /// Request.
    pub id: RequestId,
    /// Prompt tokens that were taken from the cache.
    pub cached: u32,
    /// Whether it was the last token.
    pub last: bool,
}

#[derive(Debug)]
struct Active {
    job: Job,
    cached: u32,
    to_prefill: u32,
    to_decode: u32,
}

/// A change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// Block.
    pub block: BlockHash,
    /// Whether it came in; else it was dropped.
    pub added: bool,
}

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    slowdown: f64,
    waiting: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    active: Vec<Active>,
    step_ends: Option<Duration>,
    cache: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    uses: u64,
    changes: VecDeque<CacheChange>,
    sequence: u64,
    prefilled: u64,
}

impl EngineModel {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            slowdown: 1.0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            active: Vec::new(),
            step_ends: None,
            cache: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            changes: VecDeque::new(),
            sequence: 0,
            prefilled: 0,
        }
    }

    /// Makes the engine slower, from the next step on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.max(0.01);
    }

    /// Takes a request.
    pub fn submit(&mut self, now: Duration, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
    }

    /// Drops a request.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|_, job| job.id != id);
        self.active.retain(|a| a.job.id != id);
    }

    /// Drops everything, as a killed engine does.
    pub fn clear(&mut self) {
        *self = Self {
            slowdown: self.slowdown,
            ..Self::new(self.spec)
        };
    }

    /// Tells when the present step ends; `None` for an idle engine.
    #[must_use]
    pub fn next_step(&self) -> Option<Duration> {
        self.step_ends
    }

    /// Ends the present step and begins the next one.
    pub fn step(&mut self, now: Duration) -> Vec<Produced> {
        let produced = self.end_step();
        self.begin_step(now);
        produced
    }

    /// Counts the requests in the batch.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.active.len() as u32
    }

    /// Counts the requests that wait for the batch.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Sums the prompt tokens still to be computed.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        let active: u32 = self.active.iter().map(|a| a.to_prefill).sum();
        active + self.waiting.values().map(|j| j.prompt_tokens).sum::<u32>()
    }

    /// Gives the number of the newest cache change.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Gives the cache changes after a number, and whether some are missing.
    #[must_use]
    pub fn changes_after(&self, after: u64) -> (Vec<CacheChange>, bool) {
        let first = self.sequence - self.changes.len() as u64;
        let skip = after.saturating_sub(first) as usize;
        let gap = after < first || after > self.sequence;
        (self.changes.iter().skip(skip).copied().collect(), gap)
    }

    /// Counts the leading blocks of a chain that are cached.
    #[must_use]
    pub fn matched(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|b| self.cache.contains_key(b))
            .count()
    }

    /// Sums the prompt tokens computed so far.
    #[must_use]
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    fn begin_step(&mut self, now: Duration) {
        self.fill_batch();
        if self.active.is_empty() {
            self.step_ends = None;
            return;
        }
        let decoding = self.active.iter().filter(|a| a.to_prefill == 0).count();
        let contention = 1.0 + ENGINE_CONTENTION * decoding as f64 / self.spec.slots as f64;
        let decode = if decoding > 0 {
            self.spec.token_secs * contention
        } else {
            0.0
        };
        let chunk = self
            .first_to_prefill()
            .map_or(0, |i| self.active[i].to_prefill);
        let prefill = f64::from(chunk.min(CHUNK_TOKENS)) / self.spec.prefill_rate;
        let secs = (decode + prefill) * self.slowdown;
        self.step_ends = Some(now + Duration::from_secs_f64(secs.max(1e-6)));
    }

    fn fill_batch(&mut self) {
        while self.active.len() < self.spec.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            let cached = self.cached_tokens(&job);
            let to_prefill = job.prompt_tokens.saturating_sub(cached).max(1);
            let to_decode = job.output_tokens;
            self.active.push(Active {
                job,
                cached,
                to_prefill,
                to_decode,
            });
        }
    }

    /// Gives the request whose prompt is computed next: the most urgent, then the oldest.
    fn first_to_prefill(&self) -> Option<usize> {
        let open = self
            .active
            .iter()
            .enumerate()
            .filter(|(_, a)| a.to_prefill > 0);
        open.min_by_key(|(i, a)| (a.job.priority, *i))
            .map(|(i, _)| i)
    }

    fn end_step(&mut self) -> Vec<Produced> {
        let prefilling = self.first_to_prefill();
        let mut produced = Vec::new();
        for a in self.active.iter_mut().filter(|a| a.to_prefill == 0) {
            a.to_decode = a.to_decode.saturating_sub(1);
            let last = a.to_decode == 0;
            produced.push(Produced {
                id: a.job.id,
                cached: a.cached,
                last,
            });
        }
        if let Some(i) = prefilling {
            self.prefill(i, &mut produced);
        }
        self.active.retain(|a| a.to_prefill > 0 || a.to_decode > 0);
        produced
    }

    /// Computes a chunk of a prompt; its end brings the first token.
    fn prefill(&mut self, i: usize, produced: &mut Vec<Produced>) {
        let a = &mut self.active[i];
        let chunk = a.to_prefill.min(CHUNK_TOKENS);
        a.to_prefill -= chunk;
        self.prefilled += u64::from(chunk);
        if a.to_prefill > 0 {
            return;
        }
        a.to_decode = a.to_decode.saturating_sub(1);
        produced.push(Produced {
            id: a.job.id,
            cached: a.cached,
            last: a.to_decode == 0,
        });
        let blocks = a.job.blocks.clone();
        for block in blocks {
            self.touch(block);
        }
    }

    fn cached_tokens(&mut self, job: &Job) -> u32 {
        let n = job
            .blocks
            .iter()
            .take_while(|b| self.cache.contains_key(b))
            .count();
        for block in &job.blocks[..n] {
            self.touch(*block);
        }
        n as u32 * BLOCK_TOKENS
    }

    /// Puts a block at the end of the order in which blocks are dropped.
    fn touch(&mut self, block: BlockHash) {
        self.uses += 1;
        match self.cache.insert(block, self.uses) {
            Some(earlier) => {
                self.by_use.remove(&earlier);
            }
            None => self.note(CacheChange { block, added: true }),
        }
        self.by_use.insert(self.uses, block);
        if self.cache.len() > self.spec.cache_blocks
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.cache.remove(&oldest);
            self.note(CacheChange {
                block: oldest,
                added: false,
            });
        }
    }

    fn note(&mut self, change: CacheChange) {
        self.sequence += 1;
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
