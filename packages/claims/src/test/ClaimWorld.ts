import type fc from 'fast-check';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOutcome } from '../lib/claimTypes.js';
import type { ShardHead } from '../lib/ShardHead.js';
import { ClaimHistory } from './ClaimHistory.js';
import { drain, TEST_OPTIONS, TestCluster } from './TestCluster.js';
import type { TestDaemon } from './TestDaemon.js';

/** A daemon by its role for the shard, or by its index. */
export type Role = 'owner' | 'witness' | number;

const ADVANCE_STEPS = 5;

/** The system under test with its oracle. */
export class ClaimWorld {
  readonly cluster: TestCluster;

  readonly history = new ClaimHistory(TEST_OPTIONS.retention!);

  failure: Error | undefined;

  private isReliable = true;

  constructor(private readonly scheduler: fc.Scheduler) {
    const deliver = async (label: string) => {
      if (!this.isReliable) {
        await this.scheduler.schedule(Promise.resolve(), label);
      }
    };
    this.cluster = new TestCluster(4, TEST_OPTIONS, deliver);
  }

  /** The daemon in a role, according to the store. */
  getDaemon(role: Role): TestDaemon {
    const { daemons, store } = this.cluster;
    if (typeof role === 'number') {
      return daemons[role]!;
    }
    const object = store.read('claims/0');
    const head = object === undefined ? undefined : (JSON.parse(object.value) as ShardHead);
    return daemons.find(({ member }) => member.id === head?.[role]?.id) ?? daemons[0]!;
  }

  /** Lets the shard find its first owner before any fault. */
  async start(): Promise<void> {
    await this.cluster.run(1000);
    this.isReliable = false;
  }

  claim(daemon: TestDaemon, key: string, fingerprint: string): void {
    const invocation = this.history.invoke(key, fingerprint);
    const now = () => this.cluster.clock.now();
    this.cluster
      .claim(daemon, key, fingerprint)
      .then(async (result) => {
        if (!daemon.isCrashed) {
          this.history.recordResult(invocation, result, daemon, now());
        }
      })
      .catch((error: Error) => {
        this.failure ??= error;
      });
  }

  settle(pick: number, kind: ClaimOutcome['kind']): void {
    const open = this.history.grants.filter(
      ({ outcome, daemon }) => outcome === undefined && !daemon.isCrashed,
    );
    const grant = open[pick % open.length];
    if (grant === undefined) {
      return;
    }
    const body = `${grant.handle.request.claim} ran`;
    const answer = { kind: 'whole' as const, status: 200, headers: {}, body };
    const outcome: ClaimOutcome = kind === 'answered' ? { kind, answer } : { kind };
    grant.outcome = outcome;
    grant.daemon.claims.recordOutcome(grant.handle, outcome);
  }

  /** Delivers some of the messages in flight, in the order that the scheduler chooses. */
  async deliver(count: number): Promise<void> {
    for (let left = count; left > 0 && this.scheduler.count() > 0; left -= 1) {
      // One message at a time, since each may cause new ones.
      // eslint-disable-next-line no-await-in-loop
      await this.scheduler.waitOne();
      // eslint-disable-next-line no-await-in-loop
      await drain();
    }
  }

  /** Advances time in steps, and delivers up to `deliveriesPerStep` messages before each. */
  async advance(span: Milliseconds, deliveriesPerStep: number): Promise<void> {
    for (let step = 0; step < ADVANCE_STEPS; step += 1) {
      // eslint-disable-next-line no-await-in-loop
      await this.deliver(deliveriesPerStep);
      // eslint-disable-next-line no-await-in-loop
      await this.cluster.run(span / ADVANCE_STEPS);
    }
  }

  check(): void {
    if (this.failure !== undefined) {
      throw this.failure;
    }
  }

  /** Ends all faults except outdated views of the members. */
  clearFaults(): void {
    const { cluster } = this;
    cluster.store.setFault('up');
    cluster.store.unreachableFrom.clear();
    cluster.brokenLinks.clear();
    cluster.daemons.forEach((daemon) => daemon.resume());
    cluster.daemons.filter(({ isCrashed }) => isCrashed).forEach((old) => cluster.restart(old));
  }

  /** Ends all faults and runs until every effect of them has passed. */
  async recover(): Promise<void> {
    this.isReliable = true;
    this.clearFaults();
    this.cluster.store.losses = 0;
    this.cluster.lostResponses = 0;
    this.cluster.updateAllMembers();
    await this.deliver(Number.POSITIVE_INFINITY);
    const { witnessTrustTimeout, retention, claimTimeout } = TEST_OPTIONS;
    await this.cluster.run(witnessTrustTimeout! + 3 * retention! + claimTimeout!);
  }
}
