import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../../config/RelayConfiguration.js';
import { ReadRate } from '../PrefillRate/PrefillRate.js';
import type { RunningAttempt } from '../RequestRecord.js';
import type { EngineLessons } from './EngineStatistics.js';

/** Waits behind fewer tokens tell of the set-up, those behind more of the rate. */
const LEAST_TOKENS = 1_500;

/** How one engine gets on with the prompts that were sent to it, and how fast it reads. */
export class EngineReading {
  /** Engines of one service differ; one that has read little is taken to be like the others. */
  private readonly rate: ReadRate;

  /** When it had last read a prompt to its end. */
  private readAt: Milliseconds = 0;

  constructor(private readonly lessons: EngineLessons) {
    this.rate = new ReadRate(() => lessons.rate.value);
  }

  /** Prompt tokens that it reads in a millisecond, beside the answers that it makes. */
  get readRate(): number {
    return this.rate.value;
  }

  /** The same of all engines of the service. */
  get serviceRate(): number {
    return this.lessons.rate.value;
  }

  get profile(): EngineProfile | undefined {
    return this.lessons.profile;
  }

  /** What a request waits for its first token with so many tokens to be read before. */
  getWait(tokens: number): Milliseconds {
    return this.lessons.setup.value + tokens / this.readRate;
  }

  /** A first token came: the prompt has been read. */
  noteRead(attempt: RunningAttempt, now: Milliseconds): void {
    this.readAt = now;
    if (attempt.isInformative) {
      this.learn(attempt, now);
    }
  }

  /**
   * Prompt tokens that it has still to read. It reads one prompt after the other, so that of those
   * that are unread it has done at most what it could since the last was done.
   *
   * What goes wrong otherwise: counted since the oldest was sent, the time that this waited behind
   * others counts as read as well. An engine with eight prompts to read seemed idle after 0.6 s, got
   * the next ones too, and first tokens that were expected in 150 ms took 1,500.
   */
  getBacklog(unread: readonly RunningAttempt[], now: Milliseconds): number {
    if (unread.length === 0) {
      return 0;
    }
    const tokens = unread.reduce((sum, { missingTokens }) => sum + missingTokens, 0);
    const begun = Math.min(...unread.map((attempt) => this.getEarliestStart(attempt)));
    const since = Math.max(0, now - Math.max(begun, this.readAt));
    return Math.max(0, tokens - since * this.readRate);
  }

  /** When an engine that has nothing else to do begins to read. */
  private getEarliestStart({ sentAt, copyTime }: RunningAttempt): Milliseconds {
    return sentAt + copyTime + this.lessons.setup.value;
  }

  private learn({ sentAt, tokensAhead, copyTime }: RunningAttempt, now: Milliseconds): void {
    const { rate, setup } = this.lessons;
    const wait = Math.max(0, now - sentAt - copyTime);
    if (tokensAhead < LEAST_TOKENS) {
      setup.note(wait - tokensAhead / this.readRate);
      return;
    }
    const time = wait - setup.value;
    this.rate.note(tokensAhead, time);
    rate.note(tokensAhead, time);
  }
}
