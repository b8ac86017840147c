import { AttemptEnd } from '../decide/messages.js';
import { findHeader } from '../protocol/connectionHeaders.js';
import type { ResponseFields, RelayProtocol } from '../protocol/RelayProtocol.js';
import { EventSplitter } from '../upstream/EventSplitter/EventSplitter.js';
import type { StreamEvent } from '../upstream/EventSplitter/EventSplitter.js';
import { upstreamOptions } from '../upstream/upstreamOptions.js';
import type {
  ResponseHead,
  ExchangeListener,
} from '../upstream/UpstreamExchange/UpstreamExchange.js';

/** An answer that is whole, or the failure of a replica that is passed on. */
export interface WholeAnswer {
  head: ResponseHead;
  body: Buffer;
}

/** How an attempt ended, with what it brought. */
export interface AttemptResult {
  end: AttemptEnd;
  status: number | undefined;
  detail: string | undefined;
  /** Present where an answer came that can be passed on as it is. */
  answer: WholeAnswer | undefined;
}

/** What a reader tells of one attempt. */
export interface AnswerListener {
  /** Every answer's own fields, also of refusals. */
  onFields(fields: ResponseFields): void;
  onFirstByte(): void;
  /** The head of a stream whose first event is whole. */
  onStream(head: ResponseHead): void;
  onEvents(events: StreamEvent[]): void;
  /** Bytes after the last whole event of a stream that ended in good order. */
  onRest(bytes: Buffer): void;
  onResult(result: AttemptResult): void;
}

const FIRST_FAILURE = 500;
const FIRST_REDIRECT = 300;
const MISDIRECTED = 421;

/** What a reader must know. */
export interface AnswerReaderParts {
  requestId: string | undefined;
  isStream: boolean;
  protocol: RelayProtocol;
  listener: AnswerListener;
  /** Whatever still comes is not wanted. */
  stop: () => void;
}

/**
 * Reads one answer of a replica and says what it proves. An answer to another request, one that the
 * replica doesn't vouch for, and one that is cut short must never reach the caller as an answer.
 */
export class AnswerReader implements ExchangeListener {
  private head: ResponseHead | undefined;

  private isPassedOn = false;

  private isOver = false;

  private readonly chunks: Buffer[] = [];

  private size = 0;

  private readonly splitter = new EventSplitter();

  constructor(private readonly parts: AnswerReaderParts) {}

  onHead(head: ResponseHead): void {
    const { protocol, listener, requestId, isStream } = this.parts;
    this.head = head;
    const fields = protocol.readResponse(head);
    listener.onFields(fields);
    const fault = this.getFault(fields, requestId);
    if (fault !== undefined) {
      this.parts.stop();
      this.finish(AttemptEnd.Broken, fault);
      return;
    }
    if (fields.isRefusal || fields.isMisdirected || head.status === MISDIRECTED) {
      return;
    }
    this.isPassedOn = isStream && head.status < FIRST_REDIRECT;
    if (!this.isPassedOn) {
      listener.onFirstByte();
    }
  }

  onBody(bytes: Buffer): void {
    if (this.isOver) {
      return;
    }
    if (this.isPassedOn) {
      this.takeEvents(bytes);
      return;
    }
    this.size += bytes.length;
    this.chunks.push(bytes);
    if (this.size > upstreamOptions.wholeAnswerBytes) {
      this.parts.stop();
      this.finish(AttemptEnd.Broken, 'the answer is larger than what is held back');
    }
  }

  onEnd(): void {
    if (this.isOver || this.head === undefined) {
      return;
    }
    const fields = this.parts.protocol.readResponse(this.head);
    if (fields.isMisdirected) {
      this.finish(AttemptEnd.Misdirected, undefined);
    } else if (fields.isRefusal) {
      this.finish(AttemptEnd.Refused, undefined);
    } else if (this.isPassedOn) {
      this.endStream();
    } else {
      const hasFailed = this.head.status >= FIRST_FAILURE;
      this.finish(hasFailed ? AttemptEnd.Failed : AttemptEnd.Completed, undefined);
    }
  }

  onError(error: Error, isSent: boolean): void {
    if (this.isOver) {
      return;
    }
    const { head } = this;
    const fields = head === undefined ? undefined : this.parts.protocol.readResponse(head);
    if (!isSent) {
      this.finish(AttemptEnd.NotSent, error.message);
    } else if (fields?.isMisdirected) {
      this.finish(AttemptEnd.Misdirected, error.message);
    } else if (fields?.isRefusal) {
      // The head alone is the replica's word that it did not run the request.
      this.finish(AttemptEnd.Refused, error.message);
    } else {
      this.finish(AttemptEnd.Broken, error.message);
    }
  }

  /** Why what came is no answer to this request; undefined where it is. */
  private getFault(fields: ResponseFields, requestId: string | undefined): string | undefined {
    if (requestId !== undefined && fields.requestId !== requestId) {
      return fields.isRefusal || fields.isMisdirected
        ? this.getStrangerFault(fields, requestId)
        : 'the answer belongs to another request';
    }
    if (this.head!.status < FIRST_REDIRECT && !fields.isSigned) {
      return 'the replica does not vouch for the answer';
    }
    if (findHeader(this.head!.rawHeaders, 'content-encoding') !== undefined) {
      return 'the body is not the one that was asked for';
    }
    return undefined;
  }

  /** A refusal may come without the id of what it refuses, but not with another one. */
  // eslint-disable-next-line class-methods-use-this
  private getStrangerFault(fields: ResponseFields, requestId: string): string | undefined {
    return fields.requestId === undefined || fields.requestId === requestId
      ? undefined
      : 'the refusal belongs to another request';
  }

  private takeEvents(bytes: Buffer): void {
    const events = this.splitter.push(bytes);
    if (events.length === 0) {
      return;
    }
    const { listener } = this.parts;
    if (this.size === 0) {
      this.size = 1;
      listener.onFirstByte();
      listener.onStream(this.head!);
    }
    listener.onEvents(events);
  }

  private endStream(): void {
    const { listener } = this.parts;
    if (this.size === 0) {
      listener.onFirstByte();
      listener.onStream(this.head!);
    }
    if (this.splitter.unfinished.length > 0) {
      listener.onRest(this.splitter.unfinished);
    }
    this.finish(AttemptEnd.Completed, undefined);
  }

  private finish(end: AttemptEnd, detail: string | undefined): void {
    this.isOver = true;
    const { head } = this;
    const isAnswer =
      !this.isPassedOn && (end === AttemptEnd.Completed || end === AttemptEnd.Failed);
    this.parts.listener.onResult({
      end,
      status: head?.status,
      detail,
      answer: isAnswer ? { head: head!, body: Buffer.concat(this.chunks) } : undefined,
    });
  }
}
