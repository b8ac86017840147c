import { Client, Pool } from 'undici';
import type { Replica } from '@apricotrill/model';
import type { Dispatcher } from 'undici';
import { routerOptions } from '../options.js';

function getOrigin(replica: Replica): string {
  return `http://${replica.host}:${replica.port}`;
}

/** Nothing of undici's own may repeat a request or time it out: those decisions are ours. */
const CLIENT_OPTIONS = {
  headersTimeout: 0,
  bodyTimeout: 0,
  pipelining: 1,
  connect: { timeout: routerOptions.connectTimeout },
  keepAliveTimeout: routerOptions.upstreamIdle,
};

/**
 * Owns the connections to every replica.
 *
 * An open connection can go silent for good while new ones work. One such connection is noticed by
 * a timeout of the attempt on it; its idle neighbours went through the same path and are suspect
 * too, so {@link ReplicaConnections.condemn} replaces the whole pool. The server isn't condemned:
 * the next request opens a new connection.
 *
 * @internal
 */
export class ReplicaConnections {
  private readonly pools = new Map<string, Pool>();

  private readonly retired = new Set<Dispatcher>();

  private readonly condemned = new WeakSet<Dispatcher>();

  /** The shared connections to a replica, for what may be repeated. */
  getShared(replica: Replica): Dispatcher {
    const origin = getOrigin(replica);
    const existing = this.pools.get(origin);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(origin, CLIENT_OPTIONS);
    this.pools.set(origin, pool);
    return pool;
  }

  /**
   * A connection of its own for one request that may not be repeated. It is opened for the request,
   * so that it can't have gone silent while idle, and a failure to open it proves that nothing ran.
   */
  // eslint-disable-next-line class-methods-use-this
  createFresh(replica: Replica): Dispatcher {
    return new Client(getOrigin(replica), CLIENT_OPTIONS);
  }

  /**
   * Replaces the pool of a replica on which a connection went silent; answers still running on the
   * old connections go on. Several connections go silent at once when a path is lost: what was on
   * the old pool says nothing against the one that has already replaced it.
   *
   * @param replica - whose path is suspect
   * @param suspect - what the attempt ran on
   */
  condemn(replica: Replica, suspect: Dispatcher): void {
    const origin = getOrigin(replica);
    const pool = this.pools.get(origin);
    if (pool === undefined || this.condemned.has(suspect)) {
      return;
    }
    this.condemned.add(pool);
    this.pools.delete(origin);
    this.retire(pool);
  }

  /** Closes the pools of replicas that are no longer in the register, once they are idle. */
  retain(replicas: readonly Replica[]): void {
    const origins = new Set(replicas.map(getOrigin));
    [...this.pools].forEach(([origin, pool]) => {
      if (!origins.has(origin)) {
        this.pools.delete(origin);
        this.retire(pool);
      }
    });
  }

  async dispose(): Promise<void> {
    const pools = [...this.pools.values(), ...this.retired];
    this.pools.clear();
    this.retired.clear();
    await Promise.allSettled(pools.map((pool) => pool.destroy()));
  }

  /** Lets what runs on a pool come to its end. */
  private retire(pool: Pool): void {
    this.retired.add(pool);
    const forget = () => this.retired.delete(pool);
    pool.close().then(forget, forget);
  }
}
