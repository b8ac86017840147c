import { Agent } from 'undici';
import { createRandom } from '@apricotrill/utils';
import type { Random } from '@apricotrill/utils';
import { streamChat } from './streamChat.js';
import type { ChatTarget } from './streamChat.js';

const MILLISECONDS_PER_SECOND = 1000;

/** What to send, and how often. */
export interface LoadPlan {
  /** Calls go to these in turn. */
  targets: ChatTarget[];
  requestsPerSecond: number;
  maxTokens: number;
  seed: number;
}

/** What has come back so far. */
export interface LoadCounts {
  sent: number;
  completed: number;
  failed: number;
  events: number;
  /** The last failure, for the report. */
  lastError?: string;
}

/**
 * Calls at random moments at a fixed rate, whether or not earlier ones are answered: an open loop,
 * so that a slow daemon does not slow its load down.
 *
 * @internal
 */
export class OpenLoopLoad {
  readonly counts: LoadCounts = { sent: 0, completed: 0, failed: 0, events: 0 };

  private readonly agent = new Agent({ connections: null, pipelining: 1, bodyTimeout: 120_000 });

  private readonly random: Random;

  private timer: NodeJS.Timeout | undefined;

  private next = 0;

  constructor(private readonly plan: LoadPlan) {
    this.random = createRandom(plan.seed);
  }

  start(): void {
    this.next = performance.now();
    this.schedule();
  }

  /** Breaks off what is open. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await this.agent.destroy();
  }

  private schedule(): void {
    const { requestsPerSecond } = this.plan;
    const gap = (-Math.log(1 - this.random.next()) * MILLISECONDS_PER_SECOND) / requestsPerSecond;
    this.next += gap;
    this.timer = setTimeout(
      () => {
        this.send();
        this.schedule();
      },
      Math.max(0, this.next - performance.now()),
    );
  }

  private send(): void {
    const { targets, maxTokens } = this.plan;
    const { counts } = this;
    const target = targets[counts.sent % targets.length]!;
    counts.sent += 1;
    // Each prompt differs, and with it the length of its answer.
    const content = `Draft a quote for order ${counts.sent}.`;
    const addEvents = (events: number) => {
      counts.events += events;
    };
    streamChat(this.agent, target, { content, maxTokens }, addEvents).then(
      () => {
        counts.completed += 1;
      },
      (error: Error) => {
        counts.failed += 1;
        counts.lastError = error.message;
      },
    );
  }
}
