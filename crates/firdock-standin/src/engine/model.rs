//! Model of an engine: continuous batching, chunked prefill, a bounded prefix cache.
//!
//! The time is an argument, so that the stand-in engine runs the model in real time and measurements
//! run it in virtual time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use firdock_core::RequestId;
use firdock_core::prefix::{BLOCK_TOKENS, BlockHash};

/// Maximum number of prompt tokens computed in one step, beside decoding.
const CHUNK_TOKENS: u32 = 512;
/// Fraction by which a decoding step takes longer in a full batch.
const ENGINE_CONTENTION: f64 = 0.5;
/// Maximum number of cache changes retained for reports.
const MAX_CHANGES: usize = 4_096;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in a batch.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Seconds per token in a nearly empty batch.
    pub token_secs: f64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

/// A request to the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request.
    pub id: RequestId,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Prompt tokens, including the tokens of an answer that is resumed.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Number of tokens to generate.
    pub output_tokens: u32,
}

/// A token that a step generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GeneratedToken {
    /// Request.
    pub id: RequestId,
    /// Number of prompt tokens found in the prefix cache.
    pub cached: u32,
    /// Whether it is the last token of the answer.
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
    /// Whether the block was added; otherwise it was evicted.
    pub added: bool,
}

/// A simulated engine.
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    slowdown: f64,
    waiting: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    active: Vec<Active>,
    step_end: Option<Duration>,
    cache: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
    changes: VecDeque<CacheChange>,
    sequence: u64,
    prefilled: u64,
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            slowdown: 1.0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            active: Vec::new(),
            step_end: None,
            cache: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            changes: VecDeque::new(),
            sequence: 0,
            prefilled: 0,
        }
    }

    /// Sets the factor by which steps take longer, from the next step on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.max(0.01);
    }

    /// Queues a request.
    pub fn submit(&mut self, now: Duration, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        if self.step_end.is_none() {
            self.begin_step(now);
        }
    }

    /// Cancels a request.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|_, job| job.id != id);
        self.active.retain(|a| a.job.id != id);
    }

    /// Drops all requests and the cache, as a killed engine does.
    pub fn clear(&mut self) {
        *self = Self {
            slowdown: self.slowdown,
            ..Self::new(self.spec)
        };
    }

    /// Returns when the current step ends; `None` for an idle engine.
    #[must_use]
    pub fn next_step(&self) -> Option<Duration> {
        self.step_end
    }

    /// Ends the current step and starts the next one; returns the tokens generated.
    pub fn step(&mut self, now: Duration) -> Vec<GeneratedToken> {
        let tokens = self.end_step();
        self.begin_step(now);
        tokens
    }

    /// Counts the requests in the batch.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.active.len() as u32
    }

    /// Counts the requests that wait for a slot in the batch.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Sums the prompt tokens that remain to be computed.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        let active: u32 = self.active.iter().map(|a| a.to_prefill).sum();
        active + self.waiting.values().map(|j| j.prompt_tokens).sum::<u32>()
    }

    /// Returns the sequence number of the newest cache change.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the cache changes after a sequence number, and whether some of them are no longer retained.
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
            self.step_end = None;
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
        self.step_end = Some(now + Duration::from_secs_f64(secs.max(1e-6)));
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

    /// Returns the index of the request whose prompt is computed next: the most urgent, then the oldest.
    fn first_to_prefill(&self) -> Option<usize> {
        let prefilling_requests = self
            .active
            .iter()
            .enumerate()
            .filter(|(_, a)| a.to_prefill > 0);
        prefilling_requests
            .min_by_key(|(i, a)| (a.job.priority, *i))
            .map(|(i, _)| i)
    }

    fn end_step(&mut self) -> Vec<GeneratedToken> {
        let prefilling = self.first_to_prefill();
        let mut tokens = Vec::new();
        for a in self.active.iter_mut().filter(|a| a.to_prefill == 0) {
            a.to_decode = a.to_decode.saturating_sub(1);
            let last = a.to_decode == 0;
            tokens.push(GeneratedToken {
                id: a.job.id,
                cached: a.cached,
                last,
            });
        }
        if let Some(i) = prefilling {
            self.prefill(i, &mut tokens);
        }
        self.active.retain(|a| a.to_prefill > 0 || a.to_decode > 0);
        tokens
    }

    /// Computes a chunk of a prompt; the last chunk yields the first token.
    fn prefill(&mut self, i: usize, tokens: &mut Vec<GeneratedToken>) {
        let a = &mut self.active[i];
        let chunk = a.to_prefill.min(CHUNK_TOKENS);
        a.to_prefill -= chunk;
        self.prefilled += u64::from(chunk);
        if a.to_prefill > 0 {
            return;
        }
        a.to_decode = a.to_decode.saturating_sub(1);
        tokens.push(GeneratedToken {
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
        let cached_blocks = job
            .blocks
            .iter()
            .take_while(|b| self.cache.contains_key(b))
            .count();
        for block in &job.blocks[..cached_blocks] {
            self.touch(*block);
        }
        cached_blocks as u32 * BLOCK_TOKENS
    }

    /// Marks a block as most recently used; adds it if needed, evicting the least recently used block.
    fn touch(&mut self, block: BlockHash) {
        self.use_count += 1;
        match self.cache.insert(block, self.use_count) {
            Some(earlier) => {
                self.by_last_use.remove(&earlier);
            }
            None => self.record_change(CacheChange { block, added: true }),
        }
        self.by_last_use.insert(self.use_count, block);
        if self.cache.len() > self.spec.cache_blocks
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.cache.remove(&oldest);
            self.record_change(CacheChange {
                block: oldest,
                added: false,
            });
        }
    }

    fn record_change(&mut self, change: CacheChange) {
        self.sequence += 1;
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
