import { withResetOnAbort } from '@apricotrill/utils';
import { Pool, buildConnector } from 'undici';

/** Far more than any response of the platform. */
const MAX_RESPONSE_BYTES = 67_108_864;

/**
 * A connection pool that can be replaced. A connection can stay silent forever while new ones work,
 * because an intermediary has lost its state: requests then time out although the platform is up.
 * The other connections of the pool are as old and probably affected too, so all are replaced at
 * once instead of one timeout each.
 */
export class RenewablePool {
  private pool: Pool;

  private renewals = 0;

  /** @param maxConnections - maximum number of connections; null for no limit */
  constructor(
    private readonly url: string,
    private readonly maxConnections: number | null,
  ) {
    this.pool = this.createPool();
  }

  getPool(): Pool {
    return this.pool;
  }

  /** Replaces the pool, unless another request's failure has already done so. */
  renew(failed: Pool): void {
    if (failed !== this.pool) {
      return;
    }
    this.pool = this.createPool();
    this.renewals += 1;
    // Requests in flight on the old pool end normally or by their own timeout.
    failed.close().catch(() => {});
  }

  getRenewals(): number {
    return this.renewals;
  }

  async dispose(): Promise<void> {
    await this.pool.destroy();
  }

  private createPool(): Pool {
    // Every request has its own timer, because undici's timers have a resolution of one second.
    const timeouts = { headersTimeout: 0, bodyTimeout: 0 };
    return new Pool(this.url, {
      connections: this.maxConnections,
      pipelining: 1,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: withResetOnAbort(buildConnector({})),
      ...timeouts,
    });
  }
}
