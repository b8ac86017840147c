import type { Replica } from '@apricotrill/model';
import type { LoadReport } from '@apricotrill/policy';
import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { request } from 'undici';
import { routerOptions } from '../options.js';

/** The answer of `GET /load`. */
interface LoadAnswer {
  running: number;
  waiting: number;
  measuredAt: number;
  leaving?: boolean;
}

/**
 * What the poller tells.
 *
 * @internal
 */
export interface LoadPollerListener {
  onReport: (report: LoadReport) => void;
  onLeaving: (replica: string) => void;
  /** The replica takes work; told with each answer that says so. */
  onReturned: (replica: string) => void;
}

/** How far questions are spread, as a share of the interval. */
const JITTER = 0.2;

/**
 * Asks replicas for their load when no answer has brought it lately: without it a replica that gets
 * no requests would keep its last report, and one that is leaving would be noticed by a request.
 *
 * @internal
 */
export class LoadPoller {
  private replicas: readonly Replica[] = [];

  private readonly heardAt = new Map<string, number>();

  private readonly leaving = new Set<string>();

  private timer: Timer | undefined;

  private readonly clock: Clock;

  private readonly random: Random;

  private readonly listener: LoadPollerListener;

  constructor(clock: Clock, random: Random, listener: LoadPollerListener) {
    this.clock = clock;
    this.random = random;
    this.listener = listener;
  }

  /** Replaces the replicas to ask; call again when they change. */
  setReplicas(replicas: readonly Replica[]): void {
    this.replicas = replicas;
    const ids = new Set(replicas.map(({ id }) => id));
    [...this.heardAt.keys()].filter((id) => !ids.has(id)).forEach((id) => this.heardAt.delete(id));
    if (this.timer === undefined) {
      this.schedule();
    }
  }

  /** An answer brought this replica's load: no need to ask. */
  hear(replica: string): void {
    this.heardAt.set(replica, this.clock.now());
  }

  dispose(): void {
    this.timer?.cancel();
    this.timer = undefined;
    this.replicas = [];
  }

  private schedule(): void {
    const { loadInterval } = routerOptions;
    const spread = 1 + JITTER * (this.random.next() - 0.5);
    this.timer = this.clock.setTimer(loadInterval * spread, () => {
      this.schedule();
      this.askAll();
    });
  }

  private askAll(): void {
    const due = this.clock.now() - routerOptions.loadInterval;
    this.getOldest(due).forEach((replica) => {
      this.ask(replica).catch(() => undefined);
    });
  }

  /**
   * The replicas not heard of lately, the longest silent first. Their number is bounded: in a large
   * fleet most replicas send this daemon an answer less than once a second, and asking all of them
   * would take more processor time than control may have.
   */
  private getOldest(due: Milliseconds): Replica[] {
    const getAge = ({ id }: Replica) => this.heardAt.get(id) ?? 0;
    return this.replicas
      .filter((replica) => this.leaving.has(replica.id) || getAge(replica) <= due)
      .sort((left, right) => getAge(left) - getAge(right))
      .slice(0, routerOptions.loadQuestions);
  }

  private async ask(replica: Replica): Promise<void> {
    // Also when no answer comes: one that is down must not keep the others from their turn.
    this.hear(replica.id);
    const response = await request(`http://${replica.host}:${replica.port}/load`, {
      signal: AbortSignal.timeout(routerOptions.loadTimeout),
    });
    const answer = (await response.body.json()) as LoadAnswer;
    const { running, waiting, measuredAt } = answer;
    this.listener.onReport({ replica: replica.id, running, waiting, measuredAt });
    this.noteLeaving(replica.id, answer.leaving === true);
  }

  /**
   * A replica that takes work says so each time: it may have refused a request and come back
   * between two questions, and nobody else would ever take the word on its leaving back.
   */
  private noteLeaving(replica: string, leaving: boolean): void {
    if (!leaving) {
      this.leaving.delete(replica);
      this.listener.onReturned(replica);
    } else if (!this.leaving.has(replica)) {
      this.leaving.add(replica);
      this.listener.onLeaving(replica);
    }
  }
}
