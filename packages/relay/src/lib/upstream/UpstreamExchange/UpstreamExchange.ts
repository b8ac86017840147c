import type { Clock, Timer } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { ResponseFraming, getResponseFraming } from '../../framing/getResponseFraming.js';
import { upstreamOptions } from '../upstreamOptions.js';
import { UnconfirmedEndError } from './UnconfirmedEndError.js';
import { EarlyResponseError } from './EarlyResponseError.js';
import { InvalidStatusError } from './InvalidStatusError.js';
import { UnsendableRequestError } from './UnsendableRequestError.js';
import { RequestWithdrawnError } from './RequestWithdrawnError.js';
import type { UpstreamConnection } from '../UpstreamConnections/UpstreamConnections.js';

/** Status and headers of a response. */
export interface ResponseHead {
  status: number;
  /** Alternating names and values, as received. */
  rawHeaders: string[];
  framing: ResponseFraming;
}

/** Receives the events of an exchange. No event follows `onEnd` or `onError`. */
export interface ExchangeListener {
  /** Whether what was received of the body can't be all of it. */
  readonly isCutOff?: boolean;
  onHead(head: ResponseHead): void;
  onBody(bytes: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  /** @param isSent - whether any byte of the request may have been sent */
  onError(error: Error, isSent: boolean): void;
}

/** A request as sent to a replica. */
export interface UpstreamRequest {
  method: string;
  /** Path and query. */
  target: string;
  rawHeaders: string[];
  body: Buffer | undefined;
}

/** Callbacks of an exchange about its request. */
export interface ExchangeCallbacks {
  /** Called immediately before the first byte is sent, which can be long after the start. */
  maySend: () => boolean;
  /** Called once, when the request no longer uses its connection. */
  onReleased: () => void;
  /** Called when a response has ended with its connection, in order. @returns whether it is complete */
  confirmEnd: (head: ResponseHead) => Promise<boolean>;
  /** Called if the listener throws, after which it is not called again. */
  onFault: (error: unknown) => void;
}

/** Lower statuses are informational responses, which precede the final one. */
const FIRST_FINAL_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
const LAST_STATUS = 599;

/** Codes of the client's errors about a request that it can't encode. */
const UNSENDABLE_CODES: ReadonlySet<string | undefined> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

function isUnsendable({ code }: NodeJS.ErrnoException): boolean {
  return UNSENDABLE_CODES.has(code);
}

/**
 * One request on a connection. Knows for certain whether any byte of the request may have been sent:
 * the client calls {@link UpstreamExchange.onRequestStart} immediately before it writes. A request
 * that fails earlier has not run, whatever the error; one that fails later may have run.
 */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isFinished = false;

  private connection: UpstreamConnection | undefined;

  private callbacks: ExchangeCallbacks | undefined;

  private isReleased = false;

  /** Whether the request is being handed to the client, which can reject it before it returns. */
  private isDispatching = false;

  private method = '';

  private tailTimer: Timer | undefined;

  /** Bytes that its connection had received before the response. */
  private receivedBefore = 0;

  private bodyBytes = 0;

  private head: ResponseHead | undefined;

  /** Bytes of the request that were not sent yet when the head of the response arrived. */
  private unsentBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly listener: ExchangeListener,
  ) {}

  run(
    connection: UpstreamConnection,
    request: UpstreamRequest,
    callbacks: ExchangeCallbacks,
  ): void {
    this.callbacks = callbacks;
    this.connection = connection;
    this.method = request.method;
    this.isDispatching = true;
    connection.client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers: request.rawHeaders,
        body: request.body ?? null,
      },
      this,
    );
    this.isDispatching = false;
  }

  /** Closes the connection, so that the replica stops working on the request. */
  abort(): void {
    this.isFinished = true;
    if (this.controller === undefined) {
      // Still connecting; onRequestStart aborts the request.
      return;
    }
    this.controller.abort(new Error('request aborted'));
  }

  /**
   * Stops reading a response that is complete for its reader, although its last bytes may not have
   * arrived. The connection is closed if they do not arrive within a short time.
   */
  finish(): void {
    this.isFinished = true;
    this.resume();
    this.tailTimer = this.clock.setTimer(upstreamOptions.tailTimeout, () => {
      this.controller?.abort(new Error('end of response not received in time'));
    });
  }

  pause(): void {
    // The connection may carry another request after its release.
    if (!this.isReleased) {
      this.connection?.gate?.close();
    }
  }

  resume(): void {
    if (!this.isReleased) {
      this.connection?.gate?.open();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.guard(() => this.handleStart(controller));
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    this.guard(() => this.handleHead(controller, status));
  }

  onResponseData(_controller: Dispatcher.DispatchController, bytes: Buffer): void {
    this.bodyBytes += bytes.length;
    if (!this.isFinished && bytes.length > 0) {
      this.guard(() => this.listener.onBody(bytes));
    }
  }

  onResponseEnd(): void {
    this.release();
    this.guard(() => this.handleEnd());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.release();
    this.guard(() => this.handleError(error));
  }

  /** The client would ignore an error that is thrown here, or let it end the process. */
  private guard(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.abort();
      this.callbacks?.onFault(error);
    }
  }

  /** A second call would be a retry by the client, which must never decide on retries. */
  private handleStart(controller: Dispatcher.DispatchController): void {
    if (this.isFinished || this.controller !== undefined) {
      controller.abort(new Error('request already aborted or sent'));
      return;
    }
    if (this.callbacks?.maySend() === false) {
      controller.abort(new RequestWithdrawnError());
      return;
    }
    this.controller = controller;
    this.receivedBefore = this.connection?.socket?.bytesRead ?? 0;
    if (this.connection !== undefined) {
      this.connection.onRead = () => this.guard(() => this.checkOverhead());
    }
  }

  /** Breaks off a response that goes on and on without a body, which the client does not notice. */
  private checkOverhead(): void {
    const received = (this.connection?.socket?.bytesRead ?? 0) - this.receivedBefore;
    const { maxOverheadBytes, overheadPerBodyByte } = upstreamOptions;
    const maximum = maxOverheadBytes + this.bodyBytes * (1 + overheadPerBodyByte);
    if (received <= maximum) {
      return;
    }
    const error = new Error(`received ${received} bytes for a body of ${this.bodyBytes} bytes`);
    if (this.isFinished) {
      this.controller?.abort(error);
    } else {
      this.breakOff(error);
    }
  }

  private breakOff(error: Error): void {
    this.abort();
    this.listener.onError(error, true);
  }

  private handleHead(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isFinished || status < FIRST_FINAL_STATUS) {
      return;
    }
    if (status > LAST_STATUS) {
      this.breakOff(new InvalidStatusError(status));
      return;
    }
    const raw = controller.rawHeaders as Buffer[];
    const rawHeaders = raw.map((item) => item.toString('latin1'));
    const framing = getResponseFraming({ method: this.method, status, rawHeaders });
    this.head = { status, rawHeaders, framing };
    this.unsentBytes = this.connection?.socket?.writableLength ?? 0;
    this.listener.onHead(this.head);
  }

  /** A response without a length ends with its connection; it is truncated if that was reset. */
  private handleEnd(): void {
    const { head } = this;
    const error = this.connection?.error ?? this.getEarlyError();
    const isProof = head?.framing !== ResponseFraming.Connection || this.listener.isCutOff === true;
    if (error === undefined && !isProof && !this.isFinished) {
      this.confirmEnd(head);
    } else {
      this.end(error);
    }
  }

  /** A success of a replica that has not read its request, which nothing tells from a request that it gave up. */
  private getEarlyError(): Error | undefined {
    const { head, unsentBytes } = this;
    return head?.framing === ResponseFraming.Connection &&
      head.status < FIRST_REDIRECT_STATUS &&
      unsentBytes > 0
      ? new EarlyResponseError(unsentBytes)
      : undefined;
  }

  private confirmEnd(head: ResponseHead): void {
    const confirmation = this.callbacks?.confirmEnd(head) ?? Promise.resolve(false);
    const report = (isConfirmed: boolean) =>
      this.guard(() => this.end(isConfirmed ? undefined : new UnconfirmedEndError()));
    confirmation.then(report, () => report(false));
  }

  /** @param error - why the response is not complete; undefined if it is */
  private end(error: Error | undefined): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    if (error === undefined) {
      this.listener.onEnd();
    } else {
      this.listener.onError(error, true);
    }
  }

  private handleError(cause: Error): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    const error = isUnsendable(cause) ? new UnsendableRequestError(cause) : cause;
    const report = () => this.listener.onError(error, this.controller !== undefined);
    if (this.isDispatching) {
      // The caller of `run` must not be called back before it returns.
      queueMicrotask(() => this.guard(report));
    } else {
      report();
    }
  }

  private release(): void {
    this.tailTimer?.cancel();
    if (!this.isReleased) {
      this.isReleased = true;
      if (this.connection !== undefined) {
        this.connection.onRead = undefined;
        this.connection.gate?.open();
      }
      this.callbacks?.onReleased();
    }
  }
}
