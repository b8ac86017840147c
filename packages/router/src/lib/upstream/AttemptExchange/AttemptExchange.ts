import { AttemptStatus } from '@apricotrill/policy';
import type { Clock, Timer } from '@apricotrill/utils';
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { routerOptions } from '../../options.js';
import type { AnswerFlow, AnswerReader } from '../ResponseReader.js';
import type { Attempt, AttemptResult } from '../Attempt.js';
import { parseLoad } from '../parseLoad.js';
import { SilenceGuard } from '../SilenceTimer.js';

/**
 * What an exchange is made of.
 *
 * @internal
 */
export interface AttemptExchangeParts {
  attempt: Attempt;
  clock: Clock;
  createReader: (flow: AnswerFlow) => AnswerReader;
}

/** Informational answers come before the answer itself. */
const FIRST_FINAL_STATUS = 200;

/**
 * One attempt on its connection: sends the request, hands the answer to its reader, and knows for
 * sure whether a byte of the request can have left. The HTTP client calls
 * {@link AttemptExchange.onRequestStart} right before it writes; an attempt that ends before that
 * has not run, whatever the error, and one that ends after may have.
 *
 * @internal
 */
export class AttemptExchange implements Dispatcher.DispatchHandler, AnswerFlow {
  private readonly parts: AttemptExchangeParts;

  private readonly reader: AnswerReader;

  private readonly guard: SilenceGuard;

  private readonly onCancel = () => this.cancel();

  private dispatcher: Dispatcher | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private resolve: ((result: AttemptResult) => void) | undefined;

  private settled = false;

  /** The connection has nothing more to say. */
  private over = false;

  private tail: Timer | undefined;

  constructor(parts: AttemptExchangeParts) {
    this.parts = parts;
    const { attempt, clock, createReader } = parts;
    this.reader = createReader(this);
    this.guard = new SilenceGuard(clock, attempt.firstTokenTimeout, () => this.endSilent());
  }

  /**
   * @param dispatcher - the connections to the replica
   * @param options - the request
   * @returns how the attempt ended; it never rejects
   */
  run(
    dispatcher: Dispatcher,
    options: Omit<Dispatcher.DispatchOptions, 'origin'>,
  ): Promise<AttemptResult> {
    const { signal } = this.parts.attempt;
    this.dispatcher = dispatcher;
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (signal.aborted) {
        this.cancel();
        return;
      }
      signal.addEventListener('abort', this.onCancel, { once: true });
      dispatcher.dispatch(options, this);
    });
  }

  /**
   * Called before the first byte is written. The client would call it again to repeat a request
   * whose connection failed under it: a repeat is the scheduler's to decide, never the client's.
   */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.settled || this.controller !== undefined) {
      controller.abort(new Error('not to be sent'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.settled || status < FIRST_FINAL_STATUS) {
      return;
    }
    const { replica, onLoad } = this.parts.attempt;
    const load = parseLoad(replica.id, headers['x-load']);
    if (load !== undefined) {
      onLoad(load);
    }
    this.settleIf(this.reader.onHead({ status, headers }));
  }

  /** Each resumption brings an empty piece first; waiting for the caller on it would never end. */
  onResponseData(_controller: Dispatcher.DispatchController, bytes: Buffer): void {
    if (!this.settled && bytes.length > 0) {
      this.settleIf(this.reader.onBody(bytes));
    }
  }

  onResponseEnd(): void {
    this.endConnection();
    if (!this.settled) {
      this.settle(this.reader.onEnd());
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.endConnection();
    if (!this.settled) {
      this.settle(this.getBreak(String(error)));
    }
  }

  noteProgress(): void {
    this.guard.touch(this.parts.attempt.tokenGapTimeout);
  }

  waitFor(ready: Promise<void>): void {
    this.controller?.pause();
    this.guard.pause();
    ready.then(() => {
      if (!this.settled) {
        this.guard.resume();
        this.controller?.resume();
      }
    });
  }

  private endConnection(): void {
    this.over = true;
    this.tail?.cancel();
  }

  private settleIf(result: AttemptResult | undefined): void {
    if (result !== undefined) {
      this.settle(result);
    }
  }

  private cancel(): void {
    if (!this.settled) {
      this.settle({ end: AttemptStatus.Cancelled, detail: 'cancelled' });
    }
  }

  private endSilent(): void {
    const result = this.getBreak('silent for too long');
    const { dispatcher: silent } = this;
    this.settle(result.end === AttemptStatus.NotSent ? result : { ...result, silent });
  }

  private getBreak(detail: string): AttemptResult {
    if (this.controller === undefined) {
      return { end: AttemptStatus.NotSent, detail };
    }
    return this.reader.onBreak(detail) ?? { end: AttemptStatus.Broken, detail };
  }

  private settle(result: AttemptResult): void {
    this.settled = true;
    this.guard.dispose();
    this.parts.attempt.signal.removeEventListener('abort', this.onCancel);
    this.leave(result.end);
    this.resolve?.(result);
  }

  /**
   * After an answer that needs no more reading the connection is good for the next request once its
   * last bytes have passed; a short time later it is given up. Any other end breaks it at once, so
   * that the replica stops computing for nobody.
   */
  private leave(end: AttemptStatus): void {
    if (this.over) {
      return;
    }
    const abort = () => this.controller?.abort(new Error('given up'));
    if (end === AttemptStatus.Completed || end === AttemptStatus.Refused) {
      this.tail = this.parts.clock.setTimer(routerOptions.answerTail, abort);
    } else {
      abort();
    }
  }
}
