import { NO_ANSWER } from '../ClaimShard/shardMessages.js';
import type { StoreGateway } from './StoreGateway.js';

const LAYOUT_KEY = 'claims/layout';

interface Layout {
  shards: number;
}

/**
 * Refuses to take shards while the store says that keys are cut into another number of them. With
 * two numbers at once, a key would belong to two shards, each granting it: the same request would
 * run twice without any error.
 */
export class LayoutGuard {
  private found: number | undefined;

  constructor(
    private readonly store: StoreGateway,
    private readonly shards: number,
    private readonly onMismatch: (found: number) => void,
  ) {}

  get isMismatch(): boolean {
    return this.found !== undefined && this.found !== this.shards;
  }

  /** @returns whether the layout is known to be ours */
  async check(): Promise<boolean> {
    if (this.found === undefined) {
      this.found = await this.find();
      if (this.isMismatch) {
        this.onMismatch(this.found!);
      }
    }
    return this.found === this.shards;
  }

  private async find(): Promise<number | undefined> {
    const read = await this.store.get(LAYOUT_KEY);
    if (read === NO_ANSWER) {
      return undefined;
    }
    if (read.object !== undefined) {
      return (JSON.parse(read.object.value) as Layout).shards;
    }
    const layout: Layout = { shards: this.shards };
    const written = await this.store.put(LAYOUT_KEY, JSON.stringify(layout), 0);
    // After a conflict or without an answer, the next check reads what stands there.
    return written !== NO_ANSWER && written.kind === 'accepted' ? this.shards : undefined;
  }
}
