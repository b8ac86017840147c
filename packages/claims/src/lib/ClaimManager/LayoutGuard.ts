import { NO_ANSWER } from '../ClaimShard/shardMessages.js';
import { LAYOUT_KEY } from '../storeKeys.js';
import type { StoreGateway } from './StoreGateway.js';

interface Layout {
  shards: number;
}

/**
 * Prevents takeovers while the store says that the keys are divided into another number of shards.
 * With two numbers in use at once, a key would belong to two shards that each grant it, and its
 * request would run twice without any error.
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

  /** @returns whether the layout in the store is known to be the one of this daemon */
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
    // After a conflict or without a response, the next check reads the stored layout.
    return written !== NO_ANSWER && written.kind === 'accepted' ? this.shards : undefined;
  }
}
