import { AttemptStatus } from '@apricotrill/policy';
import type { Clock, Timer } from '@apricotrill/utils';
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { defaultRouterOptions } from '../../options.js';
import type { ResponseFlow, ResponseReader } from '../ResponseReader.js';
import type { Attempt, AttemptResult } from '../Attempt.js';
import { endsWithConnection } from '../endsWithConnection.js';
import { parseLoad } from '../parseLoad.js';
import type { ReplicaConnection, ReplicaRequestOptions } from '../ReplicaConnection.js';
import { SilenceTimer } from '../SilenceTimer.js';

/**
 * Settings of an {@link AttemptExchange}.
 *
 * @internal
 */
export interface AttemptExchangeSettings {
  attempt: Attempt;
  clock: Clock;
  createReader: (flow: ResponseFlow) => ResponseReader;
}

/** Informational (1xx) responses precede the final response. */
const MIN_FINAL_STATUS = 200;

/**
 * One attempt on its connection: sends the request, passes the response to its reader, and tracks
 * whether any byte of the request can have been sent. The HTTP client calls
 * {@link AttemptExchange.onRequestStart} right before it writes. An attempt that ends before that has
 * not run, whatever the error; one that ends after that may have run.
 *
 * @internal
 */
export class AttemptExchange implements Dispatcher.DispatchHandler, ResponseFlow {
  private readonly settings: AttemptExchangeSettings;

  private readonly reader: ResponseReader;

  private readonly silenceTimer: SilenceTimer;

  private readonly onCancel = () => this.cancel();

  private dispatcher: Dispatcher | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  /** Undefined until the request has been assigned to a connection that records how it ends. */
  private connection: ReplicaConnection | undefined;

  private method = '';

  /** Whether the end of the connection is the only sign of the end of the response. */
  private endsWithConnection = false;

  private isPaused = false;

  private resolve: ((result: AttemptResult) => void) | undefined;

  private isSettled = false;

  /** Whether the HTTP client has reported the end of the response or an error. */
  private isConnectionDone = false;

  private drainTimer: Timer | undefined;

  constructor(settings: AttemptExchangeSettings) {
    this.settings = settings;
    const { attempt, clock, createReader } = settings;
    this.reader = createReader(this);
    this.silenceTimer = new SilenceTimer(clock, attempt.firstTokenTimeout, () =>
      this.handleSilence(),
    );
  }

  /**
   * @param dispatcher - the connections to the replica
   * @param options - the request
   * @returns how the attempt ended; never rejects
   */
  run(
    dispatcher: Dispatcher,
    options: Omit<Dispatcher.DispatchOptions, 'origin'>,
  ): Promise<AttemptResult> {
    const { signal } = this.settings.attempt;
    this.dispatcher = dispatcher;
    this.method = options.method;
    const assignedOptions: ReplicaRequestOptions = {
      ...options,
      onAssigned: (connection) => {
        this.connection = connection;
      },
    };
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (signal.aborted) {
        this.cancel();
        return;
      }
      signal.addEventListener('abort', this.onCancel, { once: true });
      dispatcher.dispatch(assignedOptions, this);
    });
  }

  /**
   * Called before the first byte is written. The client would call it again to retry a request whose
   * connection failed; that is prevented, since only the scheduler decides on retries.
   */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isSettled || this.controller !== undefined) {
      controller.abort(new Error('the request must not be sent'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < MIN_FINAL_STATUS) {
      return;
    }
    const { replica, onLoad } = this.settings.attempt;
    this.endsWithConnection = endsWithConnection(this.method, status, headers);
    this.read(() => {
      const load = parseLoad(replica.id, headers['x-load']);
      if (load !== undefined) {
        onLoad(load);
      }
      return this.reader.onHead({ status, headers, endsWithConnection: this.endsWithConnection });
    });
  }

  onResponseData(_controller: Dispatcher.DispatchController, bytes: Buffer): void {
    this.read(() => this.reader.onBody(bytes));
  }

  onResponseEnd(): void {
    this.markConnectionDone();
    const fault = this.endsWithConnection ? this.connection?.getEndFault() : undefined;
    this.read(() =>
      fault === undefined ? this.reader.onEnd() : this.getConnectionLostResult(fault),
    );
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.markConnectionDone();
    this.read(() => this.getConnectionLostResult(String(error)));
  }

  recordProgress(): void {
    this.silenceTimer.recordActivity(this.settings.attempt.tokenGapTimeout);
  }

  pauseUntil(ready: Promise<void>): void {
    this.isPaused = true;
    this.connection?.pause();
    this.silenceTimer.pause();
    ready.then(() => {
      if (!this.isSettled) {
        this.silenceTimer.resume();
        this.resumeConnection();
      }
    });
  }

  private resumeConnection(): void {
    if (this.isPaused) {
      this.isPaused = false;
      this.connection?.resume();
    }
  }

  private markConnectionDone(): void {
    this.isConnectionDone = true;
    this.drainTimer?.cancel();
  }

  /**
   * Settles the attempt if reading ends it. The client would ignore an error that is thrown by the reader,
   * or let it end the process.
   */
  private read(action: () => AttemptResult | Promise<AttemptResult> | undefined): void {
    if (this.isSettled) {
      return;
    }
    let result: AttemptResult | Promise<AttemptResult> | undefined;
    try {
      result = action();
    } catch (error) {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      result = { end: this.controller ? AttemptStatus.Broken : AttemptStatus.NotSent, detail };
    }
    if (result instanceof Promise) {
      this.silenceTimer.pause();
      result.then((confirmed) => this.read(() => confirmed));
    } else if (result !== undefined) {
      this.settle(result);
    }
  }

  private cancel(): void {
    if (!this.isSettled) {
      this.settle({ end: AttemptStatus.Cancelled, detail: 'cancelled' });
    }
  }

  private handleSilence(): void {
    const result = this.getConnectionLostResult('no data received within the timeout');
    const { dispatcher: silentDispatcher } = this;
    this.settle(result.end === AttemptStatus.NotSent ? result : { ...result, silentDispatcher });
  }

  private getConnectionLostResult(detail: string): AttemptResult {
    if (this.controller === undefined) {
      return { end: AttemptStatus.NotSent, detail };
    }
    return this.reader.onConnectionLost(detail) ?? { end: AttemptStatus.Broken, detail };
  }

  private settle(result: AttemptResult): void {
    this.isSettled = true;
    this.silenceTimer.dispose();
    this.settings.attempt.signal.removeEventListener('abort', this.onCancel);
    this.resumeConnection();
    this.releaseConnection(result.end);
    this.resolve?.(result);
  }

  /**
   * Releases the connection after the attempt has ended. After a completed response or a refusal, the
   * connection can be reused once the last bytes have arrived; it is aborted if they don't arrive
   * within a short timeout. After any other result it is aborted immediately, so that the replica
   * stops work whose result is not needed.
   */
  private releaseConnection(end: AttemptStatus): void {
    if (this.isConnectionDone) {
      return;
    }
    const abort = () => this.controller?.abort(new Error('the attempt has ended'));
    if (end === AttemptStatus.Completed || end === AttemptStatus.Refused) {
      this.drainTimer = this.settings.clock.setTimer(
        defaultRouterOptions.responseDrainTimeout,
        abort,
      );
    } else {
      abort();
    }
  }
}
