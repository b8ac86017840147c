import { ByteCollector } from '@apricotrill/utils';
import { AttemptEnd } from '../decide/messages.js';
import { findHeader } from '../protocol/connectionHeaders.js';
import type { ResponseFraming } from '../framing/getResponseFraming.js';
import type { ResponseFields, RelayProtocol } from '../protocol/RelayProtocol.js';
import { NoPathError } from '../transport/SentAttempt/NoPathError.js';
import { EventSplitter } from '../upstream/EventSplitter/EventSplitter.js';
import type { StreamEvent } from '../upstream/EventSplitter/EventSplitter.js';
import { upstreamOptions } from '../upstream/upstreamOptions.js';
import { RequestWithdrawnError } from '../upstream/UpstreamExchange/RequestWithdrawnError.js';
import { UnsendableRequestError } from '../upstream/UpstreamExchange/UnsendableRequestError.js';
import type {
  ResponseHead,
  ExchangeListener,
} from '../upstream/UpstreamExchange/UpstreamExchange.js';

/** A complete response, which can be a replica's error that is forwarded to the caller. */
export interface BufferedResponse {
  head: ResponseHead;
  body: Buffer;
}

/** The result of an attempt. */
export interface AttemptResult {
  end: AttemptEnd;
  status: number | undefined;
  detail: string | undefined;
  /** Undefined if no head was received. */
  framing: ResponseFraming | undefined;
  /** Size of the body as received. */
  bodyBytes: number;
  /** Bytes of a stream after its last complete event. */
  incompleteBytes: number;
  /** Undefined if there is no response to forward, or if it was streamed. */
  response: BufferedResponse | undefined;
}

/** Receives the events of one attempt. */
export interface ResponseListener {
  /** Called with the fields of every response, including refusals. */
  onFields(fields: ResponseFields): void;
  /** @param head - of the response */
  onFirstByte(head: ResponseHead): void;
  /** Called with the size of a plain response so far, which is kept until it is complete. */
  onBuffered?(bytes: number): void;
  /** Called with the head of a stream once its first event is complete. */
  onStream(head: ResponseHead): void;
  onEvents(events: StreamEvent[]): void;
  /** Called with comments after the last event of a stream that ended normally. */
  onTrailingBytes(bytes: Buffer): void;
  onResult(result: AttemptResult): void;
  /** Called instead of `onResult` if the request can be sent to no replica. */
  onUnsendable(error: UnsendableRequestError): void;
}

const MIN_FAILURE_STATUS = 500;
const MIN_REDIRECT_STATUS = 300;
const MISDIRECTED_STATUS = 421;

/** Settings of {@link ResponseReader}. */
export interface ResponseReaderParts {
  requestId: string | undefined;
  isStream: boolean;
  protocol: RelayProtocol;
  listener: ResponseListener;
  /** Aborts the exchange, so that no more data is received. */
  abort: () => void;
}

/** Returns the announced size of a plain response; the largest one if more is announced, 0 if nothing is. */
function getExpectedBytes({ rawHeaders }: ResponseHead): number {
  const announced = Number(findHeader(rawHeaders, 'content-length') ?? 0);
  return Number.isInteger(announced) && announced > 0
    ? Math.min(announced, upstreamOptions.maxBufferedBytes)
    : 0;
}

/**
 * Reads the response of a replica and determines how the attempt ended. A response that belongs to
 * another request, is not signed by the replica, or is truncated must never reach the caller as a
 * success.
 */
export class ResponseReader implements ExchangeListener {
  private head: ResponseHead | undefined;

  private isStreaming = false;

  private isFinished = false;

  /** The body of a plain response. */
  private collector = new ByteCollector();

  private bodyBytes = 0;

  private hasStarted = false;

  private readonly splitter = new EventSplitter();

  constructor(private readonly parts: ResponseReaderParts) {}

  /** A stream that ends within an event was broken off. */
  get isCutOff(): boolean {
    return this.isStreaming && this.splitter.isInsideEvent;
  }

  onHead(head: ResponseHead): void {
    const { protocol, listener, requestId, isStream } = this.parts;
    this.head = head;
    this.collector = new ByteCollector(getExpectedBytes(head));
    const fields = protocol.readResponse(head);
    listener.onFields(fields);
    const error = this.getResponseError(fields, requestId);
    if (error !== undefined) {
      this.parts.abort();
      this.finish(AttemptEnd.Broken, error);
      return;
    }
    if (fields.isRefusal || fields.isMisdirected || head.status === MISDIRECTED_STATUS) {
      return;
    }
    this.isStreaming = isStream && head.status < MIN_REDIRECT_STATUS;
    if (!this.isStreaming) {
      listener.onFirstByte(head);
    }
  }

  onBody(bytes: Buffer): void {
    if (this.isFinished) {
      return;
    }
    this.bodyBytes += bytes.length;
    if (this.isStreaming) {
      this.handleStreamBytes(bytes);
      return;
    }
    if (this.bodyBytes > upstreamOptions.maxBufferedBytes) {
      this.parts.abort();
      this.finish(AttemptEnd.Broken, 'response exceeds the buffer limit');
      return;
    }
    this.collector.append(bytes);
    this.parts.listener.onBuffered?.(this.bodyBytes);
  }

  onEnd(): void {
    if (this.isFinished) {
      return;
    }
    if (this.head === undefined) {
      this.finish(AttemptEnd.Broken, 'response has no valid status');
      return;
    }
    const fields = this.parts.protocol.readResponse(this.head);
    if (fields.isMisdirected) {
      this.finish(AttemptEnd.Misdirected, undefined);
    } else if (fields.isRefusal) {
      this.finish(AttemptEnd.Refused, undefined);
    } else if (this.isStreaming) {
      this.finishStream();
    } else {
      const hasFailed = this.head.status >= MIN_FAILURE_STATUS;
      this.finish(hasFailed ? AttemptEnd.Failed : AttemptEnd.Completed, undefined);
    }
  }

  onError(error: Error, isSent: boolean): void {
    if (this.isFinished) {
      return;
    }
    const { head } = this;
    const fields = head === undefined ? undefined : this.parts.protocol.readResponse(head);
    if (error instanceof UnsendableRequestError) {
      this.isFinished = true;
      this.parts.listener.onUnsendable(error);
    } else if (error instanceof RequestWithdrawnError) {
      this.finish(AttemptEnd.Withdrawn, error.message);
    } else if (error instanceof NoPathError) {
      this.finish(AttemptEnd.NoPath, error.message);
    } else if (!isSent) {
      this.finish(AttemptEnd.NotSent, error.message);
    } else if (fields?.isMisdirected) {
      this.finish(AttemptEnd.Misdirected, error.message);
    } else if (fields?.isRefusal) {
      // The head is sufficient proof that the replica did not run the request.
      this.finish(AttemptEnd.Refused, error.message);
    } else {
      this.finish(AttemptEnd.Broken, error.message);
    }
  }

  /** Returns why the response is not valid for this request; undefined if it is. */
  private getResponseError(
    fields: ResponseFields,
    requestId: string | undefined,
  ): string | undefined {
    if (requestId !== undefined && fields.requestId !== requestId) {
      return fields.isRefusal || fields.isMisdirected
        ? this.getRefusalError(fields, requestId)
        : 'response belongs to another request';
    }
    if (this.head!.status < MIN_REDIRECT_STATUS && !fields.isSigned) {
      return 'response is not signed by the replica';
    }
    if (findHeader(this.head!.rawHeaders, 'content-encoding') !== undefined) {
      return 'response has an unexpected content encoding';
    }
    return undefined;
  }

  /** A refusal may lack the request id, but must not contain the id of another request. */
  // eslint-disable-next-line class-methods-use-this
  private getRefusalError(fields: ResponseFields, requestId: string): string | undefined {
    return fields.requestId === undefined || fields.requestId === requestId
      ? undefined
      : 'refusal belongs to another request';
  }

  private handleStreamBytes(bytes: Buffer): void {
    const events = this.splitter.push(bytes);
    if (events.length > 0) {
      this.passOn(events);
    }
    if (this.splitter.incompleteBytes.length > upstreamOptions.maxEventBytes) {
      this.parts.abort();
      this.finish(AttemptEnd.Broken, 'event exceeds the size limit');
    }
  }

  private passOn(events: StreamEvent[]): void {
    const { listener } = this.parts;
    if (!this.hasStarted) {
      this.hasStarted = true;
      listener.onFirstByte(this.head!);
      listener.onStream(this.head!);
    }
    listener.onEvents(events);
  }

  private finishStream(): void {
    const { listener } = this.parts;
    if (this.isCutOff) {
      this.finish(AttemptEnd.Broken, 'stream ended within an event');
      return;
    }
    if (!this.hasStarted) {
      listener.onFirstByte(this.head!);
      listener.onStream(this.head!);
    }
    if (this.splitter.incompleteBytes.length > 0) {
      listener.onTrailingBytes(this.splitter.incompleteBytes);
    }
    this.finish(AttemptEnd.Completed, undefined);
  }

  private finish(end: AttemptEnd, detail: string | undefined): void {
    this.isFinished = true;
    const { head } = this;
    const isPassedOn =
      !this.isStreaming && (end === AttemptEnd.Completed || end === AttemptEnd.Failed);
    this.parts.listener.onResult({
      end,
      status: head?.status,
      detail,
      framing: head?.framing,
      bodyBytes: this.bodyBytes,
      incompleteBytes: this.splitter.incompleteBytes.length,
      response: isPassedOn ? { head: head!, body: this.collector.take() } : undefined,
    });
  }
}
