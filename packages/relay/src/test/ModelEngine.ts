import type { ManualClock, Milliseconds, Timer } from '@apricotrill/utils';
import { AttemptEnd } from '../lib/decide/messages.js';
import type { LoadReport } from '../lib/decide/messages.js';

/** What an engine reports of an attempt. */
export interface EngineListener {
  onFirstByte: (load: LoadReport) => void;
  onEnd: (end: AttemptEnd) => void;
}

/** Properties of a {@link ModelEngine}. */
export interface ModelEngineSettings {
  clock: ManualClock;
  slots: number;
  /** Prompts are read one at a time, each for this long. */
  prefillTime: Milliseconds;
  /** From the first byte of a response to its end. */
  streamTime: Milliseconds;
  /** Absent if the engine does not state it. */
  slowdown?: number;
}

interface EngineAttempt {
  listener: EngineListener;
  timer?: Timer;
  isPrefilled: boolean;
}

/** An engine that reads one prompt at a time, and queues what exceeds its slots. */
export class ModelEngine {
  /** Attempts in the order in which they arrived. */
  private readonly attempts = new Map<string, EngineAttempt>();

  private isReading = false;

  isUp = true;

  /** The largest number of attempts that it held at a time. */
  mostHeld = 0;

  constructor(private readonly settings: ModelEngineSettings) {}

  get held(): number {
    return this.attempts.size;
  }

  add(key: string, listener: EngineListener): void {
    if (!this.isUp) {
      this.settings.clock.setTimer(1, () => listener.onEnd(AttemptEnd.NotSent));
      return;
    }
    this.attempts.set(key, { listener, isPrefilled: false });
    this.mostHeld = Math.max(this.mostHeld, this.held);
    this.readNext();
  }

  cancel(key: string): void {
    const attempt = this.attempts.get(key);
    attempt?.timer?.cancel();
    this.attempts.delete(key);
    if (attempt !== undefined && !attempt.isPrefilled && attempt.timer !== undefined) {
      this.isReading = false;
    }
    this.readNext();
  }

  /** Cancels the attempts of a daemon that is gone. */
  cancelAll(daemon: string): void {
    [...this.attempts.keys()]
      .filter((key) => key.startsWith(`${daemon} `))
      .forEach((key) => this.cancel(key));
  }

  /** Breaks all attempts; connections fail until it is up again. */
  crash(): void {
    const attempts = [...this.attempts.values()];
    this.isUp = false;
    this.attempts.clear();
    this.isReading = false;
    attempts.forEach(({ timer, listener }) => {
      timer?.cancel();
      listener.onEnd(AttemptEnd.Broken);
    });
  }

  private get load(): LoadReport {
    const { slots, slowdown } = this.settings;
    const running = Math.min(slots, this.held);
    const report = { running, waiting: this.held - running, slots };
    return slowdown === undefined ? report : { ...report, slowdown };
  }

  private readNext(): void {
    const { clock, prefillTime, slots, slowdown } = this.settings;
    const inSlots = [...this.attempts].slice(0, slots);
    const next = inSlots.find(([, { isPrefilled }]) => !isPrefilled);
    if (this.isReading || next === undefined) {
      return;
    }
    const [key, attempt] = next;
    this.isReading = true;
    attempt.timer = clock.setTimer(prefillTime * (slowdown ?? 1), () => {
      this.isReading = false;
      this.respond(key, attempt);
      this.readNext();
    });
  }

  private respond(key: string, attempt: EngineAttempt): void {
    const { clock, streamTime } = this.settings;
    Object.assign(attempt, { isPrefilled: true });
    Object.assign(attempt, {
      timer: clock.setTimer(streamTime, () => {
        this.attempts.delete(key);
        attempt.listener.onEnd(AttemptEnd.Completed);
        this.readNext();
      }),
    });
    attempt.listener.onFirstByte(this.load);
  }
}
