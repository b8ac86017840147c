import type { Clock, Timer } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { upstreamOptions } from '../upstreamOptions.js';
import type { UpstreamConnection } from '../UpstreamConnections/UpstreamConnections.js';

/** The head of an answer. */
export interface ResponseHead {
  status: number;
  /** Names and values in turn, as they came. */
  rawHeaders: string[];
}

/** What an exchange tells its owner. Nothing follows `onEnd` or `onError`. */
export interface ExchangeListener {
  onHead(head: ResponseHead): void;
  onBody(bytes: Buffer): void;
  /** The last byte has come. */
  onEnd(): void;
  /** @param isSent - whether a byte of the request may have left */
  onError(error: Error, isSent: boolean): void;
}

/** A request as it goes to a replica. */
export interface UpstreamRequest {
  method: string;
  /** Path and query. */
  target: string;
  rawHeaders: string[];
  body: Buffer | undefined;
}

/** Informational answers come before the answer itself. */
const FIRST_FINAL_STATUS = 200;

/**
 * One request on its connection. It knows for sure whether a byte of the request can have left: the
 * client calls {@link UpstreamExchange.onRequestStart} right before it writes, so that a request
 * that fails before that has not run, whatever the error, and one that fails after may have.
 */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isOver = false;

  private connection: UpstreamConnection | undefined;

  private onReleased: (() => void) | undefined;

  private tail: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly listener: ExchangeListener,
  ) {}

  /** @param onReleased - called once when the connection carries nothing more of this request */
  run(connection: UpstreamConnection, request: UpstreamRequest, onReleased: () => void): void {
    this.onReleased = onReleased;
    this.connection = connection;
    connection.client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers: request.rawHeaders,
        body: request.body ?? null,
      },
      this,
    );
  }

  /** Nothing more of the answer is wanted: the connection ends, and with it the replica's work. */
  abort(): void {
    this.isOver = true;
    if (this.controller === undefined) {
      // It is still connecting: onRequestStart refuses it.
      return;
    }
    this.controller.abort(new Error('given up'));
  }

  /**
   * The answer is complete for its reader although its last bytes may still be on the way; a short
   * time later the connection is given up.
   */
  finish(): void {
    this.isOver = true;
    this.tail = this.clock.setTimer(upstreamOptions.tail, () => {
      this.controller?.abort(new Error('its last bytes never came'));
    });
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  /** The client would call it again to repeat a request: whether to repeat is never its decision. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isOver || this.controller !== undefined) {
      controller.abort(new Error('not to be sent'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isOver || status < FIRST_FINAL_STATUS) {
      return;
    }
    const raw = controller.rawHeaders as Buffer[];
    this.listener.onHead({ status, rawHeaders: raw.map((item) => item.toString('latin1')) });
  }

  onResponseData(_controller: Dispatcher.DispatchController, bytes: Buffer): void {
    if (!this.isOver && bytes.length > 0) {
      this.listener.onBody(bytes);
    }
  }

  /** An answer without length ends with its connection: after a reset it is cut short. */
  onResponseEnd(): void {
    this.release();
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    const error = this.connection?.error;
    if (error === undefined) {
      this.listener.onEnd();
    } else {
      this.listener.onError(error, true);
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.release();
    if (!this.isOver) {
      this.isOver = true;
      this.listener.onError(error, this.controller !== undefined);
    }
  }

  private release(): void {
    this.tail?.cancel();
    const { onReleased } = this;
    this.onReleased = undefined;
    onReleased?.();
  }
}
