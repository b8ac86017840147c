import { EngineBatch } from '@apricotrill/standins';
import type { BatchEvent, EngineBatchOptions } from '@apricotrill/standins';
import { assert, getHash } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { Job, JobOutput, Load, OutputListener, ReplicaModel, Work } from '../ReplicaModel.js';

/** Maximum number of waiting jobs for each slot; beyond it the engine refuses jobs. */
const MAX_WAITING_PER_SLOT = 8;

/** Gets the hashes of the blocks of the shared prefix; the rest of a prompt is never shared. */
function getPrefixBlocks(work: Extract<Work, { kind: 'chat' }>, blockTokens: number): number[] {
  const count = Math.floor(work.prefixTokens / blockTokens);
  return Array.from({ length: count }, (_, index) => getHash(`${work.prefixHash}`, index));
}

/**
 * Adapts the batching engine of the stand-ins to the experiment. The tokens of one step are
 * delivered as one batch.
 *
 * @example
 * ```ts
 * const engine = new EngineModel(clock, defaultEngineBatchOptions, (outputs) => deliver(outputs));
 * engine.submit({ key: 'r1/1', priority: 0, work });
 * ```
 * @public
 */
export class EngineModel implements ReplicaModel {
  private batch: EngineBatch;

  private readonly keys = new Set<string>();

  private pending: JobOutput[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly options: EngineBatchOptions,
    private readonly listener: OutputListener,
  ) {
    this.batch = this.createBatch();
  }

  submit(job: Job): boolean {
    const { slots, blockTokens } = this.options;
    if (this.batch.getLoad().waiting >= slots * MAX_WAITING_PER_SLOT) {
      return false;
    }
    const { work } = job;
    assert(work.kind === 'chat', 'an engine runs chat completions');
    this.keys.add(job.key);
    this.batch.submit({
      id: job.key,
      priority: job.priority,
      blocks: getPrefixBlocks(work, blockTokens),
      promptTokens: work.promptTokens,
      startIndex: work.resumeAt,
      outputTokens: work.answerTokens,
    });
    return true;
  }

  cancel(key: string): void {
    this.keys.delete(key);
    this.batch.cancel(key);
  }

  getLoad(): Load {
    return this.batch.getLoad();
  }

  setSlowFactor(factor: number): void {
    this.batch.setSlowFactor(factor);
  }

  /** Replaces the engine by a new process without jobs or cache, at full speed. */
  crash(): string[] {
    const lost = [...this.keys];
    this.keys.clear();
    this.pending = [];
    this.batch.dispose();
    this.batch = this.createBatch();
    return lost;
  }

  private createBatch(): EngineBatch {
    const { clock, options } = this;
    return new EngineBatch({ clock, options, emit: (event) => this.handleEvent(event) });
  }

  private handleEvent(event: BatchEvent): void {
    if (event.kind === 'token') {
      this.addOutput({ key: event.id, units: 1, finished: false });
    } else if (event.kind === 'finished') {
      this.keys.delete(event.id);
      this.finish(event.id);
    }
  }

  /** A job resumed at its end has no tokens left, so it finishes with an output without units. */
  private finish(key: string): void {
    const last = this.pending.at(-1);
    if (last?.key === key) {
      last.finished = true;
    } else {
      this.addOutput({ key, units: 0, finished: true });
    }
  }

  /** Collects the tokens of one step, which are all emitted at the same time of the clock. */
  private addOutput(output: JobOutput): void {
    if (this.pending.length === 0) {
      this.clock.setTimer(0, () => this.flush());
    }
    this.pending.push(output);
  }

  private flush(): void {
    const outputs = this.pending;
    this.pending = [];
    if (outputs.length > 0) {
      this.listener(outputs);
    }
  }
}
