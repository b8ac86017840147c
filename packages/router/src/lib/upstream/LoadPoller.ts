import type { Replica } from '@apricotrill/model';
import type { LoadReport } from '@apricotrill/policy';
import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { request } from 'undici';
import { defaultRouterOptions } from '../options.js';

/** The response of `GET /load`. */
interface LoadResponse {
  running: number;
  waiting: number;
  measuredAt: number;
  leaving?: boolean;
}

/**
 * Receives what the poller learns.
 *
 * @internal
 */
export interface LoadPollerListener {
  onReport: (report: LoadReport) => void;
  onLeaving: (replica: string) => void;
  /** The replica accepts requests; called for each response that says so. */
  onReturned: (replica: string) => void;
}

/** The total spread of the random variation of the interval, as a fraction of it. */
const JITTER = 0.2;

/**
 * Polls the load of replicas that have not sent a load report with a response recently. Without
 * polling, a replica that gets no requests would keep its last report, and a replica that is leaving
 * would be noticed only by a request.
 *
 * @internal
 */
export class LoadPoller {
  private replicas: readonly Replica[] = [];

  private readonly reportedAt = new Map<string, number>();

  private readonly leavingReplicas = new Set<string>();

  private timer: Timer | undefined;

  private readonly clock: Clock;

  private readonly random: Random;

  private readonly listener: LoadPollerListener;

  constructor(clock: Clock, random: Random, listener: LoadPollerListener) {
    this.clock = clock;
    this.random = random;
    this.listener = listener;
  }

  /** Replaces the set of replicas to poll. */
  setReplicas(replicas: readonly Replica[]): void {
    this.replicas = replicas;
    const ids = new Set(replicas.map(({ id }) => id));
    [...this.reportedAt.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.reportedAt.delete(id));
    if (this.timer === undefined) {
      this.schedule();
    }
  }

  /** Records that a response carried the load of this replica, so that it need not be polled yet. */
  recordReport(replica: string): void {
    this.reportedAt.set(replica, this.clock.now());
  }

  dispose(): void {
    this.timer?.cancel();
    this.timer = undefined;
    this.replicas = [];
  }

  private schedule(): void {
    const { loadPollInterval } = defaultRouterOptions;
    const spread = 1 + JITTER * (this.random.next() - 0.5);
    this.timer = this.clock.setTimer(loadPollInterval * spread, () => {
      this.schedule();
      this.pollDue();
    });
  }

  private pollDue(): void {
    const due = this.clock.now() - defaultRouterOptions.loadPollInterval;
    this.getDueReplicas(due).forEach((replica) => {
      this.poll(replica).catch(() => undefined);
    });
  }

  /**
   * Returns the replicas due for polling, those with the oldest report first. Their number is limited:
   * in a large fleet most replicas send this daemon a response less than once a second, and polling
   * all of them would exceed the processor time allowed for control.
   */
  private getDueReplicas(due: Milliseconds): Replica[] {
    const getReportedAt = ({ id }: Replica) => this.reportedAt.get(id) ?? 0;
    return this.replicas
      .filter((replica) => this.leavingReplicas.has(replica.id) || getReportedAt(replica) <= due)
      .sort((left, right) => getReportedAt(left) - getReportedAt(right))
      .slice(0, defaultRouterOptions.maxLoadPolls);
  }

  private async poll(replica: Replica): Promise<void> {
    // Recorded before the response, so that a replica that is down does not block the others.
    this.recordReport(replica.id);
    const response = await request(`http://${replica.host}:${replica.port}/load`, {
      signal: AbortSignal.timeout(defaultRouterOptions.loadPollTimeout),
    });
    const load = (await response.body.json()) as LoadResponse;
    const { running, waiting, measuredAt } = load;
    this.listener.onReport({ replica: replica.id, running, waiting, measuredAt });
    this.recordLeaving(replica.id, load.leaving === true);
  }

  /**
   * Calls the listener each time a replica accepts requests: it may have rejected a request and
   * returned between two polls, and nothing else would revoke the record that it is leaving.
   */
  private recordLeaving(replica: string, isLeaving: boolean): void {
    if (!isLeaving) {
      this.leavingReplicas.delete(replica);
      this.listener.onReturned(replica);
    } else if (!this.leavingReplicas.has(replica)) {
      this.leavingReplicas.add(replica);
      this.listener.onLeaving(replica);
    }
  }
}
