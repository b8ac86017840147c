import { Pool } from 'undici';

/**
 * A connection pool that can be replaced. A connection may go silent for good while new ones work,
 * since something between the two ends has lost track of it: one notices that calls time out though
 * the platform is up. The other connections of the pool are as old, so all of them are replaced and
 * the next call opens a new one, instead of each call finding out for itself.
 */
export class RenewablePool {
  private pool: Pool;

  private renewals = 0;

  /** @param connections - how many at most; null for as many as there are calls */
  constructor(
    private readonly url: string,
    private readonly connections: number | null,
  ) {
    this.pool = this.createPool();
  }

  getPool(): Pool {
    return this.pool;
  }

  /** Replaces the pool, unless another call's failure has already done so. */
  renew(failed: Pool): void {
    if (failed !== this.pool) {
      return;
    }
    this.pool = this.createPool();
    this.renewals += 1;
    // Calls under way on the old pool come to their end or to their own timeout.
    failed.close().catch(() => {});
  }

  getRenewals(): number {
    return this.renewals;
  }

  async dispose(): Promise<void> {
    await this.pool.destroy();
  }

  private createPool(): Pool {
    // Every call has its own timer, finer than the second at which undici's timers tick.
    const timeouts = { headersTimeout: 0, bodyTimeout: 0 };
    return new Pool(this.url, { connections: this.connections, pipelining: 1, ...timeouts });
  }
}
