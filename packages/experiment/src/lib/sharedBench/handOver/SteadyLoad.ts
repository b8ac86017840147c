import { Agent } from 'undici';
import { createRandom } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { wait } from '../processes/waitUntil.js';
import { askChat } from './askChat.js';
import { askPlain } from './askPlain.js';
import type { Answer } from './askPlain.js';
import { CallKind } from './CallRecord.js';
import type { CallRecord } from './CallRecord.js';
import type { ReadyBalancer } from './ReadyBalancer.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Calls a second. */
export interface LoadRates {
  checks: number;
  holds: number;
  chats: number;
}

/** Up to 3 s at 15 ms a token: some streams outlast the daemon's notice of its end. */
const CHAT_TOKENS = 200;

/** One hold in so many is asked for again... */
const ASKED_AGAIN = 4;

/** ...so long after its answer, as by a caller that has lost it. */
const AGAIN_AFTER: Milliseconds = 1000;

const MODEL = 'kielimalli';

const PLAIN_SERVICE = 'jasenportaali';

/** Workspaces of the example; the key of each is "example-" and its name. */
const WORKSPACES = ['painola', 'kirjapaino-savo', 'offset-turku', 'kehys-oy'];

/** Longer than any class's deadline: what takes longer counts as lost. */
const PATIENCE: Milliseconds = 60_000;

/**
 * Calls at random moments at fixed rates, whether or not earlier ones are answered, each through
 * the balancer and asked once, with what came of every one.
 *
 * @internal
 */
export class SteadyLoad {
  readonly records: CallRecord[] = [];

  private readonly agent = new Agent({
    connections: null,
    headersTimeout: PATIENCE,
    bodyTimeout: PATIENCE,
  });

  private readonly random: Random;

  private readonly open = new Set<Promise<void>>();

  private readonly timers = new Map<CallKind, NodeJS.Timeout>();

  private count = 0;

  /** @param name - tells the keys of this load from those of others */
  constructor(
    private readonly balancer: ReadyBalancer,
    private readonly name: string,
    seed: number,
  ) {
    this.random = createRandom(seed);
  }

  start({ checks, holds, chats }: LoadRates): void {
    this.schedule(CallKind.Check, checks, () => this.check());
    this.schedule(CallKind.Hold, holds, () => this.hold());
    this.schedule(CallKind.Chat, chats, () => this.chat());
  }

  /** Sends no more; resolves when every call has ended. */
  async stop(): Promise<void> {
    this.timers.forEach((timer) => clearTimeout(timer));
    while (this.open.size > 0) {
      // eslint-disable-next-line no-await-in-loop -- a call may begin another one
      await Promise.all(this.open);
    }
    await this.agent.close();
  }

  private schedule(
    kind: CallKind,
    perSecond: number,
    call: () => Promise<void>,
    due = performance.now(),
  ): void {
    const gap = (-Math.log(1 - this.random.next()) * MILLISECONDS_PER_SECOND) / perSecond;
    const next = due + gap;
    const timer = setTimeout(
      () => {
        this.track(call());
        this.schedule(kind, perSecond, call, next);
      },
      Math.max(0, next - performance.now()),
    );
    this.timers.set(kind, timer);
  }

  private track(call: Promise<void>): void {
    const tracked = call.finally(() => this.open.delete(tracked));
    this.open.add(tracked);
  }

  private async check(): Promise<void> {
    const path = `/artwork/${this.getNumber()}`;
    await this.askService({ kind: CallKind.Check }, { method: 'GET', path, body: '' });
  }

  private async hold(): Promise<void> {
    const number = this.getNumber();
    const key = `${this.name}-${number}`;
    const call = { method: 'POST', path: '/holds', body: JSON.stringify({ hold: key }) } as const;
    await this.askService({ kind: CallKind.Hold, key }, call);
    if (number % ASKED_AGAIN === 0) {
      await wait(AGAIN_AFTER);
      await this.askService({ kind: CallKind.HoldAgain, key }, call);
    }
  }

  private async chat(): Promise<void> {
    const number = this.getNumber();
    await this.ask({ kind: CallKind.Chat }, (origin) =>
      askChat(this.agent, {
        url: `${origin}/v1/chat/completions`,
        headers: { ...SteadyLoad.getAuthorization(number), 'content-type': 'application/json' },
        model: MODEL,
        prompt: `Draft quote ${number}.`,
        maxTokens: CHAT_TOKENS,
      }),
    );
  }

  private async askService(
    facts: Pick<CallRecord, 'kind' | 'key'>,
    call: { method: 'GET' | 'POST'; path: string; body: string },
  ): Promise<void> {
    const { method, path, body } = call;
    // Always the same workspace: keys are told apart by workspace.
    const headers = SteadyLoad.getAuthorization(0);
    if (facts.key !== undefined) {
      headers['idempotency-key'] = facts.key;
    }
    await this.ask(facts, (origin) => {
      const url = `${origin}/services/${PLAIN_SERVICE}${path}`;
      return askPlain(this.agent, { url, method, headers, body });
    });
  }

  private async ask(
    facts: Pick<CallRecord, 'kind' | 'key'>,
    send: (origin: string) => Promise<Answer>,
  ): Promise<void> {
    const startedAt = performance.now();
    const daemon = this.balancer.pick();
    const answer: Answer =
      daemon === undefined
        ? { end: { kind: 'lost', error: 'no daemon is ready' } }
        : await send(daemon.origin);
    const span = performance.now() - startedAt;
    this.records.push({ ...facts, ...answer, startedAt, span });
  }

  private getNumber(): number {
    this.count += 1;
    return this.count;
  }

  private static getAuthorization(number: number): Record<string, string> {
    const workspace = WORKSPACES[number % WORKSPACES.length]!;
    return { authorization: `Bearer example-${workspace}` };
  }
}
